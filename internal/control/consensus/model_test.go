package consensus

import (
	"os"
	"strings"
	"testing"
)

// The model checker visits every state that a small group can reach within given bounds, and checks the invariants of
// Raft in each. It runs the real Core, and models its environment:
//
//   - model_node_test.go: a member with its disk and driver, and the events that can happen to it
//   - model_space_test.go: states of a group, and the messages in flight between its members
//   - model_actions_test.go: the actions that are possible in a state, and the states that they lead to
//   - model_restore_test.go: the restore of a group from one member, and the invariants of a restore
//   - model_freshness_test.go: a client that asks the members to prove that its copy of the replicated state is the newest
//   - model_invariants_test.go: the invariants, and the history of past events that is needed to check them
//   - model_search_test.go: the breadth-first search, and the trace to a violation
//   - model_encoding_test.go: copying, encoding and fingerprints of states
//
// The model has no time: a timer may fire in any state, as often as the bounds of the search allow.

// modelSearch is one configuration of the model checker: the bounds of the search that CI runs, and those of a longer
// search, which is run instead if the environment variable CONSENSUS_MODEL is set to wide.
type modelSearch struct {
	name     string
	ci, wide bounds
}

// modelSearches are all configurations of the model checker. Most of them allow any number of duplicates of messages
// between members of a group. The bounds limit duplicates between fixed members, which send complete logs when a member
// rejoins, so that there are many more states.
var modelSearches = []modelSearch{
	{"elections",
		bounds{terms: 2, limits: [budgetCount]uint8{elections: unlimited, duplicates: unlimited, restarts: 1}},
		bounds{terms: 2, lateRequests: true, limits: [budgetCount]uint8{elections: unlimited, duplicates: unlimited, restarts: 1}}},
	{"late requests of earlier terms",
		bounds{terms: 2, lateRequests: true, limits: [budgetCount]uint8{elections: unlimited, duplicates: unlimited}},
		bounds{terms: 2, lateRequests: true, elected: true, limits: [budgetCount]uint8{elections: unlimited, duplicates: unlimited, proposals: 1, restarts: 1}}},
	{"pre-votes",
		bounds{terms: 2, preVotes: true, elected: true, limits: [budgetCount]uint8{elections: unlimited, duplicates: unlimited}},
		bounds{terms: 2, preVotes: true, elected: true, limits: [budgetCount]uint8{elections: 2, duplicates: unlimited, restarts: 1}}},
	{"elections and log replication",
		bounds{terms: 2, elected: true, limits: [budgetCount]uint8{elections: unlimited, duplicates: unlimited, proposals: 1, restarts: 1}},
		bounds{terms: 2, elected: true, limits: [budgetCount]uint8{elections: unlimited, duplicates: unlimited, proposals: 2, quorumTimeouts: 1}}},
	{"commit of entries of older terms",
		bounds{terms: 4, conflictingLogs: true, smallMessages: true, limits: [budgetCount]uint8{elections: 1}},
		bounds{terms: 4, conflictingLogs: true, smallMessages: true, limits: [budgetCount]uint8{elections: 1, duplicates: unlimited}}},
	{"membership change and election",
		bounds{terms: 2, elected: true, learner: true, limits: [budgetCount]uint8{elections: 1, duplicates: unlimited, changes: 1}},
		bounds{terms: 2, elected: true, lateRequests: true, limits: [budgetCount]uint8{elections: unlimited, duplicates: unlimited, changes: 1, proposals: 1}}},
	{"membership changes and disk loss",
		bounds{terms: 1, elected: true, learner: true, limits: [budgetCount]uint8{duplicates: unlimited, changes: 2, diskLosses: 1}},
		bounds{terms: 2, elected: true, learner: true, limits: [budgetCount]uint8{elections: unlimited, duplicates: unlimited, changes: 1, diskLosses: 1}}},
	{"membership changes by leaders of two terms",
		bounds{initialVoters: 4, terms: 2, pendingChange: removalOfD, limits: [budgetCount]uint8{duplicates: unlimited, changes: 1}},
		bounds{initialVoters: 4, terms: 3, pendingChange: removalOfD, candidates: "a", limits: [budgetCount]uint8{elections: 1, duplicates: unlimited, changes: 1}}},
	{"election during the replacement of a voter",
		bounds{learner: true, terms: 2, pendingChange: additionOfD, limits: [budgetCount]uint8{duplicates: unlimited, changes: 1}},
		bounds{learner: true, terms: 3, pendingChange: additionOfD, candidates: "a", limits: [budgetCount]uint8{elections: 1, duplicates: unlimited, changes: 1}}},
	{"replacement of a voter in a group of two",
		bounds{initialVoters: 2, terms: 2, elected: true, learner: true, limits: [budgetCount]uint8{elections: 1, duplicates: unlimited, changes: 2}},
		bounds{initialVoters: 2, terms: 3, elected: true, learner: true, limits: [budgetCount]uint8{elections: 1, duplicates: unlimited, changes: 2, restarts: 1}}},
	{"five voters, two of which lose their disks",
		bounds{initialVoters: 5, terms: 1, elected: true, limits: [budgetCount]uint8{changes: 1, diskLosses: 2}},
		bounds{initialVoters: 5, terms: 1, elected: true, limits: [budgetCount]uint8{changes: 2, diskLosses: 2}}},
	{"group of five voters and a learner",
		bounds{initialVoters: 5, terms: 1, elected: true, learner: true, limits: [budgetCount]uint8{duplicates: unlimited, changes: 1}},
		bounds{initialVoters: 5, terms: 1, elected: true, learner: true, limits: [budgetCount]uint8{duplicates: unlimited, changes: 2}}},
	{"leader without contact to a quorum",
		bounds{terms: 2, elected: true, limits: [budgetCount]uint8{elections: unlimited, duplicates: unlimited, proposals: 1, quorumTimeouts: 1}},
		bounds{terms: 2, elected: true, limits: [budgetCount]uint8{elections: unlimited, duplicates: unlimited, proposals: 1, quorumTimeouts: 2, restarts: 1}}},
	{"compaction and conflicting logs",
		bounds{terms: 3, conflictingLogs: true, limits: [budgetCount]uint8{duplicates: unlimited, compactions: 2}},
		bounds{terms: 2, elected: true, limits: [budgetCount]uint8{elections: unlimited, duplicates: unlimited, proposals: 1, compactions: 1, restarts: 1}}},
	{"compaction and restart",
		bounds{terms: 2, elected: true, limits: [budgetCount]uint8{elections: unlimited, duplicates: unlimited, compactions: 1, restarts: 1}},
		bounds{terms: 2, elected: true, limits: [budgetCount]uint8{elections: unlimited, duplicates: unlimited, compactions: 2, restarts: 2}}},
	{"transfer of a snapshot to a learner",
		bounds{terms: 1, elected: true, learner: true, smallMessages: true, limits: [budgetCount]uint8{duplicates: unlimited, learners: 1, proposals: 1, compactions: 1}},
		bounds{terms: 1, elected: true, learner: true, smallMessages: true, limits: [budgetCount]uint8{duplicates: unlimited, learners: 1, proposals: 1, compactions: 2, heartbeats: 1}}},
	{"snapshot persisted together with the output of other steps",
		bounds{terms: 1, elected: true, learner: true, limits: [budgetCount]uint8{learners: 1, proposals: 1, compactions: 1, delayedFlushes: 1}},
		bounds{terms: 1, elected: true, learner: true, limits: [budgetCount]uint8{duplicates: unlimited, learners: 1, proposals: 1, compactions: 1, delayedFlushes: 1}}},
	{"transfer of a snapshot to a follower",
		bounds{terms: 1, elected: true, limits: [budgetCount]uint8{duplicates: unlimited, proposals: 2, compactions: 1}},
		bounds{terms: 1, elected: true, limits: [budgetCount]uint8{duplicates: unlimited, proposals: 2, compactions: 1, restarts: 1}}},
	{"linearizable reads and leader transfer",
		bounds{terms: 2, elected: true, limits: [budgetCount]uint8{elections: 1, duplicates: unlimited, reads: 2, transfers: 1}},
		bounds{terms: 2, elected: true, limits: [budgetCount]uint8{elections: 1, duplicates: unlimited, proposals: 1, reads: 1, transfers: 1}}},
	{"proof to a client that its copy of the replicated state is the newest",
		bounds{terms: 2, elected: true, limits: [budgetCount]uint8{elections: 1, duplicates: unlimited, proposals: 1, freshnessQueries: 1, freshnessAttestations: 2}},
		bounds{terms: 2, elected: true, limits: [budgetCount]uint8{elections: 1, duplicates: unlimited, proposals: 1, freshnessQueries: 1, freshnessAttestations: 2, changes: 1}}},
	{"proof that a client's copy of the replicated state is the newest during membership changes",
		bounds{terms: 1, elected: true, limits: [budgetCount]uint8{duplicates: unlimited, proposals: 1, freshnessQueries: 1, freshnessAttestations: 2, changes: 2}},
		bounds{terms: 1, elected: true, learner: true, limits: [budgetCount]uint8{duplicates: unlimited, proposals: 1, freshnessQueries: 1, freshnessAttestations: 2, changes: 1, diskLosses: 1}}},
	{"output of several steps of a member persisted together",
		bounds{terms: 2, elected: true, limits: [budgetCount]uint8{elections: 1, duplicates: unlimited, delayedFlushes: 1, compactions: 1}},
		bounds{terms: 2, elected: true, limits: [budgetCount]uint8{elections: 1, duplicates: unlimited, delayedFlushes: 1, proposals: 1}}},
	{"group restored from one of two members",
		bounds{initialVoters: 2, terms: 3, elected: true, learner: true, limits: [budgetCount]uint8{elections: 1, duplicates: unlimited, learners: 2, changes: 1, restores: 1}},
		bounds{initialVoters: 2, terms: 3, elected: true, learner: true, limits: [budgetCount]uint8{elections: 1, duplicates: unlimited, learners: 2, changes: 2, proposals: 1, restores: 1}}},
	{"group restored from one of three members",
		bounds{terms: 3, elected: true, learner: true, limits: [budgetCount]uint8{elections: 1, duplicates: unlimited, learners: 1, restores: 1}},
		bounds{terms: 3, elected: true, learner: true, limits: [budgetCount]uint8{elections: 1, duplicates: unlimited, proposals: 1, learners: 1, restores: 1}}},
	{"group restored from one member while the others continue",
		bounds{terms: 3, elected: true, limits: [budgetCount]uint8{elections: 1, duplicates: unlimited, proposals: 1, restores: 1}},
		bounds{terms: 3, elected: true, limits: [budgetCount]uint8{elections: 2, duplicates: unlimited, proposals: 1, restores: 1}}},
	{"proof that a client's copy of the replicated state is the newest in a restored group",
		bounds{initialVoters: 2, terms: 3, elected: true, limits: [budgetCount]uint8{elections: 1, duplicates: unlimited, proposals: 2, restores: 1, freshnessQueries: 1, freshnessAttestations: 2}},
		bounds{terms: 3, elected: true, limits: [budgetCount]uint8{elections: 2, duplicates: unlimited, proposals: 2, restores: 1, freshnessQueries: 1, freshnessAttestations: 3}}},
	{"shard of fixed members and a lost disk",
		bounds{terms: 2, fixed: true, elected: true, limits: [budgetCount]uint8{elections: 1, heartbeats: 1, diskLosses: 1}},
		bounds{terms: 1, fixed: true, elected: true, limits: [budgetCount]uint8{heartbeats: 1, diskLosses: 1, proposals: 1, duplicates: 1}}},
}

