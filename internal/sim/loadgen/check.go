// Package loadgen simulates the clients of a site. It sends requests, checks every byte of the streamed responses, and
// compares their outcomes with the workers' journals of what they ran.
package loadgen

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/data/prefix"
)

// Request is one request as it was sent.
type Request struct {
	ID        string
	Kind      string
	Tenant    string
	Domain    string // of the prefix cache
	Key       string // of the tenant
	Model     string
	Parts     []string
	Chunks    int
	WaitMs    int
	Once      bool     // it may run at most once
	Duplicate bool     // the second copy of a once-only request
	App       bool     // for the application service, which caches no prefixes
	ServedBy  []string // models that may serve it, base/adapter@build; none: the model that it names
}

// Outcome is the result of a request as its client saw it.
type Outcome struct {
	Request      Request
	Sealed       bool
	Interrupted  string // error of a stream that ended visibly incomplete; empty: none
	Rejected     string // kind of the rejection; empty: none
	RetryAfterMs int
	Worker       string
	Final        contract.Chunk
	Message      string
	SentTwice    bool // it was sent to two edge nodes
	BothSealed   bool
	Faults       []string // violations of the contract
	SentMs       int64
	DurationMs   int64
	FirstChunkAt time.Time // zero: no chunk was received
	FirstChunkMs int64
}

// ReadStream reads a response to its end and checks it. A stream that is interrupted visibly is no fault; one that ends
// in order must be complete and be the response to this request.
//
// Example: outcome := loadgen.ReadStream(request, "worker-3", response.Body)
func ReadStream(request Request, worker string, r io.Reader) Outcome {
	outcome := Outcome{Request: request, Worker: worker}
	verifier := contract.NewStreamVerifier(request.ID, worker)
	reader := bufio.NewReaderSize(r, contract.MaxLineBytes)
	var texts []string
	for {
		raw, err := reader.ReadSlice('\n')
		if len(raw) > 0 && err == nil {
			if outcome.FirstChunkAt.IsZero() {
				outcome.FirstChunkAt = time.Now()
			}
			if violation := verifier.Verify(raw); violation != "" {
				outcome.Faults = append(outcome.Faults, violation)
				return outcome
			}
			var chunk contract.Chunk
			if json.Unmarshal(raw, &chunk) == nil && chunk.Seal == "" {
				texts = append(texts, chunk.Text)
			}
			continue
		}
		if errors.Is(err, io.EOF) {
			if verifier.Sealed == nil || len(raw) > 0 {
				outcome.Faults = append(outcome.Faults, "a stream that ended in order without its seal")
			}
			break
		}
		outcome.Interrupted = err.Error()
		return outcome
	}
	if verifier.Sealed == nil {
		return outcome
	}
	outcome.Sealed, outcome.Final = true, *verifier.Sealed
	if len(texts) != request.Chunks {
		outcome.Faults = append(outcome.Faults, fmt.Sprintf("%d chunks received, %d requested", len(texts), request.Chunks))
	}
	key := request.ID
	if !request.App {
		final, model := outcome.Final, request.Model
		if final.Model != "" {
			model = prefix.QualifiedModel(final.Model, final.Adapter, final.Build)
		}
		if served := servedName(final.Model, final.Adapter, final.Build); len(request.ServedBy) > 0 && !slices.Contains(request.ServedBy, served) || len(request.ServedBy) == 0 && final.Model != "" && served != request.Model {
			outcome.Faults = append(outcome.Faults, "served by "+served+", which isn't what "+request.Model+" maps to")
		}
		entries := prefix.Chain(request.Domain, model, final.Weights, request.Parts)
		key = entries[len(entries)-1].Key.String()
	}
	for n, t := range texts {
		if t != contract.SyntheticText(key, outcome.Final.Weights, n) {
			outcome.Faults = append(outcome.Faults, fmt.Sprintf("chunk %d isn't the response to this prompt under its tenant and weights", n))
			break
		}
	}
	return outcome
}

// servedName returns the name of what served a request: a base model, or base/adapter@build.
func servedName(model, adapter string, build uint64) string {
	if adapter == "" {
		return model
	}
	return fmt.Sprintf("%s/%s@%d", model, adapter, build)
}
