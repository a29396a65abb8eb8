package retire

import (
	"strings"
	"testing"
	"time"
)

// faultFreeFleet returns a fleet into which no faults are injected.
func faultFreeFleet(t *testing.T) *testFleet {
	t.Helper()
	fleet := newFleet(t, 1, noFault)
	fleet.faultsEnded, fleet.injecting = true, false
	return fleet
}

// runStep runs one pass of a lease holder without message delays and returns the number of effects: actions
// and writes. With a positive stop the holder crashes after that many effects.
func (f *testFleet) runStep(planner *Planner, stop int) (effects int) {
	retirement, config, configVersion, documentVersion := f.retirement.clone(), f.decodedConfig(), f.configVersion, f.documentVersion
	observation := Observation{Now: time.Duration(f.now) * time.Second, Version: documentVersion, Config: config, WorkersListed: true, MaxConfigAge: time.Second}
	for _, node := range f.nodes {
		observation.Nodes = append(observation.Nodes, Node{Name: node.name, Incarnation: node.incarnation, Reachable: node.up, Loaded: node.report(), Loading: node.loading, MemoryMB: 130, FreeMB: 130 - 60*len(node.loaded)})
	}
	next, actions, changed := planner.Next(retirement, observation)
	for _, action := range actions {
		var node *testNode
		for _, candidate := range f.nodes {
			if candidate.name == action.Node {
				node = candidate
			}
		}
		switch {
		case action.Patch != nil:
			if f.patchConfig(action.Patch, configVersion) {
				next.RecordPatch()
			}
		case action.Order != nil:
			if f.receiveOrder(node, *action.Order, 1) && action.Order.Kind == OrderUnload {
				next.RecordUnload(action.Node, action.Order.Incarnation)
			}
		default:
			if f.receiveProof(node, action) {
				next.RecordProof(action.Node, action.Incarnation, *action.ProofSet)
			}
		}
		changed = true
		if effects++; effects == stop {
			return effects
		}
	}
	if changed {
		f.writeRetirement(next, documentVersion, 0)
		effects++
	}
	return effects
}

// advanceTick delivers the messages of the current tick and advances the time by one.
func (f *testFleet) advanceTick() {
	f.deliverInbox()
	f.now++
}

// A lease holder crashes once, after each possible effect in turn, of a complete retirement and of one that
// is aborted in PhaseDrain. The next holder must finish it from the stored document alone, without
// violating an invariant.
func TestRetirementSurvivesHolderDeathBetweenAnyTwoEffects(t *testing.T) {
	for _, abort := range []bool{false, true} {
		total := 0
		for crashAfter := 1; ; crashAfter++ {
			fleet, planner, done := faultFreeFleet(t), NewPlanner(), 0
			if err := fleet.retirement.ApplyVerb(verbStart); err != nil {
				t.Fatal(err)
			}
			for fleet.now < 3000 && fleet.retirement.Active() {
				stop := 0
				if crashAfter > done {
					stop = crashAfter - done
				}
				effects := fleet.runStep(planner, stop)
				if done += effects; stop > 0 && effects == stop {
					planner = NewPlanner() // the holder crashed, and another machine takes over
				}
				if abort && fleet.retirement.Phase == PhaseDrain {
					if err := fleet.retirement.ApplyVerb(verbAbort); err != nil {
						t.Fatal(err)
					}
					fleet.documentVersion++
				}
				fleet.advanceTick()
			}
			fleet.checkRevertedIf(abort)
			want := map[bool]State{false: StateDone, true: StateAborted}[abort]
			if fleet.retirement.State != want || len(fleet.violations) > 0 {
				t.Fatalf("retirement with an abort: %v; holder crash after effect %d: the retirement ended in state %s, phase %s, with violations %v, history:\n%s", abort, crashAfter, fleet.retirement.State, fleet.retirement.Phase, fleet.violations, strings.Join(fleet.retirement.History, "\n"))
			}
			for _, node := range fleet.nodes {
				if _, old := node.loaded["old"]; old != abort {
					t.Fatalf("retirement with an abort: %v; holder crash after effect %d: node %s has models %v loaded, want the old one only after an abort", abort, crashAfter, node.name, node.loaded)
				}
			}
			if total = done; crashAfter > total {
				break
			}
		}
		if total < 60 {
			t.Errorf("a complete retirement had only %d effects (actions and writes), want at least 60 to crash after", total)
		}
	}
}

// checkRevertedIf runs checkReverted if the retirement was aborted.
func (f *testFleet) checkRevertedIf(abort bool) {
	if abort {
		f.abortedAt = f.now
		f.checkReverted()
	}
}

// blockersAfter runs a number of steps of a retirement and returns its blockers.
func blockersAfter(fleet *testFleet, planner *Planner, steps int) []Blocker {
	for range steps {
		fleet.runStep(planner, 0)
		fleet.advanceTick()
	}
	return fleet.retirement.Blockers
}

