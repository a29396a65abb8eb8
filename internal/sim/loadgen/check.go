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
	ID     string
	Kind   string
	Tenant string
	Domain string
	Key    string
	Model  string
	Parts  []string
	Pieces int
	WaitMs int
	Once   bool
	Twin   bool     // the second copy of a once-only request
	App    bool     // answered by the application service, which keeps no prefixes
	Under  []string // what may answer it, base/adapter@build; none: the model that it names
}

// Outcome is what the caller learnt.
type Outcome struct {
	Request    Request
	Sealed     bool
	Broken     string // a stream that ended visibly broken
	Denied     string // the denial's kind
	BackMs     int
	Worker     string
	Last       contract.Chunk
	Message    string
	Twin       bool // it was sent to two edges
	BothSealed bool
	Faults     []string // what must never happen
	SentMs     int64
	TookMs     int64
	First      time.Time // when the first piece came
	FirstMs    int64
}

// Read checks a stream to its end. A stream that ends broken is no fault as long as it
// looks broken; one that looks whole must be whole, and nothing but the answer to this request.
//
// Example: out := loadgen.Read(req, "cab-3", resp.Body)
func Read(q Request, worker string, r io.Reader) Outcome {
	o := Outcome{Request: q, Worker: worker}
	c := contract.NewStreamVerifier(q.ID, worker)
	b := bufio.NewReaderSize(r, contract.MaxLineBytes)
	var texts []string
	for {
		raw, err := b.ReadSlice('\n')
		if len(raw) > 0 && err == nil {
			if o.First.IsZero() {
				o.First = time.Now()
			}
			if w := c.Verify(raw); w != "" {
				o.Faults = append(o.Faults, w)
				return o
			}
			var p contract.Chunk
			if json.Unmarshal(raw, &p) == nil && p.Seal == "" {
				texts = append(texts, p.Text)
			}
			continue
		}
		if errors.Is(err, io.EOF) {
			if c.Sealed == nil || len(raw) > 0 {
				o.Faults = append(o.Faults, "a stream that looks whole without its seal")
			}
			break
		}
		o.Broken = err.Error()
		return o
	}
	if c.Sealed == nil {
		return o
	}
	o.Sealed, o.Last = true, *c.Sealed
	if len(texts) != q.Pieces {
		o.Faults = append(o.Faults, fmt.Sprintf("%d pieces where %d were asked for", len(texts), q.Pieces))
	}
	key := q.ID
	if !q.App {
		l, model := o.Last, q.Model
		if l.Model != "" {
			model = prefix.QualifiedModel(l.Model, l.Adapter, l.Build)
		}
		if u := under(l.Model, l.Adapter, l.Build); len(q.Under) > 0 && !slices.Contains(q.Under, u) || len(q.Under) == 0 && l.Model != "" && u != q.Model {
			o.Faults = append(o.Faults, "answered by "+u+", which isn't what "+q.Model+" stands for")
		}
		es := prefix.Chain(q.Domain, model, l.Weights, q.Parts)
		key = es[len(es)-1].Key.String()
	}
	for n, t := range texts {
		if t != contract.SyntheticText(key, o.Last.Weights, n) {
			o.Faults = append(o.Faults, fmt.Sprintf("piece %d isn't the answer to this prompt under its tenant and weights", n))
			break
		}
	}
	return o
}

// under names what answered: the base, or an adapter on it.
func under(model, adapter string, build uint64) string {
	if adapter == "" {
		return model
	}
	return fmt.Sprintf("%s/%s@%d", model, adapter, build)
}

// Book keeps all outcomes.
type Book struct {
	mu  sync.Mutex
	all []Outcome
}

// Add writes one outcome down.
//
// Example: book.Add(out)
func (b *Book) Add(o Outcome) { b.mu.Lock(); b.all = append(b.all, o); b.mu.Unlock() }

// Sum is what a run of callers has shown.
type Sum struct {
	Requests  int            `json:"requests"`
	Sealed    int            `json:"sealed"`
	Broken    int            `json:"broken"`
	Twins     int            `json:"sent_twice"`
	Samples   []string       `json:"denials,omitempty"`
	Denied    map[string]int `json:"denied,omitempty"`
	Hit       int            `json:"hit_tokens"`
	Fetched   int            `json:"fetched_tokens"`
	Prefilled int            `json:"prefilled_tokens"`
	HitShare  float64        `json:"hit_share"`
	FetchPart float64        `json:"fetched_share"`
	MaxToMean float64        `json:"load_max_to_mean"`
	P50Ms     int64          `json:"p50_ms"`
	P99Ms     int64          `json:"p99_ms"`
	First50Ms int64          `json:"p50_first_piece_ms"`
	First95Ms int64          `json:"p95_first_piece_ms"`
	OnceP50Ms int64          `json:"p50_once_only_ms"`  // what claims cost shows against
	ManyP50Ms int64          `json:"p50_repeatable_ms"` // these, in the same run
	Workers   map[string]int `json:"workers,omitempty"`
	Faults    []string       `json:"faults"`
}

