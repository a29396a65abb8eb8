package controlstate

import (
	"fmt"
	"slices"
	"testing"

	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/wire"
)

// voter returns the status of a caught-up voter from which the leader last received a message contactAge ticks ago.
func voter(name string, contactAge int) consensus.PeerStatus {
	return consensus.PeerStatus{Name: name, IsVoter: true, ContactAge: contactAge, CaughtUp: true}
}

// learner returns the status of a learner from which the leader last received a message contactAge ticks ago.
func learner(name string, contactAge int, caughtUp bool) consensus.PeerStatus {
	return consensus.PeerStatus{Name: name, ContactAge: contactAge, Responded: true, CaughtUp: caughtUp}
}

// neverResponded returns the status of a learner that requested to join and has not responded to the leader since.
func neverResponded(name string) consensus.PeerStatus { return consensus.PeerStatus{Name: name} }

// Checks the membership change that the leader proposes for various states of the voters and learners.
func TestMembershipPlannerDecisions(t *testing.T) {
	zones := map[string]string{"a": "north", "b": "south", "c": "east", "d": "north", "e": "west"}
	abc := []string{"a/0", "b/0", "c/0"}
	for _, test := range []struct {
		name       string
		members    []string
		peers      []consensus.PeerStatus
		targetSize int
		want       string // proposed voters; [] for no change
	}{
		{"all voters alive", abc, []consensus.PeerStatus{voter("b/0", 1), voter("c/0", 2), learner("d/1", 1, true)}, 3, "[]"},
		{"one voter silent, no spare", abc, []consensus.PeerStatus{voter("b/0", 1), voter("c/0", 99)}, 3, "[]"},
		{"one voter silent for less than the replacement threshold", abc, []consensus.PeerStatus{voter("b/0", 1), voter("c/0", replaceAfterTicks-1), learner("d/1", 1, true)}, 3, "[]"},
		{"one voter silent, spare ready", abc, []consensus.PeerStatus{voter("b/0", 1), voter("c/0", replaceAfterTicks), learner("d/1", 1, true)}, 3, "[a/0 b/0]"},
		{"one voter silent, spare not caught up", abc, []consensus.PeerStatus{voter("b/0", 1), voter("c/0", replaceAfterTicks), learner("d/1", 1, false)}, 3, "[]"},
		{"one voter silent, spare silent too", abc, []consensus.PeerStatus{voter("b/0", 1), voter("c/0", replaceAfterTicks), learner("d/1", 30, true)}, 3, "[]"},
		{"two voters silent, no quorum alive", abc, []consensus.PeerStatus{voter("b/0", 40), voter("c/0", 40), learner("d/1", 1, true)}, 3, "[]"},
		{"voter lost its disk", abc, []consensus.PeerStatus{voter("b/0", 1), voter("c/0", 3), learner("c/7", 0, false)}, 3, "[a/0 b/0]"},
		{"learner at the address of a voter never responded", abc, []consensus.PeerStatus{voter("b/0", 1), voter("c/0", 3), neverResponded("c/7")}, 3, "[]"},
		{"learner at the address of a voter responded before the voter", []string{"a/0", "b/0", "c/8"}, []consensus.PeerStatus{voter("b/0", 1), voter("c/8", 3), learner("c/7", 9, true)}, 3, "[]"},
		{"two learner incarnations at one address, only the earlier one caught up", []string{"a/0", "b/0"}, []consensus.PeerStatus{voter("b/0", 1), learner("c/7", 9, true), learner("c/8", 1, false)}, 3, "[]"},
		{"two learner incarnations at one address, the later one ready", []string{"a/0", "b/0"}, []consensus.PeerStatus{voter("b/0", 1), learner("c/7", 9, true), learner("c/8", 1, true)}, 3, "[a/0 b/0 c/8]"},
		{"four voters for a target of three, one silent", []string{"a/0", "b/0", "c/0", "d/0"},
			[]consensus.PeerStatus{voter("b/0", 1), voter("c/0", 1), voter("d/0", 40)}, 3, "[a/0 b/0 c/0]"},
		{"four voters for a target of three, all alive", []string{"a/0", "b/0", "c/0", "d/0"},
			[]consensus.PeerStatus{voter("b/0", 1), voter("c/0", 1), voter("d/0", 1)}, 3, "[]"},
		{"voter lost its disk, another voter silent", abc, []consensus.PeerStatus{voter("b/0", 40), voter("c/0", 3), learner("c/7", 0, false)}, 3, "[]"},
		{"one voter missing, spare ready", []string{"a/0", "b/0"}, []consensus.PeerStatus{voter("b/0", 1), learner("c/7", 1, true)}, 3, "[a/0 b/0 c/7]"},
		{"one voter missing, spare in a zone without a voter preferred", []string{"a/0", "b/0"}, []consensus.PeerStatus{voter("b/0", 1), learner("d/7", 1, true), learner("e/7", 1, true)}, 3, "[a/0 b/0 e/7]"},
		{"three voters for a target of five", abc, []consensus.PeerStatus{voter("b/0", 1), voter("c/0", 1), learner("d/1", 1, true)}, 5, "[a/0 b/0 c/0 d/1]"},
		{"one voter missing, one silent, spare ready", []string{"a/0", "b/0"}, []consensus.PeerStatus{voter("b/0", 40), learner("c/7", 1, true)}, 3, "[a/0 b/0 c/7]"},
		{"four voters for a target of five, two silent, spare ready", []string{"a/0", "b/0", "c/0", "d/0"},
			[]consensus.PeerStatus{voter("b/0", 1), voter("c/0", 40), voter("d/0", 40), learner("e/7", 1, true)}, 5, "[a/0 b/0 c/0 d/0 e/7]"},
		{"leader knows no peers", abc, nil, 3, "[]"},
	} {
		t.Run(test.name, func(t *testing.T) {
			planner := membershipPlanner{self: "a/0", members: slices.Clone(test.members), peers: test.peers, targetSize: test.targetSize,
				zoneOf: func(addr string) string { return zones[addr] }, isLeaving: func(string) bool { return false }}
			if got := fmt.Sprint(planner.next()); got != test.want {
				t.Errorf("proposed voters: got %s, want %s", got, test.want)
			}
		})
	}
}

// Only the seeds bootstrap a group, and only at the first start of a site. Any other machine with an empty disk starts as a
// learner under a new incarnation.
func TestInitialSnapshotOfAnEmptyDisk(t *testing.T) {
	seeds := []string{"b:1", "a:1", "c:1"}
	random := func() uint64 { return 0xabc }
	for _, test := range []struct {
		firstStart bool
		addr       string
		self       string
		members    string
	}{{true, "a:1", "a:1/0", "[a:1/0 b:1/0 c:1/0]"}, {true, "d:1", "d:1/0000000000000abc", "[]"}, {false, "a:1", "a:1/0000000000000abc", "[]"}} {
		snapshot := initialGroupSnapshot(test.firstStart, test.addr, seeds, random)
		if snapshot.HardState.Incarnation != test.self || fmt.Sprint(snapshot.Members) != test.members || snapshot.HardState.DiskState != wire.DiskState_DISK_FOUNDED {
			t.Errorf("initial snapshot of an empty disk: got %v, want the incarnation and members of %+v and disk state %s", snapshot, test, wire.DiskState_DISK_FOUNDED)
		}
	}
}
