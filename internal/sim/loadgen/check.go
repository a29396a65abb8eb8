// Package loadgen is the stand-in for the callers of both sites. It sends streamed traffic,
// checks every byte of every answer, and reconciles what it was told with what the workers
// say they ran.
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
	Domain    string
	Key       string
	Model     string
	Parts     []string
	Chunks    int
	WaitMs    int
	Once      bool
	Duplicate bool     // the second copy of a once-only request
	App       bool     // answered by the application service, which keeps no prefixes
	ServedBy  []string // what may answer it, base/adapter@build; none: the model that it names
}

// Outcome is what the caller learnt.
type Outcome struct {
	Request      Request
	Sealed       bool
	Interrupted  string // a stream that ended visibly broken
	Rejected     string // the denial's kind
	RetryAfterMs int
	Worker       string
	Final        contract.Chunk
	Message      string
	SentTwice    bool // it was sent to two edges
	BothSealed   bool
	Faults       []string // what must never happen
	SentMs       int64
	TookMs       int64
	FirstChunkAt time.Time // when the first piece came
	FirstChunkMs int64
}

// ReadStream checks a stream to its end. A stream that ends broken is no fault as long as it
// looks broken; one that looks whole must be whole, and nothing but the answer to this request.
//
// Example: out := loadgen.Read(req, "cab-3", resp.Body)
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
				outcome.Faults = append(outcome.Faults, "a stream that looks whole without its seal")
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
		outcome.Faults = append(outcome.Faults, fmt.Sprintf("%d pieces where %d were asked for", len(texts), request.Chunks))
	}
	key := request.ID
	if !request.App {
		final, model := outcome.Final, request.Model
		if final.Model != "" {
			model = prefix.QualifiedModel(final.Model, final.Adapter, final.Build)
		}
		if served := servedName(final.Model, final.Adapter, final.Build); len(request.ServedBy) > 0 && !slices.Contains(request.ServedBy, served) || len(request.ServedBy) == 0 && final.Model != "" && served != request.Model {
			outcome.Faults = append(outcome.Faults, "answered by "+served+", which isn't what "+request.Model+" stands for")
		}
		entries := prefix.Chain(request.Domain, model, final.Weights, request.Parts)
		key = entries[len(entries)-1].Key.String()
	}
	for n, t := range texts {
		if t != contract.SyntheticText(key, outcome.Final.Weights, n) {
			outcome.Faults = append(outcome.Faults, fmt.Sprintf("piece %d isn't the answer to this prompt under its tenant and weights", n))
			break
		}
	}
	return outcome
}

// servedName names what answered: the base, or an adapter on it.
func servedName(model, adapter string, build uint64) string {
	if adapter == "" {
		return model
	}
	return fmt.Sprintf("%s/%s@%d", model, adapter, build)
}
