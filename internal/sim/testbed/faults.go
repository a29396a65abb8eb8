package testbed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
)

// Fault is one thing that goes wrong in a mixture, with the steps that bring it about and
// end it.
type Fault struct {
	Name          string
	Steps         []Step
	Links         bool
	WorkerOptions []string
}

// faultGenerator draws troubles that a site must bear together: one core machine at a time, a few
// workers and edges, each machine in one trouble at a time.
type faultGenerator struct {
	random          *rand.Rand
	startMs         int // when this trouble begins
	endMs           int // and ends
	nextCoreFaultMs int // when a core machine may get into trouble next
	faulty          map[string]bool
	weightsNamed    int
	drawn           map[string]bool
}

const (
	earliestFaultMs = 1000
	latestFaultMs   = 9000
	coreFaultGapMs  = 5000 // a core machine's next trouble begins that long after the last one ended
)

// takeHealthy picks n machines of a kind that are in no trouble yet.
func (gen *faultGenerator) takeHealthy(kind string, of, n int) (l []string) {
	for _, i := range gen.random.Perm(of) {
		if x := fmt.Sprintf("%s-%d", kind, i+1); len(l) < n && !gen.faulty[x] {
			gen.faulty[x] = true
			l = append(l, x)
		}
	}
	return l
}

func expandNames(form string, names []string) string {
	var l []string
	for _, n := range names {
		l = append(l, strings.ReplaceAll(form, "%", n))
	}
	return strings.Join(l, " ")
}

const (
	edgeProcesses = "runner-% catalogue-% dispatcher-%"
	coreProcesses = "archive-% appraiser-%"
	controlNode   = "archive-%"

	allControlNodes = "archive-*"
)

// takeCoreMachine is a core machine's trouble: these come one after the other.
func (gen *faultGenerator) takeCoreMachine() ([]string, bool) {
	if gen.nextCoreFaultMs > latestFaultMs || gen.drawn["power"] {
		return nil, false
	}
	gen.startMs = max(gen.startMs, gen.nextCoreFaultMs)
	gen.endMs = max(gen.endMs, gen.startMs+500)
	gen.nextCoreFaultMs = gen.endMs + coreFaultGapMs
	return []string{fmt.Sprintf("core-%d", 1+gen.random.IntN(4))}, true
}

func (gen *faultGenerator) faultAndRepair(do, undo, who string) []Step {
	return []Step{{At: gen.startMs, Action: do, Targets: who}, {At: gen.endMs, Action: undo, Targets: who}}
}

// draw draws a fault of a kind. It has neither steps nor options if the site bears no more of that kind.
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

// DrawFaults draws the troubles of a seed: three to seven kinds of the brief's list, within what a
// site must bear at once.
//
// Example: sc := testbed.Script("paramo", 7, testbed.Mix(7))
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

// FaultScenario makes a scenario of troubles.
//
// Example: rep, err := testbed.Play(ctx, testbed.Script("daegu", 7, testbed.Mix(7)), o)
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
