package controlstate

import (
	"context"
	"os"
	"slices"
	"testing"
	"testing/synctest"

	"pebbleloom/internal/control/routingconfig"
)

// The events of TestTwoChangesInEveryOrder: two operators send a change each, on the same version and for
// the same new version, and each retries it; the leader changes, and all members are compacted and
// restarted.
const (
	firstAttemptA = iota
	secondAttemptA
	firstAttemptB
	secondAttemptB
	newLeader
	snapshotAndRestart
	eventCount
	secondNewLeader = eventCount // in the long search alone
)

// longSearchVar, set to anything, adds a second change of leader to every order of events.
const longSearchVar = "ORDERS_LONG"

// roundsAfterSend is how many rounds of messages follow an attempt: none (the leadership is being confirmed),
// two (it is proposed), three (it is on other disks, uncommitted), or all that there are.
var roundsAfterSend = []int{0, 2, 3, 100}

// sendTarget is to whom an attempt is sent.
type sendTarget int

const (
	toLeader         sendTarget = iota
	toIsolatedMember            // while there is one, else to the leader
)

// otherKey is the key of a document that is neither merged nor validated before it is proposed.
const otherKey = "other"

// Two changes on one version, two attempts each, a change of leader, a snapshot and a restart, in every order,
// each attempt left wherever it is when the next event comes. At the end a third change builds on the one
// that won, and both are retried.
func TestTwoChangesInEveryOrder(t *testing.T) {
	for _, key := range []string{otherKey, routingconfig.DocumentKey} {
		t.Run(key, func(t *testing.T) {
			t.Logf("%d runs", playEveryOrder(t, key))
		})
	}
}

// playEveryOrder plays every order of events that isn't another one with the operators exchanged.
func playEveryOrder(t *testing.T, key string) (runs int) {
	events := eventCount
	if os.Getenv(longSearchVar) != "" {
		events++
	}
	permutations(events, func(sequence []int) {
		inOrder := func(first, second int) bool {
			return !slices.Contains(sequence, second) || slices.Index(sequence, first) < slices.Index(sequence, second)
		}
		if !inOrder(firstAttemptA, secondAttemptA) || !inOrder(firstAttemptB, secondAttemptB) || !inOrder(firstAttemptA, firstAttemptB) || !inOrder(newLeader, secondNewLeader) {
			return // by symmetry
		}
		for i := range len(roundsAfterSend) * len(roundsAfterSend) {
			progress := []int{roundsAfterSend[i%len(roundsAfterSend)], roundsAfterSend[i/len(roundsAfterSend)]}
			for _, target := range []sendTarget{toLeader, toIsolatedMember} {
				runs++
				synctest.Test(t, func(t *testing.T) {
					if faults := playTwoChanges(t, key, sequence, progress, target); len(faults) > 0 {
						t.Errorf("run %d: %s, %v, rounds %v, to %d: %v", runs, key, sequence, progress, target, faults)
					}
				})
				if t.Failed() {
					t.FailNow()
				}
			}
		}
	})
	return runs
}

func playTwoChanges(t *testing.T, key string, sequence []int, progress []int, target sendTarget) []string {
	c := newScriptedCluster(t, key)
	ctx, cancel := context.WithCancel(t.Context())
	defer c.stopAll(cancel)
	c.awaitLeader()
	number := uint64(1) // any document counts its versions itself, the configuration bears its own number
	if key == routingconfig.DocumentKey {
		number = 2
	}
	first, second := &testChange{name: "a", newVersion: number}, &testChange{name: "b", newVersion: number}
	c.changes = []*testChange{first, second}
	for _, event := range sequence {
		switch event {
		case newLeader, secondNewLeader:
			c.changeLeader()
		case snapshotAndRestart:
			c.restart()
		default:
			if c.leader() == nil { // one that was cut off is back, and has just stepped down
				c.awaitLeader()
			}
			receiver := c.leader()
			if target == toIsolatedMember && c.isolated != nil {
				receiver = c.isolated
			}
			c.send(ctx, c.changes[event/2], receiver)
			for range progress[event%2] { // of first copies, of second ones
				if !c.deliverRound() {
					break
				}
			}
		}
	}
	c.heal()
	if !first.acked && !second.acked && !first.inForce && !second.inForce { // all copies were lost
		c.send(ctx, first, c.leader())
		c.deliverAll()
	}
	third := &testChange{name: "third", baseVersion: number, newVersion: 2 * number}
	c.changes = append(c.changes, third)
	c.send(ctx, third, c.leader())
	c.deliverAll()
	c.send(ctx, first, c.leader())
	c.send(ctx, second, c.leader())
	c.deliverAll()
	c.checkFinal(third)
	if first.inForce != first.acked || second.inForce != second.acked || first.acked == second.acked || first.rejected == second.rejected {
		c.violationf("the one in force is acknowledged when it is sent again, the other one is refused: %+v, %+v", *first, *second)
	}
	return c.violations
}

