package controlstate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/wire"
)

// scriptedCluster is a group of three real shards inside a synctest bubble. The test runs the shards' loops, message
// delivery and ticks step by step. Requests call shard.change on their own goroutines, and block until the test runs the
// steps that complete them. Each step checks the invariants that operators rely on.
type scriptedCluster struct {
	mu          sync.Mutex // guards the outcomes in changes, and newestAcked
	t           *testing.T
	ctx         context.Context // context of all requests that the test sends
	cancel      context.CancelFunc
	key         string // key of the document that all changes are made to
	members     []*scriptedMember
	inFlight    []*wire.Message
	isolated    *scriptedMember   // member that can neither send nor receive; nil if there is none
	bodies      map[uint64]string // applied body of each version of the document, by version
	newestAcked uint64            // highest acknowledged version of the document
	changes     []*testChange
	violations  []string
}

// scriptedMember is a member of a scriptedCluster, with the machine that it runs on.
type scriptedMember struct {
	addr           string
	disk           *simDisk
	shard          *shard
	stop           context.CancelFunc
	highestApplied uint64 // highest version of the document that the member has applied
}

// testChange is an operator's change, which may be sent several times, and its outcome.
type testChange struct {
	name                    string
	baseVersion, newVersion uint64
	acked, rejected         bool // whether some response acknowledged or rejected the change
	inForce                 bool // whether some member has applied the change
}

// newScriptedCluster starts three members, none of which is the leader yet.
func newScriptedCluster(t *testing.T, key string) *scriptedCluster {
	ctx, cancel := context.WithCancel(t.Context())
	c := &scriptedCluster{t: t, ctx: ctx, cancel: cancel, key: key, bodies: map[uint64]string{}}
	for i := range 3 {
		c.members = append(c.members, &scriptedMember{addr: fmt.Sprintf("m%d:1", i+1), disk: newSimDisk()})
	}
	for _, member := range c.members {
		c.start(member, true)
	}
	return c
}

// start starts a member, which recovers from its disk. firstStart says whether this is the first start of the site.
func (c *scriptedCluster) start(member *scriptedMember, firstStart bool) {
	ctx, stop := context.WithCancel(context.Background())
	member.stop = stop
	replica := newShard(ctx, 0, &clock.Manual{}, hclog.NewNullLogger(), func(message *wire.Message) {
		c.inFlight = append(c.inFlight, proto.Clone(message).(*wire.Message))
	})
	random := rand.New(rand.NewPCG(uint64(member.addr[1]), 1))
	openGroupShard(replica, newTestGroup(member.disk, random, func(lost bool) *wire.Snapshot {
		return initialGroupSnapshot(firstStart && !lost, member.addr, []string{"m1:1", "m2:1", "m3:1"}, func() uint64 { return 7 })
	}))
	member.shard = replica
}

// runMember runs the queued commands of a member and has it process its input, and checks the document that it has
// applied.
func (c *scriptedCluster) runMember(member *scriptedMember) {
	for {
		select {
		case command := <-member.shard.commands.Out():
			command()
			continue
		default:
		}
		break
	}
	member.shard.handleReady()
	doc := member.shard.state.documents[c.key]
	if doc.GetVersion() < member.highestApplied {
		c.violationf("applied document of member %s decreased from version %d to %d", member.addr, member.highestApplied, doc.GetVersion())
	}
	member.highestApplied = doc.GetVersion()
	if doc == nil {
		return
	}
	if other, ok := c.bodies[doc.Version]; ok && other != string(doc.Body) {
		c.violationf("document version %d has two different bodies: %s and %s", doc.Version, other, doc.Body)
	}
	c.bodies[doc.Version] = string(doc.Body)
	c.recordApplied(doc)
	c.checkInvariants()
}

// recordApplied records the changes that a member has applied.
func (c *scriptedCluster) recordApplied(doc *wire.Document) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range c.changes {
		change.inForce = change.inForce || string(doc.Body) == string(change.body())
	}
}

// body returns the routing configuration that the change sends.
func (c *testChange) body() []byte { return body(c.newVersion, c.name) }

// checkInvariants checks that the responses to all changes so far are consistent: no rejected change was applied or
// acknowledged, and at most one change with the same base version was acknowledged.
func (c *scriptedCluster) checkInvariants() {
	c.mu.Lock()
	defer c.mu.Unlock()
	byBase := map[uint64]string{}
	for _, change := range c.changes {
		if change.rejected && (change.acked || change.inForce) {
			c.violationf("change was rejected although it was acknowledged or applied: %+v", *change)
		}
		if !change.acked {
			continue
		}
		if other := byBase[change.baseVersion]; other != "" {
			c.violationf("changes %s and %s with the same base version %d were both acknowledged", other, change.name, change.baseVersion)
		}
		byBase[change.baseVersion] = change.name
	}
}

// violationf records a violation of an invariant, unless one with the same text is recorded already.
func (c *scriptedCluster) violationf(format string, args ...any) {
	if text := fmt.Sprintf(format, args...); !slices.Contains(c.violations, text) {
		c.violations = append(c.violations, text)
	}
}

