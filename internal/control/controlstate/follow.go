package controlstate

import (
	"context"
	"strings"
	"time"

	"pebbleloom/internal/wire"
)

// maxLongPolls is how many requests are held at once; more are answered without being held.
const maxLongPolls = 1024

// Follow answers a long poll over several documents.
//
// Example: response, err := n.Follow(ctx, &wire.FollowRequest{Have: have, HoldNs: 1e9, Proof: "plan"})
func (n *Node) Follow(ctx context.Context, request *wire.FollowRequest) (*wire.FollowResponse, error) {
	shard := n.shards[0]
	if shard == nil || shard.group == nil {
		return &wire.FollowResponse{Member: n.process.Settings.Name}, nil
	}
	expired := shard.published.longPolls.Add(1) > maxLongPolls
	defer shard.published.longPolls.Add(-1)
	hold := time.Duration(min(request.MaxWaitNs, uint64(time.Minute)))
	timer := time.NewTimer(hold)
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
		case <-draining: // what is held now is answered soon; not at once, or it would come back at once
			draining = nil
			timer.Reset(min(hold, n.process.Settings.Bounds.Heal(groupTick)))
		}
	}
}

// followResponse is the answer that this view gives. NothingNewer is the word of a member that has a
// vote, of its own disk alone: agent.FreshnessProof says what a majority of such words proves.
func (v *publishedView) followResponse(request *wire.FollowRequest) *wire.FollowResponse {
	response := &wire.FollowResponse{Member: v.self, Members: v.members, MembersTerm: v.term, MembersIndex: v.index, Leader: v.leader}
	known := make(map[string]uint64, len(request.Known))
	for _, item := range request.Known {
		known[item.Key] = item.Version
	}
	proven := known[request.ProofKey]
	docs := v.documents
	if request.AcceptsCompressed {
		docs = v.compressedDocuments
	}
	for _, item := range request.Known {
		if strings.HasSuffix(item.Key, "/") {
			for key, document := range docs {
				if _, listed := known[key]; !listed && strings.HasPrefix(key, item.Key) {
					response.Documents = append(response.Documents, document)
				}
			}
		} else if document := docs[item.Key]; document.GetVersion() > item.Version {
			response.Documents = append(response.Documents, document)
			if item.Key == request.ProofKey {
				proven = document.Version
			}
		}
	}
	response.NothingNewer = request.ProofKey != "" && v.isVoter && v.documents[request.ProofKey].GetVersion() <= proven && v.unappliedVersions[request.ProofKey] <= proven && v.unappliedVersions[""] == 0
	return response
}
