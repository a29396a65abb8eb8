package controlstate

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strconv"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// catchUpWorld runs the real members (core, state, disk format, membership policy) of one group on
// virtual time, over links of a bandwidth. It is for large configurations: what is sent isn't copied.
type catchUpWorld struct {
	t      testing.TB
	r      *rand.Rand
	now    time.Duration
	nodes  []*catchUpNode
	seeds  []string
	queued []catchUpMessage
	sent   int
	links  map[string]*simLink // from>to
	rate   int                 // bytes a second of a link
	cut    map[string]bool     // addresses that are cut off
	acked  uint64              // version that was acknowledged last
	bodies map[uint64][]byte   // of each version, for as long as it may be seen
	terms  map[uint64]string   // who led which term
	tail   int
}

type catchUpNode struct {
	addr     string
	disk     *simDisk
	p        *shard // nil: down
	clk      *clock.Manual
	starts   int
	next     time.Duration // its next tick
	joinAt   time.Duration
	version  uint64 // what it has applied since it was started
	gone     bool   // for good
	received int    // bytes of large messages
}

type catchUpMessage struct {
	at     time.Duration
	n      int
	starts int // of the receiver when it was sent
	m      *wire.Message
	lost   bool // its sender hears that it didn't arrive
	link   *simLink
}

// simLink carries large messages one after another, as the transport sends them.
type simLink struct {
	freeAt  time.Duration
	waiting int
}

func largeTime(size int) time.Duration {
	return time.Duration(float64(catchUpHeal) * (sendTimeoutRatio + megabyteTimeoutRatio*float64(size)/(1<<20)))
}

const (
	catchUpStep = 5 * time.Millisecond
	catchUpTick = 100 * time.Millisecond // of a heal bound of 12 s
	catchUpHeal = 12 * time.Second
	linkDelay   = 2 * time.Millisecond
)

// textPlans reads the version from the front of a configuration and keeps the rest as it is.
type textPlans struct{}

func planVersion(b []byte) (uint64, error) {
	rest, ok := bytes.CutPrefix(b, []byte(`{"version":`))
	end := bytes.IndexByte(rest, ',')
	if !ok || end < 0 {
		return 0, errs.New(errs.BadInput, "no version")
	}
	return strconv.ParseUint(string(rest[:end]), 10, 64)
}

func (textPlans) Read(b []byte) (*routingconfig.Plan, error) {
	v, err := planVersion(b)
	return &routingconfig.Plan{Version: v}, err
}

func (textPlans) Merge(_, sent []byte, _ bool) ([]byte, uint64, error) {
	v, err := planVersion(sent)
	return sent, v, err
}

// planOf is a configuration of so many routes, about 300 bytes each; the hosts differ from version to
// version, so that two don't pass for one another.
func planOf(version uint64, routes int) []byte {
	b := fmt.Appendf(nil, `{"version":%d,"routes":[`, version)
	for i := range routes {
		b = fmt.Appendf(b, `{"name":"route-%d-%d","host":"h%d.tenant-%d.example","prefix":"/v1/%d","kind":"once","timeout":%d,"priority":%d,"split":[{"service":"service-%d","weight":90},{"service":"service-%d-canary","weight":10}],"attempts":3,"public":true,"session":%v,"comment":"%0100d"},`,
			i, version, i%97, i%31, i, 1000+i, i%4, i%120, i%120, i%2 == 0, version)
	}
	return append(b[:len(b)-1], "]}"...)
}

func newCatchUpWorld(t testing.TB, seed uint64, machines, rate int) *catchUpWorld {
	w := &catchUpWorld{t: t, r: rand.New(rand.NewPCG(seed, 8)), links: map[string]*simLink{}, rate: rate, cut: map[string]bool{},
		bodies: map[uint64][]byte{}, terms: map[uint64]string{}, tail: tailBytes}
	for range machines {
		n := w.machine()
		if len(w.seeds) < 3 {
			w.seeds = append(w.seeds, n.addr)
		}
	}
	for _, n := range w.nodes {
		w.boot(n, true)
	}
	w.until("a leader", 10*time.Second, func() bool { return w.leader() != nil })
	return w
}

func (w *catchUpWorld) machine() *catchUpNode {
	n := &catchUpNode{addr: fmt.Sprintf("10.0.0.%d:7360", len(w.nodes)+1), disk: newSimDisk(), clk: &clock.Manual{}}
	w.nodes = append(w.nodes, n)
	return n
}

