package controlstate

import (
	"time"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// never is past the end of every run.
const never = time.Hour

// join is Node.joinLoop and Node.requestJoin over the simulated net: two addresses each time, and whom
// they name; one that can't be reached costs the whole wait for an answer.
func (r *lossRun) join() {
	bounds := settings.Default()
	for _, n := range r.nodes {
		n.ask = never
		j := r.joining[n]
		if j == nil || j.incarnation != n.incarnation {
			j = &joinState{incarnation: n.incarnation, silent: map[string]bool{}}
			r.joining[n] = j
		}
		if !r.well(n) || r.now < j.next {
			continue
		}
		j.next = r.now + bounds.Heal(joinIntervalRatio)
		if n.p.needsJoin() {
			j.next += r.requestJoin(n, j, bounds.Heal(joinTimeoutRatio))
		}
	}
}

func (r *lossRun) requestJoin(n *gsimNode, j *joinState, timeout time.Duration) (cost time.Duration) {
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
			if !r.well(m) || r.apart(n.addr, m.addr) {
				cost += timeout
				j.silent[m.addr] = true
				break
			}
			delete(j.silent, m.addr)
			t := m.p.handleJoin(&wire.JoinRequest{Name: n.p.core.Self()})
			if r.after(m); t.Outcome == wire.OutcomeDone {
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

// large puts a document of so many bytes beside the configuration.
func (r *lossRun) large(size int) {
	if size == 0 {
		return
	}
	put := &wire.Put{Key: fleet.PlacementKey + "large", Body: make([]byte, size), AnyVersion: true, Token: "large"}
	acknowledged := false
	r.until(4*time.Second, func() bool {
		if n := r.leader(); n != nil && !acknowledged {
			r.ask(n, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}}, func(t *wire.ChangeResponse) {
				acknowledged = acknowledged || t.Outcome == wire.OutcomeDone
			})
		}
		r.until(500*time.Millisecond, func() bool { return acknowledged })
		return acknowledged
	})
	if !acknowledged {
		r.fault("the large document isn't taken")
	}
}

func (r *lossRun) memberCount() int { return len(r.newestMembership()) }

// throttle has each message take the time of its bytes on its sender's link, one after another.
func (r *lossRun) throttle(n *gsimNode) {
	if r.bytesPerSecond == 0 || n.p == nil || r.throttled[n] == n.incarnation {
		return
	}
	r.throttled[n] = n.incarnation
	direct, incarnation := n.p.send, n.incarnation
	free := r.now
	n.p.send = func(m *wire.Message) {
		free = max(free, r.now) + time.Duration(float64(proto.Size(m))/r.bytesPerSecond*float64(time.Second))
		if free-r.now < groupStep {
			direct(m)
			return
		}
		m = proto.Clone(m).(*wire.Message)
		r.at(free, func() {
			if n.incarnation == incarnation {
				direct(m)
			}
		})
	}
}
