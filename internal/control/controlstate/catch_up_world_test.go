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
	version, err := planVersion(b)
	return &routingconfig.Plan{Version: version}, err
}

func (textPlanCodec) Merge(_, sent []byte, _ bool) ([]byte, uint64, error) {
	version, err := planVersion(sent)
	return sent, version, err
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
		bodies: map[uint64][]byte{}, termLeaders: map[uint64]string{}, tailBytes: trailingLogBytes}
	for range machines {
		node := w.addNode()
		if len(w.seeds) < 3 {
			w.seeds = append(w.seeds, node.addr)
		}
	}
	for _, node := range w.nodes {
		w.start(node, true)
	}
	w.waitUntil("a leader", 10*time.Second, func() bool { return w.leader() != nil })
	return w
}

func (w *catchUpWorld) addNode() *catchUpNode {
	node := &catchUpNode{addr: fmt.Sprintf("10.0.0.%d:7360", len(w.nodes)+1), disk: newSimDisk(), clock: &clock.Manual{}}
	w.nodes = append(w.nodes, node)
	return node
}

func (w *catchUpWorld) start(node *catchUpNode, first bool) {
	node.starts++
	starts := node.starts
	node.disk.powerBudget = -1
	replica := newShard(context.Background(), 0, node.clock, hclog.NewNullLogger(), func(message *wire.Message) {
		if node.starts == starts {
			w.send(message)
		}
	})
	config := newTestGroup(node.disk, rand.New(rand.NewPCG(w.random.Uint64(), 9)), func() *wire.Snapshot {
		return initialGroupSnapshot(first, node.addr, w.seeds, w.random.Uint64)
	})
	config.codec = textPlanCodec{}
	config.reopenTicks = int(reopenIntervalRatio / groupTick)
	config.consensusConfig.MaxBatchBytes = 256 << 10
	config.consensusConfig.TrailingLogBytes = w.tailBytes
	openGroupShard(replica, config)
	node.shard, node.nextTick, node.version = replica, w.now, 0
}

// kill ends a process; in the middle of a write where torn says so.
func (w *catchUpWorld) kill(node *catchUpNode, torn bool) {
	if torn && node.shard != nil {
		node.disk.powerBudget = w.random.IntN(1 << 20)
		for range 200 {
			if w.step(); node.shard == nil || node.shard.failure != nil {
				break
			}
		}
	}
	node.shard, node.starts = nil, node.starts+1
}

func (w *catchUpWorld) wipe(node *catchUpNode) {
	w.kill(node, false)
	node.disk = newSimDisk()
}

func (w *catchUpWorld) node(addr string) *catchUpNode {
	for _, node := range w.nodes {
		if node.addr == addr {
			return node
		}
	}
	return nil
}

func (w *catchUpWorld) isHealthy(node *catchUpNode) bool {
	return node != nil && node.shard != nil && node.shard.failure == nil
}

func (w *catchUpWorld) send(message *wire.Message) {
	from, to := controlclient.MemberAddr(message.From), controlclient.MemberAddr(message.To)
	receiver := w.node(to)
	if receiver == nil || w.isolated[from] || w.isolated[to] {
		return
	}
	queued := catchUpMessage{deliverAt: w.now + linkDelay, receiverStarts: receiver.starts, message: message}
	if size := payloadBytes(message); len(message.GetChunk().GetData()) > 0 || size >= largeMessageBytes {
		link := w.links[from+">"+to]
		if link == nil {
			link = &simLink{}
			w.links[from+">"+to] = link
		}
		if link.queuedMessages > maxQueuedLarge {
			return // the queue is full, one beside it is being sent
		}
		takes := time.Duration(float64(size) / float64(w.bytesPerSecond) * float64(time.Second))
		receiver.receivedBytes += size
		link.queuedMessages++
		link.freeAt = max(link.freeAt, w.now) + min(takes, largeMessageTimeout(size))
		queued.deliverAt, queued.isLost, queued.link = link.freeAt+linkDelay, takes > largeMessageTimeout(size), link
	}
	w.sentMessages++
	queued.sequence = w.sentMessages
	w.queued = append(w.queued, queued)
}

