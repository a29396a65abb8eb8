package consensus

import (
	"os"
	"strings"
	"testing"
)

// modelSearch is one configuration of the model checker: the bounds of the search that CI runs, and
// those of the wider one.
type modelSearch struct {
	name     string
	ci, wide bounds
}

// A group's network repeats messages without a bound; that of fixed members, whose rejoining sends whole
// logs, as often as the bounds say.
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
	{"fixed members and a lost disk",
		bounds{terms: 2, fixed: true, elected: true, limits: [budgets]uint8{elections: 1, heartbeats: 1, wipes: 1}},
		bounds{terms: 1, fixed: true, elected: true, limits: [budgets]uint8{heartbeats: 1, wipes: 1, proposals: 1, duplicates: 1}}},
}

// wideSearches asks for the wider bounds; modelLimit is the most states that a search may visit then.
const (
	wideSearches = "CONSENSUS_MODEL"
	modelLimit   = 4_000_000
)

// Every state within the bounds holds every invariant. A search that doesn't visit them all fails.
func TestModelChecker(t *testing.T) {
	for _, m := range modelSearches {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			limits := m.ci
			if os.Getenv(wideSearches) == "wide" {
				limits = m.wide
			}
			result := search(limits, modelLimit)
			if result.fault != "" {
				t.Fatalf("%s\nfound in %v\n\t%s", result.fault, result, strings.Join(result.trace, "\n\t"))
			}
			if result.limited {
				t.Fatalf("not covered: %v", result)
			}
			t.Logf("%s: %v", m.name, result)
		})
	}
}
