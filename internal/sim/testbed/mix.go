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

var faultKinds = []string{"workers-killed", "workers-vanish", "edge-killed", "edge-frozen", "edge-cut", "edge-half-cut", "edges-killed", "worker-frozen", "core-killed", "core-frozen",
	"core-cut", "disk-lost", "disk-full", "disk-stalls", "power", "clock", "weights", "weights-again", "revoke", "drain", "warn", "storm", "race", "grow", "store", "slow", "gaps", "late", "mute", "seeds", "index"}

func (gen *faultGenerator) draw(k string) (t Fault) {
	at := func(do, who, to string) {
		t.Steps = append(t.Steps, Step{At: gen.startMs, Action: do, Targets: who, Argument: to})
	}
	then := func(do, who, to string) {
		t.Steps = append(t.Steps, Step{At: gen.endMs, Action: do, Targets: who, Argument: to})
	}
	onOff := func(do, undo, form, kind string, of, n int) {
		if l := gen.takeHealthy(kind, of, n); len(l) > 0 {
			t.Steps = gen.faultAndRepair(do, undo, expandNames(form, l))
		}
	}
	onOne := func(do, undo, form string) {
		if l, ok := gen.takeCoreMachine(); ok {
			t.Steps = gen.faultAndRepair(do, undo, expandNames(form, l))
		}
	}
	t.Name = k
	switch k {
	case "workers-killed":
		onOff("kill", "start", "%", "cab", 18, 1+gen.random.IntN(4))
	case "workers-vanish":
		onOff("off", "mend", "%", "cab", 18, 1+gen.random.IntN(2))
	case "worker-frozen":
		onOff("freeze", "thaw", "%", "cab", 18, 1+gen.random.IntN(2))
	case "edge-killed":
		onOff("kill", "start", edgeProcesses, "edge", 9, 1)
	case "edges-killed":
		onOff("kill", "start", edgeProcesses, "edge", 9, 3)
	case "edge-frozen":
		onOff("freeze", "thaw", edgeProcesses, "edge", 9, 1)
	case "edge-cut":
		onOff("off", "mend", "%", "edge", 9, 1)
	case "edge-half-cut":
		if l := gen.takeHealthy("edge", 9, 1); len(l) > 0 {
			at("cut", l[0], "core-1 core-2 core-3 core-4")
			then("mend", l[0], "core-1 core-2 core-3 core-4")
		}
	case "core-killed":
		onOne("kill", "start", coreProcesses)
	case "core-frozen":
		onOne("freeze", "thaw", coreProcesses)
	case "core-cut":
		onOne("off", "mend", "%")
	case "disk-lost":
		if l, ok := gen.takeCoreMachine(); ok {
			at("storm", "", "5")
			t.Steps = append(t.Steps, Step{At: gen.startMs + 1, Action: "kill", Targets: expandNames(coreProcesses, l)}, Step{At: gen.startMs + 2, Action: "wipe", Targets: expandNames("archive-%", l)})
			if gen.random.IntN(2) == 0 {
				t.Steps = append(t.Steps, Step{At: gen.startMs + 3, Action: "move", Targets: expandNames("archive-%", l)})
			}
			then("start", expandNames(coreProcesses, l), "")
		}
	case "disk-full":
		if l, ok := gen.takeCoreMachine(); ok {
			at("disk", expandNames("archive-%", l), "full")
			then("disk", expandNames("archive-%", l), "")
			t.Steps = append(t.Steps, Step{At: gen.endMs + 100, Action: "kill", Targets: expandNames("archive-%", l)}, Step{At: gen.endMs + 200, Action: "start", Targets: expandNames("archive-%", l)})
		}
	case "disk-stalls":
		if l, ok := gen.takeCoreMachine(); ok {
			at("disk", expandNames("archive-%", l), fmt.Sprint("stall ", 100+gen.random.IntN(1500)))
			then("disk", expandNames("archive-%", l), "")
		}
	case "power": // at all core machines, right after something was acknowledged
		if gen.nextCoreFaultMs == 0 {
			at("storm", "", "5")
			at("kill", "archive-*", "")
			t.Steps = append(t.Steps, Step{At: gen.startMs + 300, Action: "start", Targets: "archive-*"})
			gen.nextCoreFaultMs = latestFaultMs + 1
		}
	case "clock":
		at("wall", fmt.Sprintf("archive-core-%d", 1+gen.random.IntN(4)), fmt.Sprint(gen.random.IntN(20000000)-10000000))
	case "weights", "weights-again":
		if gen.weightsNamed++; k == "weights" && gen.weightsNamed == 1 {
			at("weights", "", "2")
		} else if gen.weightsNamed == 1 {
			at("weights", "", "2")
			t.Steps = append(t.Steps, Step{At: gen.startMs + 1000 + gen.random.IntN(3000), Action: "weights", Argument: "3"})
		}
	case "revoke":
		at("revoke", fmt.Sprintf("tenant-%d", 3+gen.random.IntN(6)), "")
	case "drain":
		if l := gen.takeHealthy("cab", 18, 2); len(l) > 0 {
			at("drain", strings.Join(l, " "), "")
		}
	case "warn":
		if l := gen.takeHealthy("cab", 18, 1); len(l) > 0 {
			at("warn", l[0], "")
		}
	case "storm", "race":
		at(k, "", fmt.Sprint(3+gen.random.IntN(12)))
	case "grow":
		at("grow", "", fmt.Sprint(20+gen.random.IntN(60)))
	case "store":
		t.Steps = gen.faultAndRepair("kill", "start", "depot-1")
	case "slow":
		if l := gen.takeHealthy("cab", 18, 3); len(l) > 0 {
			at("slow", strings.Join(l, " "), fmt.Sprint(5000+gen.random.IntN(100000)))
			then("mend", strings.Join(l, " "), "*")
		}
	case "gaps":
		t.WorkerOptions = []string{"drop=0.3"}
	case "late":
		t.WorkerOptions = []string{"late_ms=4000"}
	case "mute":
		t.WorkerOptions = []string{"mute=yes"}
	case "seeds":
		at("seeds", "", "127.{net}.2.1:7003 127.{net}.3.1:7003 127.{net}.2.11:7000")
	case "index":
		t.Steps = gen.faultAndRepair("kill", "start", fmt.Sprintf("catalogue-edge-%d", 1+gen.random.IntN(9)))
		if n := strings.TrimPrefix(t.Steps[0].Targets, "catalogue-"); gen.faulty[n] {
			t.Steps = nil
		} else {
			gen.faulty[n] = true
		}
	}
	for _, step := range t.Steps {
		t.Links = t.Links || slices.Contains([]string{"off", "cut", "slow"}, step.Action)
	}
	for i := range t.Steps {
		t.Steps[i].Background = slices.Contains([]string{"weights", "revoke", "drain", "storm", "race", "grow", "seeds"}, t.Steps[i].Action)
	}
	return t
}

// DrawFaults draws the troubles of a seed: three to seven kinds of the brief's list, within what a
// site must bear at once.
//
// Example: sc := testbed.Script("paramo", 7, testbed.Mix(7))
func DrawFaults(seed uint64) (faults []Fault) {
	random := rand.New(rand.NewPCG(seed, 41))
	generator := &faultGenerator{random: random, faulty: map[string]bool{}, drawn: map[string]bool{}}
	for n := 3 + random.IntN(5); len(faults) < n; {
		kind := faultKinds[random.IntN(len(faultKinds))]
		if generator.drawn[kind] {
			continue
		}
		generator.drawn[kind] = true
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
