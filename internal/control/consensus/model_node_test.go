package consensus

import (
	"fmt"
	"slices"

	"pebbleloom/internal/wire"
)

// steadyTicks is the age in ticks of every core of the model: it isn't starting, and had contact with a leader
// in this tick.
const steadyTicks = 1000

// modelRand replaces a core's source of randomness, which only sets timers that the model abstracts from.
type modelRand struct{}

func (modelRand) Uint64() uint64 { return 0x5555555555555555 }

// modelDisk is what a member has persisted: a snapshot and the records after it.
type modelDisk struct {
	snapshot *wire.Snapshot
	records  []*wire.Record
}

// modelNode is one member: its disk, its core, the state that it has applied, and its pending reads.
type modelNode struct {
	name  string
	wiped bool // its disk is lost, and it doesn't start again under this name
	disk  modelDisk
	core  *Core
	app   string           // the commands that it has applied, of one letter each
	reads map[uint64]uint8 // by id: how many entries had been committed when the read began
}

// eventKind is a kind of event at one node.
type eventKind uint8

const (
	deliver eventKind = iota
	electionTimeout
	preVoteTimeout
	heartbeat
	quorumSilent
	restart
	wipe
	propose
	addLearner
	addMember
	removeMember
	replaceMember // by the learner in one change, which the core must reject
	transfer
	compact
	requestRead
	flush
	restoreGroup // from the member's disk alone
)

// eventNames describe events in the trace of a search.
var eventNames = map[eventKind]string{
	electionTimeout: "election timeout",
	preVoteTimeout:  "requests pre-votes",
	heartbeat:       "heartbeat",
	quorumSilent:    "has no contact with a quorum",
	restart:         "crashes and restarts",
	wipe:            "loses its disk",
	propose:         "proposes",
	addLearner:      "adds learner",
	addMember:       "proposes to add",
	removeMember:    "proposes to remove",
	replaceMember:   "proposes to replace",
	transfer:        "transfers leadership to",
	compact:         "compacts its log",
	requestRead:     "begins a read",
	flush:           "persists and sends what was delayed",
	restoreGroup:    "goes on alone, as the restored group",
}

// modelEvent is an event at a node. Equal events at equal nodes have equal outcomes.
type modelEvent struct {
	kind eventKind

	// arg is the number of the message to deliver, the slot of the member to add, remove or transfer to,
	// the command to propose, or how many entries were committed when a read begins.
	arg int32

	delayFlush bool // the driver persists and sends the step's output only at a later flush
}

// eventOutcome is the result of an event at a node.
type eventOutcome struct {
	node      *modelNode
	messages  []*wire.Message
	committed []*wire.Entry
	term      uint64 // the node's term when it committed them
	fault     string // the invariant that this step violates; empty: none

	restored *modelNode    // the member that goes on alone where this one was; nil: the group wasn't restored
	survived []*wire.Entry // the entries that it goes on with and hadn't applied, and one for its first snapshot
}

// startNode starts a member from its disk.
func startNode(cfg Config, disk modelDisk) *modelNode {
	node := &modelNode{name: cfg.Self, disk: disk, reads: map[uint64]uint8{}, app: string(disk.snapshot.State)}
	node.core = New(cfg, disk.snapshot, disk.records)
	node.normalize()
	return node
}

