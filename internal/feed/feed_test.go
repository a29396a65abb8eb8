package feed

import (
	"testing"
	"time"

	"pebbleloom/internal/wire"
)

func doc(epoch uint64, weights string) *wire.Doc {
	return &wire.Doc{Epoch: epoch, Body: []byte(`{"models":{"m":{"weights":` + weights + `}},"services":{"s":{"model":"m"}},"ways":{"m":{"service":"s"}}}`)}
}

func must(t *testing.T, tell *wire.FeedTell, old *Snapshot, now time.Duration) *Snapshot {
	t.Helper()
	s, err := Read(tell, old, now)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// What an answer leaves out stays as it was; what it brings replaces it; and a snapshot
// that is shared is never changed.
func TestWhatIsLeftOutStays(t *testing.T) {
	a := must(t, &wire.FeedTell{Number: 1, View: 7, ProofAt: 10, Setup: doc(3, "1"), Workers: []*wire.Worker{{Name: "w"}},
		Placements: []*wire.Doc{{Key: "s", Epoch: 2, Body: []byte(`{"replicated":["aa"]}`)}}}, nil, 100)
	b := must(t, &wire.FeedTell{Number: 2, View: 7, ProofAt: 20}, a, 200)
	if b.Epoch != 3 || len(b.Workers) != 1 || b.Placements["s"] == nil || b.ProofAt != 20 || a.ProofAt != 10 {
		t.Errorf("%+v after %+v", b, a)
	}
	c := must(t, &wire.FeedTell{Number: 3, View: 8, ProofAt: 30, Workers: []*wire.Worker{{Name: "x"}, {Name: "y"}}}, b, 300)
	if len(c.Workers) != 2 || len(c.Placements) != 0 || c.Epoch != 3 || len(b.Workers) != 1 {
		t.Errorf("%+v after %+v", c, b)
	}
	if _, err := Read(&wire.FeedTell{Setup: &wire.Doc{Epoch: 9, Body: []byte(`{`)}}, c, 400); err == nil {
		t.Error("half a setup was read")
	}
}

// Newer weights can't have been acknowledged before the last proof of the older ones; a
// process that never saw the older ones knows no such instant, and allows none of them.
func TestSinceWhenWeightsAreNewer(t *testing.T) {
	a := must(t, &wire.FeedTell{View: 1, ProofAt: 50, Setup: doc(1, "1")}, nil, 60)
	if w := a.WeightsAt["m"]; w.Since != 0 || w.First != 60 {
		t.Errorf("%+v", w)
	}
	b := must(t, &wire.FeedTell{View: 1, ProofAt: 500, Setup: doc(2, "2")}, a, 510)
	if w := b.WeightsAt["m"]; w.Weights != 2 || w.Since != 50 || w.First != 510 {
		t.Errorf("%+v", w)
	}
	c := must(t, &wire.FeedTell{View: 1, ProofAt: 900, Setup: doc(3, "2")}, b, 910)
	if w := c.WeightsAt["m"]; w.Since != 50 || w.First != 510 {
		t.Errorf("another change of the setup moved it: %+v", w)
	}
	if a.WeightsAt["m"].Weights != 1 {
		t.Error("a shared snapshot was changed")
	}
}

func TestFreshness(t *testing.T) {
	var none *Snapshot
	s := must(t, &wire.FeedTell{View: 1, ProofAt: 100, Setup: doc(1, "1")}, nil, 0)
	if none.Fresh(1, 10) || !s.Fresh(109, 10) || s.Fresh(110, 10) || (&Snapshot{Setup: s.Setup}).Fresh(1, 10) {
		t.Error("freshness is judged wrongly")
	}
}
