// Package consensus is Raft as pebbleloom uses it: the members of a shard, or of a group whose
// membership is agreed data, replicate one log of commands. Core is a pure state machine; its driver
// persists first, then sends, then applies.
package consensus

import (
	"math/rand/v2"

	"pebbleloom/internal/wire"
)

// Config is what one member knows of its shard.
type Config struct {
	Shard             uint32
	Self              string
	Members           []string // all three, Self among them; of a group none: they stand in its log
	DynamicMembership bool     // membership is agreed data (membership.go)
	HeartbeatTicks    int      // between two heartbeats of a leader
	ElectionTicks     int      // the least silence after which a follower campaigns; the longest is twice that
	MaxBatchBytes     int      // of entries in one message, and of a snapshot's piece
	TrailingLogBytes  int      // of compacted entries kept in memory for followers that lag, at least; 0: none
	Rand              *rand.Rand
}

// Ready is what the steps so far ask of the driver, in this order: persist, send, apply.
type Ready struct {
	Snapshot         *wire.Snapshot // replaces snapshot, state and log; Records then holds the log that stays
	Records          []*wire.Record
	Messages         []*wire.Message
	CommittedEntries []*wire.Entry
	ConfirmedReads   []uint64 // reads that may now be answered from the applied state
	AbortedReads     []uint64 // reads that can't be answered here any more
}

type role int

const (
	follower     role = iota
	preCandidate      // asks whether it would win, before it takes a new term
	candidate
	leader
)

// unknownVote marks a term in which this member may have voted before it lost its disk.
const unknownVote = "-"

type pendingRead struct{ id, sequence, index uint64 }

// Core is one member of one shard.
type Core struct {
	cfg                   Config
	hardState             *wire.HardState
	snapshot              *wire.Snapshot
	log                   []*wire.Entry // what follows the snapshot
	trailing              []*wire.Entry // entries up to the snapshot that are still kept for followers
	incoming              *incomingSnapshot
	commit                uint64
	applied               uint64
	role                  role
	leader                string
	electionElapsed       int // ticks since a leader was heard
	electionTimeout       int
	heartbeatElapsed      int
	ticks                 int // since this core was made
	lastLeaderContact     int // tick in which a leader was heard last
	votes                 map[string]bool
	peers                 map[string]*progress
	peerStates            map[string]*wire.Message // states received while blank
	peerGenerations       map[string]uint64        // generations of its name that the others know, received while blank
	generation            uint64                   // generation that it asks to be known under; 0: none yet
	readSequence          uint64
	pendingReads          []pendingRead
	lastReadID            uint64
	rejoinFailure         string
	members               membership // the newest in the log; with fixed members always the same
	learnerHeartbeatCount int        // heartbeats since learners were sent anything
	ready                 Ready
}

// New makes a member from what its disk held. There must be a snapshot: a first start stores a blank
// one under a new incarnation.
//
// Example: c := consensus.New(cfg, snapshot, records)
func New(cfg Config, snapshot *wire.Snapshot, records []*wire.Record) *Core {
	c := &Core{cfg: cfg, snapshot: snapshot, hardState: snapshot.HardState, commit: snapshot.Index, applied: snapshot.Index,
		peers: map[string]*progress{}, peerStates: map[string]*wire.Message{}, peerGenerations: map[string]uint64{}}
	c.reloadMembership()
	for _, r := range records {
		switch k := r.Kind.(type) {
		case *wire.Record_HardState:
			c.hardState = k.HardState
		case *wire.Record_Entry:
			c.appendEntry(k.Entry)
		case *wire.Record_TruncateFrom:
			c.truncate(k.TruncateFrom)
		}
	}
	c.resetElectionTimer()
	if c.justStarted() {
		c.electionTimeout = 1
	}
	return c
}

// BlankSnapshot is the first snapshot of a disk that was empty.
//
// Example: err := store.SaveSnapshot(consensus.BlankSnapshot("core-1/9f3a"), nil)
func BlankSnapshot(incarnation string) *wire.Snapshot {
	return &wire.Snapshot{Format: 1, HardState: &wire.HardState{Incarnation: incarnation}}
}

func (c *Core) saveHardState(term uint64, vote string) {
	c.hardState = &wire.HardState{Term: term, Vote: vote, Incarnation: c.hardState.Incarnation, DiskState: c.hardState.DiskState, KnownIncarnations: c.hardState.KnownIncarnations}
	c.ready.Records = append(c.ready.Records, &wire.Record{Kind: &wire.Record_HardState{HardState: c.hardState}})
}

func (c *Core) send(m *wire.Message) {
	m.Shard, m.From, m.Incarnation, m.DiskState = c.cfg.Shard, c.cfg.Self, c.hardState.Incarnation, c.hardState.DiskState
	if m.Term == 0 {
		m.Term = c.hardState.Term
	}
	c.ready.Messages = append(c.ready.Messages, m)
}

func (c *Core) forEachPeer(f func(string)) {
	for _, m := range c.members.names {
		if m != c.cfg.Self {
			f(m)
		}
	}
}

// hasQuorum reports whether a majority of the members passes, this one counted where it is a member.
func (c *Core) hasQuorum(pass func(m string) bool) bool {
	n := 0
	for _, m := range c.members.names {
		if m == c.cfg.Self || pass(m) {
			n++
		}
	}
	return 2*n > len(c.members.names)
}

func (c *Core) hasElectionQuorum() bool {
	return c.hasQuorum(func(m string) bool { return c.votes[m] })
}

