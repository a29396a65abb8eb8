package clustersim

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"

	"pebbleloom/internal/sim/testbed"
)

// envNumber returns the number in the environment variable key, or the default if the variable isn't set.
func envNumber(t *testing.T, key string, defaultValue uint64) uint64 {
	t.Helper()
	v := os.Getenv(key)
	if v == "" {
		return defaultValue
	}
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		t.Fatalf("environment variable %s: %v", key, err)
	}
	return n
}

// runScenario runs a test bed scenario in a testing/synctest bubble on the cluster that newCluster returns, and returns the
// report.
func runScenario(t *testing.T, scenario testbed.Scenario, site string, seed uint64, newCluster func(*testbed.Site) *Cluster) (report *testbed.Report) {
	t.Helper()
	if raceDetector {
		t.Skip("the race detector doesn't support simulations of this size; run without -race (see README)")
	}
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		var err error
		report, err = testbed.PlayOn(t.Context(), scenario, testbed.Options{Site: site, Seed: seed, Dir: dir, AddressByte: 10}, func(s *testbed.Site) (testbed.Environment, error) {
			return newCluster(s), nil
		})
		if err != nil {
			t.Errorf("run scenario %s on site %s: %v", scenario.Name, site, err)
		}
	})
	if report == nil {
		t.Fatal("the scenario ended without a report")
	}
	return report
}

// historyScenario is a scenario that uses every kind of configuration change an operator has. The linearizability check
// of its history must cover at least minCheckedOperations operations.
const (
	historyScenario      = "keys-and-drains"
	minCheckedOperations = 100
)

// ciScenarios are the scenarios that run if TABLE_SCENARIO isn't set: the first one on every site, the others on the
// site that the scenario names.
var ciScenarios = []string{"all-together", historyScenario, "runbooks"}

// The scenarios of the test bed run in virtual time without a violation of the invariants. `TABLE_SCENARIO=all go test
// ./internal/sim/clustersim -run TestScenarios -timeout 2h` runs all of them; TABLE_SITE
// is the name of the only site to run, TABLE_SEED the first seed and TABLE_SEEDS the number of consecutive seeds.
func TestScenarios(t *testing.T) {
	l, err := testbed.Scenarios()
	if err != nil {
		t.Fatal(err)
	}
	from, n := envNumber(t, "TABLE_SEED", 1), envNumber(t, "TABLE_SEEDS", 1)
	for _, scenario := range l {
		if w := os.Getenv("TABLE_SCENARIO"); w != "all" && w != scenario.Name && (w != "" || !slices.Contains(ciScenarios, scenario.Name)) {
			continue
		}
		for _, site := range testbed.Sites() {
			if w := os.Getenv("TABLE_SITE"); w != "" && w != site {
				continue
			}
			if os.Getenv("TABLE_SCENARIO") == "" && scenario.Name != ciScenarios[0] && scenario.Site != site {
				continue
			}
			for seed := from; seed < from+n; seed++ {
				t.Run(fmt.Sprintf("%s/%s/%d", scenario.Name, site, seed), func(t *testing.T) {
					if scenario.Rate == 0 {
						scenario.Rate = 10
					}
					r := runScenario(t, scenario, site, seed, func(s *testbed.Site) *Cluster { return New(seed, s) })
					t.Log(testbed.Line(r))
					if scenario.Name == historyScenario && r.Judged < minCheckedOperations {
						t.Errorf("linearizability check covered %d operations on the configuration, want at least %d", r.Judged, minCheckedOperations)
					}
					if len(r.Faults) > 0 {
						t.Errorf("scenario run has %d violations of invariants, want none:\n%s\nsteps:\n%s\nreplay: TABLE_SCENARIO=%s TABLE_SITE=%s TABLE_SEED=%d go test ./internal/sim/clustersim -run TestScenarios -v",
							len(r.Faults), strings.Join(r.Faults, "\n"), strings.Join(r.Steps, "\n"), scenario.Name, site, seed)
					}
				})
			}
		}
	}
}

// runMixture runs a scenario with the given faults on a site and returns the report.
func runMixture(t *testing.T, site string, seed uint64, faults []testbed.Fault) *testbed.Report {
	t.Helper()
	scenario := testbed.FaultScenario(site, seed, faults)
	scenario.Rate = 10
	r := runScenario(t, scenario, site, seed, func(s *testbed.Site) *Cluster { return New(seed, s) })
	t.Logf("%s: %s", testbed.Line(r), scenario.About)
	return r
}

// The invariants of a site hold under combinations of faults that are drawn at random from a seed. `TABLE_SEEDS=1000
// go test ./internal/sim/clustersim -run TestMixtures -timeout 12h` runs a thousand seeds; TABLE_SEED is the first
// seed, and TABLE_SHRINK=1 reduces the faults of a failing seed to those that are needed for a violation.
func TestMixtures(t *testing.T) {
	from, n := envNumber(t, "TABLE_SEED", 1), envNumber(t, "TABLE_SEEDS", 1)
	for seed := from; seed < from+n; seed++ {
		site := testbed.Sites()[seed%2]
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			faults := testbed.DrawFaults(seed)
			r := runMixture(t, site, seed, faults)
			if len(r.Faults) == 0 {
				return
			}
			for i := 0; os.Getenv("TABLE_SHRINK") != "" && i < len(faults); {
				fewer := append(append([]testbed.Fault(nil), faults[:i]...), faults[i+1:]...)
				if o := runMixture(t, site, seed, fewer); len(o.Faults) > 0 {
					faults, r = fewer, o
				} else {
					i++
				}
			}
			t.Errorf("run with random faults has %d violations of invariants, want none:\n%s\nsteps:\n%s\nreplay: TABLE_SEED=%d TABLE_SEEDS=1 TABLE_SHRINK=1 go test ./internal/sim/clustersim -run TestMixtures -v",
				len(r.Faults), strings.Join(r.Faults, "\n"), strings.Join(r.Steps, "\n"), seed)
		})
	}
}
