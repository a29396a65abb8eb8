package controlstate

import (
	"os"
	"slices"
	"testing"
	"testing/synctest"

	"pebbleloom/internal/control/routingconfig"
)

// Events of TestTwoChangesInEveryOrder. Two operators, A and B, each send a change twice; both changes have the same
// base version and the same new version. Between the attempts the leader changes, and all members compact their logs
// and restart.
const (
	firstAttemptA = iota
	secondAttemptA
	firstAttemptB
	secondAttemptB
	newLeader
	snapshotAndRestart
	eventCount
	secondNewLeader = eventCount // second change of leader, which is an event only if longSearchVar is set
)

// longSearchVar is the environment variable that, if it is not empty, adds a second change of leader to the events.
const longSearchVar = "ORDERS_LONG"

// deliveriesAfterSend lists how many times the messages in flight are delivered after an attempt, before the next event:
// 0 (the leader is still being confirmed), 2 (the change is proposed), 3 (the change is on the disks of other members,
// but not committed), or 100 (all messages are delivered).
var deliveriesAfterSend = []int{0, 2, 3, 100}

// sendTarget selects the member to which the attempts to make a change are sent.
type sendTarget int

const (
	toLeader         sendTarget = iota
	toIsolatedMember            // the isolated member; the leader if no member is isolated
)

// otherKey is the key of a document other than the routing configuration. Changes of it are neither merged nor
// validated before they are proposed.
const otherKey = "other"

// Two competing changes on one base version are sent twice each, in every order with a change of leader and a restart
// from snapshots, and with different amounts of progress before the next event. Exactly one of them must be
// acknowledged and the other rejected. At the end a third change builds on the acknowledged one, and the outcomes of
// the first two must not differ when they are sent again.
func TestTwoChangesInEveryOrder(t *testing.T) {
	for _, key := range []string{otherKey, routingconfig.DocumentKey} {
		t.Run(key, func(t *testing.T) {
			t.Logf("checked %d combinations of event order, message delivery and receiver", runEveryOrder(t, key))
		})
	}
}

