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
	"strings"
	"sync"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/sim/workersim"
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

// OutcomeLog keeps all outcomes.
type OutcomeLog struct {
	mu  sync.Mutex
	all []Outcome
}

// Add writes one outcome down.
//
// Example: book.Add(out)
func (b *OutcomeLog) Add(o Outcome) { b.mu.Lock(); b.all = append(b.all, o); b.mu.Unlock() }

// Summary is what a run of callers has shown.
type Summary struct {
	Requests        int            `json:"requests"`
	Sealed          int            `json:"sealed"`
	Interrupted     int            `json:"broken"`
	SentTwice       int            `json:"sent_twice"`
	Samples         []string       `json:"denials,omitempty"`
	Rejected        map[string]int `json:"denied,omitempty"`
	CachedTokens    int            `json:"hit_tokens"`
	FetchedTokens   int            `json:"fetched_tokens"`
	PrefilledTokens int            `json:"prefilled_tokens"`
	HitShare        float64        `json:"hit_share"`
	FetchedShare    float64        `json:"fetched_share"`
	LoadMaxToMean   float64        `json:"load_max_to_mean"`
	P50Ms           int64          `json:"p50_ms"`
	P99Ms           int64          `json:"p99_ms"`
	First50Ms       int64          `json:"p50_first_piece_ms"`
	First95Ms       int64          `json:"p95_first_piece_ms"`
	OnceP50Ms       int64          `json:"p50_once_only_ms"`  // what claims cost shows against
	RepeatableP50Ms int64          `json:"p50_repeatable_ms"` // these, in the same run
	Workers         map[string]int `json:"workers,omitempty"`
	Faults          []string       `json:"faults"`
}

// All gives the outcomes; of a request that was sent twice the one that was let in.
//
// Example: for _, o := range book.All() { fmt.Println(o.Denied) }
func (b *OutcomeLog) All() []Outcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	duplicates := map[string]Outcome{}
	for _, outcome := range b.all {
		if outcome.Request.Duplicate {
			duplicates[outcome.Request.ID] = outcome
		}
	}
	var outcomes []Outcome
	for _, outcome := range b.all {
		if outcome.Request.Duplicate {
			continue
		}
		duplicate, ok := duplicates[outcome.Request.ID]
		if outcome.SentTwice = ok; ok {
			outcome.Faults = append(append([]string(nil), outcome.Faults...), duplicate.Faults...)
			outcome.BothSealed = outcome.Sealed && duplicate.Sealed
			if duplicate.Sealed && !outcome.Sealed { // the copy that was let in counts
				duplicate.Faults, duplicate.SentTwice = outcome.Faults, true
				outcome = duplicate
			}
		}
		outcomes = append(outcomes, outcome)
	}
	return outcomes
}

// Summarize adds everything up. Journals are what the workers say they ran; whole tells
// that no journal was lost with a killed worker.
//
// Example: sum := book.Settle(journals, true)
func (b *OutcomeLog) Summarize(journals map[string][]workersim.Run, complete bool) Summary {
	summary := Summary{Rejected: map[string]int{}, Workers: map[string]int{}, Faults: []string{}}
	ran := map[string]int{}
	for _, runs := range journals {
		for _, run := range runs {
			ran[run.RequestID]++
		}
	}
	fault := func(outcome Outcome, format string, a ...any) {
		if len(summary.Faults) < 100 {
			summary.Faults = append(summary.Faults, outcome.Request.ID+": "+fmt.Sprintf(format, a...))
		}
	}
	var took, once, many, first []int64
	for _, outcome := range b.All() {
		summary.Requests++
		if outcome.SentTwice {
			summary.SentTwice++
		}
		timesRun := ran[outcome.Request.ID]
		for _, f := range outcome.Faults {
			fault(outcome, "%s", f)
		}
		switch {
		case outcome.Sealed:
			summary.Sealed++
			summary.CachedTokens, summary.FetchedTokens, summary.PrefilledTokens = summary.CachedTokens+outcome.Final.CachedTokens, summary.FetchedTokens+outcome.Final.FetchedTokens, summary.PrefilledTokens+outcome.Final.PrefilledTokens
			took = append(took, outcome.TookMs)
			if !outcome.Request.App {
				first = append(first, outcome.FirstChunkMs)
			}
			if outcome.Request.Once {
				once = append(once, outcome.TookMs)
			} else {
				many = append(many, outcome.TookMs)
			}
			if !outcome.Request.App {
				summary.Workers[outcome.Worker]++
				if timesRun == 0 && complete {
					fault(outcome, "sealed, yet no worker ran it")
				}
			}
		case outcome.Interrupted != "":
			summary.Interrupted++
		default:
			if summary.Rejected[outcome.Rejected]++; len(summary.Samples) < 8 && !strings.Contains(strings.Join(summary.Samples, "\n"), outcome.Message) {
				summary.Samples = append(summary.Samples, outcome.Rejected+": "+outcome.Message)
			}
		}
		if outcome.Rejected == "held-past-wait" {
			fault(outcome, "held past its wait")
		}
		if outcome.BothSealed {
			fault(outcome, "both copies of a once-only request were answered")
		}
		if outcome.Request.Once && timesRun > 1 {
			fault(outcome, "a once-only request ran %d times", timesRun)
		}
		if MeansNotExecuted(outcome.Rejected) && timesRun > 0 && !outcome.SentTwice {
			fault(outcome, "denied as %s, yet it ran", outcome.Rejected)
		}
	}
	if t := summary.CachedTokens + summary.FetchedTokens + summary.PrefilledTokens; t > 0 {
		summary.HitShare, summary.FetchedShare = float64(summary.CachedTokens)/float64(t), float64(summary.FetchedTokens)/float64(t)
	}
	most, sum := 0, 0
	for _, timesRun := range summary.Workers {
		most, sum = max(most, timesRun), sum+timesRun
	}
	if sum > 0 {
		summary.LoadMaxToMean = float64(most) * float64(len(summary.Workers)) / float64(sum)
	}
	summary.P50Ms, summary.P99Ms = percentile(took, 0.5), percentile(took, 0.99)
	summary.First50Ms, summary.First95Ms = percentile(first, 0.5), percentile(first, 0.95)
	summary.OnceP50Ms, summary.RepeatableP50Ms = percentile(once, 0.5), percentile(many, 0.5)
	return summary
}

// percentile is the value below which that share of a list lies.
func percentile(values []int64, share float64) int64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(float64(len(values))*share))]
}

// MeansNotExecuted tells whether a denial's kind says that nothing ran.
//
// Example: loadgen.MeansNotExecuted("over-budget")
func MeansNotExecuted(kind string) bool {
	switch kind {
	case connectionRefused, "not-run", "overloaded", "over-budget", "bad-key", "no-such-model", "too-big", "bad-input":
		return true
	}
	return false
}
