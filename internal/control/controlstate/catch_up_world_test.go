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

// catchUpSim simulates one group in virtual time. The members are real shards (consensus core, state, storage and
// membership planner); the disks and the network, whose links have a limited bandwidth, are simulated. Messages are not
// cloned, so that large routing configurations can be simulated quickly.
type catchUpSim struct {
	t              testing.TB
	random         *rand.Rand
	now            time.Duration
	nodes          []*catchUpNode
	seeds          []string
	queued         []catchUpMessage
	sentMessages   int
	links          map[string]*simLink // links between machines; keys have the form "from>to", with the addresses of the two machines
	bytesPerSecond int                 // bandwidth of each link, in bytes per second
	isolated       map[string]bool     // addresses of isolated machines
	ackedVersion   uint64              // last acknowledged version of the routing configuration
	bodies         map[uint64][]byte   // bodies of the last eight routing configurations that were sent, by version
	termLeaders    map[uint64]string   // incarnation of the leader of each term, by term
	trailingBytes  int                 // compacted log entries that members keep for lagging peers, in bytes
}

// catchUpNode is a simulated control machine of a catchUpSim.
type catchUpNode struct {
	addr          string
	disk          *simDisk
	shard         *shard // the machine's member of the group; nil while the process is down
	clock         *clock.Manual
	starts        int // incremented at each start and stop, so that messages of an earlier process are recognized
	nextTick      time.Duration
	nextJoin      time.Duration // earliest virtual time at which the machine sends its next join request
	version       uint64        // version of the routing configuration that the current process has applied
	isRemoved     bool          // whether the machine was removed permanently
	receivedBytes int           // total payload of the large messages sent to this machine
}

// Timing of the simulation. Virtual time advances by catchUpStep; the other values follow from the default recovery time bound.
const (
	catchUpStep = 5 * time.Millisecond
	catchUpTick = 100 * time.Millisecond // interval between ticks of a member: the fraction groupTick of catchUpHeal
	catchUpHeal = 12 * time.Second       // recovery time bound (time to restore service after a fault) of the simulated site, which is the default
	linkDelay   = 2 * time.Millisecond   // latency of a message, in addition to its transmission time
)

// newCatchUpSim starts a group and waits for its first leader. The first three machines are the seeds; rate is the
// bandwidth of each link in bytes per second.
func newCatchUpSim(t testing.TB, seed uint64, machines, rate int) *catchUpSim {
	s := &catchUpSim{t: t, random: rand.New(rand.NewPCG(seed, 8)), links: map[string]*simLink{}, bytesPerSecond: rate, isolated: map[string]bool{},
		bodies: map[uint64][]byte{}, termLeaders: map[uint64]string{}, trailingBytes: trailingLogBytes}
	for range machines {
		node := s.addNode()
		if len(s.seeds) < 3 {
			s.seeds = append(s.seeds, node.addr)
		}
	}
	for _, node := range s.nodes {
		s.start(node, true)
	}
	s.waitUntil("the election of a leader", 10*time.Second, func() bool { return s.leader() != nil })
	return s
}

// addNode adds a machine with an empty disk, whose process is not running yet.
func (s *catchUpSim) addNode() *catchUpNode {
	node := &catchUpNode{addr: fmt.Sprintf("10.0.0.%d:7360", len(s.nodes)+1), disk: newSimDisk(), clock: &clock.Manual{}}
	s.nodes = append(s.nodes, node)
	return node
}

// start starts the process of a machine, which recovers from the disk. firstStart says whether this is the first start
// of the site.
func (s *catchUpSim) start(node *catchUpNode, firstStart bool) {
	node.starts++
	starts := node.starts
	node.disk.bytesUntilPowerLoss = -1
	replica := newShard(context.Background(), 0, node.clock, hclog.NewNullLogger(), func(message *wire.Message) {
		if node.starts == starts {
			s.send(message)
		}
	})
	config := newTestGroup(node.disk, rand.New(rand.NewPCG(s.random.Uint64(), 9)), func(lost bool) *wire.Snapshot {
		return initialGroupSnapshot(firstStart && !lost, node.addr, s.seeds, s.random.Uint64)
	})
	config.codec = textPlanCodec{}
	config.reopenTicks = int(reopenIntervalRatio / groupTick)
	config.consensusConfig.MaxBatchBytes = 256 << 10
	config.consensusConfig.TrailingLogBytes = s.trailingBytes
	openGroupShard(replica, config)
	node.shard, node.nextTick, node.version = replica, s.now, 0
}

