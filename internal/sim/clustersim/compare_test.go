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

// Measures the placement modes in virtual time, where the speed of the host has no influence on the results.
// `TABLE_COMPARE="kv=6000 skew=1.0 link=40000" TABLE_SITE=paramo TABLE_SEEDS=5 go test ./internal/sim/clustersim -run
// TestCompare -v -timeout 3h` prints a table of the modes; each seed is run with every mode in turn.
func TestCompare(t *testing.T) {
	options := os.Getenv("TABLE_COMPARE")
	if options == "" {
		t.Skip("measurement of placement modes; set TABLE_COMPARE to run it")
	}
	site, modes := os.Getenv("TABLE_SITE"), testbed.Modes()
	if option := os.Getenv("TABLE_MODES"); option != "" {
		modes = strings.Split(option, ",")
	}
	from, seeds := envNumber(t, "TABLE_SEED", 1), envNumber(t, "TABLE_SEEDS", 5)
	got := map[string][]*testbed.Report{}
	for seed := from; seed < from+seeds; seed++ {
		for _, mode := range modes {
			scenario := testbed.Scenario{Name: mode, RecoveryMs: 1000, AfterRecoveryMs: 59000}
			report := runScenario(t, scenario, site, seed, func(layout *testbed.Site) *Cluster {
				v := layout.Config.Services[layout.Traffic.Model+"-main"]
				v.Placement = mode
				layout.Config.Services[layout.Traffic.Model+"-main"] = v
				layout.Traffic.Rate = map[string]float64{"paramo": 45, "daegu": 30}[site]
				for _, option := range strings.Fields(options) {
					if x, ok := strings.CutPrefix(option, "skew="); ok {
						for i := range layout.Traffic.Kinds {
							if _, err := fmt.Sscan(x, &layout.Traffic.Kinds[i].Skew); err != nil {
								t.Fatal(err)
							}
						}
						continue
					}
					for i := range layout.Processes {
						if layout.Processes[i].Program == programs.WorkerSim { // prepend: only the first of several options with the same name has an effect
							layout.Processes[i].Settings.Options = append([]string{option}, layout.Processes[i].Settings.Options...)
						}
					}
				}
				return New(seed, layout)
			})
			if len(report.Faults) > 0 {
				t.Errorf("placement mode %s, seed %d: violations of invariants %v, want none", mode, seed, report.Faults)
			}
			got[mode] = append(got[mode], report)
		}
	}
	fmt.Printf("site %s, options %s, seeds %d to %d: median (minimum to maximum)\n| placement | hit share | fetched share | R_max | replicated | prefilled | load max/mean | first chunk ms, median | 95th percentile |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
		site, options, from, from+seeds-1)
	for _, mode := range modes {
		col := func(form string, f func(*testbed.Report) float64) string {
			var l []float64
			for _, report := range got[mode] {
				l = append(l, f(report))
			}
			sort.Float64s(l)
			return fmt.Sprintf(form+" ("+form+" to "+form+")", l[len(l)/2], l[0], l[len(l)-1])
		}
		fmt.Printf("| %s | %s | %s | %s | %s | %s | %s | %s | %s |\n", mode, col("%.3f", func(report *testbed.Report) float64 { return report.Sum.HitShare }),
			col("%.3f", func(report *testbed.Report) float64 { return report.Sum.FetchedShare }), col("%.2f", func(report *testbed.Report) float64 { return report.RMax }),
			col("%.0f", func(report *testbed.Report) float64 { return float64(report.Replicated) }), col("%.0f", func(report *testbed.Report) float64 { return float64(report.Sum.PrefilledTokens) }),
			col("%.2f", func(report *testbed.Report) float64 { return report.Sum.LoadMaxToMean }), col("%.0f", func(report *testbed.Report) float64 { return float64(report.Sum.First50Ms) }),
			col("%.0f", func(report *testbed.Report) float64 { return float64(report.Sum.First95Ms) }))
	}
}
