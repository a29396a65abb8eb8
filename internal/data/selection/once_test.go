package selection

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// hall is a small world of workers that keep what they read, the store, the index, that hears of
// it late, and edges that ask it. All by a hand-moved clock.
type hall struct {
	s      *fleet.Snapshot
	r      *rand.Rand
	edges  []*edge
	kept   map[string]map[prefix.Key]time.Duration // by worker or store: kept from then on
	ever   map[prefix.Key]bool
	reads  int
	again  int
	saves  map[prefix.Key]int
	lag    time.Duration
	deaf   float64 // share of look-ups that aren't answered
	ending []func()
	at     []time.Duration
}

func newHall(n, edges int, seed uint64) *hall {
	h := &hall{s: fleetOf(n), r: rand.New(rand.NewPCG(seed, 3)), kept: map[string]map[prefix.Key]time.Duration{}, ever: map[prefix.Key]bool{},
		saves: map[prefix.Key]int{}, lag: time.Second}
	for range edges {
		h.edges = append(h.edges, &edge{table: newTable(settings.DefaultBounds(), start), s: h.s})
	}
	return h
}

func (h *hall) keeps(id string, k prefix.Key, now time.Duration) bool {
	at, ok := h.kept[id][k]
	return ok && at <= now
}

func (h *hall) keep(id string, k prefix.Key, now time.Duration) {
	if h.kept[id] == nil {
		h.kept[id] = map[prefix.Key]time.Duration{}
	}
	if _, ok := h.kept[id][k]; !ok {
		h.kept[id][k] = now
	}
}

// look answers as the index would: what was kept a while ago.
func (h *hall) look(keys []prefix.Key, now time.Duration) map[prefix.Key]*wire.LookupResult {
	if len(keys) == 0 || h.r.Float64() < h.deaf {
		return nil
	}
	m := map[prefix.Key]*wire.LookupResult{}
	for _, k := range keys {
		f := &wire.LookupResult{}
		if k == promptindex.StoreHealthKey("store") {
			f.Holders = append(f.Holders, &wire.Holder{Worker: "store", State: promptindex.Presumed})
		}
		for id := range h.kept {
			if h.keeps(id, k, now-h.lag) {
				f.Holders = append(f.Holders, &wire.Holder{Worker: id, State: promptindex.Confirmed})
			}
		}
		m[k] = f
	}
	return m
}

func (h *hall) request(n int, things int, now time.Duration) {
	e := h.edges[h.r.IntN(len(h.edges))]
	e.s = h.s
	r := &Request{ID: fmt.Sprint("r", n), Service: "llm", Route: route, Zone: fmt.Sprint("d", h.r.IntN(4)), Model: "m", PromptTokens: 15000,
		Parts: []PromptPart{{fmt.Sprint("t", h.r.IntN(things)), 13000}, {fmt.Sprint("own", n), 2000}}}
	found := h.look(e.table.lookupKeys(h.s, r, now), now)
	c, ok := e.selectWorker(h.s, r, found, nil, now)
	if !ok {
		return
	}
	e.recordSent(r, c, now)
	k := promptindex.PartKey(c.Salt, r.Parts[0].ID)
	first := 30 * time.Millisecond
	switch at, ok := h.kept[c.Worker.ID][k]; {
	case ok && at <= now:
	case ok:
		first += at - now // another one's reading is under way there
	default:
		from := ""
		for id := range h.kept {
			if c.Fetch != "" && (c.Fetch == id+":1" || c.Fetch == "store:1" && id == "store") {
				from = id
			}
		}
		if from != "" && h.keeps(from, k, now) {
			first += 10 * time.Millisecond
		} else {
			first += 100 * time.Millisecond
			h.reads++
			if h.ever[k] {
				h.again++
			}
			h.ever[k] = true
		}
		h.keep(c.Worker.ID, k, now+first)
	}
	if c.Save != "" {
		h.saves[k]++
		h.keep("store", k, now+first)
	}
	h.at = append(h.at, now+2*first)
	h.ending = append(h.ending, func() { e.recordOutcome(r, c, Completed, nil, first, now+2*first) })
}

func (h *hall) play(requests, things int, every time.Duration) {
	now := start + time.Minute
	for n := range requests {
		for i := 0; i < len(h.at); i++ {
			if h.at[i] <= now {
				h.ending[i]()
				h.at, h.ending = append(h.at[:i:i], h.at[i+1:]...), append(h.ending[:i:i], h.ending[i+1:]...)
				i--
			}
		}
		h.request(n, things, now)
		now += every
	}
}

// With nine edges that know nothing of each other but by an index that is a second late, a shared
// part is read once and again hardly ever, and handed to the store about once.
func TestSharedPartsAreReadOnce(t *testing.T) {
	for seed := range uint64(5) {
		h := newHall(18, 9, seed)
		h.play(4000, 250, 10*time.Millisecond)
		if h.reads < 200 || h.again*50 > h.reads {
			t.Errorf("seed %d: %d reads, %d of them again", seed, h.reads, h.again)
		}
		n := 0
		for _, x := range h.saves {
			n += x
		}
		if len(h.saves) < 200 || n > 2*len(h.saves) {
			t.Errorf("seed %d: %d parts handed to the store %d times", seed, len(h.saves), n)
		}
	}
}

// The same where a third of the look-ups isn't answered at all.
func TestReadOnceThoughTheIndexIsDeaf(t *testing.T) {
	h := newHall(18, 9, 9)
	h.deaf = 1.0 / 3
	h.play(4000, 250, 10*time.Millisecond)
	if h.again*20 > h.reads {
		t.Errorf("%d reads, %d of them again", h.reads, h.again)
	}
}

// Load spreads: nobody gets more than three times the mean.
func TestTheHallSpreadsItsLoad(t *testing.T) {
	h := newHall(18, 9, 4)
	h.play(4000, 250, 10*time.Millisecond)
	most := 0
	for id, m := range h.kept {
		if id != "store" {
			most = max(most, len(m))
		}
	}
	if most > 3*h.reads/18+5 {
		t.Errorf("one worker keeps %d of %d parts", most, h.reads)
	}
}

func BenchmarkSelectOf140(b *testing.B) {
	e := newEdge(fleetOf(140))
	for i := range 20 {
		e.setHolders(fmt.Sprint("p", i), promptindex.Confirmed, fmt.Sprint("w", i), fmt.Sprint("w", 3*i), "store")
	}
	for i := range b.N {
		r := e.ask(fmt.Sprint("p", i%20), 13000)
		c, _ := e.selectWorker(e.s, r, e.found, nil, e.now)
		e.recordSent(r, c, e.now)
		e.recordOutcome(r, c, Completed, &Load{Running: 3, Slots: 128}, 40*time.Millisecond, e.now)
		e.now += time.Millisecond
	}
}
