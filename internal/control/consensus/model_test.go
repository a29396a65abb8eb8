package consensus

import (
	"os"
	"strings"
	"testing"
)

// The model checker visits every state that a small group can reach within given bounds, and checks the invariants of
// Raft in each. It runs the real Core, and models what surrounds it:
//
//   - model_node_test.go: a member with its disk and driver, and the events that can happen to it
//   - model_space_test.go: states of a group, and the messages in flight between its members
//   - model_actions_test.go: what may happen next in a state, and what becomes of the state
//   - model_restore_test.go: the restore of a group from one member, and what its invariants need
//   - model_freshness_test.go: an agent that asks the members for a proof of freshness
//   - model_invariants_test.go: the invariants, and what an observer has to remember to check them
//   - model_search_test.go: the breadth-first search, and the trace to a violation
//   - model_encoding_test.go: copying, encoding and fingerprints of states
//
// Time is abstracted from: a timer may fire whenever its event is within the bounds.

// modelSearch is one configuration of the model checker: the bounds of the search in CI, and of the wider one.
type modelSearch struct {
	name     string
	ci, wide bounds
}

// modelSearches are all configurations. Messages of a group are duplicated without a limit; those of fixed members,
// which send complete logs to rejoin, as often as the bounds say.
var modelSearches = []modelSearch{
	{"elections",
		bounds{terms: 2, limits: [budgets]uint8{elections: unlimited, duplicates: unlimited, restarts: 1}},
		bounds{terms: 2, lateRequests: true, limits: [budgets]uint8{elections: unlimited, duplicates: unlimited, restarts: 1}}},
	{"late requests",
		bounds{terms: 2, lateRequests: true, limits: [budgets]uint8{elections: unlimited, duplicates: unlimited}},
		bounds{terms: 2, lateRequests: true, elected: true, limits: [budgets]uint8{elections: unlimited, duplicates: unlimited, proposals: 1, restarts: 1}}},
	{"pre-votes",
		bounds{terms: 2, preVotes: true, elected: true, limits: [budgets]uint8{elections: unlimited, duplicates: unlimited}},
		bounds{terms: 2, preVotes: true, elected: true, limits: [budgets]uint8{elections: 2, duplicates: unlimited, restarts: 1}}},
	{"elections and log",
		bounds{terms: 2, elected: true, limits: [budgets]uint8{elections: unlimited, duplicates: unlimited, proposals: 1, restarts: 1}},
		bounds{terms: 2, elected: true, limits: [budgets]uint8{elections: unlimited, duplicates: unlimited, proposals: 2, timeouts: 1}}},
	{"entries of older terms",
		bounds{terms: 4, contested: true, smallMessages: true, limits: [budgets]uint8{elections: 1}},
		bounds{terms: 4, contested: true, smallMessages: true, limits: [budgets]uint8{elections: 1, duplicates: unlimited}}},
	{"membership change and election",
		bounds{terms: 2, elected: true, learner: true, limits: [budgets]uint8{elections: 1, duplicates: unlimited, changes: 1}},
		bounds{terms: 2, elected: true, lateRequests: true, limits: [budgets]uint8{elections: unlimited, duplicates: unlimited, changes: 1, proposals: 1}}},
	{"membership changes and wipe",
		bounds{terms: 1, elected: true, learner: true, limits: [budgets]uint8{duplicates: unlimited, changes: 2, wipes: 1}},
		bounds{terms: 2, elected: true, learner: true, limits: [budgets]uint8{elections: unlimited, duplicates: unlimited, changes: 1, wipes: 1}}},
	{"changes by leaders of two terms",
		bounds{founders: 4, terms: 2, pendingChange: removalOfD, limits: [budgets]uint8{duplicates: unlimited, changes: 1}},
		bounds{founders: 4, terms: 3, pendingChange: removalOfD, candidates: "a", limits: [budgets]uint8{elections: 1, duplicates: unlimited, changes: 1}}},
	{"election during a replacement",
		bounds{learner: true, terms: 2, pendingChange: additionOfD, limits: [budgets]uint8{duplicates: unlimited, changes: 1}},
		bounds{learner: true, terms: 3, pendingChange: additionOfD, candidates: "a", limits: [budgets]uint8{elections: 1, duplicates: unlimited, changes: 1}}},
	{"replacement in a group of two",
		bounds{founders: 2, terms: 2, elected: true, learner: true, limits: [budgets]uint8{elections: 1, duplicates: unlimited, changes: 2}},
		bounds{founders: 2, terms: 3, elected: true, learner: true, limits: [budgets]uint8{elections: 1, duplicates: unlimited, changes: 2, restarts: 1}}},
	{"five members, two of them wiped",
		bounds{founders: 5, terms: 1, elected: true, limits: [budgets]uint8{changes: 1, wipes: 2}},
		bounds{founders: 5, terms: 1, elected: true, limits: [budgets]uint8{changes: 2, wipes: 2}}},
	{"five members and a learner",
		bounds{founders: 5, terms: 1, elected: true, learner: true, limits: [budgets]uint8{duplicates: unlimited, changes: 1}},
		bounds{founders: 5, terms: 1, elected: true, learner: true, limits: [budgets]uint8{duplicates: unlimited, changes: 2}}},
	{"no contact with a quorum",
		bounds{terms: 2, elected: true, limits: [budgets]uint8{elections: unlimited, duplicates: unlimited, proposals: 1, timeouts: 1}},
		bounds{terms: 2, elected: true, limits: [budgets]uint8{elections: unlimited, duplicates: unlimited, proposals: 1, timeouts: 2, restarts: 1}}},
	{"compaction and conflicting logs",
		bounds{terms: 3, contested: true, limits: [budgets]uint8{duplicates: unlimited, compactions: 2}},
		bounds{terms: 2, elected: true, limits: [budgets]uint8{elections: unlimited, duplicates: unlimited, proposals: 1, compactions: 1, restarts: 1}}},
	{"compaction and restart",
		bounds{terms: 2, elected: true, limits: [budgets]uint8{elections: unlimited, duplicates: unlimited, compactions: 1, restarts: 1}},
		bounds{terms: 2, elected: true, limits: [budgets]uint8{elections: unlimited, duplicates: unlimited, compactions: 2, restarts: 2}}},
	{"snapshot to a learner",
		bounds{terms: 1, elected: true, learner: true, smallMessages: true, limits: [budgets]uint8{duplicates: unlimited, learners: 1, proposals: 1, compactions: 1}},
		bounds{terms: 1, elected: true, learner: true, smallMessages: true, limits: [budgets]uint8{duplicates: unlimited, learners: 1, proposals: 1, compactions: 2, heartbeats: 1}}},
	{"snapshot that syncs with other steps",
		bounds{terms: 1, elected: true, learner: true, limits: [budgets]uint8{learners: 1, proposals: 1, compactions: 1, delayedFlushes: 1}},
		bounds{terms: 1, elected: true, learner: true, limits: [budgets]uint8{duplicates: unlimited, learners: 1, proposals: 1, compactions: 1, delayedFlushes: 1}}},
	{"snapshot to a follower",
		bounds{terms: 1, elected: true, limits: [budgets]uint8{duplicates: unlimited, proposals: 2, compactions: 1}},
		bounds{terms: 1, elected: true, limits: [budgets]uint8{duplicates: unlimited, proposals: 2, compactions: 1, restarts: 1}}},
	{"reads and leader transfer",
		bounds{terms: 2, elected: true, limits: [budgets]uint8{elections: 1, duplicates: unlimited, reads: 2, transfers: 1}},
		bounds{terms: 2, elected: true, limits: [budgets]uint8{elections: 1, duplicates: unlimited, proposals: 1, reads: 1, transfers: 1}}},
	{"proofs of freshness",
		bounds{terms: 2, elected: true, limits: [budgets]uint8{elections: 1, duplicates: unlimited, proposals: 1, freshnessQueries: 1, freshnessAttestations: 2}},
		bounds{terms: 2, elected: true, limits: [budgets]uint8{elections: 1, duplicates: unlimited, proposals: 1, freshnessQueries: 1, freshnessAttestations: 2, changes: 1}}},
	{"proofs and membership changes",
		bounds{terms: 1, elected: true, limits: [budgets]uint8{duplicates: unlimited, proposals: 1, freshnessQueries: 1, freshnessAttestations: 2, changes: 2}},
		bounds{terms: 1, elected: true, learner: true, limits: [budgets]uint8{duplicates: unlimited, proposals: 1, freshnessQueries: 1, freshnessAttestations: 2, changes: 1, wipes: 1}}},
	{"steps that sync together",
		bounds{terms: 2, elected: true, limits: [budgets]uint8{elections: 1, duplicates: unlimited, delayedFlushes: 1, compactions: 1}},
		bounds{terms: 2, elected: true, limits: [budgets]uint8{elections: 1, duplicates: unlimited, delayedFlushes: 1, proposals: 1}}},
	{"restored from one of two",
		bounds{founders: 2, terms: 3, elected: true, learner: true, limits: [budgets]uint8{elections: 1, duplicates: unlimited, learners: 2, changes: 1, restores: 1}},
		bounds{founders: 2, terms: 3, elected: true, learner: true, limits: [budgets]uint8{elections: 1, duplicates: unlimited, learners: 2, changes: 2, proposals: 1, restores: 1}}},
	{"restored from one of three",
		bounds{terms: 3, elected: true, learner: true, limits: [budgets]uint8{elections: 1, duplicates: unlimited, learners: 1, restores: 1}},
		bounds{terms: 3, elected: true, learner: true, limits: [budgets]uint8{elections: 1, duplicates: unlimited, proposals: 1, learners: 1, restores: 1}}},
	{"restored while the others go on",
		bounds{terms: 3, elected: true, limits: [budgets]uint8{elections: 1, duplicates: unlimited, proposals: 1, restores: 1}},
		bounds{terms: 3, elected: true, limits: [budgets]uint8{elections: 2, duplicates: unlimited, proposals: 1, restores: 1}}},
	{"proofs and a restored group",
		bounds{founders: 2, terms: 3, elected: true, limits: [budgets]uint8{elections: 1, duplicates: unlimited, proposals: 2, restores: 1, freshnessQueries: 1, freshnessAttestations: 2}},
		bounds{terms: 3, elected: true, limits: [budgets]uint8{elections: 2, duplicates: unlimited, proposals: 2, restores: 1, freshnessQueries: 1, freshnessAttestations: 3}}},
	{"fixed members and a lost disk",
		bounds{terms: 2, fixed: true, elected: true, limits: [budgets]uint8{elections: 1, heartbeats: 1, wipes: 1}},
		bounds{terms: 1, fixed: true, elected: true, limits: [budgets]uint8{heartbeats: 1, wipes: 1, proposals: 1, duplicates: 1}}},
}

// Changes of the members that a search begins with (bounds.pendingChange).
var (
	removalOfD  = modelEvent{kind: removeMember, arg: 3} // one of four founders
	additionOfD = modelEvent{kind: addMember, arg: 3}    // the learner beside three founders
)

const (
	wideSearches = "CONSENSUS_MODEL" // environment variable; "wide" selects the wider bounds
	modelLimit   = 4_000_000         // states that a search may visit at most
)

// Every state within the bounds satisfies every invariant. A search that doesn't visit all of them fails.
func TestModelChecker(t *testing.T) {
	for _, configuration := range modelSearches {
		t.Run(configuration.name, func(t *testing.T) {
			t.Parallel()
			limits := configuration.ci
			if os.Getenv(wideSearches) == "wide" {
				limits = configuration.wide
			}
			result := search(limits, modelLimit)
			if result.fault != "" {
				t.Fatalf("%s\nfound in %v\n\t%s", result.fault, result, strings.Join(result.trace, "\n\t"))
			}
			if result.limited {
				t.Fatalf("not covered: %v", result)
			}
			t.Logf("%s: %v", configuration.name, result)
		})
	}
}
