package clustersim

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"pebbleloom/internal/sim/testbed"
)

// scenario returns the test bed scenario with the given name, at ten requests a second.
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
	t.Fatalf("test bed has no scenario %q", name)
	return testbed.Scenario{}
}

// The retirement of a base model under traffic violates no invariant. The scenario retire-calm is compared with the same
// traffic without a retirement: no more requests may miss their deadline.
func TestRetirementsUnderTraffic(t *testing.T) {
	late := func(report *testbed.Report) int { return report.Sum.Requests - report.Sum.Sealed }
	for _, name := range []string{"retire-calm", "retire-troubles", "retire-abort"} {
		scenario := scenario(t, name)
		report := runScenario(t, scenario, scenario.Site, 1, func(s *testbed.Site) *Cluster { return New(1, s) })
		t.Log(testbed.Line(report))
		if len(report.Faults) > 0 {
			t.Errorf("scenario %s: got violations of invariants, want none:\n%s\nsteps:\n%s", name, strings.Join(report.Faults, "\n"), strings.Join(report.Steps, "\n"))
		}
		if name != "retire-calm" {
			continue
		}
		last := scenario.Steps[len(scenario.Steps)-1].At
		scenario.Steps, scenario.AfterRecoveryMs = nil, 40000+last
		comparison := runScenario(t, scenario, scenario.Site, 1, func(s *testbed.Site) *Cluster { return New(1, s) })
		t.Log(testbed.Line(comparison))
		if a, b := late(report), late(comparison); a > b {
			t.Errorf("requests not completed before their deadline: %d of %d with a retirement, want no more than the %d of %d without one", a, report.Sum.Requests, b, comparison.Sum.Requests)
		}
	}
}

// The retirement of a base model completes, and the invariants hold, under combinations of faults that are drawn at
// random from a seed. Left out are faults that the checks can't distinguish from the retirement (other weights of the
// base model), and those that never end (a drained worker that isn't replaced). `TABLE_SEEDS=20 go test
// ./internal/sim/clustersim -run TestMixturesInARetirement -timeout 2h` runs twenty seeds.
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
				t.Errorf("%d violations of invariants in the retirement of a base model under faults, want none:\n%s\nsteps:\n%s", len(r.Faults), strings.Join(r.Faults, "\n"), strings.Join(r.Steps, "\n"))
			}
		})
	}
}

// Measures how long the retirement of a base model takes, by the number of workers that migrate at once.
// `TABLE_PACES=1,2,3,6 go test ./internal/sim/clustersim -run TestPaces -v` prints a line for each number.
func TestPaces(t *testing.T) {
	concurrencies := os.Getenv("TABLE_PACES")
	if concurrencies == "" {
		t.Skip("measurement of retirement durations; set TABLE_PACES to run it")
	}
	for _, n := range strings.Split(concurrencies, ",") {
		scenario := scenario(t, "retire-calm")
		scenario.Steps[0].Argument = `{"shares":[100],"at_once":` + n + `}`
		r := runScenario(t, scenario, scenario.Site, 1, func(s *testbed.Site) *Cluster { return New(1, s) })
		if len(r.Faults) > 0 {
			t.Errorf("retirement of a base model, %s workers migrating at once: violations of invariants %v, want none", n, r.Faults)
		}
		fmt.Printf("retirement of a base model, migrating %s of 18 workers to the new model at once: steps %s; requests without a complete response: %d of %d\n", n, strings.Join(r.Steps, ", "), r.Sum.Requests-r.Sum.Sealed, r.Sum.Requests)
	}
}

// The checks of a run detect injected faults in the retirement of a base model: a worker that reports adapters it
// hasn't loaded rejects the proof requests that must succeed before the old base model is unloaded, so that the old
// base model stays; and clients detect a response that was generated with the wrong adapter.
func TestPlantedFaultsOfARetirement(t *testing.T) {
	step := func(at int, do, who, to string) testbed.Step {
		return testbed.Step{At: at, Action: do, Targets: who, Argument: to}
	}
	for _, test := range []struct {
		name, want, state string
		every             int
		tamper            func([]byte) []byte
	}{
		{"a worker reports adapters that it hasn't loaded", "its proof failed", "done", 18, nil},
		{"a response is generated with another adapter", "want the model that the requested name appraise maps to", "move", 0, replaceBytes(`"adapter":"appraise"`, `"adapter":"appraisf"`)},
	} {
		scenario := testbed.Scenario{Name: "planted", Retire: true, Rate: 10, RecoveryMs: 1000, AfterRecoveryMs: 2000,
			Steps: []testbed.Step{step(1000, "retire", "spring", `{"shares":[100],"at_once":6}`), step(2000, "retired", "spring", test.state)}}
		report := runScenario(t, scenario, "paramo", 3, func(s *testbed.Site) *Cluster {
			if test.every > 0 {
				injectWorkerFault(s, "boasts", test.every)
			}
			cluster := New(3, s)
			cluster.tamperWithReads = test.tamper
			return cluster
		})
		if all := strings.Join(report.Faults, "\n"); !strings.Contains(all, test.want) {
			t.Errorf("fault %q: want a violation that contains %q, got:\n%.1500s", test.name, test.want, all)
		}
	}
}
