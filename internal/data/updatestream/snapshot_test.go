package updatestream

import (
	"fmt"
	"testing"
	"time"

	"pebbleloom/internal/wire"
)

// newDocument returns a configuration document of the given version, with one model m and the given version of its
// weights.
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

// Fields that a response of the node agent omits keep the values of the previous snapshot, and fields that it contains
// replace them. The previous snapshot is not modified.
func TestOmittedFieldsStayTheSame(t *testing.T) {
	a := mustRead(t, &wire.FeedResponse{Version: 1, ListsVersion: 7, ProofAtNs: 10, Config: newDocument(3, "1"), Workers: []*wire.Worker{{Name: "w"}},
		Placements: []*wire.Document{{Key: "s", Version: 2, Body: []byte(`{"replicated":["aa"]}`)}}}, nil, 100)
	b := mustRead(t, &wire.FeedResponse{Version: 2, ListsVersion: 7, ProofAtNs: 20}, a, 200)
	if b.ConfigVersion != 3 || len(b.Workers) != 1 || b.Placements["s"] == nil || b.ProofAt != 20 || a.ProofAt != 10 {
		t.Errorf("update of the node agent with only a newer freshness proof: got %+v, previous snapshot %+v; want the same configuration, worker and placement, and only the new snapshot with freshness proof at 20ns", b, a)
	}
	c := mustRead(t, &wire.FeedResponse{Version: 3, ListsVersion: 8, ProofAtNs: 30, Workers: []*wire.Worker{{Name: "x"}, {Name: "y"}}}, b, 300)
	if len(c.Workers) != 2 || len(c.Placements) != 0 || c.ConfigVersion != 3 || len(b.Workers) != 1 {
		t.Errorf("update of the node agent with new lists of workers and placements: got %+v, previous snapshot %+v; want two workers, no placements, the same configuration, and the previous snapshot unchanged", c, b)
	}
	if _, err := ReadSnapshot(&wire.FeedResponse{Config: &wire.Document{Version: 9, Body: []byte(`{`)}}, c, 400); err == nil {
		t.Error("update of the node agent with a truncated configuration: got no error, want one")
	}
}

// update describes a response of the node agent that is received 10 ns after the instant of its proof.
type update struct {
	configVersion uint64 // version of the configuration in the response; 0: the response contains none
	proofAt       uint64
	weights       uint64 // version of the weights of model m in the configuration
}

// readChain passes successive updates to ReadSnapshot and returns the last snapshot.
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

// The instant at which a version of the weights was superseded doesn't change however many versions follow: a newer
// version can't have been acknowledged before the last proof that the older one was the newest. A process that never
// received the older version knows no such instant.
func TestInstantsAtWhichWeightsAreSuperseded(t *testing.T) {
	for name, test := range map[string]struct {
		chain []update
		since map[uint64]uint64 // expected instant of being superseded, by version of the weights; 0: unknown or not superseded
	}{
		"only the newest version received":      {[]update{{1, 50, 2}}, map[uint64]uint64{1: 0, 2: 0}},
		"superseded once":                       {[]update{{1, 50, 1}, {2, 500, 2}}, map[uint64]uint64{1: 50}},
		"same weights in a third configuration": {[]update{{1, 50, 1}, {2, 500, 2}, {3, 900, 2}}, map[uint64]uint64{1: 50}},
		"later proof that version 1 is newest":  {[]update{{1, 50, 1}, {0, 90, 0}, {2, 500, 2}}, map[uint64]uint64{1: 90}},
		"superseded twice":                      {[]update{{1, 50, 1}, {2, 500, 2}, {3, 900, 3}}, map[uint64]uint64{1: 50, 2: 500}},
		"version 2 was not received":            {[]update{{1, 50, 1}, {3, 900, 3}}, map[uint64]uint64{1: 50, 2: 50}},
		"node agent restarted without proof":    {[]update{{1, 50, 1}, {0, 0, 0}, {2, 500, 2}}, map[uint64]uint64{1: 50}},
		"no proof that version 2 was newest":    {[]update{{1, 50, 1}, {2, 0, 2}, {3, 900, 3}}, map[uint64]uint64{1: 50, 2: 0}},
		"reverted to an earlier version":        {[]update{{1, 50, 1}, {2, 500, 2}, {3, 600, 1}, {4, 900, 2}}, map[uint64]uint64{1: 600}},
	} {
		t.Run(name, func(t *testing.T) {
			history := readChain(t, test.chain...).Weights["m"]
			for version, want := range test.since {
				if notBefore, _, ok := history.SupersededAt(version); ok != (want > 0) || notBefore != time.Duration(want) {
					t.Errorf("SupersededAt of weights version %d: got %d ns, ok %v; want %d ns (0: not ok)", version, notBefore, ok, want)
				}
			}
		})
	}
	a := readChain(t, update{1, 50, 1})
	if mustRead(t, &wire.FeedResponse{ListsVersion: 1, ProofAtNs: 500, Config: newDocument(2, "2")}, a, 510); a.Weights["m"].Version != 1 {
		t.Errorf("weights version in the previous snapshot after an update: got %d, want still 1", a.Weights["m"].Version)
	}
	many := []update{}
	for i := uint64(1); i <= 20; i++ {
		many = append(many, update{i, 100 * i, i})
	}
	history := readChain(t, many...).Weights["m"]
	if _, _, ok := history.SupersededAt(5); ok || len(history.Past) != maxPastVersions {
		t.Errorf("weights history after 20 versions: got %+v, want %d past versions and no instant at which the dropped version 5 was superseded", history, maxPastVersions)
	}
}

func TestProofAgeDecidesFreshness(t *testing.T) {
	var nilSnapshot *Snapshot
	s := mustRead(t, &wire.FeedResponse{ListsVersion: 1, ProofAtNs: 100, Config: newDocument(1, "1")}, nil, 0)
	if nilSnapshot.IsFresh(1, 10) || !s.IsFresh(109, 10) || s.IsFresh(110, 10) || (&Snapshot{Config: s.Config}).IsFresh(1, 10) {
		t.Errorf("IsFresh with a maximum age of the freshness proof of 10 ns: got nil snapshot %v, proof 9 ns old %v, proof 10 ns old %v, no proof %v; want only the second to be fresh",
			nilSnapshot.IsFresh(1, 10), s.IsFresh(109, 10), s.IsFresh(110, 10), (&Snapshot{Config: s.Config}).IsFresh(1, 10))
	}
}

// The shared cache domain of a configuration comes from the tenant history in its document, and is a domain of its own
// for a configuration with tenants that an earlier release stored without one.
func TestSharedCacheDomainComesFromTheDocument(t *testing.T) {
	body := []byte(`{"tenants":{"a":{"keys":["key-of-a"]},"b":{"keys":["key-of-b"],"walled":true}}}`)
	for _, test := range []struct {
		history *wire.TenantHistory
		want    string
	}{
		{&wire.TenantHistory{}, "shared"},
		{&wire.TenantHistory{SharedDomain: "7-1f"}, "shared:7-1f"},
		{nil, "shared:v9"},
	} {
		document := &wire.Document{Version: 9, Body: body, TenantHistory: test.history}
		config := mustRead(t, &wire.FeedResponse{Config: document}, nil, 0).Config
		if shared, isolated := config.CacheDomain("a"), config.CacheDomain("b"); shared != test.want || isolated != "t:b" {
			t.Errorf("cache domains of a sharing and an isolated tenant with history %v: got %q and %q, want %q and \"t:b\"", test.history, shared, isolated, test.want)
		}
	}
}
