package testbed

import (
	"fmt"
	"strings"
)

// faultKind is a kind of fault that a randomly drawn combination of faults may contain.
type faultKind struct {
	name string
	draw func(gen *faultGenerator, fault *Fault) // adds the steps of a random fault of this kind; none if it can't be injected
}

// faultKinds are the kinds of faults. DrawFaults selects them by index, so that a change of their order changes the
// faults that a seed yields.
var faultKinds = []faultKind{
	{"workers-killed", onWorkers("kill", "start", 4)},
	{"workers-vanish", onWorkers("off", "mend", 2)},
	{"edge-killed", onEdges("kill", "start", edgeProcesses, 1)},
	{"edge-frozen", onEdges("freeze", "thaw", edgeProcesses, 1)},
	{"edge-cut", onEdges("off", "mend", "%", 1)},
	{"edge-half-cut", drawAsymmetricPartition},
	{"edges-killed", onEdges("kill", "start", edgeProcesses, 3)},
	{"worker-frozen", onWorkers("freeze", "thaw", 2)},
	{"core-killed", onCoreMachine("kill", "start", coreProcesses)},
	{"core-frozen", onCoreMachine("freeze", "thaw", coreProcesses)},
	{"core-cut", onCoreMachine("off", "mend", "%")},
	{"disk-lost", drawDiskLost},
	{"disk-full", drawDiskFull},
	{"disk-stalls", drawDiskStalls},
	{"power", drawPowerLost},
	{"clock", drawClockJump},
	{"weights", drawWeights},
	{"weights-again", drawWeightsTwice},
	{"revoke", drawRevocation},
	{"drain", drawDrain},
	{"warn", drawWarning},
	{"storm", concurrentChanges("storm")},
	{"race", concurrentChanges("race")},
	{"grow", drawGrowth},
	{"store", drawStoreKilled},
	{"slow", drawSlowLinks},
	{"gaps", withWorkerOption("drop=0.3")},
	{"late", withWorkerOption("late_ms=4000")},
	{"mute", withWorkerOption("mute=yes")},
	{"seeds", drawSeedsChange},
	{"index", drawIndexKilled},
}

// atStart adds a step that is executed when the fault begins.
func (gen *faultGenerator) atStart(fault *Fault, action, targets, argument string) {
	fault.Steps = append(fault.Steps, Step{At: gen.startMs, Action: action, Targets: targets, Argument: argument})
}

// atEnd adds a step that is executed when the fault ends.
func (gen *faultGenerator) atEnd(fault *Fault, action, targets, argument string) {
	fault.Steps = append(fault.Steps, Step{At: gen.endMs, Action: action, Targets: targets, Argument: argument})
}

// after adds a step that is executed ms milliseconds after the fault begins.
func (gen *faultGenerator) after(fault *Fault, ms int, action, targets, argument string) {
	fault.Steps = append(fault.Steps, Step{At: gen.startMs + ms, Action: action, Targets: targets, Argument: argument})
}

// onWorkers returns a function that draws a fault of one to limit workers that have no other fault. The action of the
// step that injects the fault is action, that of the step that ends it undo.
func onWorkers(action, undo string, limit int) func(*faultGenerator, *Fault) {
	return func(gen *faultGenerator, fault *Fault) {
		if names := gen.takeHealthy(workerPrefix, workers, 1+gen.random.IntN(limit)); len(names) > 0 {
			fault.Steps = gen.faultAndRepair(action, undo, expandNames("%", names))
		}
	}
}

// onEdges returns a function that draws a fault of count edge machines that have no other fault, or of fewer if fewer
// are left. processes is the pattern of the affected processes of a machine.
func onEdges(action, undo, processes string, count int) func(*faultGenerator, *Fault) {
	return func(gen *faultGenerator, fault *Fault) {
		if names := gen.takeHealthy(edgePrefix, edgeMachines, count); len(names) > 0 {
			fault.Steps = gen.faultAndRepair(action, undo, expandNames(processes, names))
		}
	}
}

// onCoreMachine returns a function that draws a fault of one core machine. processes is the pattern of the affected
// processes.
func onCoreMachine(action, undo, processes string) func(*faultGenerator, *Fault) {
	return func(gen *faultGenerator, fault *Fault) {
		if machine, ok := gen.takeCoreMachine(); ok {
			fault.Steps = gen.faultAndRepair(action, undo, expandNames(processes, machine))
		}
	}
}

// concurrentChanges returns a function that draws a step, "storm" or "race", in which 3 to 14 operators change the
// configuration concurrently.
func concurrentChanges(action string) func(*faultGenerator, *Fault) {
	return func(gen *faultGenerator, fault *Fault) {
		gen.atStart(fault, action, "", fmt.Sprint(3+gen.random.IntN(12)))
	}
}

// withWorkerOption returns a function that draws a fault that an option causes in all worker simulators throughout the
// run.
func withWorkerOption(option string) func(*faultGenerator, *Fault) {
	return func(_ *faultGenerator, fault *Fault) { fault.WorkerOptions = []string{option} }
}

// drawAsymmetricPartition draws an asymmetric network partition: the links from one edge machine to the core machines
// are cut, those in the reverse direction work.
func drawAsymmetricPartition(gen *faultGenerator, fault *Fault) {
	const core = "core-1 core-2 core-3 core-4"
	if names := gen.takeHealthy(edgePrefix, edgeMachines, 1); len(names) > 0 {
		gen.atStart(fault, "cut", names[0], core)
		gen.atEnd(fault, "mend", names[0], core)
	}
}

