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

// assumedEdges is the number of edge machines that is assumed until the actual number is known.
const assumedEdges = 32

const (
	// edgeMemoryRatio is how long an edge machine is counted after it was last seen alive, as a multiple of the
	// recovery time bound (the time within which service is restored after a failure).
	edgeMemoryRatio = 5
	// joiningRatio is how long after its start a node may not know all other nodes yet, as a fraction of the leave
	// bound (the longest time for which a worker may still get requests after it has left).
	joiningRatio = 1.0 / 3
	// outOfContactRatio is the age of the freshness proof above which the agent may have missed updates, as a multiple
	// of the configuration bound (the longest time for which an outdated configuration may be in use).
	outOfContactRatio = 1.5
)

// table is the state of an Agent. Only the goroutine of Agent.actor accesses it, so its methods do no I/O.
type table struct {
	bounds     settings.Bounds
	codec      backend.Codec
	startedAt  time.Duration
	proof      *FreshnessProof
	versions   map[string]uint64        // newest version received of each document, by document key; counts even if it could not be decoded
	edgeSeenAt map[string]time.Duration // by name of an edge machine: when it was last seen alive
	snapshot   fleet.Snapshot           // current control state; shallow copies of it are published, so its maps and slices are replaced, never modified
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

// isOutOfContact reports whether the agent may have missed updates: there is no freshness proof, or the proof is older
// than outOfContactRatio times the configuration bound (the longest time for which an outdated configuration may be in
// use).
func (t *table) isOutOfContact(now time.Duration) bool {
	return t.snapshot.ProofAt == 0 || now-t.snapshot.ProofAt > t.bounds.Config(outOfContactRatio)
}

// longPollTime returns how long a member of the consensus group may wait for an update before it responds to a request
// sent now. An agent whose process was suspended, or that lost contact with the group, can't serve until it has a new
// freshness proof, so it requests an immediate response.
func (t *table) longPollTime(now time.Duration) time.Duration {
	if t.snapshot.Plan != nil && t.isOutOfContact(now) {
		return 0
	}
	return t.bounds.Config(longPollRatio)
}

// newRequest returns the next long-poll request to a member of the consensus group, with the versions of all known
// documents.
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

// isPlacement reports whether key belongs to the placement document of a service. fleet.PlacementKey itself
// is only the common prefix of such keys.
func isPlacement(key string) bool {
	return strings.HasPrefix(key, fleet.PlacementKey) && key != fleet.PlacementKey
}

// isFollowed reports whether the agent uses the document with the given key.
func isFollowed(key string) bool {
	return key == routingconfig.DocumentKey || key == fleet.WorkersKey || key == fleet.WeightsKey || isPlacement(key)
}

// applyResponse applies the response of a member of the consensus group to a request that was sent at requestedAt and
// that reported plan version requested as known. It reports whether the response contained a newer document. The error
// lists the documents that could not be decoded; all others are applied.
func (t *table) applyResponse(response *wire.FollowResponse, requested uint64, requestedAt, now time.Duration) (changed bool, err error) {
	switch known := t.proof.Generation(); {
	case response.RestoreGeneration < known:
		return false, nil // the responding member belongs to an abandoned consensus group, which a restored one has replaced
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

// forgetDocuments prepares the table for the documents of a restored consensus group, which may have lost versions that
// this agent has received. The plan and the workers stay in use until the restored group sends others; until then the
// freshness proof of the plan does not advance.
func (t *table) forgetDocuments() {
	clear(t.versions)
	t.snapshot.Placements = nil
	t.snapshot.TargetVersions, t.snapshot.TargetSetAt, t.snapshot.EarlierVersions = nil, nil, nil
}

// updateProof sets ProofAt of the snapshot to the instant up to which the plan in use is proved to have been the
// newest.
func (t *table) updateProof() {
	if t.snapshot.Plan != nil {
		t.snapshot.ProofAt = t.proof.FreshUntil(t.snapshot.Plan.Version)
	}
}

// applyMembership stores the cluster membership and the number of edge machines in the snapshot. It reports
// whether either changed.
func (t *table) applyMembership(view clustermembership.View, now time.Duration) bool {
	knowsNoControlNode := true // whether the cluster membership contains no control node
	for _, node := range view.Nodes {
		knowsNoControlNode = knowsNoControlNode && node.Role != clustermembership.RoleControlNode
		if node.Role == clustermembership.RoleNodeAgent && node.State != clustermembership.Dead {
			t.edgeSeenAt[node.Name] = now
		}
	}
	if now-t.snapshot.ProofAt <= t.bounds.Config(outOfContactRatio) { // an agent without contact to the control nodes can't distinguish dead edge machines from unreachable ones, so it forgets none
		maps.DeleteFunc(t.edgeSeenAt, func(_ string, seenAt time.Duration) bool { return now-seenAt > t.bounds.Recovery(edgeMemoryRatio) })
	}
	edges := max(1, len(t.edgeSeenAt))
	isJoining := now-t.startedAt < t.bounds.Leave(joiningRatio)
	if knowsNoControlNode && t.snapshot.EdgeCount == assumedEdges || isJoining {
		edges = max(edges, assumedEdges)
	}
	if edges == t.snapshot.EdgeCount && slices.Equal(view.Nodes, t.snapshot.Nodes) {
		return false
	}
	t.snapshot.EdgeCount, t.snapshot.Nodes = edges, view.Nodes
	return true
}
