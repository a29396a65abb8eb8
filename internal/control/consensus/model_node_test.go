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

// disk is what a member has synced: its snapshot, then the records since.
type disk struct {
	snapshot *wire.Snapshot
	records  []*wire.Record
}

// node is one member: its disk, its core, the state that it has applied, and the reads it was asked.
type node struct {
	name  string
	wiped bool // wiped and never started again under this name
	disk  disk
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

// event is what happens at a node. Equal events at equal nodes have equal results.
type event struct {
	kind       eventKind
	arg        int32 // deliver: the message; members: the index of the name; propose: the body; reads: what was committed
	delayFlush bool  // the driver doesn't persist and send yet
}

// outcome is what an event makes of a node.
type outcome struct {
	node      *node
	messages  []*wire.Message
	committed []*wire.Entry
	term      uint64 // in which the node committed them
	fault     string // an invariant that this step alone breaks
}

// startNode makes a member from its disk, as a start of the process does.
func startNode(cfg Config, d disk) *node {
	n := &node{name: cfg.Self, disk: d, reads: map[uint64]uint8{}, app: string(d.snapshot.State)}
	n.core = New(cfg, d.snapshot, d.records)
	n.normalize()
	return n
}

// normalize sets the clocks of a core to one value: time is an event of its own in the model.
func (n *node) normalize() {
	c := n.core
	c.ticks, c.lastLeaderContact = steadyTicks, steadyTicks
	c.electionElapsed, c.electionTimeout = 0, c.cfg.ElectionTicks
	c.heartbeatElapsed, c.learnerHeartbeatCount = 0, 0
	for _, p := range c.peers {
		p.ticksSinceResponse, p.contactAge, p.snapshotSentAt, p.batchRetryAt = 0, 0, 0, 0
		if p.transfer == nil {
			p.inFlight = false // it only keeps a leader from sending what it may send at the next heartbeat
			continue
		}
		p.transfer.sentAt, p.transfer.retryAt = steadyTicks, steadyTicks
	}
}

func (n *node) clone() *node {
	copied := *n
	copied.core = cloneCore(n.core)
	copied.reads = map[uint64]uint8{}
	for id, bodies := range n.reads {
		copied.reads[id] = bodies
	}
	return &copied
}

func (n *node) encoding(names renaming) string {
	if n.wiped {
		return encodingOf(names, "gone", n.name)
	}
	return encodingOf(names, "node", n.core, n.disk, n.app, n.reads)
}

// persist adds records to the disk. The disk is kept as what a restart reads from it.
func (d *disk) persist(cfg Config, records []*wire.Record) {
	if len(records) == 0 {
		return
	}
	all := append(slices.Clip(d.records), records...)
	read := New(cfg, d.snapshot, all)
	d.records = append([]*wire.Record{{Kind: &wire.Record_HardState{HardState: read.hardState}}}, entryRecords(read.log)...)
}

// term is the one that a restart reads.
func (d disk) term() uint64 {
	term := d.snapshot.HardState.Term
	for _, r := range d.records {
		if h := r.GetHardState(); h != nil {
			term = h.Term
		}
	}
	return term
}

// step makes an event happen at a copy of the node; nil where it can't happen there.
func (n *node) step(e event, m *wire.Message, names []string) *outcome {
	if n.wiped {
		return nil
	}
	after := n.clone()
	switch e.kind {
	case restart:
		return &outcome{node: startNode(n.core.cfg, n.disk)}
	case wipe:
		return &outcome{node: after.loseDisk()}
	case compact:
		return after.compact()
	case flush:
		return after.flush()
	case deliver:
		if n.core.role != leader {
			after.core.electionElapsed = after.core.cfg.ElectionTicks // long enough to grant a pre-vote
		}
		after.core.Step(m)
	default:
		if !after.applyLocalEvent(e, names) {
			return nil
		}
	}
	if e.delayFlush {
		after.normalize()
		return &outcome{node: after}
	}
	return after.flush()
}

// applyLocalEvent is a step of the core that no message brings about; false where the core refuses it.
func (n *node) applyLocalEvent(e event, names []string) bool {
	c := n.core
	switch e.kind {
	case electionTimeout:
		if c.role == leader || !c.IsVoter(n.name) || c.hardState.DiskState == wire.DiskState_DISK_BLANK {
			return false
		}
		c.campaign(candidate)
	case preVoteTimeout:
		if c.role == leader {
			return false
		}
		c.electionTimeout = 1
		c.Tick()
	case heartbeat:
		c.heartbeatElapsed, c.learnerHeartbeatCount = c.cfg.HeartbeatTicks-1, learnerHeartbeats-1
		if c.hardState.DiskState == wire.DiskState_DISK_BLANK {
			c.heartbeatElapsed = 0 // it asks for the others' states
		} else if c.role != leader {
			return false
		}
		c.Tick()
	case quorumSilent:
		if c.role != leader {
			return false
		}
		for _, p := range c.peers {
			p.ticksSinceResponse = 2 * c.cfg.ElectionTicks
		}
		c.Tick()
	case propose:
		_, _, ok := c.Propose([]byte{byte(e.arg)})
		return ok
	case addLearner:
		return !c.IsVoter(names[e.arg]) && c.peers[names[e.arg]] == nil && c.AddLearner(names[e.arg])
	case addMember:
		_, _, ok := c.ProposeMembership(append(slices.Clone(c.members.names), names[e.arg]))
		return ok && c.IsVoter(names[e.arg])
	case removeMember:
		others := slices.DeleteFunc(slices.Clone(c.members.names), func(m string) bool { return m == names[e.arg] })
		_, _, ok := c.ProposeMembership(others)
		return ok
	case replaceMember:
		others := slices.DeleteFunc(slices.Clone(c.members.names), func(m string) bool { return m == names[e.arg] })
		_, _, ok := c.ProposeMembership(append(others, names[len(names)-1]))
		return ok
	case transfer:
		for m, p := range c.peers {
			if m != names[e.arg] {
				p.ticksSinceResponse = c.cfg.ElectionTicks
			}
		}
		return c.TransferLeadership()
	case requestRead:
		id, ok := c.ReadIndex()
		if ok {
			n.reads[id] = uint8(e.arg)
		}
		return ok
	}
	return true
}

// flush does what the driver does after a step: persist, send, apply.
func (n *node) flush() *outcome {
	ready := n.core.Ready()
	if ready.Snapshot != nil {
		n.disk = disk{snapshot: ready.Snapshot}
		n.app = string(ready.Snapshot.State)
	}
	n.disk.persist(n.core.cfg, ready.Records)
	out := &outcome{node: n, messages: ready.Messages, committed: ready.CommittedEntries, term: n.core.hardState.Term}
	for _, e := range ready.CommittedEntries {
		n.app += string(e.Body)
	}
	for _, id := range ready.ConfirmedReads {
		if asked := n.reads[id]; n.core.applied < uint64(asked) {
			out.fault = fmt.Sprintf("old state served as new: %s confirms a read with %d of the %d entries that were committed before it began", n.name, n.core.applied, asked)
		}
		delete(n.reads, id)
	}
	for _, id := range ready.AbortedReads {
		delete(n.reads, id)
	}
	n.normalize()
	return out
}

// compact lets the snapshot take in what is applied, once nothing is left to flush.
func (n *node) compact() *outcome {
	if n.core.applied <= n.core.snapshot.Index || n.pending() {
		return nil
	}
	n.disk.snapshot, n.disk.records = n.core.Compact([]byte(n.app))
	n.normalize()
	return &outcome{node: n}
}

// pending tells whether steps were taken that the driver hasn't flushed.
func (n *node) pending() bool {
	r := n.core.ready
	return r.Snapshot != nil || len(r.Records)+len(r.Messages)+len(r.AbortedReads) > 0 || n.core.commit > n.core.applied
}

// loseDisk is a member after its disk was lost. In a group its name is gone for good, and the machine
// comes back under another; of fixed members it begins blank under a new incarnation.
func (n *node) loseDisk() *node {
	if n.core.cfg.DynamicMembership {
		return &node{name: n.name, wiped: true}
	}
	incarnation := n.core.hardState.Incarnation
	last := len(incarnation) - 1
	next := incarnation[:last] + string(incarnation[last]+1)
	return startNode(n.core.cfg, disk{snapshot: BlankSnapshot(next)})
}
