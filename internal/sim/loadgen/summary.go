package loadgen

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"pebbleloom/internal/sim/workersim"
)

// OutcomeLog collects the outcomes of requests. It is safe for concurrent use.
type OutcomeLog struct {
	mu  sync.Mutex
	all []Outcome
}

// Add adds the outcome of a request.
//
// Example: log.Add(outcome)
func (b *OutcomeLog) Add(o Outcome) { b.mu.Lock(); b.all = append(b.all, o); b.mu.Unlock() }

// Summary holds the counts, latencies and violations of the requests of a test run.
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
	OnceP50Ms       int64          `json:"p50_once_only_ms"`  // median latency of at-most-once requests; its difference from RepeatableP50Ms is the cost of claiming the requests
	RepeatableP50Ms int64          `json:"p50_repeatable_ms"` // median latency of idempotent requests
	Workers         map[string]int `json:"workers,omitempty"`
	Faults          []string       `json:"faults"`
}

// All returns one outcome for each request. For a request that was sent to two edge nodes, it is the outcome of the
// copy that was served.
//
// Example: for _, outcome := range log.All() { fmt.Println(outcome.Rejected) }
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
			if duplicate.Sealed && !outcome.Sealed { // use the outcome of the copy that was served
				duplicate.Faults, duplicate.SentTwice = outcome.Faults, true
				outcome = duplicate
			}
		}
		outcomes = append(outcomes, outcome)
	}
	return outcomes
}

// summarizer computes a Summary from single outcomes.
type summarizer struct {
	summary  Summary
	timesRun map[string]int // number of times that workers ran each request, by request ID, from their journals
	complete bool           // the journals of all workers are known

	// Latencies of complete responses in milliseconds.
	all, once, repeatable, firstChunk []int64
}

// Maximum lengths of the lists Summary.Faults and Summary.Samples.
const (
	maxFaults  = 100
	maxSamples = 8
)

// Summarize summarizes the outcomes and checks them against the workers' journals. complete states that journals has
// the journals of all workers.
//
// Example: sum := log.Summarize(journals, true)
func (b *OutcomeLog) Summarize(journals map[string][]workersim.Run, complete bool) Summary {
	s := &summarizer{summary: Summary{Rejected: map[string]int{}, Workers: map[string]int{}, Faults: []string{}}, timesRun: map[string]int{}, complete: complete}
	for _, runs := range journals {
		for _, run := range runs {
			s.timesRun[run.RequestID]++
		}
	}
	for _, outcome := range b.All() {
		s.add(outcome)
		s.check(outcome)
	}
	s.addShares()
	s.summary.P50Ms, s.summary.P99Ms = percentile(s.all, 0.5), percentile(s.all, 0.99)
	s.summary.First50Ms, s.summary.First95Ms = percentile(s.firstChunk, 0.5), percentile(s.firstChunk, 0.95)
	s.summary.OnceP50Ms, s.summary.RepeatableP50Ms = percentile(s.once, 0.5), percentile(s.repeatable, 0.5)
	return s.summary
}

func (s *summarizer) fault(outcome Outcome, format string, a ...any) {
	if len(s.summary.Faults) < maxFaults {
		s.summary.Faults = append(s.summary.Faults, outcome.Request.ID+": "+fmt.Sprintf(format, a...))
	}
}

// add adds an outcome to the counts of the summary.
func (s *summarizer) add(outcome Outcome) {
	s.summary.Requests++
	if outcome.SentTwice {
		s.summary.SentTwice++
	}
	for _, f := range outcome.Faults {
		s.fault(outcome, "%s", f)
	}
	switch {
	case outcome.Sealed:
		s.addSealed(outcome)
	case outcome.Interrupted != "":
		s.summary.Interrupted++
	default:
		s.summary.Rejected[outcome.Rejected]++
		if len(s.summary.Samples) < maxSamples && !strings.Contains(strings.Join(s.summary.Samples, "\n"), outcome.Message) {
			s.summary.Samples = append(s.summary.Samples, outcome.Rejected+": "+outcome.Message)
		}
	}
}

// addSealed adds a complete response to the counts of tokens, the latencies and the load of its worker.
func (s *summarizer) addSealed(outcome Outcome) {
	s.summary.Sealed++
	s.summary.CachedTokens += outcome.Final.CachedTokens
	s.summary.FetchedTokens += outcome.Final.FetchedTokens
	s.summary.PrefilledTokens += outcome.Final.PrefilledTokens
	s.all = append(s.all, outcome.DurationMs)
	if outcome.Request.Once {
		s.once = append(s.once, outcome.DurationMs)
	} else {
		s.repeatable = append(s.repeatable, outcome.DurationMs)
	}
	if outcome.Request.App {
		return
	}
	s.firstChunk = append(s.firstChunk, outcome.FirstChunkMs)
	s.summary.Workers[outcome.Worker]++
	if s.timesRun[outcome.Request.ID] == 0 && s.complete {
		s.fault(outcome, "response is complete, yet no worker ran it according to the journals")
	}
}

// check records a violation if the outcome contradicts the workers' journals or the request was neither served nor
// rejected in time.
func (s *summarizer) check(outcome Outcome) {
	timesRun := s.timesRun[outcome.Request.ID]
	if outcome.Rejected == deadlinePassed {
		s.fault(outcome, "no response within the request's wait time of %d ms and %v of grace", outcome.Request.WaitMs, clientGrace)
	}
	if outcome.BothSealed {
		s.fault(outcome, "both copies of an at-most-once request were executed")
	}
	if outcome.Request.Once && timesRun > 1 {
		s.fault(outcome, "an at-most-once request ran %d times", timesRun)
	}
	if MeansNotExecuted(outcome.Rejected) && timesRun > 0 && !outcome.SentTwice {
		s.fault(outcome, "rejected as %s, which means not executed, yet it ran according to the journals", outcome.Rejected)
	}
}

// addShares computes the shares of cached and fetched tokens, and the ratio of the highest to the mean number of
// requests per worker.
func (s *summarizer) addShares() {
	if tokens := s.summary.CachedTokens + s.summary.FetchedTokens + s.summary.PrefilledTokens; tokens > 0 {
		s.summary.HitShare = float64(s.summary.CachedTokens) / float64(tokens)
		s.summary.FetchedShare = float64(s.summary.FetchedTokens) / float64(tokens)
	}
	highest, sum := 0, 0
	for _, requests := range s.summary.Workers {
		highest, sum = max(highest, requests), sum+requests
	}
	if sum > 0 {
		s.summary.LoadMaxToMean = float64(highest) * float64(len(s.summary.Workers)) / float64(sum)
	}
}

// percentile returns the value below which the given share of the values lies; 0 if there are none. It sorts values in
// place.
func percentile(values []int64, share float64) int64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(float64(len(values))*share))]
}

// MeansNotExecuted reports whether a rejection of this kind guarantees that the request wasn't executed.
//
// Example: loadgen.MeansNotExecuted("over-budget")
func MeansNotExecuted(kind string) bool {
	switch kind {
	case connectionRefused, "not-run", "overloaded", "over-budget", "bad-key", "no-such-model", "too-big", "bad-input":
		return true
	}
	return false
}
