package history

import (
	"fmt"

	"github.com/anishathalye/porcupine"
)

// register is the state of one document in the checker's model: its version, its content and the changes that were
// applied to it. It is immutable: each step returns a new register.
type register struct {
	version      uint64
	body         string
	bodyKnown    bool
	applied      *appliedChange // last change that took effect; it links to the earlier ones
	allCompleted bool           // the end marker was reached: all operations with a known outcome are linearized
}

// appliedChange is an entry in the linked list of the changes that took effect on a document, the latest first.
type appliedChange struct {
	token    string
	version  uint64
	previous *appliedChange
}

// find returns the document version that the change with a token produced, if that change took effect.
func (a *appliedChange) find(token string) (version uint64, found bool) {
	for applied := a; applied != nil && token != ""; applied = applied.previous {
		if applied.token == token {
			return applied.version, true
		}
	}
	return 0, false
}

// model returns the checker's model of a document: a register with compare-and-set and reads. A retry of a change that
// was applied is acknowledged with the version of the first time, or its outcome is unknown. It is never rejected,
// however late it is sent.
func model() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return register{bodyKnown: true} },
		Step: func(state, input, output any) (bool, any) {
			return state.(register).step(input.(*Change), output.(*observation))
		},
		Equal: func(a, b any) bool { return a.(register).equal(b.(register)) },
		DescribeOperation: func(input, output any) string {
			return describe(input.(*Change), output.(*observation))
		},
	}
}

// step reports whether an operation with the observed result is possible in state r, and returns the state after it.
// For a read, change is nil; for the end marker of a history, change and seen are nil.
func (r register) step(change *Change, seen *observation) (bool, any) {
	switch {
	case seen == nil:
		r.allCompleted = true
		return true, r
	case change == nil:
		return r.stepRead(seen)
	case seen.outcome == Unknown:
		return r.stepIndeterminate(change)
	}
	return r.stepChange(change, seen)
}

func (r register) stepRead(seen *observation) (bool, any) {
	if seen.version != r.version || r.bodyKnown && seen.body != r.body {
		return false, r
	}
	r.body, r.bodyKnown = seen.body, true // the content after a patch is unknown until the first read
	return true, r
}

func (r register) stepChange(change *Change, seen *observation) (bool, any) {
	if version, found := r.applied.find(change.Token); found {
		return seen.outcome == Acknowledged && seen.version == version, r
	}
	if !r.isApplicable(change) {
		namesVersion := seen.outcome == Rejected && seen.version != 0
		return seen.outcome != Acknowledged && (!namesVersion || seen.version == r.version), r
	}
	switch seen.outcome {
	case Rejected:
		return false, r
	case Invalid:
		return true, r
	}
	next := r.apply(change)
	return seen.version == next.version, next
}

// stepIndeterminate is the step of a change with an unknown outcome. It is possible where the change takes effect or,
// as a step without effect, after all operations with a known outcome. So the checker doesn't try every position at
// which the change would have no effect.
func (r register) stepIndeterminate(change *Change) (bool, any) {
	if r.allCompleted {
		return true, r
	}
	if _, found := r.applied.find(change.Token); found || !r.isApplicable(change) {
		return false, r
	}
	return true, r.apply(change)
}

// isApplicable reports whether the change's version conditions allow it to take effect on the register's version.
func (r register) isApplicable(change *Change) bool {
	return (change.AnyVersion || change.BaseVersion == r.version) && (change.NewVersion == 0 || change.NewVersion > r.version)
}

func (r register) apply(change *Change) register {
	next := register{version: change.NewVersion, body: change.Body, bodyKnown: change.Body != "", applied: r.applied}
	if next.version == 0 {
		next.version = r.version + 1
	}
	next.applied = &appliedChange{change.Token, next.version, r.applied}
	return next
}

// equal reports whether two states are the same for every later operation.
func (r register) equal(other register) bool {
	if r.version != other.version || r.body != other.body || r.bodyKnown != other.bodyKnown || r.allCompleted != other.allCompleted {
		return false
	}
	ours, theirs := r.applied, other.applied
	for ; ours != theirs; ours, theirs = ours.previous, theirs.previous {
		if ours == nil || theirs == nil || ours.token != theirs.token || ours.version != theirs.version {
			return false
		}
	}
	return true
}

// describe returns a text of an operation for messages, with the logical times of its call and response.
func describe(change *Change, seen *observation) string {
	if seen == nil {
		return "end"
	}
	if change == nil {
		return fmt.Sprintf("[%d-%d] read returned version %d, content %q", seen.calledAt, seen.returnedAt, seen.version, seen.body)
	}
	base := fmt.Sprint(change.BaseVersion)
	if change.AnyVersion {
		base = "any"
	}
	return fmt.Sprintf("[%d-%d] change with token %q on version %s, requested new version %d (0: the next one): outcome %s, version in the response %d", seen.calledAt, seen.returnedAt, change.Token, base, change.NewVersion, seen.outcome, seen.version)
}
