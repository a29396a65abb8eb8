package consensus

import (
	"fmt"
	"slices"

	"pebbleloom/internal/wire"
)

// steadyStateTicks is the value of Core.ticks and Core.lastLeaderContact of every core in the model. With it a core no
// longer uses the short election timeouts after its start, and has had contact with a leader in the current tick.
const steadyStateTicks = 1000

// modelRand is a constant source of randomness. A core uses randomness only for timers, which the model ignores.
type modelRand struct{}

func (modelRand) Uint64() uint64 { return 0x5555555555555555 }

// modelDisk is the disk of a member: a snapshot and the records after it.
type modelDisk struct {
	snapshot *wire.Snapshot
	records  []*wire.Record
}

// modelNode is one member (node) in a state of the model: its disk, its core, its applied state and its pending reads.
type modelNode struct {
	name         string
	absent       bool // no member of this name runs: it lost its disk, which ends the use of the name, or a restore has yet to start it
	disk         modelDisk
	core         *Core
	appliedState string           // the commands that the member has applied, one letter each
	reads        map[uint64]uint8 // by read id: number of entries that were committed when the read began
}

// eventKind is a kind of event at one node.
type eventKind uint8

const (
	deliver eventKind = iota
	electionTimeout
	preVoteTimeout
	heartbeat
	quorumContactLost
	restart
	diskLoss
	propose
	addLearner
	addMember
	removeMember
	replaceMember // proposes to replace a voter by the learner in a single membership change, which the core must reject
	transfer
	compact
	requestRead
	flush
	restoreGroup // restores the group from this member alone, under a new name
)

// eventNames describe the events at a member, after its name, in the trace that leads to a violation.
var eventNames = map[eventKind]string{
	electionTimeout:   "campaigns at an election timeout",
	preVoteTimeout:    "requests pre-votes",
	heartbeat:         "sends heartbeats if it is the leader, or asks its peers for their states if it has lost its disk",
	quorumContactLost: "notices that it lost contact with a quorum",
	restart:           "crashes and restarts",
	diskLoss:          "loses its disk",
	propose:           "proposes",
	addLearner:        "adds learner",
	addMember:         "proposes to add voter",
	removeMember:      "proposes to remove voter",
	replaceMember:     "proposes, in a single change, that the learner replaces voter",
	transfer:          "transfers leadership to",
	compact:           "compacts its log",
	requestRead:       "begins a linearizable read",
	flush:             "persists and sends its delayed output",
	restoreGroup:      "becomes, under a new name, the only voter of the restored group",
}

// modelEvent is an event at a node. An event is deterministic: equal events at equal nodes have equal outcomes.
type modelEvent struct {
	kind eventKind

	// arg is, depending on the kind, the number of the message to deliver, the slot of the member to add,
	// remove or transfer leadership to, the command to propose, or the number of entries that were
	// committed when a read begins.
	arg int32

	delayFlush bool // the driver persists and sends the output of the step only at a later flush event
}

// eventOutcome is the result of an event at a node: the node after the event, and the output that its driver carried out.
type eventOutcome struct {
	node      *modelNode
	messages  []*wire.Message
	committed []*wire.Entry
	term      uint64 // term of the node when it committed the entries
	violation string // description of the invariant that the step violates; empty: none

	restored    *modelNode    // the member that the restored group begins with; nil: the event isn't a restore
	carriedOver []*wire.Entry // unapplied entries that the restored group keeps, and an empty one with the index and term of its initial snapshot
}

// startNode starts a member from its disk.
func startNode(cfg Config, disk modelDisk) *modelNode {
	node := &modelNode{name: cfg.Self, disk: disk, reads: map[uint64]uint8{}, appliedState: string(disk.snapshot.State)}
	node.core = New(cfg, disk.snapshot, disk.records)
	node.normalize()
	return node
}

