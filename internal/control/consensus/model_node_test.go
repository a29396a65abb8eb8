package consensus

import (
	"fmt"
	"slices"

	"pebbleloom/internal/wire"
)

// steadyTicks is how old every core of the model is: past its start, with a leader's word just heard.
const steadyTicks = 1000

// modelRand replaces a core's randomness, which only sets timers that the model abstracts from.
type modelRand struct{}

func (modelRand) Uint64() uint64 { return 0x5555555555555555 }

// modelDisk is what a member has synced: its snapshot, then the records since.
type modelDisk struct {
	snapshot *wire.Snapshot
	records  []*wire.Record
}

// modelNode is one member: its disk, its core, the state that it has applied, and the reads it was asked.
type modelNode struct {
	name  string
	wiped bool // wiped and never started again under this name
	disk  modelDisk
	core  *Core
	app   string           // the bodies it has applied, one letter each
	reads map[uint64]uint8 // by id: how many entries had been committed when it was asked
}

// eventKind is something that happens at one node.
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
	replaceMember // by the last name, at once, which the core has to refuse
	transfer
	compact
	requestRead
	flush
)

var eventNames = map[eventKind]string{electionTimeout: "election timeout", preVoteTimeout: "asks for pre-votes", heartbeat: "heartbeat",
	quorumSilent: "has heard of no quorum", restart: "crashes and restarts", wipe: "loses its disk", propose: "proposes", addLearner: "feeds learner",
	addMember: "proposes to add", removeMember: "proposes to remove",
	replaceMember: "proposes to replace", transfer: "transfers leadership to", compact: "compacts its log",
	requestRead: "begins a read", flush: "syncs and sends what it held back"}

// modelEvent is what happens at a node. Equal events at equal nodes have equal results.
type modelEvent struct {
	kind       eventKind
	arg        int32 // deliver: the message; members: the index of the name; propose: the body; reads: what was committed
	delayFlush bool  // the driver doesn't persist and send yet
}

// eventOutcome is what an event makes of a node.
type eventOutcome struct {
	node      *modelNode
	messages  []*wire.Message
	committed []*wire.Entry
	term      uint64 // in which the node committed them
	fault     string // an invariant that this step alone breaks
}

// startNode makes a member from its disk, as a start of the process does.
func startNode(cfg Config, disk modelDisk) *modelNode {
	node := &modelNode{name: cfg.Self, disk: disk, reads: map[uint64]uint8{}, app: string(disk.snapshot.State)}
	node.core = New(cfg, disk.snapshot, disk.records)
	node.normalize()
	return node
}

