package testbed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
)

// Fault is a fault of a mixture, with the steps that inject and end it.
type Fault struct {
	Name          string
	Steps         []Step
	Links         bool     // it needs relays in the path of every link
	WorkerOptions []string // of every worker simulator, throughout the run
}

// faultGenerator draws faults that a site must tolerate together: one core machine at a time, a few workers and
// edge machines, and no machine in two faults.
type faultGenerator struct {
	random          *rand.Rand
	startMs         int // when the present fault begins
	endMs           int // and when it ends
	nextCoreFaultMs int // earliest start of the next fault of a core machine
	faulty          map[string]bool
	weightsNamed    int
	drawn           map[string]bool
}

const (
	earliestFaultMs = 1000
	latestFaultMs   = 9000
	coreFaultGapMs  = 5000 // from the end of a core machine's fault to the start of the next
)

// takeHealthy draws up to n of the machines with a name prefix, numbered from 1 to of, that have no fault yet. It marks
// them as faulty.
func (gen *faultGenerator) takeHealthy(prefix string, of, n int) (names []string) {
	for _, i := range gen.random.Perm(of) {
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

// Patterns of process names; expandNames replaces "%" by a machine.
const (
	edgeProcesses = agentPrefix + "% " + indexPrefix + "% " + proxyPrefix + "%"
	coreProcesses = controlNodePrefix + "% " + placementPrefix + "%"
	controlNode   = controlNodePrefix + "%"

	allControlNodes = controlNodePrefix + "*"
)

// takeCoreMachine draws a core machine and moves the fault's time behind the core machine fault before it. It
// reports false if there is no time left.
func (gen *faultGenerator) takeCoreMachine() ([]string, bool) {
	if gen.nextCoreFaultMs > latestFaultMs || gen.drawn["power"] {
		return nil, false
	}
	gen.startMs = max(gen.startMs, gen.nextCoreFaultMs)
	gen.endMs = max(gen.endMs, gen.startMs+500)
	gen.nextCoreFaultMs = gen.endMs + coreFaultGapMs
	return []string{fmt.Sprint(corePrefix, 1+gen.random.IntN(coreMachines))}, true
}

func (gen *faultGenerator) faultAndRepair(do, undo, who string) []Step {
	return []Step{{At: gen.startMs, Action: do, Targets: who}, {At: gen.endMs, Action: undo, Targets: who}}
}

// draw draws a fault of a kind. The fault has neither steps nor options if the site tolerates no more of that kind.
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

// DrawFaults draws the faults of a seed: three to seven kinds, within what a site must tolerate at once.
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

// FaultScenario returns a scenario that injects the faults at a site.
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