// normalize sets all timers of a node's core to fixed values. The model has no time: whatever a timer triggers is a
// separate event that may happen in any state.
func (node *modelNode) normalize() {
	core := node.core
	core.ticks, core.lastLeaderContact = steadyStateTicks, steadyStateTicks
	core.electionElapsed, core.electionTimeout = 0, core.cfg.ElectionTicks
	core.heartbeatElapsed, core.learnerHeartbeatCount = 0, 0
	for _, progress := range core.peers {
		progress.ticksSinceResponse, progress.contactAge, progress.snapshotSentAt, progress.batchRetryAt = 0, 0, 0, 0
		if progress.transfer == nil {
			progress.inFlight = false // entries in flight only delay the sending of further entries until the next heartbeat
			continue
		}
		progress.transfer.sentAt, progress.transfer.retryAt = steadyStateTicks, steadyStateTicks
	}
}

func (node *modelNode) clone() *modelNode {
	copied := *node
	copied.core = cloneCore(node.core)
	copied.reads = map[uint64]uint8{}
	for id, bodies := range node.reads {
		copied.reads[id] = bodies
	}
	return &copied
}

func (node *modelNode) encoding(names namePermutation) string {
	if node.absent {
		return encodingOf(names, "gone", node.name)
	}
	return encodingOf(names, "node", node.core, node.disk, node.appliedState, node.reads)
}

// persist appends records to the disk. Afterwards the disk holds one record with the newest hard state and one for each
// entry of the log, so that two disks from which a restart reads the same state are equal.
func (disk *modelDisk) persist(cfg Config, records []*wire.Record) {
	if len(records) == 0 {
		return
	}
	all := append(slices.Clip(disk.records), records...)
	read := New(cfg, disk.snapshot, all)
	disk.records = append([]*wire.Record{{Kind: &wire.Record_HardState{HardState: read.hardState}}}, entryRecords(read.log)...)
}

// term returns the term that a restart reads from the disk.
func (disk modelDisk) term() uint64 {
	term := disk.snapshot.HardState.Term
	for _, record := range disk.records {
		if hardState := record.GetHardState(); hardState != nil {
			term = hardState.Term
		}
	}
	return term
}

// step carries out an event at a copy of the node. It returns nil if the event isn't possible at this node.
func (node *modelNode) step(event modelEvent, message *wire.Message, learnerSlot int) *eventOutcome {
	if node.absent {
		return nil
	}
	after := node.clone()
	switch event.kind {
	case restart:
		return &eventOutcome{node: startNode(node.core.cfg, node.disk)}
	case diskLoss:
		return &eventOutcome{node: after.loseDisk()}
	case compact:
		return after.compact()
	case restoreGroup:
		return after.restoreGroup(slotNames[event.arg])
	case flush:
		return after.flush()
	case deliver:
		if node.core.role != leader {
			after.core.electionElapsed = after.core.cfg.ElectionTicks // as if the election timeout had passed, so that the member can grant a pre-vote
		}
		after.core.Step(message)
	default:
		if !after.applyLocalEvent(event, learnerSlot) {
			return nil
		}
	}
	if event.delayFlush {
		after.normalize()
		return &eventOutcome{node: after}
	}
	return after.flush()
}

// applyLocalEvent carries out an event that isn't the delivery of a message. It returns false if the event isn't
// possible or the core rejects it.
func (node *modelNode) applyLocalEvent(event modelEvent, learnerSlot int) bool {
	core := node.core
	switch event.kind {
	case electionTimeout:
		if core.role == leader || !core.IsVoter(node.name) || core.isBlank() {
			return false
		}
		core.campaign(candidate)
	case preVoteTimeout:
		if core.role == leader {
			return false
		}
		core.electionTimeout = 1
		core.Tick()
	case heartbeat:
		return tickHeartbeat(core)
	case quorumContactLost:
		return tickWithoutQuorum(core)
	case propose:
		_, _, ok := core.Propose([]byte{byte(event.arg)})
		return ok
	case addLearner:
		name := slotNames[event.arg]
		return !core.IsVoter(name) && core.peers[name] == nil && core.AddLearner(name)
	case addMember:
		_, _, ok := core.ProposeMembership(append(slices.Clone(core.voters.names), slotNames[event.arg]))
		return ok && core.IsVoter(slotNames[event.arg])
	case removeMember:
		_, _, ok := core.ProposeMembership(namesWithout(core.voters.names, slotNames[event.arg]))
		return ok
	case replaceMember:
		_, _, ok := core.ProposeMembership(append(namesWithout(core.voters.names, slotNames[event.arg]), slotNames[learnerSlot]))
		return ok
	case transfer:
		for peer, progress := range core.peers {
			if peer != slotNames[event.arg] {
				progress.contactAge = core.cfg.ElectionTicks
			}
		}
		return core.TransferLeadership()
	case requestRead:
		id, ok := core.ReadIndex()
		if ok {
			node.reads[id] = uint8(event.arg)
		}
		return ok
	}
	return true
}

