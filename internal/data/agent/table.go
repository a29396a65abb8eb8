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

// assumedEdges is the assumed number of edge machines while the real one isn't known.
const assumedEdges = 32

// How long an edge machine counts after it was last seen, as a ratio of the heal bound, and how
// long after its start a node may not know all others, as a ratio of the leave bound.
const (
	edgeMemoryRatio = 5
	joiningRatio    = 1.0 / 3
)

// outOfContactRatio is the age of a proof, as a ratio of the configuration bound, from which news may have been missed.
const outOfContactRatio = 1.5

// table is the state of an agent; one goroutine at a time touches it.
type table struct {
	bounds     settings.Bounds
	codec      backend.Codec
	startedAt  time.Duration
	proof      *FreshnessProof
	versions   map[string]uint64 // by document: the newest version received, readable or not
	edgeSeenAt map[string]time.Duration
	snapshot   fleet.Snapshot
}

func newTable(b settings.Bounds, codec backend.Codec, now time.Duration) *table {
	return &table{bounds: b, codec: codec, startedAt: now, proof: NewFreshnessProof(), versions: map[string]uint64{},
		edgeSeenAt: map[string]time.Duration{}, snapshot: fleet.Snapshot{Edges: assumedEdges}}
}

// longPollTime is how long a request sent now may be held. An agent that was out of contact, or suspended,
// needs a proof before it can serve again: it asks for an immediate response.
func (t *table) longPollTime(now time.Duration) time.Duration {
	if t.snapshot.Plan != nil && (t.snapshot.ProofAt == 0 || now-t.snapshot.ProofAt > t.bounds.Config(outOfContactRatio)) {
		return 0
	}
	return t.bounds.Config(longPollRatio)
}

// newRequest makes the next request to a member.
func (t *table) newRequest(hold time.Duration) *wire.FollowRequest {
	a := &wire.FollowRequest{MaxWaitNs: uint64(hold), ProofKey: routingconfig.DocumentKey, AcceptsCompressed: true}
	for _, k := range []string{routingconfig.DocumentKey, fleet.WorkersKey, fleet.WeightsKey, fleet.PlacementKey} {
		a.Known = append(a.Known, &wire.KnownVersion{Key: k, Version: t.versions[k]})
	}
	for _, k := range queue.Keys(t.versions) {
		if strings.HasPrefix(k, fleet.PlacementKey) && k != fleet.PlacementKey {
			a.Known = append(a.Known, &wire.KnownVersion{Key: k, Version: t.versions[k]})
		}
	}
	return a
}

// applyResponse applies a member's response to a request that was sent with plan version requested at
// the instant asked. It reports whether there was news.
func (t *table) applyResponse(response *wire.FollowResponse, requested uint64, asked, now time.Duration) (news bool, err error) {
	var b errs.Batch
	version := requested
	for _, d := range response.Documents {
		if d.GetKey() == routingconfig.DocumentKey {
			version = max(version, d.GetVersion())
		}
		if t.isFollowed(d.GetKey()) && d.GetVersion() > t.versions[d.GetKey()] {
			t.versions[d.GetKey()] = d.GetVersion()
			news = true
			b.Add("document "+d.GetKey(), errs.Wrap(t.applyDocument(d, now), "read"))
		}
	}
	t.proof.AddResponse(response, version, asked)
	t.updateProof()
	return news, b.Err()
}

func (t *table) isFollowed(key string) bool {
	return key == routingconfig.DocumentKey || key == fleet.WorkersKey || key == fleet.WeightsKey ||
		strings.HasPrefix(key, fleet.PlacementKey) && key != fleet.PlacementKey
}

// updateProof sets how fresh the plan in use is.
func (t *table) updateProof() {
	if t.snapshot.Plan != nil {
		t.snapshot.ProofAt = t.proof.FreshUntil(t.snapshot.Plan.Version)
	}
}

