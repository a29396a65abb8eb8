package consensus

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/wire"
)

// testGroup runs the cores of a group and delivers their messages in the order that a test asks for. The output of
// a core counts as persisted when collect takes it. After every step it checks that a term has at most one leader and that all
// members commit the same entries.
type testGroup struct {
	t            testing.TB
	cores        map[string]*Core
	inFlight     []*wire.Message
	leaderOfTerm map[uint64]string
	committed    []string            // element i describes the entry committed at index i+1; empty: none yet
	applied      map[string][]string // by member: the commands that it has applied, in the order of the log
}

func newTestCore(snapshot *wire.Snapshot, seed uint64) *Core {
	return New(Config{Self: snapshot.HardState.Incarnation, DynamicMembership: true, HeartbeatTicks: 2, ElectionTicks: 10, MaxBatchBytes: 1 << 16, Rand: rand.New(rand.NewPCG(1, seed))}, snapshot, nil)
}

// newTestGroup returns a group with the given initial voters, and further processes with empty disks that can
// join it as learners. Names are separated by spaces.
func newTestGroup(t testing.TB, voters, learners string) *testGroup {
	group := &testGroup{t: t, cores: map[string]*Core{}, leaderOfTerm: map[uint64]string{}, applied: map[string][]string{}}
	members := strings.Fields(voters)
	for i, name := range members {
		group.cores[name] = newTestCore(BootstrapSnapshot(name, members), uint64(i))
	}
	for i, name := range strings.Fields(learners) {
		group.cores[name] = newTestCore(LearnerSnapshot(name), uint64(i+10))
	}
	return group
}

// newFixedGroup returns the three fixed members of a shard, which can vote: none of them has to rejoin after a disk loss.
func newFixedGroup(t testing.TB) *testGroup {
	group := &testGroup{t: t, cores: map[string]*Core{}, leaderOfTerm: map[uint64]string{}, applied: map[string][]string{}}
	for i, name := range []string{"a", "b", "c"} {
		snapshot := BlankSnapshot(name + "/1")
		snapshot.HardState.DiskState = wire.DiskState_DISK_FOUNDED
		group.cores[name] = New(Config{Self: name, Members: []string{"a", "b", "c"}, HeartbeatTicks: 2, ElectionTicks: 10, MaxBatchBytes: 1 << 16, Rand: rand.New(rand.NewPCG(1, uint64(i)))}, snapshot, nil)
	}
	return group
}

// collect carries out the output of a member's core: it queues the messages and applies the committed entries. It fails
// the test if two members lead in one term, or commit different entries at one index.
func (g *testGroup) collect(name string) {
	core := g.cores[name]
	ready := core.Ready()
	g.inFlight = append(g.inFlight, ready.Messages...)
	if core.role == leader {
		if other, ok := g.leaderOfTerm[core.hardState.Term]; ok && other != name {
			g.t.Fatalf("term %d has two leaders: %s and %s", core.hardState.Term, other, name)
		}
		g.leaderOfTerm[core.hardState.Term] = name
	}
	for _, entry := range ready.CommittedEntries {
		g.checkCommitted(name, entry)
		if len(entry.Body) > 0 {
			g.applied[name] = append(g.applied[name], string(entry.Body))
		}
	}
}

// checkCommitted fails the test if a member commits another entry than one that was committed at the same index before.
func (g *testGroup) checkCommitted(name string, entry *wire.Entry) {
	description := fmt.Sprintf("entry of term %d with body %q and members %v", entry.Term, entry.Body, entry.Members)
	for uint64(len(g.committed)) < entry.Index {
		g.committed = append(g.committed, "")
	}
	if earlier := g.committed[entry.Index-1]; earlier != "" && earlier != description {
		g.t.Fatalf("index %d: %s was committed there before, but member %s commits %s", entry.Index, earlier, name, description)
	}
	g.committed[entry.Index-1] = description
}

// drop removes the message at a position in inFlight, and returns it.
func (g *testGroup) drop(i int) *wire.Message {
	message := g.inFlight[i]
	g.inFlight = append(append([]*wire.Message(nil), g.inFlight[:i]...), g.inFlight[i+1:]...)
	return message
}

// deliver delivers the message at a position in inFlight. A message to a member that doesn't exist is lost.
func (g *testGroup) deliver(i int) {
	message := g.drop(i)
	if core := g.cores[message.To]; core != nil {
		core.Step(proto.Clone(message).(*wire.Message))
		g.collect(message.To)
	}
}

// deliverMatching delivers the messages in flight for which matches is true, and those sent in response if it is true
// for them too.
func (g *testGroup) deliverMatching(matches func(*wire.Message) bool) {
	for i := 0; i < len(g.inFlight); {
		if matches(g.inFlight[i]) {
			g.deliver(i)
		} else {
			i++
		}
	}
}

// deliverAll delivers up to 2000 messages, until none is in flight. Messages to and from the members that are down are
// lost.
func (g *testGroup) deliverAll(down ...string) {
	for n := 0; len(g.inFlight) > 0 && n < 2000; n++ {
		if message := g.inFlight[0]; slices.Contains(down, message.To) || slices.Contains(down, message.From) {
			g.drop(0)
			continue
		}
		g.deliver(0)
	}
}

// tick advances the members that aren't down by a number of ticks, and delivers all messages after each tick.
func (g *testGroup) tick(ticks int, down ...string) {
	for range ticks {
		for _, name := range slices.Sorted(maps.Keys(g.cores)) {
			if !slices.Contains(down, name) {
				g.cores[name].Tick()
				g.collect(name)
			}
		}
		g.deliverAll(down...)
	}
}

func (g *testGroup) campaign(name string) {
	g.cores[name].campaign(candidate)
	g.collect(name)
}

// elect makes a member campaign, and delivers all messages that result, so that it becomes the leader.
func (g *testGroup) elect(name string) {
	g.campaign(name)
	g.deliverAll()
}

func (g *testGroup) addLearner(leader, name string) {
	g.cores[leader].AddLearner(name)
	g.collect(leader)
}

func (g *testGroup) proposeMembership(leader, members string) bool {
	_, _, ok := g.cores[leader].ProposeMembership(strings.Fields(members))
	g.collect(leader)
	return ok
}

func (g *testGroup) propose(leader, body string) bool {
	_, _, ok := g.cores[leader].Propose([]byte(body))
	g.collect(leader)
	return ok
}

// members returns the names of the newest voters in a member's log, separated by spaces.
func (g *testGroup) members(name string) string {
	names, _, _ := g.cores[name].Members()
	return strings.Join(names, " ")
}

// peerStatus returns the status of a peer as reported by the leader; an empty status if the leader reports none.
func (g *testGroup) peerStatus(leader, name string) PeerStatus {
	for _, status := range g.cores[leader].PeerStatuses() {
		if status.Name == name {
			return status
		}
	}
	return PeerStatus{}
}

func isVoteMessage(message *wire.Message) bool {
	return message.Kind == wire.MessageKind_VOTE_REQUEST || message.Kind == wire.MessageKind_VOTE_RESPONSE
}