// drawDiskLost draws a crash of a core machine, while operators change the configuration, after which the machine
// restarts with an empty disk, in half of the cases at another address.
func drawDiskLost(gen *faultGenerator, fault *Fault) {
	machine, ok := gen.takeCoreMachine()
	if !ok {
		return
	}
	gen.atStart(fault, "storm", "", "5")
	gen.after(fault, 1, "kill", expandNames(coreProcesses, machine), "")
	gen.after(fault, 2, "wipe", expandNames(controlNode, machine), "")
	if gen.random.IntN(2) == 0 {
		gen.after(fault, 3, "move", expandNames(controlNode, machine), "")
	}
	gen.atEnd(fault, "start", expandNames(coreProcesses, machine), "")
}

// drawDiskFull draws a full disk of a core machine. The control node of the machine is restarted once there is space
// again.
func drawDiskFull(gen *faultGenerator, fault *Fault) {
	machine, ok := gen.takeCoreMachine()
	if !ok {
		return
	}
	node := expandNames(controlNode, machine)
	gen.atStart(fault, "disk", node, "full")
	gen.atEnd(fault, "disk", node, "")
	fault.Steps = append(fault.Steps, Step{At: gen.endMs + 100, Action: "kill", Targets: node}, Step{At: gen.endMs + 200, Action: "start", Targets: node})
}

func drawDiskStalls(gen *faultGenerator, fault *Fault) {
	if machine, ok := gen.takeCoreMachine(); ok {
		gen.atStart(fault, "disk", expandNames(controlNode, machine), fmt.Sprint("stall ", 100+gen.random.IntN(1500)))
		gen.atEnd(fault, "disk", expandNames(controlNode, machine), "")
	}
}

// drawPowerLost draws a simultaneous crash and restart of all control nodes while operators change the configuration. It
// excludes any other fault of a core machine in the same run.
func drawPowerLost(gen *faultGenerator, fault *Fault) {
	if gen.nextCoreFaultMs != 0 {
		return
	}
	gen.atStart(fault, "storm", "", "5")
	gen.atStart(fault, "kill", allControlNodes, "")
	gen.after(fault, 300, "start", allControlNodes, "")
	gen.nextCoreFaultMs = latestFaultMs + 1
}

func drawClockJump(gen *faultGenerator, fault *Fault) {
	gen.atStart(fault, "wall", fmt.Sprint(controlNodePrefix+corePrefix, 1+gen.random.IntN(coreMachines)), fmt.Sprint(gen.random.IntN(20000000)-10000000))
}

func drawWeights(gen *faultGenerator, fault *Fault) {
	if gen.weightRollouts++; gen.weightRollouts == 1 {
		gen.atStart(fault, "weights", "", "2")
	}
}

// drawWeightsTwice draws two rollouts of model weights, of which the second starts before the first has ended.
func drawWeightsTwice(gen *faultGenerator, fault *Fault) {
	if gen.weightRollouts++; gen.weightRollouts == 1 {
		gen.atStart(fault, "weights", "", "2")
		gen.after(fault, 1000+gen.random.IntN(3000), "weights", "", "3")
	}
}

func drawRevocation(gen *faultGenerator, fault *Fault) {
	gen.atStart(fault, "revoke", fmt.Sprintf("tenant-%d", 3+gen.random.IntN(6)), "")
}

func drawDrain(gen *faultGenerator, fault *Fault) {
	if names := gen.takeHealthy(workerPrefix, workers, 2); len(names) > 0 {
		gen.atStart(fault, "drain", strings.Join(names, " "), "")
	}
}

func drawWarning(gen *faultGenerator, fault *Fault) {
	if names := gen.takeHealthy(workerPrefix, workers, 1); len(names) > 0 {
		gen.atStart(fault, "warn", names[0], "")
	}
}

func drawGrowth(gen *faultGenerator, fault *Fault) {
	gen.atStart(fault, "grow", "", fmt.Sprint(20+gen.random.IntN(60)))
}

func drawStoreKilled(gen *faultGenerator, fault *Fault) {
	fault.Steps = gen.faultAndRepair("kill", "start", storeName)
}

func drawSlowLinks(gen *faultGenerator, fault *Fault) {
	if names := gen.takeHealthy(workerPrefix, workers, 3); len(names) > 0 {
		gen.atStart(fault, "slow", strings.Join(names, " "), fmt.Sprint(5000+gen.random.IntN(100000)))
		gen.atEnd(fault, "mend", strings.Join(names, " "), "*")
	}
}

func drawSeedsChange(gen *faultGenerator, fault *Fault) {
	gen.atStart(fault, "seeds", "", "127.{net}.2.1:7003 127.{net}.3.1:7003 127.{net}.2.11:7000")
}

func drawIndexKilled(gen *faultGenerator, fault *Fault) {
	machine := fmt.Sprint(edgePrefix, 1+gen.random.IntN(edgeMachines))
	if !gen.faulty[machine] {
		gen.faulty[machine] = true
		fault.Steps = gen.faultAndRepair("kill", "start", indexPrefix+machine)
	}
}
