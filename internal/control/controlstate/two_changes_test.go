package controlstate

import (
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
			rounds := [2]int{roundsAfterSend[i%len(roundsAfterSend)], roundsAfterSend[i/len(roundsAfterSend)]}
			for _, target := range []sendTarget{toLeader, toIsolatedMember} {
				runs++
				tc := twoChangesCase{events: sequence, rounds: rounds, target: target}
				synctest.Test(t, func(t *testing.T) {
					if violations := tc.play(t, key); len(violations) > 0 {
						t.Errorf("run %d: %s, %+v: %v", runs, key, tc, violations)
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

// twoChangesCase is one case of TestTwoChangesInEveryOrder.
type twoChangesCase struct {
	events []int
	rounds [2]int // after a first attempt, and after a retry
	target sendTarget
}

// play plays a case; it returns the violations.
func (tc twoChangesCase) play(t *testing.T, key string) []string {
	cluster := newScriptedCluster(t, key)
	defer cluster.stopAll()
	cluster.awaitLeader()
	version := uint64(1) // documents count their versions, a configuration names its own
	if key == routingconfig.DocumentKey {
		version = 2
	}
	first, second := &testChange{name: "a", newVersion: version}, &testChange{name: "b", newVersion: version}
	cluster.changes = []*testChange{first, second}
	for _, event := range tc.events {
		tc.playEvent(cluster, event)
	}
	cluster.heal()
	if !first.acked && !second.acked && !first.inForce && !second.inForce { // all attempts were lost
		cluster.sendAndDeliver(first, cluster.leader())
	}
	third := &testChange{name: "third", baseVersion: version, newVersion: 2 * version}
	cluster.changes = append(cluster.changes, third)
	cluster.sendAndDeliver(third, cluster.leader())
	cluster.send(first, cluster.leader())
	cluster.sendAndDeliver(second, cluster.leader())
	cluster.checkFinal(third)
	if first.inForce != first.acked || second.inForce != second.acked || first.acked == second.acked || first.rejected == second.rejected {
		cluster.violationf("the one in force is acknowledged when it is retried, the other one is rejected: %+v, %+v", *first, *second)
	}
	return cluster.violations
}

// playEvent plays one event of a case.
func (tc twoChangesCase) playEvent(cluster *scriptedCluster, event int) {
	switch event {
	case newLeader, secondNewLeader:
		cluster.changeLeader()
		return
	case snapshotAndRestart:
		cluster.restart()
		return
	}
	if cluster.leader() == nil { // one that was isolated has returned, and has just stepped down
		cluster.awaitLeader()
	}
	receiver := cluster.leader()
	if tc.target == toIsolatedMember && cluster.isolated != nil {
		receiver = cluster.isolated
	}
	cluster.send(cluster.changes[event/2], receiver)
	for range tc.rounds[event%2] {
		if !cluster.deliverOnce() {
			break
		}
	}
}

// checkFinal checks that all members hold the newest acknowledged change.
func (c *scriptedCluster) checkFinal(newest *testChange) {
	if !newest.acked || c.newestAcked != newest.newVersion {
		c.violationf("the newest change isn't acknowledged: %+v, newest is %d", *newest, c.newestAcked)
	}
	c.heal() // so that all learn what is committed
	for _, member := range c.members {
		if document := member.shard.state.documents[c.key]; document.GetVersion() != newest.newVersion || string(document.GetBody()) != string(newest.body()) {
			c.violationf("what is read back is the newest that was acknowledged: %s holds %d %s", member.addr, document.GetVersion(), document.GetBody())
		}
	}
	c.checkInvariants()
}

// An isolated leader that was deposed gets a retry of a change that the next leader has applied on top of
// others. By its own state it would reject the change; it answers that the outcome is unknown. The document
// is one that isn't validated before it is proposed.
func TestDeposedLeaderRejectsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newScriptedCluster(t, otherKey)
		defer cluster.stopAll()
		cluster.awaitLeader()
		cluster.sendAndDeliver(&testChange{name: "1"}, cluster.leader())
		deposed := cluster.leader()
		cluster.changeLeader()
		cluster.awaitLeader()
		applied := &testChange{name: "3", baseVersion: 2}
		cluster.sendAndDeliver(&testChange{name: "2", baseVersion: 1}, cluster.leader())
		cluster.sendAndDeliver(applied, cluster.leader())
		if !applied.acked || !deposed.shard.core.Status().IsLeader {
			t.Fatalf("the change isn't applied, or the deposed leader knows that it was deposed: %+v", *applied)
		}
		cluster.sendAndDeliver(applied, deposed)
		if cluster.cancel(); applied.rejected {
			t.Errorf("the deposed leader rejects what was applied: %+v", *applied)
		}
	})
}

// A new leader has two changes in its log that the one before had replicated, and has applied neither. The
// second one, retried, builds on a version that isn't in force yet: it isn't rejected, and is acknowledged
// once it is applied.
func TestNewLeaderRejectsNothingInItsLog(t *testing.T) {
	for _, key := range []string{otherKey, routingconfig.DocumentKey} {
		synctest.Test(t, func(t *testing.T) {
			cluster := newScriptedCluster(t, key)
			defer cluster.stopAll()
			cluster.awaitLeader()
			first, second := &testChange{name: "1", newVersion: 1}, &testChange{name: "2", baseVersion: 1, newVersion: 2}
			cluster.changes = append(cluster.changes, first, second)
			cluster.sendAndDeliver(first, cluster.leader())
			cluster.send(second, cluster.leader())
			for !slices.ContainsFunc(cluster.members, func(member *scriptedMember) bool {
				return member != cluster.leader() && len(member.shard.core.UnappliedEntries()) > 0
			}) {
				cluster.deliverOnce()
			}
			cluster.changeLeader()
			cluster.send(second, cluster.leader())
			cluster.deliverOnce()
			cluster.awaitLeader()
			cluster.sendAndDeliver(second, cluster.leader())
			if !second.acked || second.rejected {
				t.Errorf("%s: %+v", key, *second)
			}
			if cluster.checkInvariants(); len(cluster.violations) > 0 {
				t.Error(cluster.violations)
			}
		})
	}
}

// A change whose base is proposed and not yet in force is neither rejected nor proposed: the client has to
// retry it. One on a version that nobody has proposed is a conflict.
func TestChangeOnAProposedBaseIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newScriptedCluster(t, otherKey)
		defer cluster.stopAll()
		cluster.awaitLeader()
		next, early := &testChange{name: "2", baseVersion: 1}, &testChange{name: "9", baseVersion: 8}
		cluster.send(&testChange{name: "1"}, cluster.leader())
		cluster.deliverOnce()
		cluster.sendAndDeliver(next, cluster.leader())
		if next.rejected || next.acked {
			t.Errorf("its base was proposed: %+v", *next)
		}
		cluster.sendAndDeliver(next, cluster.leader())
		cluster.send(early, cluster.leader()) // nothing is proposed that might be its base
		cluster.deliverAll()
		if !next.acked || next.rejected || !early.rejected {
			t.Errorf("%+v, %+v", *next, *early)
		}
	})
}