// All gives the outcomes; of a request that was sent twice the one that was let in.
//
// Example: for _, o := range book.All() { fmt.Println(o.Denied) }
func (b *Book) All() []Outcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	twins := map[string]Outcome{}
	for _, o := range b.all {
		if o.Request.Twin {
			twins[o.Request.ID] = o
		}
	}
	var l []Outcome
	for _, o := range b.all {
		if o.Request.Twin {
			continue
		}
		t, ok := twins[o.Request.ID]
		if o.Twin = ok; ok {
			o.Faults = append(append([]string(nil), o.Faults...), t.Faults...)
			o.BothSealed = o.Sealed && t.Sealed
			if t.Sealed && !o.Sealed { // the copy that was let in counts
				t.Faults, t.Twin = o.Faults, true
				o = t
			}
		}
		l = append(l, o)
	}
	return l
}

// Settle adds everything up. Journals are what the workers say they ran; whole tells
// that no journal was lost with a killed worker.
//
// Example: sum := book.Settle(journals, true)
func (b *Book) Settle(journals map[string][]workersim.Run, whole bool) Sum {
	s := Sum{Denied: map[string]int{}, Workers: map[string]int{}, Faults: []string{}}
	ran := map[string]int{}
	for _, l := range journals {
		for _, r := range l {
			ran[r.RequestID]++
		}
	}
	fault := func(o Outcome, format string, a ...any) {
		if len(s.Faults) < 100 {
			s.Faults = append(s.Faults, o.Request.ID+": "+fmt.Sprintf(format, a...))
		}
	}
	var took, once, many, first []int64
	for _, o := range b.All() {
		s.Requests++
		if o.Twin {
			s.Twins++
		}
		n := ran[o.Request.ID]
		for _, f := range o.Faults {
			fault(o, "%s", f)
		}
		switch {
		case o.Sealed:
			s.Sealed++
			s.Hit, s.Fetched, s.Prefilled = s.Hit+o.Last.CachedTokens, s.Fetched+o.Last.FetchedTokens, s.Prefilled+o.Last.PrefilledTokens
			took = append(took, o.TookMs)
			if !o.Request.App {
				first = append(first, o.FirstMs)
			}
			if o.Request.Once {
				once = append(once, o.TookMs)
			} else {
				many = append(many, o.TookMs)
			}
			if !o.Request.App {
				s.Workers[o.Worker]++
				if n == 0 && whole {
					fault(o, "sealed, yet no worker ran it")
				}
			}
		case o.Broken != "":
			s.Broken++
		default:
			if s.Denied[o.Denied]++; len(s.Samples) < 8 && !strings.Contains(strings.Join(s.Samples, "\n"), o.Message) {
				s.Samples = append(s.Samples, o.Denied+": "+o.Message)
			}
		}
		if o.Denied == "held-past-wait" {
			fault(o, "held past its wait")
		}
		if o.BothSealed {
			fault(o, "both copies of a once-only request were answered")
		}
		if o.Request.Once && n > 1 {
			fault(o, "a once-only request ran %d times", n)
		}
		if NotRun(o.Denied) && n > 0 && !o.Twin {
			fault(o, "denied as %s, yet it ran", o.Denied)
		}
	}
	if t := s.Hit + s.Fetched + s.Prefilled; t > 0 {
		s.HitShare, s.FetchPart = float64(s.Hit)/float64(t), float64(s.Fetched)/float64(t)
	}
	most, sum := 0, 0
	for _, n := range s.Workers {
		most, sum = max(most, n), sum+n
	}
	if sum > 0 {
		s.MaxToMean = float64(most) * float64(len(s.Workers)) / float64(sum)
	}
	s.P50Ms, s.P99Ms = part(took, 0.5), part(took, 0.99)
	s.First50Ms, s.First95Ms = part(first, 0.5), part(first, 0.95)
	s.OnceP50Ms, s.ManyP50Ms = part(once, 0.5), part(many, 0.5)
	return s
}

// part is the value below which that share of a list lies.
func part(l []int64, share float64) int64 {
	if len(l) == 0 {
		return 0
	}
	slices.Sort(l)
	return l[min(len(l)-1, int(float64(len(l))*share))]
}

// NotRun tells whether a denial's kind says that nothing ran.
//
// Example: loadgen.NotRun("over-budget")
func NotRun(kind string) bool {
	switch kind {
	case refused, "not-run", "overloaded", "over-budget", "bad-key", "no-such-model", "too-big", "bad-input":
		return true
	}
	return false
}
