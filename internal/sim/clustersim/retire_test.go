package clustersim

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"pebbleloom/internal/sim/testbed"
)

func scenario(t *testing.T, name string) testbed.Scenario {
	t.Helper()
	l, err := testbed.Scenarios()
	if err != nil {
		t.Fatal(err)
	}
	for _, scenario := range l {
		if scenario.Name == name {
			scenario.Rate = 10
			return scenario
		}
	}
	t.Fatalf("no scenario %s", name)
	return testbed.Scenario{}
}

// Whole retirements under live traffic, with the programs as they are. Beside the first stands the same
// traffic without one: nobody waits past their bound because of it.
func TestRetirementsUnderTraffic(t *testing.T) {
	late := func(r *testbed.Report) int { return r.Sum.Requests - r.Sum.Sealed }
	for _, name := range []string{"retire-calm", "retire-troubles", "retire-abort"} {
		scenario := scenario(t, name)
		r := runScenario(t, scenario, scenario.Site, 1, func(s *testbed.Site) *Cluster { return New(1, s) })
		t.Log(testbed.Line(r))
		if len(r.Faults) > 0 {
			t.Errorf("%s:\n%s\n%s", name, strings.Join(r.Faults, "\n"), strings.Join(r.Steps, "\n"))
		}
		if name != "retire-calm" {
			continue
		}
		last := scenario.Steps[len(scenario.Steps)-1].At
		scenario.Steps, scenario.AfterRecoveryMs = nil, 40000+last
		o := runScenario(t, scenario, scenario.Site, 1, func(s *testbed.Site) *Cluster { return New(1, s) })
		t.Log(testbed.Line(o))
		if a, b := late(r), late(o); a > b {
			t.Errorf("%d of %d requests weren't answered in time with a retirement, %d of %d without", a, r.Sum.Requests, b, o.Sum.Requests)
		}
	}
}

// Seeded mixtures of the site's troubles while a retirement is under way: it ends, and no rule is broken.
// Left out is what the run's own checks can't tell apart (other weights of the base), and what nobody
// ends (a drained worker that isn't replaced). `TABLE_SEEDS=20 go test ./internal/sim/clustersim -run
// TestMixturesInARetirement -timeout 2h` runs wide.
func TestMixturesInARetirement(t *testing.T) {
	from, n := envNumber(t, "TABLE_SEED", 1), envNumber(t, "TABLE_SEEDS", 1)
	for seed := from; seed < from+n; seed++ {
		site := testbed.Sites()[seed%2]
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			var l []testbed.Fault
			for _, x := range testbed.DrawFaults(seed) {
				switch x.Name {
				case "weights", "weights-again", "drain", "warn", "clock":
				default:
					l = append(l, x)
				}
			}
			scenario := testbed.FaultScenario(site, seed, l)
			scenario.Rate, scenario.Retire = 10, true
			last := 0
			for _, x := range scenario.Steps {
				last = max(last, x.At)
			}
			scenario.Steps = append(append([]testbed.Step{{At: 500, Action: "retire", Targets: "spring", Argument: `{"shares":[25,100],"soak_s":1,"at_once":3,"abort_at":1}`}}, scenario.Steps...),
				testbed.Step{At: last + 1000, Action: "retired", Targets: "spring", Argument: "done"})
			r := runScenario(t, scenario, site, seed, func(s *testbed.Site) *Cluster { return New(seed, s) })
			t.Logf("%s: %s", testbed.Line(r), scenario.About)
			if len(r.Faults) > 0 {
				t.Errorf("%d faults:\n%s\nsteps:\n%s", len(r.Faults), strings.Join(r.Faults, "\n"), strings.Join(r.Steps, "\n"))
			}
		})
	}
}

// How long a retirement takes, by how many nodes go together. `TABLE_PACES=1,2,3,6 go test
// ./internal/sim/clustersim -run TestPaces -v` prints a line each.
func TestPaces(t *testing.T) {
	words := os.Getenv("TABLE_PACES")
	if words == "" {
		t.Skip("a measurement: run it by hand")
	}
	for _, n := range strings.Split(words, ",") {
		scenario := scenario(t, "retire-calm")
		scenario.Steps[0].Argument = `{"shares":[100],"at_once":` + n + `}`
		r := runScenario(t, scenario, scenario.Site, 1, func(s *testbed.Site) *Cluster { return New(1, s) })
		if len(r.Faults) > 0 {
			t.Errorf("%v", r.Faults)
		}
		fmt.Printf("%s of 18 at once: %s; unanswered %d of %d\n", n, strings.Join(r.Steps, ", "), r.Sum.Requests-r.Sum.Sealed, r.Sum.Requests)
	}
}

// Planted faults that only the programs can show: a worker that boasts of adapters holds the barrier, so
// the old base stays; and one that answers under the wrong weights is seen by its callers.
func TestPlantedFaultsOfARetirement(t *testing.T) {
	step := func(at int, do, who, to string) testbed.Step {
		return testbed.Step{At: at, Action: do, Targets: who, Argument: to}
	}
	for _, x := range []struct {
		point, want, state string
		every              int
		tamper             func([]byte) []byte
	}{
		{"a worker boasts", "its proof failed", "done", 18, nil},
		{"an answer is another adapter's", "isn't what", "move", 0, replaceBytes(`"adapter":"appraise"`, `"adapter":"appraisf"`)},
	} {
		scenario := testbed.Scenario{Name: "planted", Retire: true, Rate: 10, RecoveryMs: 1000, AfterRecoveryMs: 2000,
			Steps: []testbed.Step{step(1000, "retire", "spring", `{"shares":[100],"at_once":6}`), step(2000, "retired", "spring", x.state)}}
		r := runScenario(t, scenario, "paramo", 3, func(s *testbed.Site) *Cluster {
			if x.every > 0 {
				plantWorkerFault(s, "boasts", x.every)
			}
			table := New(3, s)
			table.tamperWithReads = x.tamper
			return table
		})
		if all := strings.Join(r.Faults, "\n"); !strings.Contains(all, x.want) {
			t.Errorf("%s: %q isn't among the faults:\n%.1500s", x.point, x.want, all)
		}
	}
}
