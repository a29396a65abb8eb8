// Package loadgen simulates the clients of a site. It sends requests, checks the content of the streamed responses,
// and compares the outcomes with the workers' journals of the requests that they executed.
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

// Request is a request of a simulated client, with what is needed to check its response.
type Request struct {
	ID        string
	Kind      string
	Tenant    string
	Domain    string // prefix cache domain of the tenant
	Key       string // API key of the tenant
	Model     string
	Parts     []string
	Chunks    int
	WaitMs    int
	Once      bool     // the request isn't idempotent: it may be executed at most once
	Duplicate bool     // second copy of an at-most-once request, sent to another edge node
	App       bool     // the request is for the application service, which has no prefix cache
	ServedBy  []string // names of the models that may serve the request (base or base/adapter@build); none: only the one in Model
}

// Outcome is the result of a request as seen by its client.
type Outcome struct {
	Request      Request
	Sealed       bool   // the response was complete and its checksum was correct
	Interrupted  string // connection error that ended the response stream early; empty: none
	Rejected     string // kind of the rejection; empty: the request wasn't rejected
	RetryAfterMs int
	Worker       string
	Final        contract.Chunk
	Message      string
	SentTwice    bool     // the request was sent to two edge nodes
	BothSealed   bool     // both copies of an at-most-once request got a complete response
	Faults       []string // violations of the service's guarantees that the client found
	SentMs       int64
	DurationMs   int64
	FirstChunkAt time.Time // time of the first line of the response; zero: none was received
	FirstChunkMs int64
}

// ReadStream reads a response stream to its end and checks it. A stream that ends with a connection error is not a
// fault. A stream that ends normally must be complete and must be the response to this request.
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
				outcome.Faults = append(outcome.Faults, "response stream ended without an error but without the last line with its seal (checksum)")
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
		outcome.Faults = append(outcome.Faults, fmt.Sprintf("response has %d chunks, want %d", len(texts), request.Chunks))
	}
	key := request.ID
	if !request.App {
		final, model := outcome.Final, request.Model
		if final.Model != "" {
			model = prefix.QualifiedModel(final.Model, final.Adapter, final.Build)
		}
		if served := servedName(final.Model, final.Adapter, final.Build); len(request.ServedBy) > 0 && !slices.Contains(request.ServedBy, served) || len(request.ServedBy) == 0 && final.Model != "" && served != request.Model {
			outcome.Faults = append(outcome.Faults, "response is by model "+served+", want the model that the requested name "+request.Model+" maps to")
		}
		entries := prefix.Chain(request.Domain, model, final.Weights, request.Parts)
		key = entries[len(entries)-1].Key.String()
	}
	for n, t := range texts {
		if t != contract.SyntheticText(key, outcome.Final.Weights, n) {
			outcome.Faults = append(outcome.Faults, fmt.Sprintf("text of chunk %d isn't the response to this prompt under its tenant and weights", n))
			break
		}
	}
	return outcome
}

// servedName returns the name of the model that served a request: the base model, or base/adapter@build if there is an
// adapter.
func servedName(model, adapter string, build uint64) string {
	if adapter == "" {
		return model
	}
	return fmt.Sprintf("%s/%s@%d", model, adapter, build)
}
