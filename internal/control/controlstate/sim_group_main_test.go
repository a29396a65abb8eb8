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

// groupSimEvents must each happen often in thirty runs.
var groupSimEvents = []string{"acked", "done again", "read", "proof", "granted", "refused", "sent again late", "sent again very late", "answer lost", "by a node that doesn't lead",
	"one number, two contents", "one number, one content", "eight at once",
	"kill", "all killed", "leader first, then all", "killed soon after an order", "all lose power soon after an order",
	"cut off as an order is under way", "freeze", "cut one way", "cut off", "full disk", "slow disk", "stalled disk", "handed over", "SIGTERM", "died in a write",
	"cut off for 20 s", "long cut: the leader", "long cut: both ways", "long cut: hears nothing", "long cut: not heard",
	"seeds name only those cut off", "restarted on the cut side", "restarted on the other side",
	"storm of changes", "planned replacements", "SIGTERM in turn", "changes of storms", "restart in a storm", "wiped after a storm",
	"lost disk", "replaced", "taken in", "members change", "loss timed by an order's sending",
	"second strike: order sent", "second strike: acknowledged", "second strike: taken in", "second strike: members change", "second strike: new leader"}

// minOccurrences is how often each of groupSimEvents must happen in thirty runs.
const minOccurrences = 3

// wideSearchSeeds is the number of seeds from which on a search continues after a failure, to find all.
const wideSearchSeeds = 200

// runGroupSims runs seeds in parallel. It returns the runs that failed, by seed, and the sums of all counts.
func runGroupSims(from, n uint64, plant string) (failed []*groupSim, sum map[string]int) {
	var next atomic.Uint64
	var mu sync.Mutex
	var wg sync.WaitGroup
	sum = map[string]int{}
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for seed := from + next.Add(1) - 1; seed < from+n; seed = from + next.Add(1) - 1 {
				s := newGroupSim(seed, plant)
				s.run(2)
				mu.Lock()
				enough := n < wideSearchSeeds && len(failed) > 0
				for k, v := range s.counts {
					sum[k] += v
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
	wg.Wait()
	slices.SortFunc(failed, func(a, b *groupSim) int { return int(a.seed) - int(b.seed) })
	return failed, sum
}

// Many seeded runs of a group with dynamic membership, with faults of all kinds.
// `SIM_SEEDS=10000 go test -timeout 3h ./internal/control/controlstate -run 'TestSimGroup$' -v` runs
// wide; `SIM_SEED=17 SIM_SEEDS=1` replays one.
func TestSimGroup(t *testing.T) {
	from, n := seedsFromEnv(t, groupSeeds)
	failed, sum := runGroupSims(from, n, "")
	for i, s := range failed {
		t.Errorf("seed %d: %s", s.seed, s.violations[0])
		if i == 0 {
			t.Errorf("replay: SIM_SEED=%d SIM_SEEDS=1 go test ./internal/control/controlstate -run TestSimGroup\n%s", s.seed, s.lastTrace(40))
		}
	}
	t.Logf("%d seeds, %d failed: %v", n, len(failed), sum)
	for _, k := range groupSimEvents {
		if n >= 30 && len(failed) == 0 && sum[k] < minOccurrences {
			t.Errorf("%s happened only %d times: the simulator doesn't reach it", k, sum[k])
		}
	}
}

// The checks of the simulator find planted faults.
func TestSimGroupCatchesPlantedFaults(t *testing.T) {
	const batch, most = 3, 300
	for plant, want := range map[string]string{"same-incarnation": "", "vouch-open": "the proof says", "lease-late": "hold the duty"} {
		caught := ""
		for from := uint64(0); from < most && caught == ""; from += batch {
			failed, _ := runGroupSims(from, batch, plant)
			for _, s := range failed {
				if strings.Contains(s.violations[0], want) && caught == "" {
					caught = fmt.Sprintf("seed %d: %s", s.seed, s.violations[0])
				}
			}
		}
		if caught == "" {
			t.Errorf("%s: not caught by %d seeds", plant, most)
		}
		t.Logf("%s: %s", plant, caught)
	}
}
