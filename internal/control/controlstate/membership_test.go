package controlstate

import (
	"fmt"
	"slices"
	"testing"

	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/wire"
)

// voter is a member as the leader sees it, heard so many ticks ago.
func voter(name string, contactAge int) consensus.PeerStatus {
	return consensus.PeerStatus{Name: name, IsVoter: true, ContactAge: contactAge, CaughtUp: true}
}

// learner is a machine that isn't a member as the leader sees it, heard so many ticks ago.
func learner(name string, contactAge int, caughtUp bool) consensus.PeerStatus {
	return consensus.PeerStatus{Name: name, ContactAge: contactAge, Responded: true, CaughtUp: caughtUp}
}

// neverResponded is a machine that requested to join, and never answered a message since.
func neverResponded(name string) consensus.PeerStatus { return consensus.PeerStatus{Name: name} }

// The leader's next change of members, by what it sees of its peers.
func TestMembershipPlannerDecisions(t *testing.T) {
	zones := map[string]string{"a": "north", "b": "south", "c": "east", "d": "north", "e": "west"}
	abc := []string{"a/0", "b/0", "c/0"}
	for _, test := range []struct {
		name       string
		members    []string
		peers      []consensus.PeerStatus
		targetSize int
		want       string // members; [] for no change
	}{
		{"all is well", abc, []consensus.PeerStatus{voter("b/0", 1), voter("c/0", 2), learner("d/1", 1, true)}, 3, "[]"},
		{"one is silent, there is no spare", abc, []consensus.PeerStatus{voter("b/0", 1), voter("c/0", 99)}, 3, "[]"},
		{"one is silent for a moment", abc, []consensus.PeerStatus{voter("b/0", 1), voter("c/0", replaceAfterTicks-1), learner("d/1", 1, true)}, 3, "[]"},
		{"one is silent, a spare is ready", abc, []consensus.PeerStatus{voter("b/0", 1), voter("c/0", replaceAfterTicks), learner("d/1", 1, true)}, 3, "[a/0 b/0]"},
		{"one is silent, the spare lacks much", abc, []consensus.PeerStatus{voter("b/0", 1), voter("c/0", replaceAfterTicks), learner("d/1", 1, false)}, 3, "[]"},
		{"one is silent, the spare too", abc, []consensus.PeerStatus{voter("b/0", 1), voter("c/0", replaceAfterTicks), learner("d/1", 30, true)}, 3, "[]"},
		{"two are silent: the others are no quorum", abc, []consensus.PeerStatus{voter("b/0", 40), voter("c/0", 40), learner("d/1", 1, true)}, 3, "[]"},
		{"a disk is lost", abc, []consensus.PeerStatus{voter("b/0", 1), voter("c/0", 3), learner("c/7", 0, false)}, 3, "[a/0 b/0]"},
		{"a join request of an earlier incarnation", abc, []consensus.PeerStatus{voter("b/0", 1), voter("c/0", 3), neverResponded("c/7")}, 3, "[]"},
		{"an incarnation that was heard before the member", []string{"a/0", "b/0", "c/8"}, []consensus.PeerStatus{voter("b/0", 1), voter("c/8", 3), learner("c/7", 9, true)}, 3, "[]"},
		{"two incarnations at one address", []string{"a/0", "b/0"}, []consensus.PeerStatus{voter("b/0", 1), learner("c/7", 9, true), learner("c/8", 1, false)}, 3, "[]"},
		{"the later of two incarnations is ready", []string{"a/0", "b/0"}, []consensus.PeerStatus{voter("b/0", 1), learner("c/7", 9, true), learner("c/8", 1, true)}, 3, "[a/0 b/0 c/8]"},
		{"one of four is silent, three are wanted", []string{"a/0", "b/0", "c/0", "d/0"},
			[]consensus.PeerStatus{voter("b/0", 1), voter("c/0", 1), voter("d/0", 40)}, 3, "[a/0 b/0 c/0]"},
		{"four are there, three are wanted", []string{"a/0", "b/0", "c/0", "d/0"},
			[]consensus.PeerStatus{voter("b/0", 1), voter("c/0", 1), voter("d/0", 1)}, 3, "[]"},
		{"a disk is lost, and the other is silent", abc, []consensus.PeerStatus{voter("b/0", 40), voter("c/0", 3), learner("c/7", 0, false)}, 3, "[]"},
		{"one is missing", []string{"a/0", "b/0"}, []consensus.PeerStatus{voter("b/0", 1), learner("c/7", 1, true)}, 3, "[a/0 b/0 c/7]"},
		{"one is missing, another zone is better", []string{"a/0", "b/0"}, []consensus.PeerStatus{voter("b/0", 1), learner("d/7", 1, true), learner("e/7", 1, true)}, 3, "[a/0 b/0 e/7]"},
		{"five are wanted", abc, []consensus.PeerStatus{voter("b/0", 1), voter("c/0", 1), learner("d/1", 1, true)}, 5, "[a/0 b/0 c/0 d/1]"},
		{"one is missing, one is silent", []string{"a/0", "b/0"}, []consensus.PeerStatus{voter("b/0", 40), learner("c/7", 1, true)}, 3, "[a/0 b/0 c/7]"},
		{"one of four is silent, and more are wanted", []string{"a/0", "b/0", "c/0", "d/0"},
			[]consensus.PeerStatus{voter("b/0", 1), voter("c/0", 40), voter("d/0", 40), learner("e/7", 1, true)}, 5, "[a/0 b/0 c/0 d/0 e/7]"},
		{"the group is alone", abc, nil, 3, "[]"},
	} {
		t.Run(test.name, func(t *testing.T) {
			planner := membershipPlanner{self: "a/0", members: slices.Clone(test.members), peers: test.peers, targetSize: test.targetSize,
				zoneOf: func(addr string) string { return zones[addr] }, isLeaving: func(string) bool { return false }}
			if got := fmt.Sprint(planner.next()); got != test.want {
				t.Errorf("%s, want %s", got, test.want)
			}
		})
	}
}

// The initial snapshot of an empty disk: only the seeds found a group, and only at the first start of a site.
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
			t.Errorf("%+v: %v", test, snapshot)
		}
	}
}