// kill ends the process of a machine without a shutdown. If torn is set, it first waits for up to 200 steps until the
// process crashes in the middle of a write.
func (s *catchUpSim) kill(node *catchUpNode, torn bool) {
	if torn && node.shard != nil {
		node.disk.bytesUntilPowerLoss = s.random.IntN(1 << 20)
		for range 200 {
			if s.step(); node.shard == nil || node.shard.failure != nil {
				break
			}
		}
	}
	node.shard, node.starts = nil, node.starts+1
}

// wipe kills the process of a machine and replaces the disk by an empty one.
func (s *catchUpSim) wipe(node *catchUpNode) {
	s.kill(node, false)
	node.disk = newSimDisk()
}

// node returns the machine at an address; nil if there is none.
func (s *catchUpSim) node(addr string) *catchUpNode {
	for _, node := range s.nodes {
		if node.addr == addr {
			return node
		}
	}
	return nil
}

// isHealthy reports whether the process of a machine is running and its member has not failed.
func (s *catchUpSim) isHealthy(node *catchUpNode) bool {
	return node != nil && node.shard != nil && node.shard.failure == nil
}

// step advances virtual time by catchUpStep, delivers the messages that are due and ticks the members.
func (s *catchUpSim) step() {
	s.now += catchUpStep
	for _, node := range s.nodes {
		node.clock.Time += catchUpStep
	}
	s.deliver()
	for _, node := range s.nodes {
		s.tick(node)
	}
}

// tick ticks a member if catchUpTick has passed since its last tick. If no leader replicates to the member, it then sends
// a join request.
func (s *catchUpSim) tick(node *catchUpNode) {
	if node.shard == nil || s.now < node.nextTick {
		return
	}
	node.nextTick = s.now + catchUpTick
	if node.shard.failure == nil {
		node.shard.core.Tick()
	}
	node.shard.maintainGroup()
	s.runStep(node)
	if s.isHealthy(node) && s.now >= node.nextJoin && node.shard.needsJoin() {
		node.nextJoin = s.now + 800*time.Millisecond
		s.join(node)
	}
}

// runStep has a member process its input, and checks the invariants: the applied state never becomes older, all members
// hold the same body for a version, a term has at most one leader, and a leader that has applied an entry of the newest
// term holds every acknowledged change.
func (s *catchUpSim) runStep(node *catchUpNode) {
	before := node.shard.core.Status()
	node.shard.handleReady()
	if node.shard.failure != nil {
		return
	}
	status := node.shard.core.Status()
	if status.Applied < before.Applied {
		s.t.Fatalf("member %s replaced its state by an older one: applied index went from %d to %d", node.addr, before.Applied, status.Applied)
	}
	document := node.shard.state.documents[routingconfig.DocumentKey]
	if document.GetVersion() < node.version {
		s.t.Fatalf("member %s replaced its state by an older one: routing configuration went from version %d to version %d", node.addr, node.version, document.GetVersion())
	}
	if document.GetVersion() > node.version {
		if want := s.bodies[document.Version]; want != nil && !bytes.Equal(want, document.Body) {
			s.t.Fatalf("member %s holds a different body than the one sent for routing configuration version %d", node.addr, document.Version)
		}
	}
	node.version = document.GetVersion()
	if !status.IsLeader {
		return
	}
	if leader := s.termLeaders[status.Term]; leader != "" && leader != node.shard.core.Self() {
		s.t.Fatalf("term %d has two leaders: %s and %s", status.Term, leader, node.shard.core.Self())
	}
	s.termLeaders[status.Term] = node.shard.core.Self()
	if node.shard.core.HasAppliedCurrentTerm() && status.Term >= s.highestTerm() && node.version < s.ackedVersion {
		s.t.Fatalf("member %s leads term %d with routing configuration version %d, but version %d was acknowledged", node.addr, status.Term, node.version, s.ackedVersion)
	}
}

