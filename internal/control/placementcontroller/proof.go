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

// proofDomain is the cache domain of proof requests, the real requests by which a node shows that it answers
// under the new weights. It keeps their cache entries apart from those of all other requests.
const proofDomain = "retire"

// proveNode sends a node one real request under the base model of a weight set and one under each adapter,
// and verifies the seal of each answer, which names the weights that produced it. The loaded models that a
// worker reports are not sufficient proof: it may answer under other weights.
func (c *Controller) proveNode(ctx context.Context, retirement *retire.Retirement, action retire.Action, addr string) error {
	wait := c.process.Settings.Bounds.Recovery(settings.OrderTimeoutRatio)
	noAdapter := retire.AdapterBuild{} // stands for the request under the base model alone
	for i, adapter := range append([]retire.AdapterBuild{noAdapter}, action.ProofSet.Adapters...) {
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

// verifyAnswer sends one request, reads the answer to its end, and checks that the answer's seal names the
// requested model, weights and adapter.
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
			return errs.WrapAs(err, errs.Internal, "read answer to proof request")
		}
		if fault := verifier.Verify(line); fault != "" {
			return errs.New(errs.Internal, "%s", fault)
		}
	}
	seal := verifier.Sealed
	if seal == nil || seal.Number != request.Chunks || seal.Model != request.Model || seal.Weights != request.Weights ||
		seal.Adapter != request.Adapter || seal.Build != request.Build {
		return errs.New(errs.Internal, "the answer to the proof request is not sealed with the requested model, weights, adapter and number of chunks")
	}
	return nil
}
