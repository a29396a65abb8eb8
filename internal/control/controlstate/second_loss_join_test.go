package controlstate

import (
	"time"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// farFuture is a simulated time after the end of every run.
const farFuture = time.Hour

// runJoinLoops simulates Node.joinLoop and Node.requestJoin of all machines over the simulated network: a machine that
// needs to join sends requests to two addresses and to the leaders that their responses name. A request to an
// unreachable address takes the full time-out.
func (r *lossRun) runJoinLoops() {
	bounds := settings.DefaultBounds()
	for _, node := range r.nodes {
		node.nextJoin = farFuture
		join := r.joins[node]
		if join == nil || join.generation != node.generation {
			join = &joinState{generation: node.generation, unresponsive: map[string]bool{}}
			r.joins[node] = join
		}
		if !r.isHealthy(node) || r.now < join.nextAttempt {
			continue
		}
		join.nextAttempt = r.now + bounds.Recovery(joinIntervalRatio)
		if node.shard.needsJoin() {
			join.nextAttempt += r.requestJoin(node, join, bounds.Recovery(joinTimeoutRatio))
		}
	}
}

// requestJoin sends the join requests of one iteration of a machine's join loop, and returns how long they took.
func (r *lossRun) requestJoin(node *groupSimNode, join *joinState, timeout time.Duration) (duration time.Duration) {
	var others []string
	for _, peer := range r.nodes {
		if peer != node {
			others = append(others, peer.addr)
		}
	}
	failed := 0
	for _, addr := range joinCandidates(others, func(addr string) bool { return join.unresponsive[addr] }, join.failures) {
		peer := r.node(addr)
		for range 2 {
			if peer == nil || peer == node {
				break
			}
			if !r.isHealthy(peer) || r.callFails(node.addr, peer.addr) {
				duration += timeout
				join.unresponsive[peer.addr] = true
				break
			}
			delete(join.unresponsive, peer.addr)
			response := peer.shard.handleJoin(&wire.JoinRequest{Name: node.shard.core.Self()})
			if r.runStep(peer); response.Outcome == wire.OutcomeDone {
				r.count(eventJoined)
				return duration
			}
			peer = r.node(controlclient.MemberAddr(response.Leader))
		}
		failed++
	}
	join.failures += failed
	return duration
}

// putLargeDocument stores a document of the given size in bytes in the control state; 0 stores none.
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
		r.violationf("put of a document of %d bytes was not acknowledged within 4 s", size)
	}
}

// memberCount returns the number of voters in the newest membership in the logs of all running machines.
func (r *lossRun) memberCount() int { return len(r.newestMembership()) }

// throttle limits the link of a node to bytesPerSecond: its messages are sent one after another at that rate.
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
