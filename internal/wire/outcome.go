package wire

// Outcome is how a control node answered a request. It is a string on the wire, so that an older
// release can read the outcomes that it knows.
type Outcome = string

// Outcomes of changes, reads and watches. A request that was rejected had no effect.
const (
	OutcomeDone       Outcome = "done"           // carried out, on the disks of a majority
	OutcomeValid      Outcome = "valid"          // a dry run: it would be carried out
	OutcomeConflict   Outcome = "epoch-conflict" // rejected: another version or fencing token is in force
	OutcomeNotLeader  Outcome = "not-owner"      // rejected: this member isn't the leader
	OutcomeOverloaded Outcome = "overloaded"     // rejected: retry later
	OutcomeUnknown    Outcome = "cant-say"       // it may have been carried out, or may be later
	OutcomeBadInput   Outcome = "bad-input"      // rejected: the request is invalid
	OutcomeTooLarge   Outcome = "too-big"        // rejected: the request is over a limit
	OutcomeUpdated    Outcome = "news"           // of a watch: a newer document
	OutcomeUnchanged  Outcome = "same"           // of a watch: this member's disk has nothing newer
)
