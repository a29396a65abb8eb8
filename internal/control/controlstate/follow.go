package controlstate

import (
	"context"
	"strings"
	"time"

	"pebbleloom/internal/wire"
)

// maxLongPolls limits the Follow requests that wait concurrently on one node. Further ones get an immediate
// response.
const maxLongPolls = 1024

// Follow serves a long poll for several documents: it responds once one of them is newer than the version that the
// client knows, or when the wait time of the request is over. It reads this member's published view
// (publishedView), so it does not wait for the shard's goroutine. A node with fixed members responds without
// documents.
//
// Example: response, err := n.Follow(ctx, &wire.FollowRequest{Known: known, MaxWaitNs: 1e9, ProofKey: "plan"})
func (n *Node) Follow(ctx context.Context, request *wire.FollowRequest) (*wire.FollowResponse, error) {
	shard := n.shards[0]
	if shard == nil || shard.group == nil {
		return &wire.FollowResponse{Member: n.process.Settings.Name}, nil
	}
	expired := shard.published.longPolls.Add(1) > maxLongPolls
	defer shard.published.longPolls.Add(-1)
	maxWait := time.Duration(min(request.MaxWaitNs, uint64(maxLongPollTime)))
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	draining := n.process.Draining
	for {
		view := shard.published.current()
		if response := view.followResponse(request); expired || len(response.Documents) > 0 {
			return response, nil
		}
		select {
		case <-view.changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			expired = true
		case <-draining:
			// This node is shutting down. Delay the response by up to a tick: a client that gets one at once would immediately
			// poll again.
			draining = nil
			timer.Reset(min(maxWait, n.process.Settings.Bounds.Recovery(groupTick)))
		}
	}
}

// followResponse builds the response to a long poll from this published view. NothingNewer is set if this member
// is a voter whose disk holds no newer version of the document named by ProofKey; agent.FreshnessProof describes
// what such responses from a majority of voters prove.
func (v *publishedView) followResponse(request *wire.FollowRequest) *wire.FollowResponse {
	response := &wire.FollowResponse{Member: v.self, Members: v.members, MembersTerm: v.term, MembersIndex: v.index, Leader: v.leader, RestoreGeneration: v.generation}
	known := v.knownVersions(request)
	proofVersion := known[request.ProofKey]
	documents := v.documents
	if request.AcceptsCompressed {
		documents = v.compressedDocuments
	}
	for _, item := range request.Known {
		if strings.HasSuffix(item.Key, "/") {
			response.Documents = appendUnknown(response.Documents, documents, item.Key, known)
		} else if document := documents[item.Key]; document.GetVersion() > known[item.Key] {
			response.Documents = append(response.Documents, document)
			if item.Key == request.ProofKey {
				proofVersion = document.Version
			}
		}
	}
	response.NothingNewer = request.ProofKey != "" && v.isVoter && v.holdsNothingNewer(request.ProofKey, proofVersion)
	return response
}

// knownVersions returns the document versions that the client of a long poll knows, by document key. It returns
// none if the client learned them before the group was last restored from one surviving member, since the restored
// group may have lost those versions.
func (v *publishedView) knownVersions(request *wire.FollowRequest) map[string]uint64 {
	known := make(map[string]uint64, len(request.Known))
	if request.RestoreGeneration < v.generation {
		return known
	}
	for _, item := range request.Known {
		known[item.Key] = item.Version
	}
	return known
}

// appendUnknown appends to unknown the documents whose keys start with the prefix and are not among the known
// versions of the client of a long poll.
func appendUnknown(unknown []*wire.Document, documents map[string]*wire.Document, prefix string, known map[string]uint64) []*wire.Document {
	for key, document := range documents {
		if _, listed := known[key]; !listed && strings.HasPrefix(key, prefix) {
			unknown = append(unknown, document)
		}
	}
	return unknown
}

// holdsNothingNewer reports whether neither this member's applied state nor its unapplied log entries contain a
// newer version of the document with the given key than version.
func (v *publishedView) holdsNothingNewer(key string, version uint64) bool {
	return v.documents[key].GetVersion() <= version && v.unappliedVersions[key] <= version && v.unappliedVersions[unreadableKey] == 0
}