// highestTerm returns the highest term in which there was a leader.
func (s *catchUpSim) highestTerm() (highest uint64) {
	for term := range s.termLeaders {
		highest = max(highest, term)
	}
	return highest
}

// join sends a join request for a member to a random machine and, if that is not the leader, to the leader that it names.
func (s *catchUpSim) join(node *catchUpNode) {
	peer := s.nodes[s.random.IntN(len(s.nodes))]
	for peer.isRemoved {
		peer = s.nodes[s.random.IntN(len(s.nodes))]
	}
	for range 2 {
		if peer == nil || peer == node || !s.isHealthy(peer) || s.isolated[peer.addr] || s.isolated[node.addr] {
			return
		}
		response := peer.shard.handleJoin(&wire.JoinRequest{Name: node.shard.core.Self()})
		if s.runStep(peer); response.Outcome == wire.OutcomeDone {
			return
		}
		peer = s.node(controlclient.MemberAddr(response.Leader))
	}
}

// leader returns the healthy, non-isolated leader of the highest term that has applied an entry of its term; nil if there
// is none.
func (s *catchUpSim) leader() *catchUpNode {
	var leader *catchUpNode
	for _, node := range s.nodes {
		if !s.isHealthy(node) || s.isolated[node.addr] || !node.shard.core.HasAppliedCurrentTerm() {
			continue
		}
		if leader == nil || node.shard.core.Status().Term > leader.shard.core.Status().Term {
			leader = node
		}
	}
	return leader
}

// advance runs the simulation for a period of virtual time.
func (s *catchUpSim) advance(duration time.Duration) {
	for end := s.now + duration; s.now < end; {
		s.step()
	}
}

// waitUntil runs the simulation until a condition holds and returns the virtual time that this took. It fails the test on
// a time-out; condition describes what it waited for.
func (s *catchUpSim) waitUntil(condition string, within time.Duration, holds func() bool) time.Duration {
	s.t.Helper()
	startedAt := s.now
	for !holds() {
		if s.step(); s.now-startedAt > within {
			s.logStatus()
			s.t.Fatalf("timed out after %v waiting for: %s", within, condition)
		}
	}
	return s.now - startedAt
}

// logStatus writes the status of all running members to the test log.
func (s *catchUpSim) logStatus() {
	for _, node := range s.nodes {
		if node.shard != nil {
			members, _, _ := node.shard.core.Members()
			s.t.Logf("member %s: status %+v, members %v, routing configuration version %d, failure %v", node.addr, node.shard.core.Status(), members, node.version, node.shard.failure)
		}
	}
}

// change sends the next version of the routing configuration to the leader, repeatedly until the version is acknowledged
// or found applied. It fails the test on a time-out.
func (s *catchUpSim) change(routes int, within time.Duration) {
	s.t.Helper()
	next := s.ackedVersion + 1
	plan := planText(next, routes)
	s.bodies[next] = plan
	delete(s.bodies, next-8)
	for startedAt := s.now; ; {
		if s.now-startedAt > within {
			s.logStatus()
			s.t.Fatalf("routing configuration version %d was not acknowledged within %v", next, within)
		}
		node := s.leader()
		if node == nil {
			s.step()
			continue
		}
		if node.version >= next { // an earlier attempt without a response was applied
			break
		}
		if s.put(node, plan).GetOutcome() == wire.OutcomeDone {
			break
		}
		s.step()
	}
	s.ackedVersion = next
}

// put proposes a routing configuration to a node and waits for the response. It returns nil if the process ended first
// or responseTimeout passed.
func (s *catchUpSim) put(node *catchUpNode, plan []byte) *wire.ChangeResponse {
	starts := node.starts
	put := &wire.Put{Key: routingconfig.DocumentKey, Body: plan, IfVersion: s.ackedVersion}
	pending, response := node.shard.propose(putRequest(put), nil)
	s.runStep(node)
	for startedAt := s.now; response == nil && node.starts == starts && s.now-startedAt < responseTimeout; {
		select {
		case response = <-pending.response:
		default:
			s.step()
		}
	}
	return response
}

// hasCaughtUp reports whether a member is healthy and has applied the last acknowledged version.
func (s *catchUpSim) hasCaughtUp(node *catchUpNode) bool {
	return s.isHealthy(node) && node.version >= s.ackedVersion
}