// namesWithout returns a copy of a list of names without one of them.
func namesWithout(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name })
}

// tickHeartbeat makes the heartbeat of a leader due, or the request of a member that lost its disk for the states of its
// peers, and ticks the core. It
// returns false for any other member.
func tickHeartbeat(core *Core) bool {
	core.heartbeatElapsed, core.learnerHeartbeatCount = core.cfg.HeartbeatTicks-1, learnerHeartbeats-1
	if core.isBlank() {
		core.heartbeatElapsed = 0
	} else if core.role != leader {
		return false
	}
	core.Tick()
	return true
}

// tickWithoutQuorum ticks a leader that has had no response from any peer for two election timeouts. It returns
// false if the member isn't a leader.
func tickWithoutQuorum(core *Core) bool {
	if core.role != leader {
		return false
	}
	for _, progress := range core.peers {
		progress.ticksSinceResponse, progress.contactAge = 2*core.cfg.ElectionTicks, 2*core.cfg.ElectionTicks
	}
	core.Tick()
	if core.role == leader && len(core.voters.names) > 1 {
		panic("a leader without contact to a quorum for two election timeouts doesn't step down: tickWithoutQuorum doesn't set all fields of Core that Tick checks")
	}
	return true
}

// flush carries out the output of the core, as the driver does: persist, send, apply. A member that a later
// restore generation supersedes sends nothing more, and its disk counts as lost.
func (node *modelNode) flush() *eventOutcome {
	if node.core.supersededBy != 0 {
		return &eventOutcome{node: node.loseDisk()}
	}
	ready := node.core.Ready()
	if ready.Snapshot != nil {
		node.disk = modelDisk{snapshot: ready.Snapshot}
		node.appliedState = string(ready.Snapshot.State)
	}
	node.disk.persist(node.core.cfg, ready.Records)
	outcome := &eventOutcome{node: node, messages: ready.Messages, committed: ready.CommittedEntries, term: node.core.hardState.Term}
	for _, entry := range ready.CommittedEntries {
		node.appliedState += string(entry.Body)
	}
	for _, id := range ready.ConfirmedReads {
		if committedBefore := node.reads[id]; node.core.applied < uint64(committedBefore) {
			outcome.violation = fmt.Sprintf("stale read: %s confirms a read after applying %d entries, but %d were committed before the read began", node.name, node.core.applied, committedBefore)
		}
		delete(node.reads, id)
	}
	for _, id := range ready.AbortedReads {
		delete(node.reads, id)
	}
	node.normalize()
	return outcome
}

// compact replaces the applied entries of a node by a snapshot. It returns nil if the node has none after its last
// snapshot, or has output that isn't flushed yet.
func (node *modelNode) compact() *eventOutcome {
	if node.core.applied <= node.core.snapshot.Index || node.pending() {
		return nil
	}
	node.disk.snapshot, node.disk.records = node.core.Compact([]byte(node.appliedState))
	node.normalize()
	return &eventOutcome{node: node}
}

// pending reports whether the node's core has output that the driver hasn't persisted, sent or applied yet.
func (node *modelNode) pending() bool {
	output := node.core.ready
	return output.Snapshot != nil || len(output.Records)+len(output.Messages)+len(output.AbortedReads) > 0 || node.core.commit > node.core.applied
}

// loseDisk returns the member after the loss of its disk. The name of a group's member isn't used again, so the member
// is absent; a fixed member starts with an empty disk, as the next incarnation of its name.
func (node *modelNode) loseDisk() *modelNode {
	if node.core.cfg.DynamicMembership {
		return &modelNode{name: node.name, absent: true}
	}
	incarnation := node.core.hardState.Incarnation
	last := len(incarnation) - 1
	next := incarnation[:last] + string(incarnation[last]+1)
	return startNode(node.core.cfg, modelDisk{snapshot: BlankSnapshot(next)})
}
