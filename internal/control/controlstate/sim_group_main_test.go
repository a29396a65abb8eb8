package controlstate

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// groupSimEvents are the events that each have to occur at least minOccurrences times if 30 or more seeds are run.
var groupSimEvents = []string{"acked", "acknowledged again", "read", "freshness proof", "lease granted", "rejected", "retried late", "retried very late", "response lost", "change forwarded to the leader",
	"two changes on one base version", "same change sent twice at once", "burst of changes",
	"node killed", "all nodes killed", "power loss of the leader, then of all", "leader killed after a change", "power loss of all after a change",
	"leader isolated during a change", "node frozen", "one-way partition", "node isolated", "full disk", "slow disk", "stalled disk", "leadership transferred", "SIGTERM", "crashed during a write",
	"split in halves for seconds", "several nodes fail at once", "split in halves",
	"isolated for 20 s", "long isolation: leader", "long isolation: both directions", "long isolation: inbound", "long isolation: outbound",
	"only seed is the isolated node", "isolated node restarted", "other nodes restarted",
	"sustained write load", "planned replacements", "SIGTERM in turn", "changes of a write load", "restart during a write load", "disk lost after a write load",
	"lost disk", "corrupted disk", "node replaced", "member joined", "membership changed", "loss triggered by a change",
	"second fault: change sent", "second fault: change acknowledged", "second fault: member joined", "second fault: membership changed", "second fault: new leader"}

// minOccurrences is the minimum number of times that each of groupSimEvents and restoreEvents has to occur.
const minOccurrences = 3

// wideSearchSeeds is the number of seeds from which on a search continues after a failure, to find all failures.
const wideSearchSeeds = 200

// runGroupSims runs simulations in parallel. It returns the failed ones, sorted by seed, and the total occurrences of each
// event.
func runGroupSims(from, count uint64, defect string) (failed []*groupSim, sum map[string]int) {
	var next atomic.Uint64
	var mu sync.Mutex
	var workers sync.WaitGroup
	sum = map[string]int{}
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for seed := from + next.Add(1) - 1; seed < from+count; seed = from + next.Add(1) - 1 {
				s := newGroupSim(seed, defect)
				s.run(2)
				mu.Lock()
				enough := count < wideSearchSeeds && len(failed) > 0
				for event, occurrences := range s.counts {
					sum[event] += occurrences
				}
				if len(s.violations) > 0 {
					failed = append(failed, s)
				}
				mu.Unlock()
				if enough {
					return
				}
			}
		})
	}
	workers.Wait()
	slices.SortFunc(failed, func(a, b *groupSim) int { return int(a.seed) - int(b.seed) })
	return failed, sum
}

// In simulations of a group with dynamic membership and faults of all kinds, no acknowledged change may be lost, the
// history must be linearizable, leases and proofs of freshness must be correct, and the group must recover within the
// bounds. `SIM_SEEDS=10000 go test -timeout 3h ./internal/control/controlstate -run 'TestSimGroup$' -v` runs more seeds;
// `SIM_SEED=17 SIM_SEEDS=1` replays one.
func TestSimGroup(t *testing.T) {
	from, count := seedsFromEnv(t, groupSeeds)
	failed, sum := runGroupSims(from, count, "")
	for index, s := range failed {
		t.Errorf("simulation with seed %d failed: %s", s.seed, s.violations[0])
		if index == 0 {
			t.Errorf("replay: SIM_SEED=%d SIM_SEEDS=1 go test ./internal/control/controlstate -run TestSimGroup\n%s", s.seed, s.lastTrace(40))
		}
	}
	t.Logf("%d seeds, %d failed; occurrences of each event: %v", count, len(failed), sum)
	for _, event := range groupSimEvents {
		if count >= 30 && len(failed) == 0 && sum[event] < minOccurrences {
			t.Errorf("event %q occurred %d times in %d seeds, want at least %d: the simulator does not cover it", event, sum[event], count, minOccurrences)
		}
	}
}

// The checks of the group simulator must detect defects that are built into the simulated system on purpose.
func TestSimGroupCatchesPlantedFaults(t *testing.T) {
	const batch, maxSeeds = 3, 300
	for defect, want := range map[string]string{defectSameIncarnation: "", defectStaleView: "freshness proof is wrong", defectDeadTimer: "no change was acknowledged within", defectLostPoll: "the agent has version", defectLateLease: "hold the lease"} {
		found := ""
		for from := uint64(0); from < maxSeeds && found == ""; from += batch {
			failed, _ := runGroupSims(from, batch, defect)
			for _, s := range failed {
				if strings.Contains(s.violations[0], want) && found == "" {
					found = fmt.Sprintf("seed %d: %s", s.seed, s.violations[0])
				}
			}
		}
		if found == "" {
			t.Errorf("deliberate defect %q was not detected in %d seeds", defect, maxSeeds)
		}
		t.Logf("deliberate defect %q was detected by %s", defect, found)
	}
}