// applyDocument takes a newer document into use. Members send committed documents only. One that this
// program can't read leaves the previous one in use, and the plan's proof then stops growing.
func (t *table) applyDocument(d *wire.Document, now time.Duration) error {
	d, err := fleet.Decompress(d)
	if err != nil {
		return err
	}
	switch d.Key {
	case routingconfig.DocumentKey:
		p, err := t.codec.Read(d.Body)
		if err != nil {
			return err
		}
		p.Version = d.Version // the committed version counts
		t.snapshot.Plan = p
	case fleet.WorkersKey:
		var w fleet.WorkerList
		if err := json.Unmarshal(d.Body, &w); err != nil {
			return errs.WrapAs(err, errs.Internal, "not a table of workers")
		}
		t.snapshot.Workers = w.Workers
	case fleet.WeightsKey:
		var w fleet.Weights
		if err := json.Unmarshal(d.Body, &w); err != nil {
			return errs.WrapAs(err, errs.Internal, "not a list of weights")
		}
		t.applyWeights(w.Named, now)
	default:
		p, err := placement.Read(d.Body, d.Version)
		if err != nil {
			return err
		}
		m := maps.Clone(t.snapshot.Placements)
		if m == nil {
			m = map[string]*placement.Placement{}
		}
		m[strings.TrimPrefix(d.Key, fleet.PlacementKey)] = p
		t.snapshot.Placements = m
	}
	return nil
}

// applyWeights sets the named weights. An agent in contact learns of them at once. One that was out of
// contact, or has just started, can't know how long ago they were named: half the bound counts as
// elapsed, or the time since the last contact if that is less.
func (t *table) applyWeights(named map[string]uint64, now time.Duration) {
	since := now
	if t.snapshot.ProofAt == 0 || now-t.snapshot.ProofAt > t.bounds.Config(outOfContactRatio) {
		since = max(t.snapshot.ProofAt, now-t.bounds.Weights(0.5))
	}
	at, superseding := map[string]time.Duration{}, map[string][]fleet.NamedVersion{}
	for m, v := range named {
		at[m], superseding[m] = since, t.snapshot.Superseding[m]
		old, ok := t.snapshot.Named[m]
		switch {
		case ok && old == v:
			at[m] = t.snapshot.NamedAt[m]
		case ok:
			superseding[m] = t.superseded(superseding[m], fleet.NamedVersion{Version: old, At: t.snapshot.NamedAt[m]}, now)
		}
	}
	t.snapshot.Named, t.snapshot.NamedAt, t.snapshot.Superseding = named, at, superseding
}

// maxSuperseding bounds the versions that are kept of one model.
const maxSuperseding = 8

// superseded adds a version to those that were named before. Where one's bound has run out, the ones
// before it say nothing more; where there are too many, the next takes over the oldest's time, which
// is stricter.
func (t *table) superseded(before []fleet.NamedVersion, v fleet.NamedVersion, now time.Duration) []fleet.NamedVersion {
	all := append(slices.Clone(before), v)
	for len(all) > 1 && now-all[1].At >= t.bounds.Weights(1) {
		all = all[1:]
	}
	if len(all) > maxSuperseding {
		all[1].At = all[0].At
		all = all[1:]
	}
	return all
}

// applyView sets the cluster membership and counts the edge machines. It reports whether anything
// changed.
func (t *table) applyView(v clustermembership.View, now time.Duration) bool {
	alone := true
	for _, n := range v.Nodes {
		alone = alone && n.Role != clustermembership.RoleControlNode
		if n.Role == clustermembership.RoleNodeAgent && n.State != clustermembership.Dead {
			t.edgeSeenAt[n.Name] = now
		}
	}
	if now-t.snapshot.ProofAt <= t.bounds.Config(outOfContactRatio) { // a partitioned machine sees all others gone
		maps.DeleteFunc(t.edgeSeenAt, func(_ string, at time.Duration) bool { return now-at > t.bounds.Heal(edgeMemoryRatio) })
	}
	n := max(1, len(t.edgeSeenAt))
	if alone && t.snapshot.Edges == assumedEdges || now-t.startedAt < t.bounds.Leave(joiningRatio) {
		n = max(n, assumedEdges)
	}
	if n == t.snapshot.Edges && slices.Equal(v.Nodes, t.snapshot.Nodes) {
		return false
	}
	t.snapshot.Edges, t.snapshot.Nodes = n, v.Nodes
	return true
}
