package testbed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
)

// Fault is one of the faults that are drawn for a run, with the scenario steps that inject and end it.
type Fault struct {
	Name          string
	Steps         []Step
	Links         bool     // the fault needs relays between the machines to cut or slow links
	WorkerOptions []string // options that cause the fault in every worker simulator throughout the run
}

// faultGenerator draws faults that a site must tolerate together: at most one core machine is faulty at a time, only a
// few workers and edge machines are, and no worker or edge machine has two faults.
type faultGenerator struct {
	random          *rand.Rand
	startMs         int             // time at which the fault that is being drawn begins
	endMs           int             // time at which the fault that is being drawn ends
	nextCoreFaultMs int             // earliest start of the next fault of a core machine
	faulty          map[string]bool // workers and edge machines that already have a fault
	weightRollouts  int             // number of faults with a rollout of weights drawn so far; only the first adds steps
	drawn           map[string]bool // names of the kinds of faults drawn so far
}

const (
	earliestFaultMs = 1000 // earliest start of a fault, in milliseconds after the start of the scenario's steps
	latestFaultMs   = 9000 // latest start of a fault, in milliseconds after the start of the scenario's steps
	coreFaultGapMs  = 5000 // least time from the end of a fault of a core machine to the start of the next one
)

// takeHealthy draws up to n machines without a fault from those whose names are prefix and a number from 1 to total, and
// marks them as faulty.
func (gen *faultGenerator) takeHealthy(prefix string, total, n int) (names []string) {
	for _, i := range gen.random.Perm(total) {
		if name := fmt.Sprint(prefix, i+1); len(names) < n && !gen.faulty[name] {
			gen.faulty[name] = true
			names = append(names, name)
		}
	}
	return names
}

func expandNames(pattern string, names []string) string {
	var expanded []string
	for _, name := range names {
		expanded = append(expanded, strings.ReplaceAll(pattern, "%", name))
	}
	return strings.Join(expanded, " ")
}

// Patterns of process names; expandNames replaces "%" by the name of a machine.
const (
	edgeProcesses = agentPrefix + "% " + indexPrefix + "% " + proxyPrefix + "%"
	coreProcesses = controlNodePrefix + "% " + placementPrefix + "%"
	controlNode   = controlNodePrefix + "%"

	allControlNodes = controlNodePrefix + "*"
)

// takeCoreMachine draws a core machine and delays the start of the fault until coreFaultGapMs after the end of the
// previous fault of a core machine. It returns false if that is later than latestFaultMs, or if a power loss of all
// core machines was drawn.
func (gen *faultGenerator) takeCoreMachine() ([]string, bool) {
	if gen.nextCoreFaultMs > latestFaultMs || gen.drawn["power"] {
		return nil, false
	}
	gen.startMs = max(gen.startMs, gen.nextCoreFaultMs)
	gen.endMs = max(gen.endMs, gen.startMs+500)
	gen.nextCoreFaultMs = gen.endMs + coreFaultGapMs
	return []string{fmt.Sprint(corePrefix, 1+gen.random.IntN(coreMachines))}, true
}

func (gen *faultGenerator) faultAndRepair(action, undo, targets string) []Step {
	return []Step{{At: gen.startMs, Action: action, Targets: targets}, {At: gen.endMs, Action: undo, Targets: targets}}
}

// draw draws a fault of a kind. The fault has neither steps nor options if the site would not tolerate it beside the
// faults drawn before.
func (gen *faultGenerator) draw(kind faultKind) Fault {
	fault := Fault{Name: kind.name}
	kind.draw(gen, &fault)
	for _, step := range fault.Steps {
		fault.Links = fault.Links || slices.Contains(linkActions, step.Action)
	}
	for i := range fault.Steps {
		fault.Steps[i].Background = slices.Contains(operatorActions, fault.Steps[i].Action)
	}
	return fault
}

var (
	linkActions     = []string{"off", "cut", "slow"}
	operatorActions = []string{"weights", "revoke", "drain", "storm", "race", "grow", "seeds"}
)

// DrawFaults draws three to seven faults of different kinds, which a site must tolerate together. A seed always yields
// the same faults.
//
// Example: scenario := testbed.FaultScenario("paramo", 7, testbed.DrawFaults(7))
func DrawFaults(seed uint64) (faults []Fault) {
	random := rand.New(rand.NewPCG(seed, 41))
	generator := &faultGenerator{random: random, faulty: map[string]bool{}, drawn: map[string]bool{}}
	for n := 3 + random.IntN(5); len(faults) < n; {
		kind := faultKinds[random.IntN(len(faultKinds))]
		if generator.drawn[kind.name] {
			continue
		}
		generator.drawn[kind.name] = true
		generator.startMs = earliestFaultMs + random.IntN(latestFaultMs-earliestFaultMs)
		generator.endMs = generator.startMs + 300 + random.IntN(5000)
		if fault := generator.draw(kind); len(fault.Steps)+len(fault.WorkerOptions) > 0 {
			faults = append(faults, fault)
		}
	}
	return faults
}

// FaultScenario returns a scenario that injects the faults into a site.
//
// Example: report, err := testbed.Play(ctx, testbed.FaultScenario("daegu", 7, testbed.DrawFaults(7)), options)
func FaultScenario(site string, seed uint64, faults []Fault) Scenario {
	scenario := Scenario{Name: fmt.Sprintf("mix-%d", seed), Site: site, Rate: 15, ReadAll: true, MinSealedShare: 0.3}
	var names []string
	for _, fault := range faults {
		names = append(names, fault.Name)
		scenario.Steps = append(scenario.Steps, fault.Steps...)
		scenario.WorkerOptions = append(scenario.WorkerOptions, fault.WorkerOptions...)
		scenario.Links = scenario.Links || fault.Links
	}
	sort.SliceStable(scenario.Steps, func(i, j int) bool { return scenario.Steps[i].At < scenario.Steps[j].At })
	scenario.About = strings.Join(names, ", ")
	return scenario
}