// runEveryOrder runs all orders of events, except those that equal another one with the operators exchanged. It
// returns the number of cases.
func runEveryOrder(t *testing.T, key string) (runs int) {
	events := eventCount
	if os.Getenv(longSearchVar) != "" {
		events++
	}
	permutations(events, func(sequence []int) {
		inOrder := func(first, second int) bool {
			return !slices.Contains(sequence, second) || slices.Index(sequence, first) < slices.Index(sequence, second)
		}
		if !inOrder(firstAttemptA, secondAttemptA) || !inOrder(firstAttemptB, secondAttemptB) || !inOrder(firstAttemptA, firstAttemptB) || !inOrder(newLeader, secondNewLeader) {
			return // equivalent to an order in which the operators, the attempts of one operator, or the changes of leader are exchanged
		}
		for i := range len(deliveriesAfterSend) * len(deliveriesAfterSend) {
			deliveries := [2]int{deliveriesAfterSend[i%len(deliveriesAfterSend)], deliveriesAfterSend[i/len(deliveriesAfterSend)]}
			for _, target := range []sendTarget{toLeader, toIsolatedMember} {
				runs++
				tc := twoChangesCase{events: sequence, deliveries: deliveries, target: target}
				synctest.Test(t, func(t *testing.T) {
					if violations := tc.run(t, key); len(violations) > 0 {
						t.Errorf("run %d, document %q, case %+v: violations: %v", runs, key, tc, violations)
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

// twoChangesCase is a case of TestTwoChangesInEveryOrder: an order of events, with the deliveries of messages after the
// attempts and the receivers of the attempts.
type twoChangesCase struct {
	events     []int
	deliveries [2]int // values of deliveriesAfterSend for the first attempts and for the second ones
	target     sendTarget
}

// run runs a case on a new cluster and returns the violations.
func (tc twoChangesCase) run(t *testing.T, key string) []string {
	cluster := newScriptedCluster(t, key)
	defer cluster.stopAll()
	cluster.awaitLeader()
	version := uint64(1) // versions of documents are counted, but a routing configuration contains its own version
	if key == routingconfig.DocumentKey {
		version = 2
	}
	first, second := &testChange{name: "a", newVersion: version}, &testChange{name: "b", newVersion: version}
	cluster.changes = []*testChange{first, second}
	for _, event := range tc.events {
		tc.runEvent(cluster, event)
	}
	cluster.heal()
	if !first.acked && !second.acked && !first.inForce && !second.inForce { // neither change was acknowledged or applied by any of its attempts
		cluster.sendAndDeliver(first, cluster.leader())
	}
	third := &testChange{name: "third", baseVersion: version, newVersion: 2 * version}
	cluster.changes = append(cluster.changes, third)
	cluster.sendAndDeliver(third, cluster.leader())
	cluster.send(first, cluster.leader())
	cluster.sendAndDeliver(second, cluster.leader())
	cluster.checkFinal(third)
	if first.inForce != first.acked || second.inForce != second.acked || first.acked == second.acked || first.rejected == second.rejected {
		cluster.violationf("after final retries, want one change applied and acknowledged and the other rejected; got %+v and %+v", *first, *second)
	}
	return cluster.violations
}

// runEvent carries out one event of a case.
func (tc twoChangesCase) runEvent(cluster *scriptedCluster, event int) {
	switch event {
	case newLeader, secondNewLeader:
		cluster.changeLeader()
		return
	case snapshotAndRestart:
		cluster.restart()
		return
	}
	if cluster.leader() == nil { // the leader was isolated, and has stepped down after its return
		cluster.awaitLeader()
	}
	receiver := cluster.leader()
	if tc.target == toIsolatedMember && cluster.isolated != nil {
		receiver = cluster.isolated
	}
	cluster.send(cluster.changes[event/2], receiver)
	for range tc.deliveries[event%2] {
		if !cluster.deliverOnce() {
			break
		}
	}
}

// checkFinal checks that the newest change was acknowledged and that all members have applied it.
func (c *scriptedCluster) checkFinal(newest *testChange) {
	if !newest.acked || c.newestAcked != newest.newVersion {
		c.violationf("the last change was not acknowledged as the newest version: change %+v, newest acknowledged version %d", *newest, c.newestAcked)
	}
	c.heal() // lets all members learn which entries are committed
	for _, member := range c.members {
		if document := member.shard.state.documents[c.key]; document.GetVersion() != newest.newVersion || string(document.GetBody()) != string(newest.body()) {
			c.violationf("member %s has version %d with content %s, want version %d with content %s", member.addr, document.GetVersion(), document.GetBody(), newest.newVersion, newest.body())
		}
	}
	c.checkInvariants()
}

// A deposed leader that is still isolated receives a retry of a change that the next leader has already applied. By
// its own outdated state it would reject the change, which would contradict the acknowledgement. It must answer that
// the outcome is unknown. The test uses a document that is not validated before it is proposed.
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
			t.Fatalf("test preparation failed: want an acknowledged change and a deposed leader that has not stepped down; got change %+v, deposed leader still leads: %v", *applied, deposed.shard.core.Status().IsLeader)
		}
		cluster.sendAndDeliver(applied, deposed)
		if cluster.cancel(); applied.rejected {
			t.Errorf("deposed leader rejected a change that the next leader had applied: %+v", *applied)
		}
	})
}

// A new leader has two changes in its log that its predecessor replicated, and has applied neither. A retry of the
// second one builds on a version that is not applied yet. The leader must not reject it, and must acknowledge it once
// it is applied.
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
				t.Errorf("document %q: retry of a replicated change after a change of leader: got %+v, want it acknowledged and not rejected", key, *second)
			}
			if cluster.checkInvariants(); len(cluster.violations) > 0 {
				t.Errorf("document %q: violations: %v", key, cluster.violations)
			}
		})
	}
}

// A change whose base version is proposed but not yet applied is neither rejected nor proposed: the client has to
// retry it. A change on a base version that was never proposed is rejected with a conflict.
func TestChangeOnAProposedBaseIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newScriptedCluster(t, otherKey)
		defer cluster.stopAll()
		cluster.awaitLeader()
		next, conflicting := &testChange{name: "2", baseVersion: 1}, &testChange{name: "9", baseVersion: 8}
		cluster.send(&testChange{name: "1"}, cluster.leader())
		cluster.deliverOnce()
		cluster.sendAndDeliver(next, cluster.leader())
		if next.rejected || next.acked {
			t.Errorf("change on a base version that is proposed but not applied: got %+v, want neither acknowledged nor rejected", *next)
		}
		cluster.sendAndDeliver(next, cluster.leader())
		cluster.send(conflicting, cluster.leader()) // no unapplied entry can produce its base version
		cluster.deliverAll()
		if !next.acked || next.rejected || !conflicting.rejected {
			t.Errorf("want the retried change acknowledged and the change on a base version that was never proposed rejected; got %+v and %+v", *next, *conflicting)
		}
	})
}