// normalize sets all clocks of a core to the same values: the model abstracts from time, and what depends on
// it happens by events of their own.
func (node *modelNode) normalize() {
	core := node.core
	core.ticks, core.lastLeaderContact = steadyTicks, steadyTicks
	core.electionElapsed, core.electionTimeout = 0, core.cfg.ElectionTicks
	core.heartbeatElapsed, core.learnerHeartbeatCount = 0, 0
	for _, progress := range core.peers {
		progress.ticksSinceResponse, progress.contactAge, progress.snapshotSentAt, progress.batchRetryAt = 0, 0, 0, 0
		if progress.transfer == nil {
			progress.inFlight = false // it only delays what a leader sends to its next heartbeat
			continue
		}
		progress.transfer.sentAt, progress.transfer.retryAt = steadyTicks, steadyTicks
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

func (node *modelNode) encoding(names renaming) string {
	if node.wiped {
		return encodingOf(names, "gone", node.name)
	}
	return encodingOf(names, "node", node.core, node.disk, node.app, node.reads)
}

// persist appends records to the disk, which is kept in the form that a restart reads: the newest hard state and
// the log.
func (disk *modelDisk) persist(cfg Config, records []*wire.Record) {
	if len(records) == 0 {
		return
	}
	all := append(slices.Clip(disk.records), records...)
	read := New(cfg, disk.snapshot, all)
	disk.records = append([]*wire.Record{{Kind: &wire.Record_HardState{HardState: read.hardState}}}, entryRecords(read.log)...)
}

// term returns the term that a restart reads.
func (disk modelDisk) term() uint64 {
	term := disk.snapshot.HardState.Term
	for _, record := range disk.records {
		if hardState := record.GetHardState(); hardState != nil {
			term = hardState.Term
		}
	}
	return term
}

// step carries out an event at a copy of the node. It returns nil where the event can't happen there.
func (node *modelNode) step(event modelEvent, message *wire.Message, learnerSlot int) *eventOutcome {
	if node.wiped {
		return nil
	}
	after := node.clone()
	switch event.kind {
	case restart:
		return &eventOutcome{node: startNode(node.core.cfg, node.disk)}
	case wipe:
		return &eventOutcome{node: after.loseDisk()}
	case compact:
		return after.compact()
	case restoreGroup:
		return after.restoreGroup(slotNames[event.arg])
	case flush:
		return after.flush()
	case deliver:
		if node.core.role != leader {
			after.core.electionElapsed = after.core.cfg.ElectionTicks // long enough to grant a pre-vote
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

// applyLocalEvent carries out an event that isn't the delivery of a message. It returns false where the event
// can't happen, or the core rejects it.
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
	case quorumSilent:
		return tickSilentQuorum(core)
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
		_, _, ok := core.ProposeMembership(without(core.voters.names, slotNames[event.arg]))
		return ok
	case replaceMember:
		_, _, ok := core.ProposeMembership(append(without(core.voters.names, slotNames[event.arg]), slotNames[learnerSlot]))
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

// without returns a copy of names that lacks one of them.
func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(other string) bool { return other == name })
}

// tickHeartbeat ticks a leader when its next heartbeat is due, or a blank member when it asks for its peers'
// states; false at any other member.
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

// tickSilentQuorum ticks a leader that no peer has responded to a request of the last two election timeouts.
func tickSilentQuorum(core *Core) bool {
	if core.role != leader {
		return false
	}
	for _, progress := range core.peers {
		progress.ticksSinceResponse, progress.contactAge = 2*core.cfg.ElectionTicks, 2*core.cfg.ElectionTicks
	}
	core.Tick()
	if core.role == leader && len(core.voters.names) > 1 {
		panic("the model's event doesn't make the leader step down: the core decides by something else")
	}
	return true
}

// flush carries out what the core asks for, as the driver does: persist, send, apply. A member of an earlier
// restore generation sends nothing more, and its disk counts as lost.
func (node *modelNode) flush() *eventOutcome {
	if node.core.supersededBy != 0 {
		return &eventOutcome{node: node.loseDisk()}
	}
	ready := node.core.Ready()
	if ready.Snapshot != nil {
		node.disk = modelDisk{snapshot: ready.Snapshot}
		node.app = string(ready.Snapshot.State)
	}
	node.disk.persist(node.core.cfg, ready.Records)
	out := &eventOutcome{node: node, messages: ready.Messages, committed: ready.CommittedEntries, term: node.core.hardState.Term}
	for _, entry := range ready.CommittedEntries {
		node.app += string(entry.Body)
	}
	for _, id := range ready.ConfirmedReads {
		if asked := node.reads[id]; node.core.applied < uint64(asked) {
			out.fault = fmt.Sprintf("stale read: %s confirms a read with %d of the %d entries that were committed before it began", node.name, node.core.applied, asked)
		}
		delete(node.reads, id)
	}
	for _, id := range ready.AbortedReads {
		delete(node.reads, id)
	}
	node.normalize()
	return out
}

// compact replaces the applied log by a snapshot, once nothing is left to flush.
func (node *modelNode) compact() *eventOutcome {
	if node.core.applied <= node.core.snapshot.Index || node.pending() {
		return nil
	}
	node.disk.snapshot, node.disk.records = node.core.Compact([]byte(node.app))
	node.normalize()
	return &eventOutcome{node: node}
}

// pending reports whether there is output of the core that wasn't flushed.
func (node *modelNode) pending() bool {
	r := node.core.ready
	return r.Snapshot != nil || len(r.Records)+len(r.Messages)+len(r.AbortedReads) > 0 || node.core.commit > node.core.applied
}

// loseDisk returns the member after its disk was lost. In a group its name isn't used again, and the machine
// joins under another; a fixed member starts blank under a new incarnation.
func (node *modelNode) loseDisk() *modelNode {
	if node.core.cfg.DynamicMembership {
		return &modelNode{name: node.name, wiped: true}
	}
	incarnation := node.core.hardState.Incarnation
	last := len(incarnation) - 1
	next := incarnation[:last] + string(incarnation[last]+1)
	return startNode(node.core.cfg, modelDisk{snapshot: BlankSnapshot(next)})
}
