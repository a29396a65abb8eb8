package wire

// Outcome is the result of a request to a control node. It is a string on the wire, so that an older
// release can decode a response whose outcome it doesn't know.
type Outcome = string

// Outcomes of requests to change, read or watch documents. A rejected request had no effect.
const (
	OutcomeDone       Outcome = "done"           // the change is committed: it is on the disks of a majority of the members
	OutcomeValid      Outcome = "valid"          // the dry run found no error: the change would be accepted
	OutcomeConflict   Outcome = "epoch-conflict" // rejected: the current version or fencing token differs from the one in the request
	OutcomeNotLeader  Outcome = "not-owner"      // rejected: this control node isn't the leader of the shard
	OutcomeOverloaded Outcome = "overloaded"     // rejected: the control node is overloaded; retry later
	OutcomeUnknown    Outcome = "cant-say"       // unknown whether the change was or will still be committed
	OutcomeBadInput   Outcome = "bad-input"      // rejected: the request is invalid
	OutcomeTooLarge   Outcome = "too-big"        // rejected: the request exceeds a size limit
	OutcomeUpdated    Outcome = "news"           // watch: the response has a newer version of the document
	OutcomeUnchanged  Outcome = "same"           // watch: the control node's disk has no newer version of the document
)