func (w *catchUpWorld) boot(n *catchUpNode, first bool) {
	n.starts++
	starts := n.starts
	n.disk.power = -1
	p := newShard(context.Background(), 0, n.clk, hclog.NewNullLogger(), func(m *wire.Message) {
		if n.starts == starts {
			w.post(m)
		}
	})
	openGroup(p, &group{codec: textPlans{}, disk: n.disk, targetSize: 3, reopenTicks: int(reopenIntervalRatio / groupTick), zoneOf: func(string) string { return "" },
		consensusConfig: consensus.Config{HeartbeatTicks: heartbeatTicks, ElectionTicks: electionTicks, MaxBatchBytes: 256 << 10, TrailingLogBytes: w.tail,
			Rand: rand.New(rand.NewPCG(w.r.Uint64(), 9))},
		initialSnapshot: func() *wire.Snapshot { return initialGroupSnapshot(first, n.addr, w.seeds, w.r.Uint64) }})
	n.p, n.next, n.version = p, w.now, 0
}

// kill ends a process; in the middle of a write where torn says so.
func (w *catchUpWorld) kill(n *catchUpNode, torn bool) {
	if torn && n.p != nil {
		n.disk.power = w.r.IntN(1 << 20)
		for range 200 {
			if w.step(); n.p == nil || n.p.failure != nil {
				break
			}
		}
	}
	n.p, n.starts = nil, n.starts+1
}

func (w *catchUpWorld) wipe(n *catchUpNode) {
	w.kill(n, false)
	n.disk = newSimDisk()
}

func (w *catchUpWorld) node(addr string) *catchUpNode {
	for _, n := range w.nodes {
		if n.addr == addr {
			return n
		}
	}
	return nil
}

func (w *catchUpWorld) well(n *catchUpNode) bool { return n != nil && n.p != nil && n.p.failure == nil }

func (w *catchUpWorld) post(m *wire.Message) {
	from, to := controlclient.Addr(m.From), controlclient.Addr(m.To)
	receiver := w.node(to)
	if receiver == nil || w.cut[from] || w.cut[to] {
		return
	}
	q := catchUpMessage{at: w.now + linkDelay, starts: receiver.starts, m: m}
	if size := payloadBytes(m); len(m.GetChunk().GetData()) > 0 || size >= largeMessageBytes {
		l := w.links[from+">"+to]
		if l == nil {
			l = &simLink{}
			w.links[from+">"+to] = l
		}
		if l.waiting > maxQueuedLarge {
			return // the queue is full, one beside it is being sent
		}
		takes := time.Duration(float64(size) / float64(w.rate) * float64(time.Second))
		receiver.received += size
		l.waiting++
		l.freeAt = max(l.freeAt, w.now) + min(takes, largeTime(size))
		q.at, q.lost, q.link = l.freeAt+linkDelay, takes > largeTime(size), l
	}
	w.sent++
	q.n = w.sent
	w.queued = append(w.queued, q)
}

func (w *catchUpWorld) step() {
	w.now += catchUpStep
	for _, n := range w.nodes {
		n.clk.Time += catchUpStep
	}
	sort.SliceStable(w.queued, func(i, j int) bool { return w.queued[i].at < w.queued[j].at })
	due := w.queued
	w.queued = nil
	for i, q := range due {
		if q.at > w.now {
			w.queued = append(w.queued, due[i:]...)
			break
		}
		from, n := w.node(controlclient.Addr(q.m.From)), w.node(controlclient.Addr(q.m.To))
		if q.link != nil {
			q.link.waiting--
		}
		if q.lost || n.p == nil || n.starts != q.starts || w.cut[n.addr] || w.cut[from.addr] {
			if q.link != nil && w.well(from) {
				from.p.core.ReportSendFailure(q.m)
			}
		} else if w.well(n) {
			n.p.core.Step(q.m)
			w.after(n)
		}
	}
	for _, n := range w.nodes {
		if n.p == nil || w.now < n.next {
			continue
		}
		n.next = w.now + catchUpTick
		if n.p.failure == nil {
			n.p.core.Tick()
		}
		n.p.tickGroup()
		w.after(n)
		if w.well(n) && w.now >= n.joinAt && n.p.needsJoin() {
			n.joinAt = w.now + 800*time.Millisecond
			w.join(n)
		}
	}
}

