// Package consensus implements Raft: the voters of a shard or a group replicate one log of commands. A shard
// has three fixed members; the members of a group can change, and are themselves recorded in the log.
//
// Core is a deterministic state machine without I/O, clock or goroutines. Its driver calls Step for each
// received message and Tick at fixed intervals, and after each of them carries out what Ready asks for in
// the order persist, send, apply. Section numbers in comments refer to "In Search of an Understandable
// Consensus Algorithm" (Ongaro and Ousterhout, extended version: "paper") and to "Consensus: Bridging
// Theory and Practice" (Ongaro: "thesis").
//
// The voters are either fixed by Config.Members, for shards of three members, or named by entries of the log
// (Config.DynamicMembership), for groups that members join and leave. The two differ in how a member recovers
// from the loss of its disk: a fixed member rejoins under the same name (rejoin.go), a member of a group joins
// under a new name as a learner, that is without a vote (learner.go).
//
// The files are divided by concern: step.go dispatches messages, election.go holds roles, votes and
// elections, replication.go the leader's side of replication and append.go the follower's, log.go the
// log in memory, read_index.go linearizable reads, snapshot_send.go and snapshot_receive.go snapshot
// transfer, membership.go membership changes, learner.go learners, rejoin.go the recovery of fixed members that
// lost their disks, and restore.go the restore of a group from one member.
package consensus

import (
	"math/rand/v2"

	"pebbleloom/internal/wire"
)

// Config is the configuration of one Core. Self, HeartbeatTicks, ElectionTicks, MaxBatchBytes and Rand are required.
type Config struct {
	Shard             uint32     // number of the shard; messages with another number are ignored
	Self              string     // name of this member
	Members           []string   // fixed voters, including Self; empty with DynamicMembership
	DynamicMembership bool       // the voters are those that log entries name, not Members (see membership.go)
	HeartbeatTicks    int        // ticks between two heartbeats of a leader
	ElectionTicks     int        // minimum election timeout in ticks; the maximum is twice as long
	MaxBatchBytes     int        // size limit of the entries in one append request, and of one snapshot chunk
	TrailingLogBytes  int        // size limit of the compacted entries kept for lagging followers; a larger state raises it to its size; 0: none are kept
	Rand              *rand.Rand // source of randomized election timeouts
}

// Ready holds what the driver has to do for the calls of Step, Tick and others since the last call of Core.Ready. The
// driver must keep this order: Snapshot and Records must be on disk before any of Messages is sent, and
// CommittedEntries are applied after that.
type Ready struct {
	Snapshot         *wire.Snapshot  // replaces the stored snapshot, the log and the applied state; nil: no replacement
	Records          []*wire.Record  // records to append to the log, after Snapshot if there is one
	Messages         []*wire.Message // messages to send once Snapshot and Records are on disk
	CommittedEntries []*wire.Entry   // entries to apply, in the order of the log
	ConfirmedReads   []uint64        // ids of reads that may be served from the state after CommittedEntries
	AbortedReads     []uint64        // ids of reads that this member can no longer confirm
}