// Every node that blocks a retirement is listed with a remedy. A node that restarts no longer blocks. A node
// that joins after PhaseBarrier with only the old weights must load the new ones before any node unloads the
// old ones.
func TestBlockersAreNamed(t *testing.T) {
	fleet, planner := faultFreeFleet(t), NewPlanner()
	if err := fleet.retirement.ApplyVerb(verbStart); err != nil {
		t.Fatal(err)
	}
	fleet.nodes[3].up = false
	if blockers := blockersAfter(fleet, planner, 200); len(blockers) != 1 || blockers[0].Node != "w3" || !blockers[0].NeedsOperator || !strings.Contains(blockers[0].Remedy, "take it out of its list") || fleet.retirement.Phase != PhaseLoadBase {
		t.Fatalf("node w3 is unreachable: phase %s, blockers %+v, want w3 alone, for an operator, in load-base", fleet.retirement.Phase, blockers)
	}
	if !fleet.retirement.NeedsOperator() || !strings.Contains(fleet.retirement.Progress(), "5 of 6 nodes ready") {
		t.Errorf("node w3 is unreachable: progress %q, want 5 of 6 nodes ready and an operator needed", fleet.retirement.Progress())
	}
	fleet.nodes[3].restart(true)
	fleet.nodes[3].falseReports = true
	blockersAfter(fleet, planner, 200)
	if blockers := fleet.retirement.Blockers; fleet.retirement.Phase != PhaseProve || len(blockers) != 1 || blockers[0].Node != "w3" {
		t.Fatalf("node w3 reports adapters that it did not load: phase %s, blockers %+v, want w3 alone in phase prove", fleet.retirement.Phase, blockers)
	}
	fleet.nodes[3].restart(true)
	fleet.nodes[3].falseReports = false
	for fleet.retirement.Phase != PhaseDrop && fleet.now < 2000 {
		blockersAfter(fleet, planner, 1)
	}
	fleet.nodes[5].restart(true) // the node is replaced right after PhaseBarrier and has only the old weights
	if blockers := blockersAfter(fleet, planner, 2); fleet.retirement.Phase != PhaseDrop || len(blockers) == 0 {
		t.Fatalf("node w5 was replaced after the barrier: phase %s, blockers %+v, want phase drop and a blocker", fleet.retirement.Phase, blockers)
	}
	for fleet.retirement.Active() && fleet.now < 3000 {
		if _, both := fleet.nodes[5].loaded["old"]; both && fleet.nodes[5].loading != "" {
			for _, name := range fleet.retirement.Dropping {
				if name == "w5" {
					t.Fatal("node w5 is listed as unloading the old base model before it has loaded the new weight set")
				}
			}
		}
		blockersAfter(fleet, planner, 1)
	}
	if fleet.retirement.State != StateDone || len(fleet.violations) > 0 {
		t.Fatalf("the retirement ended in state %s, phase %s, blockers %+v, violations %v, want done without violations", fleet.retirement.State, fleet.retirement.Phase, fleet.retirement.Blockers, fleet.violations)
	}
}

// If a higher ratio of request attempts fails than the retirement allows, it is aborted before the end of
// PhaseBarrier and paused after it. Without the platform's list of workers, or with an empty one, a step has
// no actions and records one blocker.
func TestAutomaticAbort(t *testing.T) {
	fleet, planner := faultFreeFleet(t), NewPlanner()
	retirement := newPlan()
	if err := retirement.ApplyVerb(verbStart); err != nil {
		t.Fatal(err)
	}
	observation := Observation{Config: fleet.decodedConfig(), WorkersListed: true, Nodes: []Node{{Name: "w"}}, Succeeded: 70, Failed: 30}
	if next, _, changed := planner.Next(retirement, observation); !changed || next.State != StateAborting || next.Phase != PhaseRevertDrain || !strings.Contains(next.Reason, "30 of 100 attempts failed") {
		t.Errorf("30 of 100 attempts failed before any route was moved: %+v, want aborting in phase settle with the figures as reason", next)
	}
	retirement.transition(StateRunning, PhaseMove, "")
	if next, _, _ := planner.Next(retirement, observation); next.State != StateAborting || next.Phase != PhaseRevertRoutes {
		t.Errorf("30 of 100 attempts failed in phase move: %+v, want aborting in phase return", next)
	}
	retirement.transition(StateRunning, PhaseDrop, "")
	if next, _, _ := planner.Next(retirement, observation); next.State != StatePaused || next.Phase != PhaseDrop {
		t.Errorf("30 of 100 attempts failed in phase drop: %+v, want paused in phase drop", next)
	}
	observation.Succeeded, observation.Failed = 99, 1
	observation.WorkersListed = false
	retirement.transition(StateRunning, PhaseProve, "")
	if next, actions, _ := planner.Next(retirement, observation); len(actions) > 0 || len(next.Blockers) != 1 || next.Blockers[0].Node != platformBlocker {
		t.Errorf("the platform's list of workers is unknown: %+v, actions %v, want one blocker for the platform and no actions", next, actions)
	}
	observation.WorkersListed, observation.Nodes = true, nil
	if next, actions, _ := planner.Next(retirement, observation); len(actions) > 0 || len(next.Blockers) != 1 {
		t.Errorf("the platform lists no worker: %+v, actions %v, want one blocker and no actions", next, actions)
	}
}
