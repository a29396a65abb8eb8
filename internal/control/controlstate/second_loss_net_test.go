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
	for _, n := range r.nodes {
		n.nextJoin = farFuture
		j := r.joins[n]
		if j == nil || j.generation != n.generation {
			j = &joinState{generation: n.generation, silent: map[string]bool{}}
			r.joins[n] = j
		}
		if !r.isHealthy(n) || r.now < j.nextAttempt {
			continue
		}
		j.nextAttempt = r.now + bounds.Heal(joinIntervalRatio)
		if n.shard.needsJoin() {
			j.nextAttempt += r.requestJoin(n, j, bounds.Heal(joinTimeoutRatio))
		}
	}
}

func (r *lossRun) requestJoin(n *groupSimNode, j *joinState, timeout time.Duration) (cost time.Duration) {
	var others []string
	for _, m := range r.nodes {
		if m != n {
			others = append(others, m.addr)
		}
	}
	vain := 0
	for _, addr := range joinCandidates(others, func(a string) bool { return j.silent[a] }, j.turn) {
		m := r.node(addr)
		for range 2 {
			if m == nil || m == n {
				break
			}
			if !r.isHealthy(m) || r.callFails(n.addr, m.addr) {
				cost += timeout
				j.silent[m.addr] = true
				break
			}
			delete(j.silent, m.addr)
			t := m.shard.handleJoin(&wire.JoinRequest{Name: n.shard.core.Self()})
			if r.runStep(m); t.Outcome == wire.OutcomeDone {
				r.counts["taken in"]++
				return cost
			}
			m = r.node(controlclient.MemberAddr(t.Leader))
		}
		vain++
	}
	j.turn += vain
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
		if n := r.leader(); n != nil && !acknowledged {
			r.sendCommand(n, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}}, func(t *wire.ChangeResponse) {
				acknowledged = acknowledged || t.Outcome == wire.OutcomeDone
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
func (r *lossRun) throttle(n *groupSimNode) {
	if r.bytesPerSecond == 0 || n.shard == nil || r.throttled[n] == n.generation {
		return
	}
	r.throttled[n] = n.generation
	direct, incarnation := n.shard.send, n.generation
	free := r.now
	n.shard.send = func(m *wire.Message) {
		free = max(free, r.now) + time.Duration(float64(proto.Size(m))/r.bytesPerSecond*float64(time.Second))
		if free-r.now < groupSimStep {
			direct(m)
			return
		}
		m = proto.Clone(m).(*wire.Message)
		r.scheduleAt(free, func() {
			if n.generation == incarnation {
				direct(m)
			}
		})
	}
}
