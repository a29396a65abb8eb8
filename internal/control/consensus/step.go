package consensus

import "pebbleloom/internal/wire"

// messageHandler is how messages of one kind are handled, and which checks they have to pass first.
type messageHandler struct {
	handle     func(*Core, *wire.Message)
	rejoin     bool // exchanged with members that are blank or not known yet: exempt from the checks of Step
	isResponse bool // counts only for the incarnation that sent the request
	keepsTerm  bool // its term is a question, not adopted as a later term
}

// messageHandlers is the table of all message kinds. It has no entry for kinds of later releases, of
// whose messages only the term counts.
var messageHandlers = map[wire.MessageKind]messageHandler{
	wire.MessageKind_STATE_REQUEST:  {handle: (*Core).handleStateRequest, rejoin: true},
	wire.MessageKind_STATE_RESPONSE: {handle: (*Core).handleStateResponse, rejoin: true},

	wire.MessageKind_PRE_VOTE_REQUEST:    {handle: (*Core).handlePreVoteRequest, keepsTerm: true},
	wire.MessageKind_PRE_VOTE_RESPONSE:   {handle: (*Core).handlePreVoteResponse, isResponse: true},
	wire.MessageKind_VOTE_REQUEST:        {handle: (*Core).handleVoteRequest},
	wire.MessageKind_VOTE_RESPONSE:       {handle: (*Core).handleVoteResponse, isResponse: true},
	wire.MessageKind_TRANSFER_LEADERSHIP: {handle: (*Core).handleTransferLeadership},

	wire.MessageKind_APPEND_REQUEST:  {handle: (*Core).handleAppendRequest},
	wire.MessageKind_APPEND_RESPONSE: {handle: (*Core).handleAppendResponse, isResponse: true},

	wire.MessageKind_RESTORE_NOTICE: {keepsTerm: true}, // its generation says it all

	wire.MessageKind_SNAPSHOT_REQUEST:        {handle: (*Core).handleSnapshotRequest},
	wire.MessageKind_SNAPSHOT_CHUNK_REQUEST:  {handle: (*Core).handleChunkRequest},
	wire.MessageKind_SNAPSHOT_CHUNK_RESPONSE: {handle: (*Core).handleChunkResponse, isResponse: true},
}

// Step handles one received message. Messages may be lost, delayed, duplicated and reordered; those of
// other shards, of other restore generations, of senders that aren't known and of superseded incarnations
// are ignored. The message must not be changed afterwards.
//
// Example: c.Step(message); drive(c.Ready())
func (c *Core) Step(message *wire.Message) {
	if c.supersededBy != 0 || message.Shard != c.cfg.Shard || !c.isOfThisGeneration(message) || !c.isRecipient(message) {
		return
	}
	handler := messageHandlers[message.Kind]
	if handler.rejoin {
		handler.handle(c, message)
		return
	}
	if c.isFromSupersededIncarnation(message) {
		return
	}
	if handler.isResponse && message.AboutIncarnation != c.hardState.Incarnation {
		return
	}
	if c.isBlank() {
		return // no vote and no acknowledgement before both peers have sent their states
	}
	if message.Term > c.hardState.Term && !handler.keepsTerm {
		c.becomeFollower(message.Term, "")
	}
	if handler.handle != nil {
		handler.handle(c, message)
	}
}

// isRecipient reports whether a message is for this member. With fixed members its sender must be one of
// them; in a group anyone may send, since logs may differ in which members they name.
func (c *Core) isRecipient(message *wire.Message) bool {
	return message.To == c.cfg.Self && message.From != c.cfg.Self &&
		(c.cfg.DynamicMembership || c.IsVoter(message.From))
}

// isFromSupersededIncarnation reports whether another incarnation of the sender's name was recorded,
// which makes the messages of this one void.
func (c *Core) isFromSupersededIncarnation(message *wire.Message) bool {
	known := c.knownIncarnation(message.From)
	return known != nil && known.Incarnation != message.Incarnation
}

// isBlank reports whether this member has lost its disk, or was never started, and hasn't rejoined.
func (c *Core) isBlank() bool { return c.hardState.DiskState == wire.DiskState_DISK_BLANK }
