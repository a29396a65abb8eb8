package wire

// Outcome is how a control node answered a request. It goes over the wire as a string, so that an
// older release reads the outcomes that it knows.
type Outcome = string

const (
	OutcomeDone       Outcome = "done"           // carried out, on the disks of a majority
	OutcomeValid      Outcome = "valid"          // a dry run: it would be carried out
	OutcomeConflict   Outcome = "epoch-conflict" // another version or fence is in force
	OutcomeNotLeader  Outcome = "not-owner"      // this member isn't the leader; it never began here
	OutcomeOverloaded Outcome = "overloaded"     // it never began: ask again
	OutcomeUnknown    Outcome = "cant-say"       // it may have been carried out, or may yet be
	OutcomeBadInput   Outcome = "bad-input"      // it can't be carried out as it stands
	OutcomeTooLarge   Outcome = "too-big"        // it is over a bound
	OutcomeUpdated    Outcome = "news"           // of a watch: a newer document
	OutcomeUnchanged  Outcome = "same"           // of a watch: this member's disk holds nothing newer
)
