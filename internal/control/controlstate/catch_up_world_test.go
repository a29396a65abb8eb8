package controlstate

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/wire"
)

// catchUpWorld runs the real members (consensus core, state, storage, membership planner) of one group on
// virtual time, over links of a bandwidth. It is for large configurations: messages aren't cloned.
type catchUpWorld struct {
	t              testing.TB
	random         *rand.Rand
	now            time.Duration
	nodes          []*catchUpNode
	seeds          []string
	queued         []catchUpMessage
	sentMessages   int
	links          map[string]*simLink // from>to
	bytesPerSecond int                 // of a link
	isolated       map[string]bool     // addresses
	ackedVersion   uint64              // acknowledged last
	bodies         map[uint64][]byte   // by version, for as long as it may be read
	termLeaders    map[uint64]string   // by term
	tailBytes      int
}

// catchUpNode is one machine.
type catchUpNode struct {
	addr          string
	disk          *simDisk
	shard         *shard // nil: down
	clock         *clock.Manual
	starts        int
	nextTick      time.Duration
	nextJoin      time.Duration
	version       uint64 // that it has applied since its start
	isRemoved     bool   // for good
	receivedBytes int    // bytes of large messages
}

// Virtual time passes in steps; ticks are those of the default heal bound.
const (
	catchUpStep = 5 * time.Millisecond
	catchUpTick = 100 * time.Millisecond // groupTick of the heal bound
	catchUpHeal = 12 * time.Second
	linkDelay   = 2 * time.Millisecond
)

// newCatchUpWorld founds a group; rate is the bandwidth of its links in bytes a second.
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

// start starts a machine from its disk.
func (w *catchUpWorld) start(node *catchUpNode, firstStart bool) {
	node.starts++
	starts := node.starts
	node.disk.powerBudget = -1
	replica := newShard(context.Background(), 0, node.clock, hclog.NewNullLogger(), func(message *wire.Message) {
		if node.starts == starts {
			w.send(message)
		}
	})
	config := newTestGroup(node.disk, rand.New(rand.NewPCG(w.random.Uint64(), 9)), func(lost bool) *wire.Snapshot {
		return initialGroupSnapshot(firstStart && !lost, node.addr, w.seeds, w.random.Uint64)
	})
	config.codec = textPlanCodec{}
	config.reopenTicks = int(reopenIntervalRatio / groupTick)
	config.consensusConfig.MaxBatchBytes = 256 << 10
	config.consensusConfig.TrailingLogBytes = w.tailBytes
	openGroupShard(replica, config)
	node.shard, node.nextTick, node.version = replica, w.now, 0
}

// kill ends a process, in the middle of a write where torn.
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

// wipe ends a process and empties its disk.
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

// isHealthy reports whether a machine runs and its shard has not failed.
func (w *catchUpWorld) isHealthy(node *catchUpNode) bool {
	return node != nil && node.shard != nil && node.shard.failure == nil
}

// step moves virtual time on, delivers what is due and ticks the members.
func (w *catchUpWorld) step() {
	w.now += catchUpStep
	for _, node := range w.nodes {
		node.clock.Time += catchUpStep
	}
	w.deliver()
	for _, node := range w.nodes {
		w.tick(node)
	}
}

// tick ticks a member once a catchUpTick; one that isn't a member of the group requests to join.
func (w *catchUpWorld) tick(node *catchUpNode) {
	if node.shard == nil || w.now < node.nextTick {
		return
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

// runStep lets a member act on its input, and checks the invariants: state never goes back to an older one, a
// version has one content, a term has one leader, and no leader has older state than was acknowledged.
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
	if leader := w.termLeaders[status.Term]; leader != "" && leader != node.shard.core.Self() {
		w.t.Fatalf("one leader a term: %d has %s and %s", status.Term, leader, node.shard.core.Self())
	}
	w.termLeaders[status.Term] = node.shard.core.Self()
	if node.shard.core.HasAppliedCurrentTerm() && status.Term >= w.highestTerm() && node.version < w.ackedVersion {
		w.t.Fatalf("never leads with old state: %s leads term %d with version %d, %d was acknowledged", node.addr, status.Term, node.version, w.ackedVersion)
	}
}

// highestTerm is the highest one that had a leader.
func (w *catchUpWorld) highestTerm() (highest uint64) {
	for term := range w.termLeaders {
		highest = max(highest, term)
	}
	return highest
}

// join requests to join from a random machine, then from the leader that it names.
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

// leader is the leader of the highest term that has applied an entry of its term; nil: there is none.
func (w *catchUpWorld) leader() *catchUpNode {
	var leader *catchUpNode
	for _, node := range w.nodes {
		if !w.isHealthy(node) || w.isolated[node.addr] || !node.shard.core.HasAppliedCurrentTerm() {
			continue
		}
		if leader == nil || node.shard.core.Status().Term > leader.shard.core.Status().Term {
			leader = node
		}
	}
	return leader
}

// advance lets time pass.
func (w *catchUpWorld) advance(duration time.Duration) {
	for end := w.now + duration; w.now < end; {
		w.step()
	}
}

// waitUntil lets time pass until a condition holds, and fails the test when it doesn't hold in time. It
// returns how long that took.
func (w *catchUpWorld) waitUntil(what string, within time.Duration, holds func() bool) time.Duration {
	w.t.Helper()
	begun := w.now
	for !holds() {
		if w.step(); w.now-begun > within {
			w.logStatus()
			w.t.Fatalf("%s: not within %v", what, within)
		}
	}
	return w.now - begun
}

// logStatus logs the status of all members.
func (w *catchUpWorld) logStatus() {
	for _, node := range w.nodes {
		if node.shard != nil {
			members, _, _ := node.shard.core.Members()
			w.t.Logf("%s: %+v members %v version %d failure %v", node.addr, node.shard.core.Status(), members, node.version, node.shard.failure)
		}
	}
}

// change has an operator put the next version until it is acknowledged, within a bound.
func (w *catchUpWorld) change(routes int, within time.Duration) {
	w.t.Helper()
	next := w.ackedVersion + 1
	plan := planText(next, routes)
	w.bodies[next] = plan
	delete(w.bodies, next-8)
	for begun := w.now; ; {
		if w.now-begun > within {
			w.logStatus()
			w.t.Fatalf("version %d: not acknowledged within %v", next, within)
		}
		node := w.leader()
		if node == nil {
			w.step()
			continue
		}
		if node.version >= next { // an earlier attempt was applied
			break
		}
		if w.put(node, plan).GetOutcome() == wire.OutcomeDone {
			break
		}
		w.step()
	}
	w.ackedVersion = next
}

// put proposes a change to a node, and waits for its answer; nil: none came in time.
func (w *catchUpWorld) put(node *catchUpNode, plan []byte) *wire.ChangeResponse {
	starts := node.starts
	put := &wire.Put{Key: routingconfig.DocumentKey, Body: plan, IfVersion: w.ackedVersion}
	pending, response := node.shard.propose(putRequest(put), nil)
	w.runStep(node)
	for begun := w.now; response == nil && node.starts == starts && w.now-begun < answerTimeout; {
		select {
		case response = <-pending.response:
		default:
			w.step()
		}
	}
	return response
}

// hasCaughtUp reports whether a member has applied what was acknowledged.
func (w *catchUpWorld) hasCaughtUp(node *catchUpNode) bool {
	return w.isHealthy(node) && node.version >= w.ackedVersion
}
