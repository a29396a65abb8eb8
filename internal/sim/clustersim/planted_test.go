package clustersim

import (
	"bytes"
	"strings"
	"testing"

	"pebbleloom/internal/programs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/sim/testbed"
)

// relaxBounds changes the bounds in the settings of a program's processes. The bounds that the checks of a run
// use stay as they are.
func relaxBounds(s *testbed.Site, program string, f func(*settings.Bounds)) {
	for i := range s.Processes {
		if s.Processes[i].Program == program {
			f(&s.Processes[i].Settings.Bounds)
		}
	}
}

// injectWorkerFault sets the fault option of every nth simulated worker, where n is every; workersim lists the faults.
func injectWorkerFault(s *testbed.Site, fault string, every int) {
	n := 0
	for i := range s.Processes {
		if p := &s.Processes[i].Settings; s.Processes[i].Program == programs.WorkerSim {
			if n++; n%every == 0 {
				p.Options = append(p.Options, "lie="+fault)
			}
		}
	}
}

// replaceBytes returns a function that replaces a text in the bytes that clients and operators receive.
func replaceBytes(from, to string) func([]byte) []byte {
	return func(b []byte) []byte { return bytes.ReplaceAll(b, []byte(from), []byte(to)) }
}

// The checks of a test run detect an injected violation of each guarantee, and report nothing in a run without one.
func TestPlantedFaultsAreSeen(t *testing.T) {
	step := func(at int, do, who, to string) testbed.Step {
		return testbed.Step{At: at, Action: do, Targets: who, Argument: to}
	}
	cores := "core-1 core-2 core-3 core-4"
	partition := []testbed.Step{step(1000, "cut", cores, "edge-3"), step(1000, "cut", "edge-3", cores), step(1500, "revoke", "tenant-1", ""), step(1600, "drain", "cab-? cab-1[0-5]", ""), step(12000, "heal", "", "")}
	useStaleConfig := func(site *testbed.Site) { // proxies that keep using a configuration older than the limit
		relaxBounds(site, programs.Proxy, func(b *settings.Bounds) { b.ConfigMs = 60000 })
	}
	for _, test := range []struct {
		name, want string
		steps      []testbed.Step
		recoveryMs int
		inject     func(*testbed.Site)
		tamper     func([]byte) []byte
	}{
		{"an at-most-once request runs twice", "ran 2 times", nil, 1000, func(site *testbed.Site) { injectWorkerFault(site, "twice", 2) }, nil},
		{"rejected as not executed, yet it ran", "yet it ran", nil, 1000, func(site *testbed.Site) { injectWorkerFault(site, "denies", 1) }, nil},
		{"a response is mixed with another", "chunk belongs to another request, want request", nil, 1000, nil, replaceBytes(`"r":"paramo`, `"r":"parano`)},
		{"chunks are lost", "chunk number 2, want 1", nil, 1000, nil, replaceBytes(`"n":1,`, `"n":2,`)},
		{"a seal is missing", "seal", nil, 1000, nil, replaceBytes(`"seal"`, `"seel"`)},
		{"a revoked key is accepted", "was accepted", partition, 2000, useStaleConfig, nil},
		{"a drained worker receives requests", "after the worker was drained", partition, 2000, useStaleConfig, nil},
		{"a request runs on older weights than configured", "on weights 1", []testbed.Step{step(1000, "weights", "", "2")}, 26000, func(site *testbed.Site) {
			injectWorkerFault(site, "deaf", 2)
			relaxBounds(site, programs.Proxy, func(b *settings.Bounds) { b.WeightsMs = 600000 })
		}, nil},
		{"a worker shares its prefix cache between tenants", "under its tenant", nil, 1000, func(site *testbed.Site) { injectWorkerFault(site, "walls", 1) }, nil},
		{"too many retries", "extra runs on", nil, 12000, func(site *testbed.Site) {
			injectWorkerFault(site, "dies", 2)
			relaxBounds(site, programs.Proxy, func(b *settings.Bounds) { b.RetryPercent, b.RetryAllowance = 100, 10000 })
		}, nil},
		{"an acknowledged configuration is lost", "doesn't return the configuration", []testbed.Step{step(1000, "kill", "archive-*", ""), step(1001, "wipe", "archive-*", ""), step(1100, "start", "archive-*", "")}, 4000, nil, nil},
		{"service doesn't recover", "service did not recover", []testbed.Step{step(1000, "freeze", "dispatcher-edge-[1-5]", "")}, 3000, nil, nil},
		{"no injected fault", "", nil, 1000, nil, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			scenario := testbed.Scenario{Name: "planted", Rate: 10, Steps: test.steps, RecoveryMs: test.recoveryMs, AfterRecoveryMs: 3000, ReadAll: true}
			report := runScenario(t, scenario, "paramo", 3, func(site *testbed.Site) *Cluster {
				if test.inject != nil {
					test.inject(site)
				}
				cluster := New(3, site)
				cluster.tamperWithReads = test.tamper
				return cluster
			})
			if all := strings.Join(report.Faults, "\n"); test.want == "" && all != "" || !strings.Contains(all, test.want) {
				t.Errorf("want a violation that contains %q (empty: none), got %d violations:\n%.1500s\n%s", test.want, len(report.Faults), all, testbed.Line(report))
			}
		})
	}
}