// normalize sets the clocks of a core to one value: time is an event of its own in the model.
func (node *modelNode) normalize() {
	c := node.core
	c.ticks, c.lastLeaderContact = steadyTicks, steadyTicks
	c.electionElapsed, c.electionTimeout = 0, c.cfg.ElectionTicks
	c.heartbeatElapsed, c.learnerHeartbeatCount = 0, 0
	for _, progress := range c.peers {
		progress.ticksSinceResponse, progress.contactAge, progress.snapshotSentAt, progress.batchRetryAt = 0, 0, 0, 0
		if progress.transfer == nil {
			progress.inFlight = false // it only keeps a leader from sending what it may send at the next heartbeat
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

// persist adds records to the disk. The disk is kept as what a restart reads from it.
func (disk *modelDisk) persist(cfg Config, records []*wire.Record) {
	if len(records) == 0 {
		return
	}
	all := append(slices.Clip(disk.records), records...)
	read := New(cfg, disk.snapshot, all)
	disk.records = append([]*wire.Record{{Kind: &wire.Record_HardState{HardState: read.hardState}}}, entryRecords(read.log)...)
}

// term is the one that a restart reads.
func (disk modelDisk) term() uint64 {
	term := disk.snapshot.HardState.Term
	for _, r := range disk.records {
		if h := r.GetHardState(); h != nil {
			term = h.Term
		}
	}
	return term
}

// step makes an event happen at a copy of the node; nil where it can't happen there.
func (node *modelNode) step(event modelEvent, message *wire.Message, names []string) *eventOutcome {
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
	case flush:
		return after.flush()
	case deliver:
		if node.core.role != leader {
			after.core.electionElapsed = after.core.cfg.ElectionTicks // long enough to grant a pre-vote
		}
		after.core.Step(message)
	default:
		if !after.applyLocalEvent(event, names) {
			return nil
		}
	}
	if event.delayFlush {
		after.normalize()
		return &eventOutcome{node: after}
	}
	return after.flush()
}

// applyLocalEvent is a step of the core that no message brings about; false where the core refuses it.
func (node *modelNode) applyLocalEvent(event modelEvent, names []string) bool {
	core := node.core
	switch event.kind {
	case electionTimeout:
		if core.role == leader || !core.IsVoter(node.name) || core.hardState.DiskState == wire.DiskState_DISK_BLANK {
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
		core.heartbeatElapsed, core.learnerHeartbeatCount = core.cfg.HeartbeatTicks-1, learnerHeartbeats-1
		if core.hardState.DiskState == wire.DiskState_DISK_BLANK {
			core.heartbeatElapsed = 0 // it asks for the others' states
		} else if core.role != leader {
			return false
		}
		core.Tick()
	case quorumSilent:
		if core.role != leader {
			return false
		}
		for _, progress := range core.peers {
			progress.ticksSinceResponse = 2 * core.cfg.ElectionTicks
		}
		core.Tick()
	case propose:
		_, _, ok := core.Propose([]byte{byte(event.arg)})
		return ok
	case addLearner:
		return !core.IsVoter(names[event.arg]) && core.peers[names[event.arg]] == nil && core.AddLearner(names[event.arg])
	case addMember:
		_, _, ok := core.ProposeMembership(append(slices.Clone(core.voters.names), names[event.arg]))
		return ok && core.IsVoter(names[event.arg])
	case removeMember:
		others := slices.DeleteFunc(slices.Clone(core.voters.names), func(peer string) bool { return peer == names[event.arg] })
		_, _, ok := core.ProposeMembership(others)
		return ok
	case replaceMember:
		others := slices.DeleteFunc(slices.Clone(core.voters.names), func(peer string) bool { return peer == names[event.arg] })
		_, _, ok := core.ProposeMembership(append(others, names[len(names)-1]))
		return ok
	case transfer:
		for peer, progress := range core.peers {
			if peer != names[event.arg] {
				progress.ticksSinceResponse = core.cfg.ElectionTicks
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

// flush does what the driver does after a step: persist, send, apply.
func (node *modelNode) flush() *eventOutcome {
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
			out.fault = fmt.Sprintf("old state served as new: %s confirms a read with %d of the %d entries that were committed before it began", node.name, node.core.applied, asked)
		}
		delete(node.reads, id)
	}
	for _, id := range ready.AbortedReads {
		delete(node.reads, id)
	}
	node.normalize()
	return out
}

// compact lets the snapshot take in what is applied, once nothing is left to flush.
func (node *modelNode) compact() *eventOutcome {
	if node.core.applied <= node.core.snapshot.Index || node.pending() {
		return nil
	}
	node.disk.snapshot, node.disk.records = node.core.Compact([]byte(node.app))
	node.normalize()
	return &eventOutcome{node: node}
}

// pending tells whether steps were taken that the driver hasn't flushed.
func (node *modelNode) pending() bool {
	r := node.core.ready
	return r.Snapshot != nil || len(r.Records)+len(r.Messages)+len(r.AbortedReads) > 0 || node.core.commit > node.core.applied
}

// loseDisk is a member after its disk was lost. In a group its name is gone for good, and the machine
// comes back under another; of fixed members it begins blank under a new incarnation.
func (node *modelNode) loseDisk() *modelNode {
	if node.core.cfg.DynamicMembership {
		return &modelNode{name: node.name, wiped: true}
	}
	incarnation := node.core.hardState.Incarnation
	last := len(incarnation) - 1
	next := incarnation[:last] + string(incarnation[last]+1)
	return startNode(node.core.cfg, modelDisk{snapshot: BlankSnapshot(next)})
}