// stopAll ends what is under way.
func (c *scriptedCluster) stopAll(cancel context.CancelFunc) {
	cancel()
	for _, member := range c.members {
		member.stop()
	}
	synctest.Wait()
}

// checkFinal checks that the newest order that was acknowledged is what members read back.
func (c *scriptedCluster) checkFinal(newest *testChange) {
	if !newest.acked || c.newestAcked != newest.newVersion {
		c.violationf("the newest order isn't acknowledged: %+v, newest is %d", *newest, c.newestAcked)
	}
	c.heal() // and the others hear what is committed
	for _, member := range c.members {
		if doc := member.shard.state.documents[c.key]; doc.GetVersion() != newest.newVersion || string(doc.GetBody()) != string(newest.body()) {
			c.violationf("what is read back is the newest that was acknowledged: %s holds %d %s", member.addr, doc.GetVersion(), doc.GetBody())
		}
	}
	c.checkInvariants()
}

// A document that isn't validated ahead: a leader of the past, cut off, is sent an order again that the
// next leader took on top of others. It can't say, and says so; its own state would have it refused.
func TestDeposedLeaderRejectsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newScriptedCluster(t, otherKey)
		ctx, cancel := context.WithCancel(t.Context())
		defer c.stopAll(cancel)
		c.awaitLeader()
		c.send(ctx, &testChange{name: "1"}, c.leader())
		c.deliverAll()
		past := c.leader()
		c.changeLeader()
		c.awaitLeader()
		taken := &testChange{name: "3", baseVersion: 2}
		c.send(ctx, &testChange{name: "2", baseVersion: 1}, c.leader())
		c.deliverAll()
		c.send(ctx, taken, c.leader())
		c.deliverAll()
		if !taken.acked || !past.shard.core.Status().IsLeader {
			t.Fatalf("the order was to be taken, and the old leader to believe in itself: %+v", *taken)
		}
		c.send(ctx, taken, past)
		c.deliverAll()
		if cancel(); taken.rejected {
			t.Errorf("the old leader refuses what was taken: %+v", *taken)
		}
	})
}

// A new leader holds two orders that the one before had replicated, and has applied neither. The second
// one, sent again, builds on a version that isn't in force yet: it is taken a little later, not refused.
func TestNewLeaderRejectsNothingInItsLog(t *testing.T) {
	for _, key := range []string{otherKey, routingconfig.DocumentKey} {
		synctest.Test(t, func(t *testing.T) {
			c := newScriptedCluster(t, key)
			ctx, cancel := context.WithCancel(t.Context())
			defer c.stopAll(cancel)
			c.awaitLeader()
			first, second := &testChange{name: "1", newVersion: 1}, &testChange{name: "2", baseVersion: 1, newVersion: 2}
			c.changes = append(c.changes, first, second)
			c.send(ctx, first, c.leader())
			c.deliverAll()
			c.send(ctx, second, c.leader())
			for !slices.ContainsFunc(c.members, func(member *scriptedMember) bool {
				return member != c.leader() && len(member.shard.core.UnappliedEntries()) > 0
			}) {
				c.deliverRound()
			}
			c.changeLeader()
			c.send(ctx, second, c.leader())
			c.deliverRound()
			c.awaitLeader()
			c.send(ctx, second, c.leader())
			c.deliverAll()
			if !second.acked || second.rejected {
				t.Errorf("%s: %+v", key, *second)
			}
			if c.checkInvariants(); len(c.violations) > 0 {
				t.Error(c.violations)
			}
		})
	}
}

// An order whose base is proposed and not yet in force is neither refused nor proposed: it is asked for
// again. One on a version that nobody has heard of is a conflict.
func TestChangeOnAProposedBaseIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newScriptedCluster(t, otherKey)
		ctx, cancel := context.WithCancel(t.Context())
		defer c.stopAll(cancel)
		c.awaitLeader()
		next, early := &testChange{name: "2", baseVersion: 1}, &testChange{name: "9", baseVersion: 8}
		c.send(ctx, &testChange{name: "1"}, c.leader())
		c.deliverRound()
		c.send(ctx, next, c.leader())
		c.deliverAll()
		if next.rejected || next.acked {
			t.Errorf("its base was under way: %+v", *next)
		}
		c.send(ctx, next, c.leader())
		c.deliverAll()
		c.send(ctx, early, c.leader()) // nothing is under way now that its base might come from
		c.deliverAll()
		if !next.acked || next.rejected || !early.rejected {
			t.Errorf("%+v, %+v", *next, *early)
		}
	})
}
