package controlstate

import (
	"time"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// farFuture is past the end of every run.
const farFuture = time.Hour

// runJoinLoops is Node.joinLoop and Node.requestJoin over the simulated net: two addresses each time, and whom
// they name; one that can't be reached costs the whole wait for an answer.
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

func (r *lossRun) requestJoin(node *groupSimNode, join *joinState, timeout time.Duration) (cost time.Duration) {
	var others []string
	for _, peer := range r.nodes {
		if peer != node {
			others = append(others, peer.addr)
		}
	}
	vain := 0
	for _, addr := range joinCandidates(others, func(a string) bool { return join.silent[a] }, join.turn) {
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
				r.counts["taken in"]++
				return cost
			}
			peer = r.node(controlclient.MemberAddr(response.Leader))
		}
		vain++
	}
	join.turn += vain
	return cost
}

// putLargeDocument puts a document of so many bytes beside the configuration.
func (r *lossRun) putLargeDocument(size int) {
	if size == 0 {
		return
	}
	put := &wire.Put{Key: fleet.PlacementKey + "large", Body: make([]byte, size), AnyVersion: true, Token: "large"}
	acknowledged := false
	r.waitUntil(4*time.Second, func() bool {
		if node := r.leader(); node != nil && !acknowledged {
			r.sendCommand(node, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}}, func(response *wire.ChangeResponse) {
				acknowledged = acknowledged || response.Outcome == wire.OutcomeDone
			})
		}
		r.waitUntil(500*time.Millisecond, func() bool { return acknowledged })
		return acknowledged
	})
	if !acknowledged {
		r.violationf("the large document isn't taken")
	}
}

func (r *lossRun) memberCount() int { return len(r.newestMembership()) }

// throttle has each message take the time of its bytes on its sender's link, one after another.
func (r *lossRun) throttle(node *groupSimNode) {
	if r.bytesPerSecond == 0 || node.shard == nil || r.throttled[node] == node.generation {
		return
	}
	r.throttled[node] = node.generation
	direct, incarnation := node.shard.send, node.generation
	free := r.now
	node.shard.send = func(message *wire.Message) {
		free = max(free, r.now) + time.Duration(float64(proto.Size(message))/r.bytesPerSecond*float64(time.Second))
		if free-r.now < groupSimStep {
			direct(message)
			return
		}
		message = proto.Clone(message).(*wire.Message)
		r.scheduleAt(free, func() {
			if node.generation == incarnation {
				direct(message)
			}
		})
	}
}