// after lets a member act on what it was given, and checks what holds at any time.
func (w *catchUpWorld) after(n *catchUpNode) {
	before := n.p.core.Status()
	n.p.handleReady()
	if n.p.failure != nil {
		return
	}
	s := n.p.core.Status()
	if s.Applied < before.Applied {
		w.t.Fatalf("old snapshot never installed over newer state: %s went from %d to %d", n.addr, before.Applied, s.Applied)
	}
	d := n.p.state.documents[routingconfig.Key]
	if d.GetVersion() < n.version {
		w.t.Fatalf("old snapshot never installed over newer state: %s went from version %d to %d", n.addr, n.version, d.GetVersion())
	}
	if d.GetVersion() > n.version {
		if want := w.bodies[d.Version]; want != nil && !bytes.Equal(want, d.Body) {
			w.t.Fatalf("%s holds another body under version %d", n.addr, d.Version)
		}
	}
	n.version = d.GetVersion()
	if !s.IsLeader {
		return
	}
	if who := w.terms[s.Term]; who != "" && who != n.p.core.Self() {
		w.t.Fatalf("one leader a term: %d has %s and %s", s.Term, who, n.p.core.Self())
	}
	w.terms[s.Term] = n.p.core.Self()
	if n.p.core.HasAppliedCurrentTerm() && s.Term >= w.highestTerm() && n.version < w.acked {
		w.t.Fatalf("never leads with old state: %s leads term %d with version %d, %d was acknowledged", n.addr, s.Term, n.version, w.acked)
	}
}

func (w *catchUpWorld) highestTerm() (highest uint64) {
	for term := range w.terms {
		highest = max(highest, term)
	}
	return highest
}

func (w *catchUpWorld) join(n *catchUpNode) {
	m := w.nodes[w.r.IntN(len(w.nodes))]
	for m.gone {
		m = w.nodes[w.r.IntN(len(w.nodes))]
	}
	for range 2 {
		if m == nil || m == n || !w.well(m) || w.cut[m.addr] || w.cut[n.addr] {
			return
		}
		response := m.p.handleJoin(&wire.JoinRequest{Name: n.p.core.Self()})
		if w.after(m); response.Outcome == wire.OutcomeDone {
			return
		}
		m = w.node(controlclient.Addr(response.Leader))
	}
}

func (w *catchUpWorld) leader() *catchUpNode {
	var found *catchUpNode
	for _, n := range w.nodes {
		if w.well(n) && !w.cut[n.addr] && n.p.core.HasAppliedCurrentTerm() && (found == nil || n.p.core.Status().Term > found.p.core.Status().Term) {
			found = n
		}
	}
	return found
}

func (w *catchUpWorld) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step()
	}
}

func (w *catchUpWorld) until(what string, within time.Duration, done func() bool) time.Duration {
	w.t.Helper()
	begin := w.now
	for !done() {
		if w.step(); w.now-begin > within {
			w.dump()
			w.t.Fatalf("%s: not within %v", what, within)
		}
	}
	return w.now - begin
}

func (w *catchUpWorld) dump() {
	for _, n := range w.nodes {
		if n.p != nil {
			members, _, _ := n.p.core.Members()
			w.t.Logf("%s: %+v members %v version %d failure %v", n.addr, n.p.core.Status(), members, n.version, n.p.failure)
		}
	}
}

// change has an operator bring the next version, again and again until it is acknowledged.
func (w *catchUpWorld) change(routes int, within time.Duration) {
	w.t.Helper()
	next := w.acked + 1
	sent := planOf(next, routes)
	w.bodies[next] = sent
	delete(w.bodies, next-8)
	for begin := w.now; ; {
		if w.now-begin > within {
			w.dump()
			w.t.Fatalf("version %d: not acknowledged within %v", next, within)
		}
		n := w.leader()
		if n == nil {
			w.step()
			continue
		}
		if n.version >= next { // a copy sent before was taken
			break
		}
		starts := n.starts
		pending, response := n.p.propose(&wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: &wire.Put{Key: routingconfig.Key, Body: sent, IfVersion: w.acked}}}}, nil)
		w.after(n)
		for asked := w.now; response == nil && n.starts == starts && w.now-asked < 10*time.Second; {
			select {
			case response = <-pending.response:
			default:
				w.step()
			}
		}
		if response.GetOutcome() == wire.OutcomeDone {
			break
		}
		w.step()
	}
	w.acked = next
}

// caughtUp tells whether a member has applied what was acknowledged.
func (w *catchUpWorld) caughtUp(n *catchUpNode) bool { return w.well(n) && n.version >= w.acked }