// Core is the Raft state machine of one member. It isn't safe for concurrent use.
//
// Invariants: snapshot.Index <= applied <= commit <= lastIndex(); log holds the entries from snapshot.Index+1 to
// lastIndex() without a gap; term and commit never decrease.
type Core struct {
	cfg Config

	// Persistent state of the member (paper, figure 2). It includes records in ready that are not on disk yet.
	hardState *wire.HardState
	snapshot  *wire.Snapshot
	log       []*wire.Entry // log entries after snapshot

	trailing []*wire.Entry     // entries up to snapshot.Index that are kept for lagging followers
	incoming *incomingSnapshot // snapshot that is being received; nil: none
	commit   uint64            // highest index known to be committed
	applied  uint64            // highest index handed to the driver for application

	role              role
	leader            string          // name of the leader of the current term; empty: unknown
	ticks             int             // calls of Tick since New
	electionElapsed   int             // ticks since the election timer was reset
	electionTimeout   int             // randomized timeout that electionElapsed is compared with
	heartbeatElapsed  int             // ticks since this member last became leader or sent heartbeats, or since New
	lastLeaderContact int             // value of ticks at the last contact with a leader
	votes             map[string]bool // on a candidate or pre-candidate: the voters that have granted their votes

	voters                voterSet                 // newest voter set in the log, committed or not
	peers                 map[string]*peerProgress // on a leader: its replication progress to the other voters and the learners, by name
	learnerHeartbeatCount int                      // number of heartbeats sent as leader; a learner that has caught up is sent only every learnerHeartbeats-th

	readSequence uint64 // sequence number of the newest read; every request of a leader carries it as Probe
	pendingReads []pendingRead
	lastReadID   uint64

	// State of rejoining after the loss of the disk, with fixed members only (rejoin.go).
	generation      uint64                   // number that this member has chosen for its current incarnation, to rejoin; 0: none yet
	peerGenerations map[string]uint64        // by peer: number of the latest incarnation of this member's name that the peer has recorded
	peerStates      map[string]*wire.Message // by peer: its response with its snapshot and log, sent after it recorded the chosen generation
	rejoinFailure   string                   // reason why this member can't rejoin; empty: none is known

	supersededBy uint64 // restore generation of a later restore of the group, which this member isn't part of; 0: none is known (restore.go)

	ready Ready
}

// New returns the core of a member whose disk holds a snapshot and the records after it. The snapshot
// must not be nil: on first start the driver stores a BlankSnapshot, BootstrapSnapshot or LearnerSnapshot.
//
// Example: c := consensus.New(cfg, snapshot, records)
func New(cfg Config, snapshot *wire.Snapshot, records []*wire.Record) *Core {
	c := &Core{cfg: cfg, snapshot: snapshot, hardState: snapshot.HardState, commit: snapshot.Index, applied: snapshot.Index,
		peers: map[string]*peerProgress{}, peerStates: map[string]*wire.Message{}, peerGenerations: map[string]uint64{}}
	c.reloadVoters()
	c.replay(records)
	c.resetElectionTimer()
	if c.justStarted() {
		c.electionTimeout = 1
	}
	return c
}

// replay rebuilds the hard state and the log in memory from the records that follow the snapshot on disk.
func (c *Core) replay(records []*wire.Record) {
	for _, record := range records {
		switch kind := record.Kind.(type) {
		case *wire.Record_HardState:
			c.hardState = kind.HardState
		case *wire.Record_Entry:
			c.appendEntry(kind.Entry)
		case *wire.Record_TruncateFrom:
			c.truncate(kind.TruncateFrom)
		}
	}
}

// BlankSnapshot returns the initial snapshot of one of a shard's three fixed members (unlike those of a group, they
// never change) that starts with an empty disk. The incarnation distinguishes the member from earlier ones of the
// same name. The member doesn't vote until it has rejoined (rejoin.go).
//
// Example: err := store.SaveSnapshot(consensus.BlankSnapshot("core-1/9f3a"), nil)
func BlankSnapshot(incarnation string) *wire.Snapshot {
	return &wire.Snapshot{Format: 1, HardState: &wire.HardState{Incarnation: incarnation}}
}

// Tick advances the member's logical clock by one.
//
// Example: c.Tick(); drive(c.Ready())
func (c *Core) Tick() {
	c.heartbeatElapsed++
	c.ticks++
	switch {
	case c.isBlank():
		c.tickBlank()
	case c.role == leader:
		c.tickLeader()
	default:
		c.tickElection()
	}
}

// tickLeader sends heartbeats. A leader that has had no response from a quorum for two election timeouts
// steps down, so that its clients turn to a leader that can commit (thesis, section 6.2).
func (c *Core) tickLeader() {
	for _, progress := range c.peers {
		progress.ticksSinceResponse++
		progress.contactAge++
	}
	if !c.hasQuorum(func(voter string) bool { return c.peers[voter].contactAge < 2*c.cfg.ElectionTicks }) {
		c.becomeFollower(c.hardState.Term, "")
		return
	}
	if c.heartbeatElapsed >= c.cfg.HeartbeatTicks {
		c.heartbeatElapsed = 0
		c.forEachPeer(func(peer string) { c.replicate(peer, true) })
		c.replicateToLearners()
	}
}

