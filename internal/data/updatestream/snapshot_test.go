package updatestream

import (
	"fmt"
	"testing"
	"time"

	"pebbleloom/internal/wire"
)

func newDocument(version uint64, weights string) *wire.Document {
	return &wire.Document{Version: version, Body: []byte(`{"models":{"m":{"weights":` + weights + `}},"services":{"s":{"model":"m"}},"ways":{"m":{"service":"s"}}}`)}
}

func mustRead(t *testing.T, response *wire.FeedResponse, old *Snapshot, now time.Duration) *Snapshot {
	t.Helper()
	s, err := ReadSnapshot(response, old, now)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// What a response leaves out stays as it was, and what it has replaces it; a snapshot that is shared is never
// changed.
func TestOmittedFieldsStayTheSame(t *testing.T) {
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

// update is a response of the node agent, ten nanoseconds after its proof.
type update struct {
	configVersion uint64 // 0: no configuration
	proofAt       uint64
	weights       uint64 // that the configuration names
}

// readChain reads a chain of updates.
func readChain(t *testing.T, chain ...update) (snapshot *Snapshot) {
	t.Helper()
	for _, u := range chain {
		response := &wire.FeedResponse{ListsVersion: 1, ProofAtNs: u.proofAt}
		if u.configVersion > 0 {
			response.Config = newDocument(u.configVersion, fmt.Sprint(u.weights))
		}
		snapshot = mustRead(t, response, snapshot, time.Duration(u.proofAt+10))
	}
	return snapshot
}

// Each superseded version has its own instant, however many are named after it: newer weights can't have been
// acknowledged before the last proof of the older ones. A process that never saw the older ones knows no such
// instant, and allows none of them.
func TestInstantsAtWhichWeightsAreSuperseded(t *testing.T) {
	for name, test := range map[string]struct {
		chain []update
		since map[uint64]uint64 // zero: unknown
	}{
		"first seen":                           {[]update{{1, 50, 2}}, map[uint64]uint64{1: 0, 2: 0}},
		"named once":                           {[]update{{1, 50, 1}, {2, 500, 2}}, map[uint64]uint64{1: 50}},
		"another change between":               {[]update{{1, 50, 1}, {2, 500, 2}, {3, 900, 2}}, map[uint64]uint64{1: 50}},
		"a later proof counts":                 {[]update{{1, 50, 1}, {0, 90, 0}, {2, 500, 2}}, map[uint64]uint64{1: 90}},
		"named thrice":                         {[]update{{1, 50, 1}, {2, 500, 2}, {3, 900, 3}}, map[uint64]uint64{1: 50, 2: 500}},
		"one version missed":                   {[]update{{1, 50, 1}, {3, 900, 3}}, map[uint64]uint64{1: 50, 2: 50}},
		"the node agent restarted":             {[]update{{1, 50, 1}, {0, 0, 0}, {2, 500, 2}}, map[uint64]uint64{1: 50}},
		"restarted without proof, named again": {[]update{{1, 50, 1}, {2, 0, 2}, {3, 900, 3}}, map[uint64]uint64{1: 50, 2: 0}},
		"named an earlier one again":           {[]update{{1, 50, 1}, {2, 500, 2}, {3, 600, 1}, {4, 900, 2}}, map[uint64]uint64{1: 600}},
	} {
		t.Run(name, func(t *testing.T) {
			history := readChain(t, test.chain...).Weights["m"]
			for version, want := range test.since {
				if notBefore, _, ok := history.SupersededAt(version); ok != (want > 0) || notBefore != time.Duration(want) {
					t.Errorf("weights %d: %d %v, want %d", version, notBefore, ok, want)
				}
			}
		})
	}
	a := readChain(t, update{1, 50, 1})
	if mustRead(t, &wire.FeedResponse{ListsVersion: 1, ProofAtNs: 500, Config: newDocument(2, "2")}, a, 510); a.Weights["m"].Version != 1 {
		t.Error("a shared snapshot was changed")
	}
	many := []update{}
	for i := uint64(1); i <= 20; i++ {
		many = append(many, update{i, 100 * i, i})
	}
	history := readChain(t, many...).Weights["m"]
	if _, _, ok := history.SupersededAt(5); ok || len(history.Past) != maxPastVersions {
		t.Errorf("requests may start on a forgotten version: %+v", history)
	}
}

func TestProofAgeDecidesFreshness(t *testing.T) {
	var none *Snapshot
	s := mustRead(t, &wire.FeedResponse{ListsVersion: 1, ProofAtNs: 100, Config: newDocument(1, "1")}, nil, 0)
	if none.IsFresh(1, 10) || !s.IsFresh(109, 10) || s.IsFresh(110, 10) || (&Snapshot{Config: s.Config}).IsFresh(1, 10) {
		t.Error("wrong freshness")
	}
}
