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
	t              testing.TB
	random         *rand.Rand
	now            time.Duration
	nodes          []*catchUpNode
	seeds          []string
	queued         []catchUpMessage
	sentMessages   int
	links          map[string]*simLink // from>to
	bytesPerSecond int                 // bytes a second of a link
	isolated       map[string]bool     // addresses that are cut off
	ackedVersion   uint64              // version that was acknowledged last
	bodies         map[uint64][]byte   // of each version, for as long as it may be seen
	termLeaders    map[uint64]string   // who led which term
	tailBytes      int
}

type catchUpNode struct {
	addr          string
	disk          *simDisk
	shard         *shard // nil: down
	clock         *clock.Manual
	starts        int
	nextTick      time.Duration // its next tick
	nextJoin      time.Duration
	version       uint64 // what it has applied since it was started
	isRemoved     bool   // for good
	receivedBytes int    // bytes of large messages
}

type catchUpMessage struct {
	deliverAt      time.Duration
	sequence       int
	receiverStarts int // of the receiver when it was sent
	message        *wire.Message
	isLost         bool // its sender hears that it didn't arrive
	link           *simLink
}

// simLink carries large messages one after another, as the transport sends them.
type simLink struct {
	freeAt         time.Duration
	queuedMessages int
}

func largeMessageTimeout(size int) time.Duration {
	return time.Duration(float64(catchUpHeal) * (sendTimeoutRatio + megabyteTimeoutRatio*float64(size)/(1<<20)))
}

const (
	catchUpStep = 5 * time.Millisecond
	catchUpTick = 100 * time.Millisecond // of a heal bound of 12 s
	catchUpHeal = 12 * time.Second
	linkDelay   = 2 * time.Millisecond
)

// textPlanCodec reads the version from the front of a configuration and keeps the rest as it is.
type textPlanCodec struct{}

func planVersion(b []byte) (uint64, error) {
	rest, ok := bytes.CutPrefix(b, []byte(`{"version":`))
	end := bytes.IndexByte(rest, ',')
	if !ok || end < 0 {
		return 0, errs.New(errs.BadInput, "no version")
	}
	return strconv.ParseUint(string(rest[:end]), 10, 64)
}

func (textPlanCodec) Read(b []byte) (*routingconfig.Plan, error) {
	v, err := planVersion(b)
	return &routingconfig.Plan{Version: v}, err
}

func (textPlanCodec) Merge(_, sent []byte, _ bool) ([]byte, uint64, error) {
	v, err := planVersion(sent)
	return sent, v, err
}

// planText is a configuration of so many routes, about 300 bytes each; the hosts differ from version to
// version, so that two don't pass for one another.
func planText(version uint64, routes int) []byte {
	b := fmt.Appendf(nil, `{"version":%d,"routes":[`, version)
	for i := range routes {
		b = fmt.Appendf(b, `{"name":"route-%d-%d","host":"h%d.tenant-%d.example","prefix":"/v1/%d","kind":"once","timeout":%d,"priority":%d,"split":[{"service":"service-%d","weight":90},{"service":"service-%d-canary","weight":10}],"attempts":3,"public":true,"session":%v,"comment":"%0100d"},`,
			i, version, i%97, i%31, i, 1000+i, i%4, i%120, i%120, i%2 == 0, version)
	}
	return append(b[:len(b)-1], "]}"...)
}

func newCatchUpWorld(t testing.TB, seed uint64, machines, rate int) *catchUpWorld {
	w := &catchUpWorld{t: t, random: rand.New(rand.NewPCG(seed, 8)), links: map[string]*simLink{}, bytesPerSecond: rate, isolated: map[string]bool{},
		bodies: map[uint64][]byte{}, termLeaders: map[uint64]string{}, tailBytes: tailBytes}
	for range machines {
		n := w.addNode()
		if len(w.seeds) < 3 {
			w.seeds = append(w.seeds, n.addr)
		}
	}
	for _, n := range w.nodes {
		w.start(n, true)
	}
	w.waitUntil("a leader", 10*time.Second, func() bool { return w.leader() != nil })
	return w
}