// deliverOnce runs all members once and delivers the messages sent until then. It reports whether there may be more
// messages or commands to process.
func (c *scriptedCluster) deliverOnce() bool {
	synctest.Wait()
	for _, member := range c.members {
		c.runMember(member)
	}
	due := c.inFlight
	c.inFlight = nil
	for _, message := range due {
		from, receiver := c.member(message.From), c.member(message.To)
		if receiver != nil && from != c.isolated && receiver != c.isolated {
			receiver.shard.core.Step(message)
			c.runMember(receiver)
		}
	}
	synctest.Wait()
	return len(due) > 0 || len(c.inFlight) > 0 || slices.ContainsFunc(c.members, func(member *scriptedMember) bool { return member.shard.commands.Len() > 0 })
}

// deliverAll calls deliverOnce until no messages and commands are left.
func (c *scriptedCluster) deliverAll() {
	for range 200 {
		if !c.deliverOnce() {
			return
		}
	}
	c.t.Fatal("members still exchange messages or run commands after 200 rounds without a tick")
}

// member returns the member with an incarnation or address; nil if there is none.
func (c *scriptedCluster) member(name string) *scriptedMember {
	for _, member := range c.members {
		if member.addr == controlclient.MemberAddr(name) {
			return member
		}
	}
	return nil
}

// leader returns the non-isolated leader of the highest term; nil if there is none.
func (c *scriptedCluster) leader() (best *scriptedMember) {
	for _, member := range c.members {
		if status := member.shard.core.Status(); status.IsLeader && member != c.isolated && (best == nil || status.Term > best.shard.core.Status().Term) {
			best = member
		}
	}
	return best
}

// tick ticks all members except the isolated one.
func (c *scriptedCluster) tick() {
	for _, member := range c.members {
		if member != c.isolated {
			member.shard.core.Tick()
		}
	}
}

// awaitLeader ticks the members until a non-isolated leader has applied an entry of its term.
func (c *scriptedCluster) awaitLeader() {
	for range 10 * electionTicks {
		if leader := c.leader(); leader != nil && leader.shard.core.HasAppliedCurrentTerm() {
			return
		}
		c.tick()
		c.deliverAll()
	}
	c.t.Fatalf("no leader was elected within %d ticks", 10*electionTicks)
}

// heal ends the isolation, ticks the members for two heartbeat intervals, so that a deposed leader steps down, and waits
// for a leader.
func (c *scriptedCluster) heal() {
	c.isolated = nil
	for range 2 * heartbeatTicks {
		c.tick()
		c.deliverAll()
	}
	c.awaitLeader()
}

// changeLeader isolates the leader, if there is one, and has the others elect a new one with as few messages as possible,
// so that the new leader has not yet applied the entries that the old one replicated.
func (c *scriptedCluster) changeLeader() {
	old := c.leader()
	if old == nil {
		c.isolated = nil
		c.awaitLeader()
		return
	}
	c.isolated = old
	for range 10 * electionTicks {
		if c.leader() != nil {
			return
		}
		c.tick()
		c.deliverOnce()
	}
	c.t.Fatalf("no new leader was elected within %d ticks after the isolation of %s", 10*electionTicks, old.addr)
}

// restart compacts the logs of all members and restarts the members from their disks.
func (c *scriptedCluster) restart() {
	for _, member := range c.members {
		saved, err := member.shard.state.save()
		if err == nil && member.shard.core.Status().Applied > 0 {
			err = member.shard.store.SaveSnapshot(member.shard.core.Compact(saved))
		}
		if err != nil {
			c.t.Fatalf("compacting the log of member %s: %v", member.addr, err)
		}
		member.stop()
		c.start(member, false)
	}
	c.inFlight, c.isolated = nil, nil
	synctest.Wait()
	c.awaitLeader()
}

// send sends a change to a member. The response is recorded when it arrives, on another goroutine.
func (c *scriptedCluster) send(change *testChange, receiver *scriptedMember) {
	put := &wire.Put{Key: c.key, Body: change.body(), IfVersion: change.baseVersion, Token: change.name}
	request := putRequest(put)
	replica := receiver.shard // the member may be restarted before the goroutine runs
	go func() {
		response := replica.change(c.ctx, request)
		c.mu.Lock()
		defer c.mu.Unlock()
		switch {
		case response.Outcome == wire.OutcomeDone:
			change.acked = true
			c.newestAcked = max(c.newestAcked, response.Version)
		case isDecidedByState(response.Outcome):
			change.rejected = true
		}
	}()
}

// sendAndDeliver sends a change to a member and calls deliverAll.
func (c *scriptedCluster) sendAndDeliver(change *testChange, receiver *scriptedMember) {
	c.send(change, receiver)
	c.deliverAll()
}

// stopAll cancels all requests and stops the members.
func (c *scriptedCluster) stopAll() {
	c.cancel()
	for _, member := range c.members {
		member.stop()
	}
	synctest.Wait()
}
