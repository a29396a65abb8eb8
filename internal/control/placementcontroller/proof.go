package placementcontroller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/retire"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
)

// proofDomain is the cache domain of proofs: no other request reads what they leave in a cache.
const proofDomain = "retire"

// proveNode sends a node one real request under its base model and each adapter, and verifies each
// answer's seal, which names the weights that produced it. A worker's own word isn't enough: it may
// report weights that it doesn't answer under.
func (c *Controller) proveNode(ctx context.Context, retirement *retire.Retirement, action retire.Action, addr string) error {
	wait := c.process.Settings.Bounds.Heal(settings.OrderTimeoutRatio)
	baseAlone := retire.AdapterBuild{}
	for i, adapter := range append([]retire.AdapterBuild{baseAlone}, action.ProofSet.Adapters...) {
		request := contract.StartRequest{
			RequestID:   fmt.Sprintf("retire/%s/%s/%x/%d", retirement.Name, action.Node, c.clock.Now(), i),
			CacheDomain: proofDomain,
			Model:       action.ProofSet.Base,
			Weights:     action.ProofSet.Weights,
			Adapter:     adapter.Name,
			Build:       adapter.Build,
			Parts:       []string{"proof"},
			Chunks:      1,
			WaitMs:      int(wait / time.Millisecond),
			Incarnation: action.Incarnation,
		}
		if err := c.verifyAnswer(ctx, addr, action.Node, request); err != nil {
			return errs.Wrap(err, strings.TrimSpace("base model "+action.ProofSet.Base+" "+adapter.Name))
		}
	}
	return nil
}

// verifyAnswer sends one request, reads its answer to the end and compares the seal with the request.
func (c *Controller) verifyAnswer(ctx context.Context, addr, node string, request contract.StartRequest) error {
	attempt := c.backends.Start(ctx, addr, request, nil)
	if attempt.Err != nil {
		return attempt.Err
	}
	defer attempt.Body.Close()
	verifier, reader := contract.NewStreamVerifier(request.RequestID, node), bufio.NewReaderSize(attempt.Body, contract.MaxLineBytes)
	for {
		line, err := reader.ReadSlice('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			break
		}
		if err != nil {
			return errs.WrapAs(err, errs.Internal, "read answer")
		}
		if fault := verifier.Verify(line); fault != "" {
			return errs.New(errs.Internal, "%s", fault)
		}
	}
	seal := verifier.Sealed
	if seal == nil || seal.Number != request.Chunks || seal.Model != request.Model || seal.Weights != request.Weights ||
		seal.Adapter != request.Adapter || seal.Build != request.Build {
		return errs.New(errs.Internal, "its answer isn't sealed under what was asked for")
	}
	return nil
}
