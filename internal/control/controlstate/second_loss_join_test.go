package controlstate

import (
	"time"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// farFuture is after the end of every run.
const farFuture = time.Hour

// runJoinLoops does what Node.joinLoop and Node.requestJoin do, over the simulated network: each request
// goes to two addresses and to the leaders that these name. One that can't be reached costs the whole
// time-out.
func (r *lossRun) runJoinLoops() {
	bounds := settings.DefaultBounds()
	for _, node := range r.nodes {
		node.nextJoin = farFuture
		join := r.joins[node]
		if join == nil || join.generation != node.generation {
			join = &joinState{generation: node.generation, silent: map[string]bool{}}
			r.joins[node] = join
		}
		if !r.isHealthy(node) || r.now < join.nextAttempt {
			continue
		}
		join.nextAttempt = r.now + bounds.Heal(joinIntervalRatio)
		if node.shard.needsJoin() {
			join.nextAttempt += r.requestJoin(node, join, bounds.Heal(joinTimeoutRatio))
		}
	}
}

// requestJoin returns how long the request took.
func (r *lossRun) requestJoin(node *groupSimNode, join *joinState, timeout time.Duration) (cost time.Duration) {
	var others []string
	for _, peer := range r.nodes {
		if peer != node {
			others = append(others, peer.addr)
		}
	}
	failed := 0
	for _, addr := range joinCandidates(others, func(addr string) bool { return join.silent[addr] }, join.turn) {
		peer := r.node(addr)
		for range 2 {
			if peer == nil || peer == node {
				break
			}
			if !r.isHealthy(peer) || r.callFails(node.addr, peer.addr) {
				cost += timeout
				join.silent[peer.addr] = true
				break
			}
			delete(join.silent, peer.addr)
			response := peer.shard.handleJoin(&wire.JoinRequest{Name: node.shard.core.Self()})
			if r.runStep(peer); response.Outcome == wire.OutcomeDone {
				r.count(eventJoined)
				return cost
			}
			peer = r.node(controlclient.MemberAddr(response.Leader))
		}
		failed++
	}
	join.turn += failed
	return cost
}

// putLargeDocument puts a document of a size, in bytes, beside the configuration.
func (r *lossRun) putLargeDocument(size int) {
	if size == 0 {
		return
	}
	put := &wire.Put{Key: fleet.PlacementKey + "large", Body: make([]byte, size), AnyVersion: true, Token: "large"}
	acknowledged := false
	r.waitUntil(4*time.Second, func() bool {
		if node := r.leader(); node != nil && !acknowledged {
			r.sendCommand(node, putRequest(put), func(response *wire.ChangeResponse) {
				acknowledged = acknowledged || response.Outcome == wire.OutcomeDone
			})
		}
		r.waitUntil(500*time.Millisecond, func() bool { return acknowledged })
		return acknowledged
	})
	if !acknowledged {
		r.violationf("the large document isn't acknowledged")
	}
}

// memberCount is the size of the newest membership.
func (r *lossRun) memberCount() int { return len(r.newestMembership()) }

// throttle has the messages of a node share its link, one after another at bytesPerSecond.
func (r *lossRun) throttle(node *groupSimNode) {
	if r.bytesPerSecond == 0 || node.shard == nil || r.throttled[node] == node.generation {
		return
	}
	r.throttled[node] = node.generation
	sendNow, generation := node.shard.send, node.generation
	linkFreeAt := r.now
	node.shard.send = func(message *wire.Message) {
		linkFreeAt = max(linkFreeAt, r.now) + time.Duration(float64(proto.Size(message))/r.bytesPerSecond*float64(time.Second))
		if linkFreeAt-r.now < groupSimStep {
			sendNow(message)
			return
		}
		message = proto.Clone(message).(*wire.Message)
		r.scheduleAt(linkFreeAt, func() {
			if node.generation == generation {
				sendNow(message)
			}
		})
	}
}
