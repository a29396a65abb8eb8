package retire

import (
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
)

// holderTurn is one turn of a lease holder: it reads the configuration, the retirement and the nodes, then
// acts, then writes. The holder may stall or die between any two of these, and what it has sent arrives all
// the same.
type holderTurn struct {
	*testFleet
	machine         int
	token           uint64
	config          *serviceconfig.Config
	configVersion   uint64
	retirement      *Retirement // as it was read
	documentVersion uint64
	next            *Retirement // to be written
	nodes           map[string]*testNode
	acked           bool // an action was acknowledged
}

// holderStep starts a turn of the machine if it holds the lease.
func (f *testFleet) holderStep(machine int) {
	if !f.isHolder(machine) {
		return
	}
	turn := &holderTurn{testFleet: f, machine: machine, token: f.fencingToken, config: f.decodedConfig(), configVersion: f.configVersion}
	f.deliver(2, turn.readRetirement)
}

func (f *testFleet) isHolder(machine int) bool { return f.holder == machine && f.now < f.leasedUntil }

// dies reports whether the holder dies now. A new one starts with a planner that remembers nothing.
func (h *holderTurn) dies() bool {
	if !h.injecting || h.random.IntN(25) != 0 {
		return false
	}
	h.planners[h.machine] = NewPlanner()
	return true
}

func (h *holderTurn) readRetirement() {
	if h.dies() {
		return
	}
	h.retirement, h.documentVersion = h.testFleet.retirement.clone(), h.testFleet.documentVersion
	h.deliver(2, h.act)
}

// act observes the nodes, sends the actions of the planner's step and plans the write after them.
func (h *holderTurn) act() {
	observation := h.observe()
	next, actions, changed := h.planners[h.machine].Next(h.retirement, observation)
	h.next = next
	if h.plantedFault == earlyDrop && h.retirement.Phase == PhaseDrain {
		node := observation.Nodes[0]
		actions = append(actions, Action{Node: node.Name, Order: &contract.Order{Kind: OrderUnload, Model: "old", Incarnation: node.Incarnation, Step: h.documentVersion, Plan: "x"}})
	}
	for _, action := range actions {
		if !h.isHolder(h.machine) {
			h.planners[h.machine] = NewPlanner()
			return
		}
		if h.dies() {
			return
		}
		h.deliver(2, func() { h.execute(action) })
	}
	h.deliver(4, func() {
		if !h.dies() && (changed || h.acked) {
			h.writeRetirement(h.next, h.documentVersion, h.token)
		}
	})
}

func (h *holderTurn) observe() Observation {
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

// execute makes an action arrive, and records in the next retirement whether it was acknowledged.
func (h *holderTurn) execute(action Action) {
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