func (w *catchUpWorld) step() {
	w.now += catchUpStep
	for _, node := range w.nodes {
		node.clock.Time += catchUpStep
	}
	sort.SliceStable(w.queued, func(i, j int) bool { return w.queued[i].deliverAt < w.queued[j].deliverAt })
	due := w.queued
	w.queued = nil
	for i, queued := range due {
		if queued.deliverAt > w.now {
			w.queued = append(w.queued, due[i:]...)
			break
		}
		from, node := w.node(controlclient.MemberAddr(queued.message.From)), w.node(controlclient.MemberAddr(queued.message.To))
		if queued.link != nil {
			queued.link.queuedMessages--
		}
		if queued.isLost || node.shard == nil || node.starts != queued.receiverStarts || w.isolated[node.addr] || w.isolated[from.addr] {
			if queued.link != nil && w.isHealthy(from) {
				from.shard.core.ReportSendFailure(queued.message)
			}
		} else if w.isHealthy(node) {
			node.shard.core.Step(queued.message)
			w.runStep(node)
		}
	}
	for _, node := range w.nodes {
		if node.shard == nil || w.now < node.nextTick {
			continue
		}
		node.nextTick = w.now + catchUpTick
		if node.shard.failure == nil {
			node.shard.core.Tick()
		}
		node.shard.maintainGroup()
		w.runStep(node)
		if w.isHealthy(node) && w.now >= node.nextJoin && node.shard.needsJoin() {
			node.nextJoin = w.now + 800*time.Millisecond
			w.join(node)
		}
	}
}

// runStep lets a member act on what it was given, and checks what holds at any time.
func (w *catchUpWorld) runStep(node *catchUpNode) {
	before := node.shard.core.Status()
	node.shard.handleReady()
	if node.shard.failure != nil {
		return
	}
	status := node.shard.core.Status()
	if status.Applied < before.Applied {
		w.t.Fatalf("old snapshot never installed over newer state: %s went from %d to %d", node.addr, before.Applied, status.Applied)
	}
	document := node.shard.state.documents[routingconfig.DocumentKey]
	if document.GetVersion() < node.version {
		w.t.Fatalf("old snapshot never installed over newer state: %s went from version %d to %d", node.addr, node.version, document.GetVersion())
	}
	if document.GetVersion() > node.version {
		if want := w.bodies[document.Version]; want != nil && !bytes.Equal(want, document.Body) {
			w.t.Fatalf("%s holds another body under version %d", node.addr, document.Version)
		}
	}
	node.version = document.GetVersion()
	if !status.IsLeader {
		return
	}
	if who := w.termLeaders[status.Term]; who != "" && who != node.shard.core.Self() {
		w.t.Fatalf("one leader a term: %d has %s and %s", status.Term, who, node.shard.core.Self())
	}
	w.termLeaders[status.Term] = node.shard.core.Self()
	if node.shard.core.HasAppliedCurrentTerm() && status.Term >= w.highestTerm() && node.version < w.ackedVersion {
		w.t.Fatalf("never leads with old state: %s leads term %d with version %d, %d was acknowledged", node.addr, status.Term, node.version, w.ackedVersion)
	}
}

func (w *catchUpWorld) highestTerm() (highest uint64) {
	for term := range w.termLeaders {
		highest = max(highest, term)
	}
	return highest
}

func (w *catchUpWorld) join(node *catchUpNode) {
	peer := w.nodes[w.random.IntN(len(w.nodes))]
	for peer.isRemoved {
		peer = w.nodes[w.random.IntN(len(w.nodes))]
	}
	for range 2 {
		if peer == nil || peer == node || !w.isHealthy(peer) || w.isolated[peer.addr] || w.isolated[node.addr] {
			return
		}
		response := peer.shard.handleJoin(&wire.JoinRequest{Name: node.shard.core.Self()})
		if w.runStep(peer); response.Outcome == wire.OutcomeDone {
			return
		}
		peer = w.node(controlclient.MemberAddr(response.Leader))
	}
}

func (w *catchUpWorld) leader() *catchUpNode {
	var found *catchUpNode
	for _, node := range w.nodes {
		if w.isHealthy(node) && !w.isolated[node.addr] && node.shard.core.HasAppliedCurrentTerm() && (found == nil || node.shard.core.Status().Term > found.shard.core.Status().Term) {
			found = node
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
	for _, node := range w.nodes {
		if node.shard != nil {
			members, _, _ := node.shard.core.Members()
			w.t.Logf("%s: %+v members %v version %d failure %v", node.addr, node.shard.core.Status(), members, node.version, node.shard.failure)
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
		node := w.leader()
		if node == nil {
			w.step()
			continue
		}
		if node.version >= next { // a copy sent before was taken
			break
		}
		starts := node.starts
		pending, response := node.shard.propose(&wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: &wire.Put{Key: routingconfig.DocumentKey, Body: sent, IfVersion: w.ackedVersion}}}}, nil)
		w.runStep(node)
		for asked := w.now; response == nil && node.starts == starts && w.now-asked < 10*time.Second; {
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
func (w *catchUpWorld) caughtUp(node *catchUpNode) bool {
	return w.isHealthy(node) && node.version >= w.ackedVersion
}
