package testbed

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"pebbleloom/internal/sim/workersim"
)

// buildPrograms builds all executables into a temporary folder at its first call, and returns the folder.
var buildPrograms = sync.OnceValues(func() (string, error) {
	bin, err := os.MkdirTemp("", "pebbleloom-bin-")
	if err != nil {
		return "", err
	}
	c := exec.Command("go", "build", "-o", bin+"/", "./cmd/...")
	c.Dir = "../../.."
	if out, err := c.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build the executables: %w: %s", err, out)
	}
	return bin, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if bin, err := buildPrograms(); err == nil {
		os.RemoveAll(bin)
	}
	os.Exit(code)
}

// builtPrograms returns the folder of the executables, which it builds if no earlier test has.
func builtPrograms(t *testing.T) string {
	t.Helper()
	bin, err := buildPrograms()
	if err != nil {
		t.Fatal(err)
	}
	return bin
}

// Runs each site for a short time as separate processes. Responses must be complete and agree with the journals of the
// workers, and cached prompt prefixes must be reused.
func TestSites(t *testing.T) {
	bin := builtPrograms(t)
	for i, site := range Sites() {
		t.Run(site, func(t *testing.T) {
			dir := t.TempDir()
			result, err := Run(context.Background(), Options{Site: site, Dir: dir, Programs: bin, Seconds: 6, AddressByte: 30 + i, Seed: 1, Rate: 15})
			if err != nil {
				for _, n := range append(processesOf(coreProcesses, "core-1"), processesOf(edgeProcesses, "edge-1")...) {
					if raw, e := os.ReadFile(filepath.Join(dir, n+".log")); e == nil {
						t.Logf("end of the log of process %s:\n%s", n, raw[max(0, len(raw)-2000):])
					}
				}
				t.Fatalf("run site %s: %v", site, err)
			}
			if len(result.Faults) > 0 {
				t.Errorf("site %s: responses or journals violate the contract: %v", site, result.Faults)
			}
			if result.Sealed < result.Requests*8/10 {
				t.Errorf("site %s: %d of %d requests got a complete response, want at least 8 of 10; rejections by kind: %v", site, result.Sealed, result.Requests, result.Rejected)
			}
			if result.CachedTokens == 0 {
				t.Errorf("site %s: got 0 prompt tokens from worker caches, want some", site)
			}
		})
	}
}

// Decodes every scenario file, and runs one scenario as separate processes; the command `testbed play` runs the others.
func TestScenarios(t *testing.T) {
	scenarios, err := Scenarios()
	if err != nil || len(scenarios) < 20 {
		t.Fatalf("decode the scenario files: got %d scenarios and error %v, want at least 20 scenarios", len(scenarios), err)
	}
	for _, scenario := range scenarios {
		if scenario.Name != "owner-killed" {
			continue
		}
		scenario.Rate, scenario.AfterRecoveryMs = 12, 2000
		report, err := Play(context.Background(), scenario, Options{Dir: t.TempDir(), Programs: builtPrograms(t), AddressByte: 33, Seed: 1})
		if err != nil {
			t.Fatalf("run scenario %s: %v", scenario.Name, err)
		}
		for _, f := range report.Faults {
			t.Errorf("scenario %s: violation of an invariant: %s", scenario.Name, f)
		}
		if report.Judged < 60 {
			t.Errorf("scenario %s: %d operations on the configuration were checked for linearizability, want at least 60", scenario.Name, report.Judged)
		}
		t.Logf("scenario %s: %d of %d requests got a complete response; %d operations on the configuration checked, %d attempts with unknown outcome; steps: %v", scenario.Name, report.Sum.Sealed, report.Sum.Requests, report.Judged, report.Unclear, report.Steps)
	}
}

