package history

import (
	"fmt"

	"github.com/anishathalye/porcupine"
)

// register is the state of one document in the model: its version and content, and the changes that were
// applied to it. It is never modified: each step returns another one.
type register struct {
	version      uint64
	body         string
	bodyKnown    bool
	applied      *appliedChange // the last one
	allCompleted bool           // all operations that were answered are linearized
}

// appliedChange is a change that took effect, in a list of all of them.
type appliedChange struct {
	token    string
	version  uint64
	previous *appliedChange
}

// find returns the version that the change of a token made.
func (a *appliedChange) find(token string) (version uint64, found bool) {
	for applied := a; applied != nil && token != ""; applied = applied.previous {
		if applied.token == token {
			return applied.version, true
		}
	}
	return 0, false
}

// model is a register with compare-and-set and reads. A change that was applied is acknowledged again with
// its first version, or has an unknown outcome; however late it is retried, it isn't rejected.
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

// step reports whether an operation may take place in this state, and returns the state after it. The end
// marker has neither a change nor an observation, a read has no change.
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
	r.body, r.bodyKnown = seen.body, true // after a patch the first read shows the content
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

// stepIndeterminate is a change with an unknown outcome: it takes effect where it is applicable or, once all
// answered operations are linearized, never. So the checker doesn't try every place at which it would do
// nothing.
func (r register) stepIndeterminate(change *Change) (bool, any) {
	if r.allCompleted {
		return true, r
	}
	if _, found := r.applied.find(change.Token); found || !r.isApplicable(change) {
		return false, r
	}
	return true, r.apply(change)
}

// isApplicable reports whether a change may take effect on the current version.
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

// equal reports whether no later operation can distinguish two states.
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

// describe is an operation in words, with the times of its call and answer.
func describe(change *Change, seen *observation) string {
	if seen == nil {
		return "end"
	}
	if change == nil {
		return fmt.Sprintf("[%d-%d] read version %d %q", seen.calledAt, seen.returnedAt, seen.version, seen.body)
	}
	base := fmt.Sprint(change.BaseVersion)
	if change.AnyVersion {
		base = "any"
	}
	return fmt.Sprintf("[%d-%d] change %s on %s, new version %d: %s, version %d", seen.calledAt, seen.returnedAt, change.Token, base, change.NewVersion, seen.outcome, seen.version)
}