// Tick moves the member's time on by one.
//
// Example: c.Tick(); drive(c.Ready())
func (c *Core) Tick() {
	c.heartbeatElapsed++
	c.ticks++
	if c.hardState.DiskState == wire.DiskState_DISK_BLANK {
		if c.heartbeatElapsed%(2*c.cfg.HeartbeatTicks) == 1 {
			c.requestState()
		}
		return
	}
	if c.role == leader {
		for _, p := range c.peers {
			p.ticksSinceResponse++
			p.contactAge++
		}
		if !c.hasQuorum(func(m string) bool { return c.peers[m].contactAge < 2*c.cfg.ElectionTicks }) {
			c.becomeFollower(c.hardState.Term, "")
			return
		}
		if c.heartbeatElapsed >= c.cfg.HeartbeatTicks {
			c.heartbeatElapsed = 0
			c.forEachPeer(func(m string) { c.replicate(m, true) })
			c.replicateToLearners()
		}
		return
	}
	if c.electionElapsed++; c.electionElapsed >= c.electionTimeout && c.IsVoter(c.cfg.Self) {
		c.campaign(preCandidate)
	}
}

// becomeFollower follows a leader, or none yet; a later term is persisted with its vote unused.
func (c *Core) becomeFollower(term uint64, leaderName string) {
	if term > c.hardState.Term {
		c.saveHardState(term, "")
	}
	if c.role == leader {
		for _, r := range c.pendingReads {
			c.ready.AbortedReads = append(c.ready.AbortedReads, r.id)
		}
		c.pendingReads = nil
		for _, p := range c.peers {
			p.transfer = nil // its snapshot is freed
		}
	}
	if leaderName != "" {
		c.lastLeaderContact = c.ticks // before the timer: one that hears a leader isn't in haste any more
	}
	if c.role != follower || leaderName != "" {
		c.resetElectionTimer()
	}
	c.role, c.leader = follower, leaderName
}

// campaign asks the peers for their votes: first whether it would win (a pre-vote, which changes
// nothing), then in a new term.
func (c *Core) campaign(as role) {
	c.resetElectionTimer()
	c.role, c.leader, c.votes = as, "", map[string]bool{c.cfg.Self: true}
	kind, term := wire.MessageKind_PRE_VOTE_REQUEST, c.hardState.Term+1
	if as == candidate {
		kind = wire.MessageKind_VOTE_REQUEST
		c.saveHardState(term, c.cfg.Self)
	}
	c.forEachPeer(func(m string) {
		c.send(&wire.Message{To: m, Kind: kind, Term: term, Index: c.lastIndex(), LogTerm: c.lastTerm()})
	})
	switch {
	case !c.hasElectionQuorum(): // more votes are needed than its own
	case as == preCandidate:
		c.campaign(candidate)
	default:
		c.becomeLeader()
	}
}

func (c *Core) becomeLeader() {
	c.role, c.leader, c.heartbeatElapsed, c.incoming = leader, c.cfg.Self, 0, nil
	clear(c.peers)
	c.forEachPeer(func(m string) { c.peers[m] = c.progressAtElection(m) })
	c.proposeEntry(nil, c.members.namesOnWire(c.cfg.DynamicMembership)) // an entry of its own term, so that earlier ones commit
}

func (c *Core) proposeEntry(body []byte, members []string) uint64 {
	e := &wire.Entry{Index: c.lastIndex() + 1, Term: c.hardState.Term, Body: body, Members: members}
	c.appendEntry(e)
	c.ready.Records = append(c.ready.Records, &wire.Record{Kind: &wire.Record_Entry{Entry: e}})
	c.forEachPeer(func(m string) { c.replicate(m, false) })
	if len(c.members.names) == 1 {
		c.advanceCommit() // nobody else is asked
	}
	return e.Index
}

// Propose adds a command where this member leads; false elsewhere.
//
// Example: index, term, ok := c.Propose(body)
func (c *Core) Propose(body []byte) (index, term uint64, ok bool) {
	if c.role != leader {
		return 0, 0, false
	}
	return c.proposeEntry(body, nil), c.hardState.Term, true
}

// ReadIndex begins a read that sees all that was acknowledged before it; its id comes back in
// Ready.ConfirmedReads once a quorum has confirmed that this member still leads.
//
// Example: id, ok := c.ReadIndex()
func (c *Core) ReadIndex() (uint64, bool) {
	if t, _ := c.termAt(c.commit); c.role != leader || t != c.hardState.Term {
		return 0, false
	}
	c.lastReadID++
	c.readSequence++
	c.pendingReads = append(c.pendingReads, pendingRead{c.lastReadID, c.readSequence, c.commit})
	c.forEachPeer(func(m string) { c.replicate(m, true) })
	return c.lastReadID, true
}

// Ready hands over what the steps since the last Ready ask for.
//
// Example: o := c.Ready()
func (c *Core) Ready() Ready {
	if c.commit > c.applied {
		for _, e := range c.entriesFrom(c.applied + 1) {
			if e.Index > c.commit {
				break
			}
			c.ready.CommittedEntries = append(c.ready.CommittedEntries, e)
		}
		c.applied = c.commit
	}
	c.confirmReads()
	o := c.ready
	c.ready = Ready{}
	return o
}

func (c *Core) confirmReads() {
	var stay []pendingRead
	for _, r := range c.pendingReads {
		if c.applied >= r.index && c.hasQuorum(func(m string) bool { return c.peers[m].ackedReadSequence >= r.sequence }) {
			c.ready.ConfirmedReads = append(c.ready.ConfirmedReads, r.id)
		} else {
			stay = append(stay, r)
		}
	}
	c.pendingReads = stay
}