// worstWindow must consider windows at any start: it must find a burst of retries while requests arrive, and one
// after the last request.
func TestWorstWindowOfExtraRuns(t *testing.T) {
	var first []int64
	for i := range int64(100) {
		first = append(first, i*100) // requests arrive every 100 ms for 10 s, then none
	}
	for _, test := range []struct {
		extra                               []int64
		wantExtra, minRequests, maxRequests int
	}{{[]int64{5000, 5001, 5002}, 3, 40, 100}, {[]int64{18000, 18001, 18002, 18003}, 4, 0, 30}, {nil, 0, 0, 0}} {
		if extra, requests := worstWindow(test.extra, first, 10000, 0.2); extra != test.wantExtra || requests < test.minRequests || requests > test.maxRequests {
			t.Errorf("window of 10 s with the most retries relative to the requests, with retries at %v ms: got %d retries and %d requests, want %d retries and from %d to %d requests", test.extra, extra, requests, test.wantExtra, test.minRequests, test.maxRequests)
		}
	}
}

// Tally must parse the lines that Line formats, skip other lines, and count every run and violation. Without a line of
// a run it must fail.
func TestTally(t *testing.T) {
	r := &Report{Scenario: "mix-3", Site: "daegu", Seed: 3, SealedDuring: 0.9, SealedAfterRecovery: 1}
	r.Sum.Sealed, r.Sum.Requests, r.Sum.Rejected = 8, 10, map[string]int{"not-run": 2}
	secondReport := *r
	secondReport.Scenario, secondReport.Faults, secondReport.ExtraRuns = "mix-4", []string{"one", "two"}, 3
	var out strings.Builder
	if err := Tally(strings.NewReader("noise\n"+Line(r)+"\n  "+Line(&secondReport)+"\n"), &out); err != nil || !strings.Contains(out.String(), "| mixtures | daegu | 2 | 2 | 0.800, worst 0.800 | 0.900, worst 0.900 | 1.000, worst 1.000 | 3 at most |") {
		t.Errorf("tally of two runs with 0 and 2 violations: got error %v and table\n%s\nwant a row with 2 runs and 2 violations", err, out.String())
	}
	if err := Tally(strings.NewReader("noise"), &out); err == nil {
		t.Error("tally of an input without a result line: got no error, want one")
	}
}

// checkFencing must report two lease holders that use the same fencing token, and a worker that executes an order with a
// lower token than an earlier one. A regular change of the lease holder is no violation.
func TestCheckFencing(t *testing.T) {
	order := func(at int64, token uint64, holder string) workersim.Run {
		return workersim.Run{AtMs: at, FencingToken: token, Holder: holder}
	}
	ofLease := func(lease string, sent workersim.Run) workersim.Run {
		sent.Lease = lease
		return sent
	}
	for name, test := range map[string]struct {
		orders     map[string][]workersim.Run
		violations int
	}{
		"a worker is moved to another service, whose lease has lower tokens": {map[string][]workersim.Run{"w1": {ofLease("x", order(1, 5, "a")), ofLease("y", order(2, 1, "b"))}}, 0},
		"holders of two leases use the same token number":                    {map[string][]workersim.Run{"w1": {ofLease("x", order(1, 1, "a"))}, "w2": {ofLease("y", order(2, 1, "b"))}}, 0},
		"a lower token of the first lease after an order of another lease":   {map[string][]workersim.Run{"w1": {ofLease("x", order(1, 5, "a")), ofLease("y", order(2, 1, "b")), ofLease("x", order(3, 4, "c"))}}, 1},
		"a second holder with a higher token succeeds the first":             {map[string][]workersim.Run{"w1": {order(1, 1, "a"), order(9, 2, "b")}, "w2": {order(2, 1, "a"), order(9, 2, "b")}}, 0},
		"two holders of one lease use the same fencing token":                {map[string][]workersim.Run{"w1": {order(1, 1, "a")}, "w2": {order(2, 1, "b")}}, 1},
		"a worker executes an order with a lower token after a higher one":   {map[string][]workersim.Run{"w1": {order(1, 2, "b"), order(1, 1, "a")}}, 1},
	} {
		if got := checkFencing(test.orders); len(got) != test.violations {
			t.Errorf("checkFencing, case %q: got violations %v, want %d of them", name, got, test.violations)
		}
	}
}