// Uncommitted membership changes that a search can begin with (bounds.pendingChange).
var (
	removalOfD  = modelEvent{kind: removeMember, arg: 3} // proposes to remove d, one of four initial voters
	additionOfD = modelEvent{kind: addMember, arg: 3}    // proposes to add d, the learner of a group with three initial voters, as a voter
)

const (
	boundsVariable = "CONSENSUS_MODEL" // name of the environment variable; its value "wide" selects the wider bounds
	maxModelStates = 4_000_000         // maximum number of states that a search may visit
)

// Every state that a group can reach within the bounds of each configuration satisfies the invariants of Raft. The test
// also fails if a search stops at maxModelStates before it has visited all states.
func TestModelChecker(t *testing.T) {
	for _, configuration := range modelSearches {
		t.Run(configuration.name, func(t *testing.T) {
			t.Parallel()
			limits := configuration.ci
			if os.Getenv(boundsVariable) == "wide" {
				limits = configuration.wide
			}
			result := search(limits, maxModelStates)
			if result.violation != "" {
				t.Fatalf("invariant violated: %s\nfound in %v; actions that lead to it:\n\t%s", result.violation, result, strings.Join(result.trace, "\n\t"))
			}
			if result.incomplete {
				t.Fatalf("model %q: search stopped at the limit of %d states before it had visited all states within the bounds: %v", configuration.name, maxModelStates, result)
			}
			t.Logf("model %q: visited all states within the bounds, no invariant violated: %v", configuration.name, result)
		})
	}
}
