package agent

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// unheard is how many edge machines there may be while this one hasn't heard how many there are.
const unheard = 32

// How long an edge machine counts after it was last seen, as a ratio of the heal bound, and how
// long after its start a node may not have heard of all others, as one of the leave bound.
const (
	edgeMemory = 5
	youngPart  = 1.0 / 3
)

// outOfTouch is how old a proof is, as a ratio of the setup bound, when news may have been missed.
const outOfTouch = 1.5

// table is all that an agent knows; one thread at a time touches it.
type table struct {
	b     settings.Bounds
	codec backend.Codec
	born  time.Duration
	proof *Proof
	have  map[string]uint64 // by document: the newest version told, read or not
	edges map[string]time.Duration
	snap  fleet.Snapshot
}

func newTable(b settings.Bounds, codec backend.Codec, now time.Duration) *table {
	return &table{b: b, codec: codec, born: now, proof: NewProof(), have: map[string]uint64{},
		edges: map[string]time.Duration{}, snap: fleet.Snapshot{Edges: unheard}}
}

// hold is how long a question asked now may be held. An agent that was out of touch, or slept, needs
// a proof before it can serve again: it asks for answers at once.
func (t *table) hold(now time.Duration) time.Duration {
	if t.snap.Plan != nil && (t.snap.ProofAt == 0 || now-t.snap.ProofAt > t.b.Config(outOfTouch)) {
		return 0
	}
	return t.b.Config(holdPart)
}

// ask is what to ask a member with now.
func (t *table) ask(hold time.Duration) *wire.FollowRequest {
	a := &wire.FollowRequest{HoldNs: uint64(hold), Proof: routingconfig.Key, Packed: true}
	for _, k := range []string{routingconfig.Key, fleet.WorkersKey, fleet.WeightsKey, fleet.PlacementKey} {
		a.Have = append(a.Have, &wire.KnownVersion{Key: k, Version: t.have[k]})
	}
	for _, k := range queue.Keys(t.have) {
		if strings.HasPrefix(k, fleet.PlacementKey) && k != fleet.PlacementKey {
			a.Have = append(a.Have, &wire.KnownVersion{Key: k, Version: t.have[k]})
		}
	}
	return a
}

// hear takes a member's answer to a question that had plan version had, asked at an instant. It
// tells whether there was news.
func (t *table) hear(tell *wire.FollowResponse, had uint64, asked, now time.Duration) (news bool, err error) {
	var b errs.Batch
	version := had
	for _, d := range tell.Documents {
		if d.GetKey() == routingconfig.Key {
			version = max(version, d.GetVersion())
		}
		if t.known(d.GetKey()) && d.GetVersion() > t.have[d.GetKey()] {
			t.have[d.GetKey()] = d.GetVersion()
			news = true
			b.Note("document "+d.GetKey(), errs.Wrap(t.adopt(d, now), "read"))
		}
	}
	t.proof.Hear(tell, version, asked)
	t.prove()
	return news, b.Look()
}

func (t *table) known(key string) bool {
	return key == routingconfig.Key || key == fleet.WorkersKey || key == fleet.WeightsKey ||
		strings.HasPrefix(key, fleet.PlacementKey) && key != fleet.PlacementKey
}

// prove notes how fresh the plan in use is.
func (t *table) prove() {
	if t.snap.Plan != nil {
		t.snap.ProofAt = t.proof.At(t.snap.Plan.Version)
	}
}

// adopt takes a newer document into use. Members tell committed ones alone. One that this program
// can't read leaves the one before it in use, and a plan's proof then grows no more.
func (t *table) adopt(d *wire.Document, now time.Duration) error {
	d, err := fleet.Unpack(d)
	if err != nil {
		return err
	}
	switch d.Key {
	case routingconfig.Key:
		p, err := t.codec.Read(d.Body)
		if err != nil {
			return err
		}
		p.Version = d.Version // what was agreed on counts
		t.snap.Plan = p
	case fleet.WorkersKey:
		var w fleet.Table
		if err := json.Unmarshal(d.Body, &w); err != nil {
			return errs.As(err, errs.Inside, "not a table of workers")
		}
		t.snap.Workers = w.Workers
	case fleet.WeightsKey:
		var w fleet.Weights
		if err := json.Unmarshal(d.Body, &w); err != nil {
			return errs.As(err, errs.Inside, "not a list of weights")
		}
		t.name(w.Named, now)
	default:
		p, err := placement.Read(d.Body, d.Version)
		if err != nil {
			return err
		}
		m := maps.Clone(t.snap.Placements)
		if m == nil {
			m = map[string]*placement.Placement{}
		}
		m[strings.TrimPrefix(d.Key, fleet.PlacementKey)] = p
		t.snap.Placements = m
	}
	return nil
}

// name takes weights' versions. An agent in touch hears of them at once. One that was out of
// touch, or has just begun, can't know how long ago they were named: half the bound counts as
// gone by, or the time since it was last in touch if that is less.
func (t *table) name(named map[string]uint64, now time.Duration) {
	since := now
	if t.snap.ProofAt == 0 || now-t.snap.ProofAt > t.b.Config(outOfTouch) {
		since = max(t.snap.ProofAt, now-t.b.Weights(0.5))
	}
	at := map[string]time.Duration{}
	for m, v := range named {
		at[m] = since
		if old, ok := t.snap.Named[m]; ok && old == v {
			at[m] = t.snap.NamedAt[m]
		}
	}
	t.snap.Named, t.snap.NamedAt = named, at
}

// see takes the roster's view and counts the edge machines. It tells whether any of that is news.
func (t *table) see(v clustermembership.View, now time.Duration) bool {
	alone := true
	for _, n := range v.Nodes {
		alone = alone && n.Role != "archive"
		if n.Role == "runner" && n.State != clustermembership.Gone {
			t.edges[n.Name] = now
		}
	}
	if now-t.snap.ProofAt <= t.b.Config(outOfTouch) { // a machine that is cut off sees all others gone
		maps.DeleteFunc(t.edges, func(_ string, at time.Duration) bool { return now-at > t.b.Heal(edgeMemory) })
	}
	n := max(1, len(t.edges))
	if alone && t.snap.Edges == unheard || now-t.born < t.b.Leave(youngPart) {
		n = max(n, unheard)
	}
	if n == t.snap.Edges && slices.Equal(v.Nodes, t.snap.Nodes) {
		return false
	}
	t.snap.Edges, t.snap.Nodes = n, v.Nodes
	return true
}
