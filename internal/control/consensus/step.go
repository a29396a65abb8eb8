package consensus

import "pebbleloom/internal/wire"

// messageHandler defines how messages of one kind are handled, and which checks they have to pass first.
type messageHandler struct {
	handle     func(*Core, *wire.Message)
	rejoin     bool // the messages are exchanged with a member that rejoins after the loss of its disk: Step skips its checks of incarnation, disk state and term
	isResponse bool // the messages are responses: ignored unless they respond to the receiver's current incarnation
	keepsTerm  bool // the receiver doesn't adopt a later term of the messages
}

// messageHandlers has an entry for each message kind that this release knows. Step adopts a later term in a message of
// an unknown kind, which a later release has sent, and otherwise ignores the message.
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

	wire.MessageKind_RESTORE_NOTICE: {keepsTerm: true}, // has no handler: only the restore generation of the message matters, which Step checks

	wire.MessageKind_SNAPSHOT_REQUEST:        {handle: (*Core).handleSnapshotRequest},
	wire.MessageKind_SNAPSHOT_CHUNK_REQUEST:  {handle: (*Core).handleChunkRequest},
	wire.MessageKind_SNAPSHOT_CHUNK_RESPONSE: {handle: (*Core).handleChunkResponse, isResponse: true},
}

// Step handles one received message. Messages may be lost, delayed, duplicated and reordered; those of
// other shards, other restore generations and unknown senders are ignored, and so are those of a sender whose
// name a later incarnation uses, after the loss of its disk. The
// message must not be changed afterwards.
//
// Example: c.Step(message); drive(c.Ready())
func (c *Core) Step(message *wire.Message) {
	if c.supersededBy != 0 || message.Shard != c.cfg.Shard || !c.acceptsGeneration(message) || !c.isRecipient(message) {
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
		return // a member that started with an empty disk doesn't vote or acknowledge entries before it has rejoined
	}
	if message.Term > c.hardState.Term && !handler.keepsTerm {
		c.becomeFollower(message.Term, "")
	}
	if handler.handle != nil {
		handler.handle(c, message)
	}
}

// isRecipient reports whether a message is addressed to this member. With fixed members its sender must be one
// of them; in a group any sender is accepted, since the logs of members may name different voters.
func (c *Core) isRecipient(message *wire.Message) bool {
	return message.To == c.cfg.Self && message.From != c.cfg.Self &&
		(c.cfg.DynamicMembership || c.IsVoter(message.From))
}

// isFromSupersededIncarnation reports whether a message was sent by another incarnation of the sender's name than the
// one that this member has recorded, which is the only valid one.
func (c *Core) isFromSupersededIncarnation(message *wire.Message) bool {
	known := c.knownIncarnation(message.From)
	return known != nil && known.Incarnation != message.Incarnation
}

// isBlank reports whether this member started with an empty disk, since it is new or its disk was lost, and hasn't
// rejoined.
func (c *Core) isBlank() bool { return c.hardState.DiskState == wire.DiskState_DISK_BLANK }