// tickElection starts a pre-vote if this member is a voter and its election timer has run out.
func (c *Core) tickElection() {
	if c.electionElapsed++; c.electionElapsed >= c.electionTimeout && c.IsVoter(c.cfg.Self) {
		c.campaign(preCandidate)
	}
}

// Propose appends a command to the log of a leader. It returns the entry's index and term; ok is false
// if this member isn't the leader. The command is committed once an entry of that index and term is among
// Ready.CommittedEntries; an entry of that index with another term means that the command was overwritten.
//
// Example: index, term, ok := c.Propose(body)
func (c *Core) Propose(body []byte) (index, term uint64, ok bool) {
	if c.role != leader {
		return 0, 0, false
	}
	return c.proposeEntry(body, nil), c.hardState.Term, true
}

// proposeEntry appends an entry with a command or a voter set to the leader's log and replicates it.
func (c *Core) proposeEntry(body []byte, members []string) uint64 {
	entry := &wire.Entry{Index: c.lastIndex() + 1, Term: c.hardState.Term, Body: body, Members: members}
	c.appendEntry(entry)
	c.persistEntry(entry)
	c.forEachPeer(func(peer string) { c.replicate(peer, false) })
	if len(c.voters.names) == 1 {
		c.advanceCommit() // there is no other voter whose response would advance the commit index
	}
	return entry.Index
}

// Ready returns what the driver has to do since the last call of Ready. The driver must carry it out completely before
// it calls Ready again, or Compact.
//
// Example: ready := c.Ready()
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

// saveHardState persists a term and the vote cast in it; an empty vote means none.
func (c *Core) saveHardState(term uint64, vote string) {
	hardState := c.nextHardState()
	hardState.Term, hardState.Vote = term, vote
	c.persistHardState(hardState)
}

// nextHardState returns a copy of the current hard state, which the caller changes and persists.
func (c *Core) nextHardState() *wire.HardState {
	return &wire.HardState{
		Term:              c.hardState.Term,
		Vote:              c.hardState.Vote,
		Incarnation:       c.hardState.Incarnation,
		DiskState:         c.hardState.DiskState,
		KnownIncarnations: c.hardState.KnownIncarnations,
		RestoreGeneration: c.hardState.RestoreGeneration,
		RestoredFrom:      c.hardState.RestoredFrom,
	}
}

func (c *Core) persistHardState(hardState *wire.HardState) {
	c.hardState = hardState
	c.ready.Records = append(c.ready.Records, &wire.Record{Kind: &wire.Record_HardState{HardState: hardState}})
}

func (c *Core) persistEntry(entry *wire.Entry) {
	c.ready.Records = append(c.ready.Records, &wire.Record{Kind: &wire.Record_Entry{Entry: entry}})
}

// send queues a message with this member as its sender.
func (c *Core) send(message *wire.Message) {
	c.ready.Messages = append(c.ready.Messages, c.withSender(message))
}

// withSender sets the shard, the sender's name, incarnation, disk state and restore generation of a message, and
// the current term unless the message already has a term.
func (c *Core) withSender(message *wire.Message) *wire.Message {
	message.Shard, message.From, message.Incarnation, message.DiskState = c.cfg.Shard, c.cfg.Self, c.hardState.Incarnation, c.hardState.DiskState
	message.RestoreGeneration = c.hardState.RestoreGeneration
	if message.Term == 0 {
		message.Term = c.hardState.Term
	}
	return message
}

// forEachPeer calls f for each voter other than this member.
func (c *Core) forEachPeer(f func(peer string)) {
	for _, voter := range c.voters.names {
		if voter != c.cfg.Self {
			f(voter)
		}
	}
}

// hasQuorum reports whether a majority of the voters satisfies a condition. This member satisfies it by
// definition, but is counted only if it is a voter: a leader that has proposed its own removal isn't
// (thesis, section 4.2.2).
func (c *Core) hasQuorum(satisfies func(voter string) bool) bool {
	count := 0
	for _, voter := range c.voters.names {
		if voter == c.cfg.Self || satisfies(voter) {
			count++
		}
	}
	return 2*count > len(c.voters.names)
}
