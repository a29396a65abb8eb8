package agent

import (
	"maps"
	"slices"
	"strings"
	"time"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/maputil"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// assumedEdges is the assumed number of edge machines while the real one isn't known.
const assumedEdges = 32

const (
	// edgeMemoryRatio is how long an edge machine counts after it was last seen, as a ratio of the heal bound.
	edgeMemoryRatio = 5
	// joiningRatio is how long after its start a node may not know all others, as a ratio of the leave bound.
	joiningRatio = 1.0 / 3
	// outOfContactRatio is the age of a proof from which updates may have been missed, as a ratio of the
	// configuration bound.
	outOfContactRatio = 1.5
)

// table is the state of an agent. The actor guards it: its methods do no I/O.
type table struct {
	bounds     settings.Bounds
	codec      backend.Codec
	startedAt  time.Duration
	proof      *FreshnessProof
	versions   map[string]uint64 // by document: the newest version received, readable or not
	edgeSeenAt map[string]time.Duration
	snapshot   fleet.Snapshot // it is published by value: its maps and slices are replaced, never changed
}

func newTable(bounds settings.Bounds, codec backend.Codec, now time.Duration) *table {
	return &table{
		bounds:     bounds,
		codec:      codec,
		startedAt:  now,
		proof:      NewFreshnessProof(),
		versions:   map[string]uint64{},
		edgeSeenAt: map[string]time.Duration{},
		snapshot:   fleet.Snapshot{EdgeCount: assumedEdges},
	}
}

// isOutOfContact reports whether updates may have been missed: there is no proof, or only an old one.
func (t *table) isOutOfContact(now time.Duration) bool {
	return t.snapshot.ProofAt == 0 || now-t.snapshot.ProofAt > t.bounds.Config(outOfContactRatio)
}

// longPollTime is how long a member may wait before it responds to a request that is sent now. An agent
// that was out of contact, or suspended, needs a proof before it can serve again: it asks for an immediate
// response.
func (t *table) longPollTime(now time.Duration) time.Duration {
	if t.snapshot.Plan != nil && t.isOutOfContact(now) {
		return 0
	}
	return t.bounds.Config(longPollRatio)
}

// newRequest makes the next request to a member.
func (t *table) newRequest(longPollTime time.Duration) *wire.FollowRequest {
	request := &wire.FollowRequest{MaxWaitNs: uint64(longPollTime), ProofKey: routingconfig.DocumentKey, AcceptsCompressed: true, RestoreGeneration: t.proof.Generation()}
	for _, key := range []string{routingconfig.DocumentKey, fleet.WorkersKey, fleet.WeightsKey, fleet.PlacementKey} {
		request.Known = append(request.Known, &wire.KnownVersion{Key: key, Version: t.versions[key]})
	}
	for _, key := range maputil.SortedKeys(t.versions) {
		if isPlacement(key) {
			request.Known = append(request.Known, &wire.KnownVersion{Key: key, Version: t.versions[key]})
		}
	}
	return request
}

// isPlacement reports whether a document is a service's placement: the key alone is their common prefix.
func isPlacement(key string) bool {
	return strings.HasPrefix(key, fleet.PlacementKey) && key != fleet.PlacementKey
}

// isFollowed reports whether the agent uses a document.
func isFollowed(key string) bool {
	return key == routingconfig.DocumentKey || key == fleet.WorkersKey || key == fleet.WeightsKey || isPlacement(key)
}

// applyResponse applies a member's response to a request that was sent with a version of the plan at an
// instant. It reports whether there was a newer document. An error says which documents can't be read; the
// others are applied.
func (t *table) applyResponse(response *wire.FollowResponse, requested uint64, requestedAt, now time.Duration) (changed bool, err error) {
	switch known := t.proof.Generation(); {
	case response.RestoreGeneration < known:
		return false, nil // of a group that was given up
	case response.RestoreGeneration > known && len(response.Members) > 0:
		t.forgetDocuments()
		requested, changed = 0, true
	}
	var faults errs.Batch
	version := requested
	for _, document := range response.Documents {
		key := document.GetKey()
		if key == routingconfig.DocumentKey {
			version = max(version, document.GetVersion())
		}
		if isFollowed(key) && document.GetVersion() > t.versions[key] {
			t.versions[key] = document.GetVersion()
			changed = true
			faults.Add("document "+key, errs.Wrap(t.applyDocument(document, now), "read"))
		}
	}
	t.proof.AddResponse(response, version, requestedAt)
	t.updateProof()
	return changed, faults.Err()
}

// forgetDocuments prepares the table for the documents of a group that was restored: it may have lost versions that
// this agent has received. The plan and the workers stay in use until it sends others; the plan isn't proved by then.
func (t *table) forgetDocuments() {
	clear(t.versions)
	t.snapshot.Placements = nil
	t.snapshot.NamedVersions, t.snapshot.NamedAt, t.snapshot.EarlierVersions = nil, nil, nil
}

// updateProof sets up to when the plan in use is proved to be the newest.
func (t *table) updateProof() {
	if t.snapshot.Plan != nil {
		t.snapshot.ProofAt = t.proof.FreshUntil(t.snapshot.Plan.Version)
	}
}

// applyMembership sets the cluster membership and counts the edge machines. It reports whether anything
// changed.
func (t *table) applyMembership(view clustermembership.View, now time.Duration) bool {
	isAlone := true // no control node is known
	for _, node := range view.Nodes {
		isAlone = isAlone && node.Role != clustermembership.RoleControlNode
		if node.Role == clustermembership.RoleNodeAgent && node.State != clustermembership.Dead {
			t.edgeSeenAt[node.Name] = now
		}
	}
	if now-t.snapshot.ProofAt <= t.bounds.Config(outOfContactRatio) { // a partitioned machine sees all others dead
		maps.DeleteFunc(t.edgeSeenAt, func(_ string, seenAt time.Duration) bool { return now-seenAt > t.bounds.Heal(edgeMemoryRatio) })
	}
	edges := max(1, len(t.edgeSeenAt))
	isJoining := now-t.startedAt < t.bounds.Leave(joiningRatio)
	if isAlone && t.snapshot.EdgeCount == assumedEdges || isJoining {
		edges = max(edges, assumedEdges)
	}
	if edges == t.snapshot.EdgeCount && slices.Equal(view.Nodes, t.snapshot.Nodes) {
		return false
	}
	t.snapshot.EdgeCount, t.snapshot.Nodes = edges, view.Nodes
	return true
}
