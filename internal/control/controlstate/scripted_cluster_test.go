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

// scriptedCluster is a group of three real shards whose loops, messages and ticks a test runs step by step,
// inside a synctest bubble. Requests run the shard's own change, and wait wherever the test leaves them.
// After each step it checks what operators may rely on.
type scriptedCluster struct {
	mu          sync.Mutex // guards the outcomes of changes, and newestAcked
	t           *testing.T
	ctx         context.Context // of requests
	cancel      context.CancelFunc
	key         string // of the document that changes are made of
	members     []*scriptedMember
	inFlight    []*wire.Message
	isolated    *scriptedMember // it neither receives nor reaches anything; nil: none
	bodies      map[uint64]string
	newestAcked uint64 // the highest acknowledged version
	changes     []*testChange
	violations  []string
}

// scriptedMember is one machine of a scriptedCluster.
type scriptedMember struct {
	addr           string
	disk           *simDisk
	shard          *shard
	stop           context.CancelFunc
	highestApplied uint64 // version
}

// testChange is an operator's change, which may be sent any number of times.
type testChange struct {
	name                    string
	baseVersion, newVersion uint64
	acked, rejected         bool
	inForce                 bool
}

// newScriptedCluster starts three members, none of which leads yet.
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

// start starts a member from its disk.
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

// runMember runs what is queued for a member, and checks what it has applied.
func (c *scriptedCluster) runMember(member *scriptedMember) {
	for {
		select {
		case f := <-member.shard.commands.Out():
			f()
			continue
		default:
		}
		break
	}
	member.shard.handleReady()
	doc := member.shard.state.documents[c.key]
	if doc.GetVersion() < member.highestApplied {
		c.violationf("versions never fall: %s goes from %d back to %d", member.addr, member.highestApplied, doc.GetVersion())
	}
	member.highestApplied = doc.GetVersion()
	if doc == nil {
		return
	}
	if other, ok := c.bodies[doc.Version]; ok && other != string(doc.Body) {
		c.violationf("one content a version: %d is %s and %s", doc.Version, other, doc.Body)
	}
	c.bodies[doc.Version] = string(doc.Body)
	c.recordApplied(doc)
	c.checkInvariants()
}

// recordApplied records which changes have come into force.
func (c *scriptedCluster) recordApplied(doc *wire.Document) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, change := range c.changes {
		change.inForce = change.inForce || string(doc.Body) == string(change.body())
	}
}

func (c *testChange) body() []byte { return body(c.newVersion, c.name) }

// checkInvariants checks all answers together; they must agree at any time.
func (c *scriptedCluster) checkInvariants() {
	c.mu.Lock()
	defer c.mu.Unlock()
	byBase := map[uint64]string{}
	for _, change := range c.changes {
		if change.rejected && (change.acked || change.inForce) {
			c.violationf("a rejected change never comes into force, and an acknowledged one is never rejected: %+v", *change)
		}
		if !change.acked {
			continue
		}
		if other := byBase[change.baseVersion]; other != "" {
			c.violationf("one acknowledged change a base: %s and %s on %d", other, change.name, change.baseVersion)
		}
		byBase[change.baseVersion] = change.name
	}
}

func (c *scriptedCluster) violationf(format string, args ...any) {
	if text := fmt.Sprintf(format, args...); !slices.Contains(c.violations, text) {
		c.violations = append(c.violations, text)
	}
}

// deliverOnce lets all members run, and delivers what was sent before. It reports whether anything is left
// to do.
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

// deliverAll delivers messages until the group is idle.
func (c *scriptedCluster) deliverAll() {
	for range 200 {
		if !c.deliverOnce() {
			return
		}
	}
	c.t.Fatal("the group doesn't become idle")
}

func (c *scriptedCluster) member(name string) *scriptedMember {
	for _, member := range c.members {
		if member.addr == controlclient.MemberAddr(name) {
			return member
		}
	}
	return nil
}

// leader is the leader of the highest term that isn't isolated; nil: there is none.
func (c *scriptedCluster) leader() (best *scriptedMember) {
	for _, member := range c.members {
		if status := member.shard.core.Status(); status.IsLeader && member != c.isolated && (best == nil || status.Term > best.shard.core.Status().Term) {
			best = member
		}
	}
	return best
}

// tick ticks all members but the isolated one.
func (c *scriptedCluster) tick() {
	for _, member := range c.members {
		if member != c.isolated {
			member.shard.core.Tick()
		}
	}
}

// awaitLeader lets time pass until a member leads that isn't isolated.
func (c *scriptedCluster) awaitLeader() {
	for range 10 * electionTicks {
		if leader := c.leader(); leader != nil && leader.shard.core.HasAppliedCurrentTerm() {
			return
		}
		c.tick()
		c.deliverAll()
	}
	c.t.Fatal("no leader")
}

// heal ends an isolation, and lets time pass until no deposed leader is left.
func (c *scriptedCluster) heal() {
	c.isolated = nil
	for range 2 * heartbeatTicks {
		c.tick()
		c.deliverAll()
	}
	c.awaitLeader()
}

// changeLeader isolates the leader, if there is one, and lets the others elect another with as few messages
// as possible, so that the new leader hasn't applied what the old one replicated.
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
	c.t.Fatal("no other leader")
}

// restart compacts all logs and starts all members again from their disks.
func (c *scriptedCluster) restart() {
	for _, member := range c.members {
		saved, err := member.shard.state.save()
		if err == nil && member.shard.core.Status().Applied > 0 {
			err = member.shard.store.SaveSnapshot(member.shard.core.Compact(saved))
		}
		if err != nil {
			c.t.Fatal(err)
		}
		member.stop()
		c.start(member, false)
	}
	c.inFlight, c.isolated = nil, nil
	synctest.Wait()
	c.awaitLeader()
}

// send sends a change to a member; the answer is recorded whenever it comes.
func (c *scriptedCluster) send(change *testChange, receiver *scriptedMember) {
	put := &wire.Put{Key: c.key, Body: change.body(), IfVersion: change.baseVersion, Token: change.name}
	request := putRequest(put)
	replica := receiver.shard // the member may be started again meanwhile
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

// sendAndDeliver sends a change, and delivers messages until the group is idle.
func (c *scriptedCluster) sendAndDeliver(change *testChange, receiver *scriptedMember) {
	c.send(change, receiver)
	c.deliverAll()
}

// stopAll ends all requests and stops the members.
func (c *scriptedCluster) stopAll() {
	c.cancel()
	for _, member := range c.members {
		member.stop()
	}
	synctest.Wait()
}