func (w *catchUpWorld) addNode() *catchUpNode {
	n := &catchUpNode{addr: fmt.Sprintf("10.0.0.%d:7360", len(w.nodes)+1), disk: newSimDisk(), clock: &clock.Manual{}}
	w.nodes = append(w.nodes, n)
	return n
}

func (w *catchUpWorld) start(n *catchUpNode, first bool) {
	n.starts++
	starts := n.starts
	n.disk.powerBudget = -1
	p := newShard(context.Background(), 0, n.clock, hclog.NewNullLogger(), func(m *wire.Message) {
		if n.starts == starts {
			w.send(m)
		}
	})
	openGroup(p, &group{codec: textPlanCodec{}, disk: n.disk, targetSize: 3, reopenTicks: int(reopenIntervalRatio / groupTick), zoneOf: func(string) string { return "" },
		consensusConfig: consensus.Config{HeartbeatTicks: heartbeatTicks, ElectionTicks: electionTicks, MaxBatchBytes: 256 << 10, TrailingLogBytes: w.tailBytes,
			Rand: rand.New(rand.NewPCG(w.random.Uint64(), 9))},
		initialSnapshot: func() *wire.Snapshot { return initialGroupSnapshot(first, n.addr, w.seeds, w.random.Uint64) }})
	n.shard, n.nextTick, n.version = p, w.now, 0
}

// kill ends a process; in the middle of a write where torn says so.
func (w *catchUpWorld) kill(n *catchUpNode, torn bool) {
	if torn && n.shard != nil {
		n.disk.powerBudget = w.random.IntN(1 << 20)
		for range 200 {
			if w.step(); n.shard == nil || n.shard.failure != nil {
				break
			}
		}
	}
	n.shard, n.starts = nil, n.starts+1
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

func (w *catchUpWorld) isHealthy(n *catchUpNode) bool {
	return n != nil && n.shard != nil && n.shard.failure == nil
}

func (w *catchUpWorld) send(m *wire.Message) {
	from, to := controlclient.MemberAddr(m.From), controlclient.MemberAddr(m.To)
	receiver := w.node(to)
	if receiver == nil || w.isolated[from] || w.isolated[to] {
		return
	}
	q := catchUpMessage{deliverAt: w.now + linkDelay, receiverStarts: receiver.starts, message: m}
	if size := payloadBytes(m); len(m.GetChunk().GetData()) > 0 || size >= largeMessageBytes {
		l := w.links[from+">"+to]
		if l == nil {
			l = &simLink{}
			w.links[from+">"+to] = l
		}
		if l.queuedMessages > maxQueuedLarge {
			return // the queue is full, one beside it is being sent
		}
		takes := time.Duration(float64(size) / float64(w.bytesPerSecond) * float64(time.Second))
		receiver.receivedBytes += size
		l.queuedMessages++
		l.freeAt = max(l.freeAt, w.now) + min(takes, largeMessageTimeout(size))
		q.deliverAt, q.isLost, q.link = l.freeAt+linkDelay, takes > largeMessageTimeout(size), l
	}
	w.sentMessages++
	q.sequence = w.sentMessages
	w.queued = append(w.queued, q)
}

func (w *catchUpWorld) step() {
	w.now += catchUpStep
	for _, n := range w.nodes {
		n.clock.Time += catchUpStep
	}
	sort.SliceStable(w.queued, func(i, j int) bool { return w.queued[i].deliverAt < w.queued[j].deliverAt })
	due := w.queued
	w.queued = nil
	for i, q := range due {
		if q.deliverAt > w.now {
			w.queued = append(w.queued, due[i:]...)
			break
		}
		from, n := w.node(controlclient.MemberAddr(q.message.From)), w.node(controlclient.MemberAddr(q.message.To))
		if q.link != nil {
			q.link.queuedMessages--
		}
		if q.isLost || n.shard == nil || n.starts != q.receiverStarts || w.isolated[n.addr] || w.isolated[from.addr] {
			if q.link != nil && w.isHealthy(from) {
				from.shard.core.ReportSendFailure(q.message)
			}
		} else if w.isHealthy(n) {
			n.shard.core.Step(q.message)
			w.runStep(n)
		}
	}
	for _, n := range w.nodes {
		if n.shard == nil || w.now < n.nextTick {
			continue
		}
		n.nextTick = w.now + catchUpTick
		if n.shard.failure == nil {
			n.shard.core.Tick()
		}
		n.shard.tickGroup()
		w.runStep(n)
		if w.isHealthy(n) && w.now >= n.nextJoin && n.shard.needsJoin() {
			n.nextJoin = w.now + 800*time.Millisecond
			w.join(n)
		}
	}
}

// runStep lets a member act on what it was given, and checks what holds at any time.
func (w *catchUpWorld) runStep(n *catchUpNode) {
	before := n.shard.core.Status()
	n.shard.handleReady()
	if n.shard.failure != nil {
		return
	}
	s := n.shard.core.Status()
	if s.Applied < before.Applied {
		w.t.Fatalf("old snapshot never installed over newer state: %s went from %d to %d", n.addr, before.Applied, s.Applied)
	}
	d := n.shard.state.documents[routingconfig.DocumentKey]
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
	if who := w.termLeaders[s.Term]; who != "" && who != n.shard.core.Self() {
		w.t.Fatalf("one leader a term: %d has %s and %s", s.Term, who, n.shard.core.Self())
	}
	w.termLeaders[s.Term] = n.shard.core.Self()
	if n.shard.core.HasAppliedCurrentTerm() && s.Term >= w.highestTerm() && n.version < w.ackedVersion {
		w.t.Fatalf("never leads with old state: %s leads term %d with version %d, %d was acknowledged", n.addr, s.Term, n.version, w.ackedVersion)
	}
}

func (w *catchUpWorld) highestTerm() (highest uint64) {
	for term := range w.termLeaders {
		highest = max(highest, term)
	}
	return highest
}

func (w *catchUpWorld) join(n *catchUpNode) {
	m := w.nodes[w.random.IntN(len(w.nodes))]
	for m.isRemoved {
		m = w.nodes[w.random.IntN(len(w.nodes))]
	}
	for range 2 {
		if m == nil || m == n || !w.isHealthy(m) || w.isolated[m.addr] || w.isolated[n.addr] {
			return
		}
		response := m.shard.handleJoin(&wire.JoinRequest{Name: n.shard.core.Self()})
		if w.runStep(m); response.Outcome == wire.OutcomeDone {
			return
		}
		m = w.node(controlclient.MemberAddr(response.Leader))
	}
}

func (w *catchUpWorld) leader() *catchUpNode {
	var found *catchUpNode
	for _, n := range w.nodes {
		if w.isHealthy(n) && !w.isolated[n.addr] && n.shard.core.HasAppliedCurrentTerm() && (found == nil || n.shard.core.Status().Term > found.shard.core.Status().Term) {
			found = n
		}
	}
	return found
}

func (w *catchUpWorld) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step()
	}
}

