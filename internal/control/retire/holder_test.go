package retire

import (
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
)

// holderPass is one pass of a lease holder's control loop: it reads the configuration, the retirement and
// the nodes, performs the planner's actions, and writes the retirement. The holder may stall or crash
// between any two of these, and the messages that it has already sent still arrive.
type holderPass struct {
	*testFleet
	machine         int
	token           uint64
	config          *serviceconfig.Config
	configVersion   uint64
	retirement      *Retirement          // retirement as this pass read it
	documentVersion uint64               // version of the retirement's document that this pass read
	next            *Retirement          // retirement that this pass is to write
	nodes           map[string]*testNode // nodes on the platform's list, by name
	acked           bool                 // whether any action of this pass was acknowledged
}

// startHolderPass starts a pass of a machine's control loop if the machine holds the lease.
func (f *testFleet) startHolderPass(machine int) {
	if !f.isHolder(machine) {
		return
	}
	pass := &holderPass{testFleet: f, machine: machine, token: f.fencingToken, config: f.decodedConfig(), configVersion: f.configVersion}
	f.deliver(2, pass.readRetirement)
}

// isHolder reports whether a machine holds an unexpired lease.
func (f *testFleet) isHolder(machine int) bool { return f.holder == machine && f.now < f.leasedUntil }

// crashes reports whether the holder crashes now, which is decided at random. It then restarts with a new
// planner.
func (h *holderPass) crashes() bool {
	if !h.injecting || h.random.IntN(25) != 0 {
		return false
	}
	h.planners[h.machine] = NewPlanner()
	return true
}

func (h *holderPass) readRetirement() {
	if h.crashes() {
		return
	}
	h.retirement, h.documentVersion = h.testFleet.retirement.clone(), h.testFleet.documentVersion
	h.deliver(2, h.act)
}

// act observes the nodes, sends the actions that the planner returns, and schedules the write of the
// retirement after them.
func (h *holderPass) act() {
	observation := h.observe()
	next, actions, changed := h.planners[h.machine].Next(h.retirement, observation)
	h.next = next
	if h.plantedFault == earlyUnload && h.retirement.Phase == PhaseDrain {
		node := observation.Nodes[0]
		actions = append(actions, Action{Node: node.Name, Order: &contract.Order{Kind: OrderUnload, Model: "old", Incarnation: node.Incarnation, Step: h.documentVersion, Plan: "x"}})
	}
	for _, action := range actions {
		if !h.isHolder(h.machine) {
			h.planners[h.machine] = NewPlanner()
			return
		}
		if h.crashes() {
			return
		}
		h.deliver(2, func() { h.execute(action) })
	}
	h.deliver(4, func() {
		if !h.crashes() && (changed || h.acked) {
			h.writeRetirement(h.next, h.documentVersion, h.token)
		}
	})
}

func (h *holderPass) observe() Observation {
	observation := Observation{
		Now:           time.Duration(h.now) * tick,
		Version:       h.documentVersion,
		Config:        h.config,
		WorkersListed: h.random.IntN(20) > 0,
		MaxConfigAge:  maxConfigLag * tick,
	}
	h.nodes = map[string]*testNode{}
	for _, node := range h.testFleet.nodes {
		if node.listed {
			h.nodes[node.name] = node
			observation.Nodes = append(observation.Nodes, node.observe())
		}
	}
	return observation
}

// execute delivers an action and records in the next retirement whether it was acknowledged.
func (h *holderPass) execute(action Action) {
	node := h.nodes[action.Node]
	switch {
	case action.Patch != nil:
		if h.plantedFault == incompleteRevert && h.retirement.State == StateAborting || h.patchConfig(action.Patch, h.configVersion) {
			h.next.RecordPatch()
			h.acked = true
		}
	case action.Order != nil:
		if h.receiveOrder(node, *action.Order, h.token) && action.Order.Kind == OrderUnload {
			h.next.RecordUnload(action.Node, action.Order.Incarnation)
			h.acked = true
		}
	default:
		if h.receiveProof(node, action) {
			h.next.RecordProof(action.Node, action.Incarnation, *action.ProofSet)
			h.acked = true
		} else {
			h.planners[h.machine].RecordFailedProof(action.Node, "adapter")
		}
	}
}
