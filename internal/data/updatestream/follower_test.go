package updatestream

import (
	"fmt"
	"testing"
	"time"

	"pebbleloom/internal/wire"
)

func newDocument(epoch uint64, weights string) *wire.Document {
	return &wire.Document{Version: epoch, Body: []byte(`{"models":{"m":{"weights":` + weights + `}},"services":{"s":{"model":"m"}},"ways":{"m":{"service":"s"}}}`)}
}

func mustRead(t *testing.T, response *wire.FeedResponse, old *Snapshot, now time.Duration) *Snapshot {
	t.Helper()
	s, err := ReadSnapshot(response, old, now)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// What an answer leaves out stays as it was; what it brings replaces it; and a snapshot
// that is shared is never changed.
func TestOmittedFieldsAreKept(t *testing.T) {
	a := mustRead(t, &wire.FeedResponse{Version: 1, ListsVersion: 7, ProofAtNs: 10, Config: newDocument(3, "1"), Workers: []*wire.Worker{{Name: "w"}},
		Placements: []*wire.Document{{Key: "s", Version: 2, Body: []byte(`{"replicated":["aa"]}`)}}}, nil, 100)
	b := mustRead(t, &wire.FeedResponse{Version: 2, ListsVersion: 7, ProofAtNs: 20}, a, 200)
	if b.ConfigVersion != 3 || len(b.Workers) != 1 || b.Placements["s"] == nil || b.ProofAt != 20 || a.ProofAt != 10 {
		t.Errorf("%+v after %+v", b, a)
	}
	c := mustRead(t, &wire.FeedResponse{Version: 3, ListsVersion: 8, ProofAtNs: 30, Workers: []*wire.Worker{{Name: "x"}, {Name: "y"}}}, b, 300)
	if len(c.Workers) != 2 || len(c.Placements) != 0 || c.ConfigVersion != 3 || len(b.Workers) != 1 {
		t.Errorf("%+v after %+v", c, b)
	}
	if _, err := ReadSnapshot(&wire.FeedResponse{Config: &wire.Document{Version: 9, Body: []byte(`{`)}}, c, 400); err == nil {
		t.Error("half a configuration was read")
	}
}

// readChain reads a chain of responses, each a configuration version, a proof and the weights named.
func readChain(t *testing.T, l ...[3]uint64) (s *Snapshot) {
	for _, x := range l {
		response := &wire.FeedResponse{ListsVersion: 1, ProofAtNs: x[1]}
		if x[0] > 0 {
			response.Config = newDocument(x[0], fmt.Sprint(x[2]))
		}
		s = mustRead(t, response, s, time.Duration(x[1]+10))
	}
	return s
}

// Each superseded epoch has its own instant, however many are named after it: newer weights
// can't have been acknowledged before the last proof of the older ones. A process that never
// saw the older ones knows no such instant, and allows none of them.
func TestInstantsAtWhichWeightsAreSuperseded(t *testing.T) {
	for name, x := range map[string]struct {
		chain [][3]uint64
		since map[uint64]uint64 // zero: unknown
	}{
		"first seen":                  {[][3]uint64{{1, 50, 2}}, map[uint64]uint64{1: 0, 2: 0}},
		"named once":                  {[][3]uint64{{1, 50, 1}, {2, 500, 2}}, map[uint64]uint64{1: 50}},
		"another change between":      {[][3]uint64{{1, 50, 1}, {2, 500, 2}, {3, 900, 2}}, map[uint64]uint64{1: 50}},
		"a later proof counts":        {[][3]uint64{{1, 50, 1}, {0, 90, 0}, {2, 500, 2}}, map[uint64]uint64{1: 90}},
		"named thrice":                {[][3]uint64{{1, 50, 1}, {2, 500, 2}, {3, 900, 3}}, map[uint64]uint64{1: 50, 2: 500}},
		"one naming missed":           {[][3]uint64{{1, 50, 1}, {3, 900, 3}}, map[uint64]uint64{1: 50, 2: 50}},
		"the runner began anew":       {[][3]uint64{{1, 50, 1}, {0, 0, 0}, {2, 500, 2}}, map[uint64]uint64{1: 50}},
		"anew without proof, renamed": {[][3]uint64{{1, 50, 1}, {2, 0, 2}, {3, 900, 3}}, map[uint64]uint64{1: 50, 2: 0}},
		"put back at an earlier one":  {[][3]uint64{{1, 50, 1}, {2, 500, 2}, {3, 600, 1}, {4, 900, 2}}, map[uint64]uint64{1: 600}},
	} {
		s := readChain(t, x.chain...)
		for w, want := range x.since {
			if not, _, ok := s.Weights["m"].SupersededAt(w); ok != (want > 0) || not != time.Duration(want) {
				t.Errorf("%s: weights %d: %d %v, %d is due", name, w, not, ok, want)
			}
		}
	}
	a := readChain(t, [3]uint64{1, 50, 1})
	if mustRead(t, &wire.FeedResponse{ListsVersion: 1, ProofAtNs: 500, Config: newDocument(2, "2")}, a, 510); a.Weights["m"].Version != 1 {
		t.Error("a shared snapshot was changed")
	}
	many := [][3]uint64{}
	for i := uint64(1); i <= 20; i++ {
		many = append(many, [3]uint64{i, 100 * i, i})
	}
	s := readChain(t, many...).Weights["m"]
	if _, _, ok := s.SupersededAt(5); ok || len(s.Past) != maxPastVersions {
		t.Errorf("what was forgotten may start: %+v", s)
	}
}

func TestProofAgeDecidesFreshness(t *testing.T) {
	var none *Snapshot
	s := mustRead(t, &wire.FeedResponse{ListsVersion: 1, ProofAtNs: 100, Config: newDocument(1, "1")}, nil, 0)
	if none.IsFresh(1, 10) || !s.IsFresh(109, 10) || s.IsFresh(110, 10) || (&Snapshot{Config: s.Config}).IsFresh(1, 10) {
		t.Error("freshness is judged wrongly")
	}
}