func (w *catchUpWorld) waitUntil(what string, within time.Duration, done func() bool) time.Duration {
	w.t.Helper()
	begin := w.now
	for !done() {
		if w.step(); w.now-begin > within {
			w.logStatus()
			w.t.Fatalf("%s: not within %v", what, within)
		}
	}
	return w.now - begin
}

func (w *catchUpWorld) logStatus() {
	for _, n := range w.nodes {
		if n.shard != nil {
			members, _, _ := n.shard.core.Members()
			w.t.Logf("%s: %+v members %v version %d failure %v", n.addr, n.shard.core.Status(), members, n.version, n.shard.failure)
		}
	}
}

// change has an operator bring the next version, again and again until it is acknowledged.
func (w *catchUpWorld) change(routes int, within time.Duration) {
	w.t.Helper()
	next := w.ackedVersion + 1
	sent := planText(next, routes)
	w.bodies[next] = sent
	delete(w.bodies, next-8)
	for begin := w.now; ; {
		if w.now-begin > within {
			w.logStatus()
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
		pending, response := n.shard.propose(&wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: &wire.Put{Key: routingconfig.DocumentKey, Body: sent, IfVersion: w.ackedVersion}}}}, nil)
		w.runStep(n)
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
	w.ackedVersion = next
}

// caughtUp tells whether a member has applied what was acknowledged.
func (w *catchUpWorld) caughtUp(n *catchUpNode) bool {
	return w.isHealthy(n) && n.version >= w.ackedVersion
}
