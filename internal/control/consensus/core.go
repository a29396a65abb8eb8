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
	peers                 map[string]*peerProgress
	peerStates            map[string]*wire.Message // states received while blank
	peerGenerations       map[string]uint64        // generations of its name that the others know, received while blank
	generation            uint64                   // generation that it asks to be known under; 0: none yet
	readSequence          uint64
	pendingReads          []pendingRead
	lastReadID            uint64
	rejoinFailure         string
	voters                voterSet // the newest in the log; with fixed members always the same
	learnerHeartbeatCount int      // heartbeats since learners were sent anything
	ready                 Ready
}

// New makes a member from what its disk held. There must be a snapshot: a first start stores a blank
// one under a new incarnation.
//
// Example: c := consensus.New(cfg, snapshot, records)
func New(cfg Config, snapshot *wire.Snapshot, records []*wire.Record) *Core {
	c := &Core{cfg: cfg, snapshot: snapshot, hardState: snapshot.HardState, commit: snapshot.Index, applied: snapshot.Index,
		peers: map[string]*peerProgress{}, peerStates: map[string]*wire.Message{}, peerGenerations: map[string]uint64{}}
	c.reloadMembership()
	for _, r := range records {
		switch k := r.Kind.(type) {
		case *wire.Record_HardState:
			c.hardState = k.HardState
		case *wire.Record_Entry:
			c.appendEntry(k.Entry)
		case *wire.Record_Cut:
			c.truncate(k.Cut)
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

func (c *Core) send(message *wire.Message) {
	message.Shard, message.From, message.Incarnation, message.DiskState = c.cfg.Shard, c.cfg.Self, c.hardState.Incarnation, c.hardState.DiskState
	if message.Term == 0 {
		message.Term = c.hardState.Term
	}
	c.ready.Messages = append(c.ready.Messages, message)
}

func (c *Core) forEachPeer(f func(string)) {
	for _, peer := range c.voters.names {
		if peer != c.cfg.Self {
			f(peer)
		}
	}
}

// hasQuorum reports whether a majority of the members passes, this one counted where it is a member.
func (c *Core) hasQuorum(pass func(peer string) bool) bool {
	n := 0
	for _, peer := range c.voters.names {
		if peer == c.cfg.Self || pass(peer) {
			n++
		}
	}
	return 2*n > len(c.voters.names)
}

func (c *Core) hasElectionQuorum() bool {
	return c.hasQuorum(func(peer string) bool { return c.votes[peer] })
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
		for _, progress := range c.peers {
			progress.ticksSinceResponse++
			progress.contactAge++
		}
		if !c.hasQuorum(func(peer string) bool { return c.peers[peer].contactAge < 2*c.cfg.ElectionTicks }) {
			c.becomeFollower(c.hardState.Term, "")
			return
		}
		if c.heartbeatElapsed >= c.cfg.HeartbeatTicks {
			c.heartbeatElapsed = 0
			c.forEachPeer(func(peer string) { c.replicate(peer, true) })
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
		for _, progress := range c.peers {
			progress.transfer = nil // its snapshot is freed
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
	c.forEachPeer(func(peer string) {
		c.send(&wire.Message{To: peer, Kind: kind, Term: term, Index: c.lastIndex(), LogTerm: c.lastTerm()})
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
	c.forEachPeer(func(peer string) { c.peers[peer] = c.progressAtElection(peer) })
	c.proposeEntry(nil, c.voters.namesOnWire(c.cfg.DynamicMembership)) // an entry of its own term, so that earlier ones commit
}

func (c *Core) proposeEntry(body []byte, members []string) uint64 {
	entry := &wire.Entry{Index: c.lastIndex() + 1, Term: c.hardState.Term, Body: body, Members: members}
	c.appendEntry(entry)
	c.ready.Records = append(c.ready.Records, &wire.Record{Kind: &wire.Record_Entry{Entry: entry}})
	c.forEachPeer(func(peer string) { c.replicate(peer, false) })
	if len(c.voters.names) == 1 {
		c.advanceCommit() // nobody else is asked
	}
	return entry.Index
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
	c.forEachPeer(func(peer string) { c.replicate(peer, true) })
	return c.lastReadID, true
}

// Ready hands over what the steps since the last Ready ask for.
//
// Example: o := c.Ready()
func (c *Core) Ready() Ready {
	if c.commit > c.applied {
		for _, entry := range c.entriesFrom(c.applied + 1) {
			if entry.Index > c.commit {
				break
			}
			c.ready.CommittedEntries = append(c.ready.CommittedEntries, entry)
		}
		c.applied = c.commit
	}
	c.confirmReads()
	ready := c.ready
	c.ready = Ready{}
	return ready
}

func (c *Core) confirmReads() {
	var stay []pendingRead
	for _, r := range c.pendingReads {
		if c.applied >= r.index && c.hasQuorum(func(peer string) bool { return c.peers[peer].ackedReadSequence >= r.sequence }) {
			c.ready.ConfirmedReads = append(c.ready.ConfirmedReads, r.id)
		} else {
			stay = append(stay, r)
		}
	}
	c.pendingReads = stay
}
