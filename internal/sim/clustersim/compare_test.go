package clustersim

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"

	"pebbleloom/internal/programs"
	"pebbleloom/internal/sim/testbed"
)

// A measurement of the placement modes in virtual time, where the speed of the machine has no influence.
// `TABLE_COMPARE="kv=6000 skew=1.0 link=40000" TABLE_SITE=paramo TABLE_SEEDS=5 go test ./internal/sim/clustersim -run
// TestCompare -v -timeout 3h` prints a table; the modes take turns within a seed.
func TestCompare(t *testing.T) {
	words := os.Getenv("TABLE_COMPARE")
	if words == "" {
		t.Skip("a measurement: run it by hand")
	}
	site, modes := os.Getenv("TABLE_SITE"), testbed.Modes()
	if w := os.Getenv("TABLE_MODES"); w != "" {
		modes = strings.Split(w, ",")
	}
	from, n := envNumber(t, "TABLE_SEED", 1), envNumber(t, "TABLE_SEEDS", 5)
	got := map[string][]*testbed.Report{}
	for seed := from; seed < from+n; seed++ {
		for _, m := range modes {
			scenario := testbed.Scenario{Name: m, RecoveryMs: 1000, AfterRecoveryMs: 59000}
			r := runScenario(t, scenario, site, seed, func(s *testbed.Site) *Cluster {
				v := s.Config.Services[s.Traffic.Model+"-main"]
				v.Placement = m
				s.Config.Services[s.Traffic.Model+"-main"] = v
				s.Traffic.Rate = map[string]float64{"paramo": 45, "daegu": 30}[site]
				for _, w := range strings.Fields(words) {
					if x, ok := strings.CutPrefix(w, "skew="); ok {
						for i := range s.Traffic.Kinds {
							if _, err := fmt.Sscan(x, &s.Traffic.Kinds[i].Skew); err != nil {
								t.Fatal(err)
							}
						}
						continue
					}
					for i := range s.Processes {
						if s.Processes[i].Program == programs.WorkerSim { // the first option of a name has effect
							s.Processes[i].Settings.Options = append([]string{w}, s.Processes[i].Settings.Options...)
						}
					}
				}
				return New(seed, s)
			})
			if len(r.Faults) > 0 {
				t.Errorf("%s, seed %d: %v", m, seed, r.Faults)
			}
			got[m] = append(got[m], r)
		}
	}
	fmt.Printf("%s, %s, seeds %d to %d: median (least to most)\n| placement | hit share | fetched share | R_max | replicated | prefilled | load max/mean | first piece ms, median | 95th |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
		site, words, from, from+n-1)
	for _, m := range modes {
		col := func(form string, f func(*testbed.Report) float64) string {
			var l []float64
			for _, r := range got[m] {
				l = append(l, f(r))
			}
			sort.Float64s(l)
			return fmt.Sprintf(form+" ("+form+" to "+form+")", l[len(l)/2], l[0], l[len(l)-1])
		}
		fmt.Printf("| %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", m, col("%.3f", func(r *testbed.Report) float64 { return r.Sum.HitShare }),
			col("%.3f", func(r *testbed.Report) float64 { return r.Sum.FetchedShare }), col("%.2f", func(r *testbed.Report) float64 { return r.RMax }),
			col("%.0f", func(r *testbed.Report) float64 { return float64(r.Replicated) }), col("%.0f", func(r *testbed.Report) float64 { return float64(r.Sum.PrefilledTokens) }),
			col("%.2f", func(r *testbed.Report) float64 { return r.Sum.LoadMaxToMean }), col("%.0f", func(r *testbed.Report) float64 { return float64(r.Sum.First50Ms) }),
			col("%.0f", func(r *testbed.Report) float64 { return float64(r.Sum.First95Ms) }))
	}
}
