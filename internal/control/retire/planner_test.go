package retire

import (
	"strings"
	"testing"
	"time"
)

// calmFleet is a fleet without faults.
func calmFleet(t *testing.T) *testFleet {
	t.Helper()
	fleet := newFleet(t, 1, noFault)
	fleet.faultsEnded, fleet.injecting = true, false
	return fleet
}

// runStep makes one turn of a lease holder in the calm fleet. The holder dies after so many effects; zero: it
// doesn't.
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

func (f *testFleet) advanceTick() {
	f.deliverInbox()
	f.now++
}

// A lease holder dies after any one effect of a complete retirement, or of one that is aborted late. The next
// holder resumes from what is written and ends it, and no invariant is violated.
func TestRetirementSurvivesHolderDeathBetweenAnyTwoEffects(t *testing.T) {
	for _, abort := range []bool{false, true} {
		total := 0
		for deathAt := 1; ; deathAt++ {
			fleet, planner, done := calmFleet(t), NewPlanner(), 0
			if err := fleet.retirement.ApplyVerb(verbStart); err != nil {
				t.Fatal(err)
			}
			for fleet.now < 3000 && fleet.retirement.Active() {
				stop := 0
				if deathAt > done {
					stop = deathAt - done
				}
				effects := fleet.runStep(planner, stop)
				if done += effects; stop > 0 && effects == stop {
					planner = NewPlanner() // it died: another machine takes over
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
				t.Fatalf("abort %v, death after effect %d: %s %s, %v\n%s", abort, deathAt, fleet.retirement.State, fleet.retirement.Phase, fleet.violations, strings.Join(fleet.retirement.History, "\n"))
			}
			for _, node := range fleet.nodes {
				if _, old := node.loaded["old"]; old != abort {
					t.Fatalf("abort %v, death after effect %d: %s holds %v", abort, deathAt, node.name, node.loaded)
				}
			}
			if total = done; deathAt > total {
				break
			}
		}
		if total < 60 {
			t.Errorf("only %d effects: the test covers too little", total)
		}
	}
}

func (f *testFleet) checkRevertedIf(abort bool) {
	if abort {
		f.abortedAt = f.now
		f.checkReverted()
	}
}

// blockersAfter runs so many steps of a retirement and returns its blockers.
func blockersAfter(fleet *testFleet, planner *Planner, steps int) []Blocker {
	for range steps {
		fleet.runStep(planner, 0)
		fleet.advanceTick()
	}
	return fleet.retirement.Blockers
}

// Every node that blocks a retirement is named, with the remedy. A node that restarts no longer blocks, and
// one that joins late with only the old weights is caught up before others unload them.
func TestBlockersAreNamed(t *testing.T) {
	fleet, planner := calmFleet(t), NewPlanner()
	if err := fleet.retirement.ApplyVerb(verbStart); err != nil {
		t.Fatal(err)
	}
	fleet.nodes[3].up = false
	if blockers := blockersAfter(fleet, planner, 200); len(blockers) != 1 || blockers[0].Node != "w3" || !blockers[0].NeedsOperator || !strings.Contains(blockers[0].Remedy, "take it out of its list") || fleet.retirement.Phase != PhaseLoadBase {
		t.Fatalf("an unreachable node: %s, %+v", fleet.retirement.Phase, blockers)
	}
	if !fleet.retirement.NeedsOperator() || !strings.Contains(fleet.retirement.Progress(), "5 of 6 nodes ready") {
		t.Errorf("%s", fleet.retirement.Progress())
	}
	fleet.nodes[3].restart(true)
	fleet.nodes[3].falseReports = true
	blockersAfter(fleet, planner, 200)
	if blockers := fleet.retirement.Blockers; fleet.retirement.Phase != PhaseProve || len(blockers) != 1 || blockers[0].Node != "w3" {
		t.Fatalf("a node that reports falsely: %s, %+v", fleet.retirement.Phase, blockers)
	}
	fleet.nodes[3].restart(true)
	fleet.nodes[3].falseReports = false
	for fleet.retirement.Phase != PhaseDrop && fleet.now < 2000 {
		blockersAfter(fleet, planner, 1)
	}
	fleet.nodes[5].restart(true) // it is replaced right after the barrier, and has only the old weights
	if blockers := blockersAfter(fleet, planner, 2); fleet.retirement.Phase != PhaseDrop || len(blockers) == 0 {
		t.Fatalf("%s %+v", fleet.retirement.Phase, blockers)
	}
	for fleet.retirement.Active() && fleet.now < 3000 {
		if _, both := fleet.nodes[5].loaded["old"]; both && fleet.nodes[5].loading != "" {
			for _, name := range fleet.retirement.Dropping {
				if name == "w5" {
					t.Fatal("a node that isn't caught up is reported to drop the old base")
				}
			}
		}
		blockersAfter(fleet, planner, 1)
	}
	if fleet.retirement.State != StateDone || len(fleet.violations) > 0 {
		t.Fatalf("%s %s %+v %v", fleet.retirement.State, fleet.retirement.Phase, fleet.retirement.Blockers, fleet.violations)
	}
}

// When a higher ratio of attempts fails than the retirement allows, it is aborted before the barrier and
// paused after it.
func TestAutomaticAbort(t *testing.T) {
	fleet, planner := calmFleet(t), NewPlanner()
	retirement := newPlan()
	if err := retirement.ApplyVerb(verbStart); err != nil {
		t.Fatal(err)
	}
	observation := Observation{Config: fleet.decodedConfig(), WorkersListed: true, Nodes: []Node{{Name: "w"}}, Succeeded: 70, Failed: 30}
	if next, _, changed := planner.Next(retirement, observation); !changed || next.State != StateAborting || next.Phase != PhaseRevertDrain || !strings.Contains(next.Reason, "30 of 100 attempts failed") {
		t.Errorf("%+v", next)
	}
	retirement.transition(StateRunning, PhaseMove, "")
	if next, _, _ := planner.Next(retirement, observation); next.State != StateAborting || next.Phase != PhaseRevertRoutes {
		t.Errorf("%+v", next)
	}
	retirement.transition(StateRunning, PhaseDrop, "")
	if next, _, _ := planner.Next(retirement, observation); next.State != StatePaused || next.Phase != PhaseDrop {
		t.Errorf("%+v", next)
	}
	observation.Succeeded, observation.Failed = 99, 1
	observation.WorkersListed = false
	retirement.transition(StateRunning, PhaseProve, "")
	if next, actions, _ := planner.Next(retirement, observation); len(actions) > 0 || len(next.Blockers) != 1 || next.Blockers[0].Node != platformBlocker {
		t.Errorf("without the platform's list: %+v %v", next, actions)
	}
	observation.WorkersListed, observation.Nodes = true, nil
	if next, actions, _ := planner.Next(retirement, observation); len(actions) > 0 || len(next.Blockers) != 1 {
		t.Errorf("without a node: %+v %v", next, actions)
	}
}
