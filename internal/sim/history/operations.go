package history

import (
	"math"

	"github.com/anishathalye/porcupine"
)

// operations turns the observations of a document into the checker's operations. Attempts with an unknown
// outcome are one operation for each change, without an end; where the change was acknowledged, they only
// show from when on it may have taken effect. An end marker follows all that was answered. With reduced,
// what can't change the result is left out, on which the checker would spend its time.
func operations(observations []*observation, reduced bool) (ops []porcupine.Operation, indeterminate int) {
	list := operationList{}
	firstAcks, begun := indexAttempts(observations)
	indeterminate, merged := list.addIndeterminate(observations, firstAcks)
	constraints := versionConstraints{}
	for _, seen := range observations {
		token := ""
		if seen.change != nil {
			token = seen.change.Token
		}
		switch {
		case seen.outcome == Unknown:
		case token != "" && firstAcks[token] == seen:
			list.add(seen, begun[token], seen.returnedAt)
		case reduced && isRepeatedAcknowledgement(seen, firstAcks[token]):
		case reduced && isVersionConstraint(seen, firstAcks[token] == nil && !merged[token]):
			constraints.add(seen)
		default:
			list.add(seen, seen.calledAt, seen.returnedAt)
		}
	}
	for _, seen := range constraints.observations() {
		list.add(seen, seen.calledAt, seen.returnedAt)
	}
	list.add(nil, math.MaxInt64-1, math.MaxInt64-1)
	return list, indeterminate
}

// operationList is the input of the checker; each operation is of a client of its own.
type operationList []porcupine.Operation

func (l *operationList) add(seen *observation, calledAt, returnedAt int64) {
	var change *Change
	if seen != nil {
		change = seen.change
	}
	*l = append(*l, porcupine.Operation{ClientId: len(*l), Input: change, Call: calledAt, Output: seen, Return: returnedAt})
}

// addIndeterminate adds an operation for each change that may have taken effect though no attempt was
// acknowledged. It returns the number of attempts with an unknown outcome, and the tokens that it added.
func (l *operationList) addIndeterminate(observations []*observation, firstAcks map[string]*observation) (attempts int, merged map[string]bool) {
	isNeverApplied := neverApplied(observations)
	merged = map[string]bool{}
	for _, seen := range observations {
		if seen.outcome != Unknown {
			continue
		}
		attempts++
		token := seen.change.Token
		if token != "" && (firstAcks[token] != nil || merged[token]) || isNeverApplied(seen.change) {
			continue
		}
		merged[token] = true
		l.add(seen, seen.calledAt, math.MaxInt64)
	}
	return attempts, merged
}

// isRepeatedAcknowledgement reports whether an acknowledgement only repeats the first one of its change. It
// holds wherever that one does: the change took effect before the first answer, which came before this one.
func isRepeatedAcknowledgement(seen, first *observation) bool {
	return seen.outcome == Acknowledged && seen.change != nil && seen.change.Token != "" && first != nil && first != seen && first.version == seen.version
}

// isVersionConstraint reports whether an operation changes nothing, and shows only that a version was current
// at some time between its call and its answer: a read, or a rejection of a change that was never applied.
func isVersionConstraint(seen *observation, isNeverApplied bool) bool {
	if seen.change == nil {
		return true
	}
	return seen.outcome == Rejected && seen.version != 0 && seen.change.Token != "" && isNeverApplied && !register{version: seen.version}.isApplicable(seen.change)
}

// versionConstraint is what operations show of a version that are alike but for their times.
type versionConstraint struct {
	version uint64
	isRead  bool
	body    string
}

// constraintBounds are, of all operations that show the same, the one that was answered first and the one
// that was called last.
type constraintBounds struct{ firstAnswered, lastCalled *observation }

// versionConstraints hold the bounds of each constraint. A version that is current from s to e satisfies all
// operations of a constraint if, and only if, it satisfies these two: s is before each answer, and e after
// each call.
type versionConstraints map[versionConstraint]*constraintBounds

func (c versionConstraints) add(seen *observation) {
	constraint := versionConstraint{seen.version, seen.change == nil, seen.body}
	bounds := c[constraint]
	if bounds == nil {
		c[constraint] = &constraintBounds{seen, seen}
		return
	}
	if seen.returnedAt < bounds.firstAnswered.returnedAt {
		bounds.firstAnswered = seen
	}
	if seen.calledAt > bounds.lastCalled.calledAt {
		bounds.lastCalled = seen
	}
}

func (c versionConstraints) observations() (all []*observation) {
	for _, bounds := range c {
		if all = append(all, bounds.firstAnswered); bounds.lastCalled != bounds.firstAnswered {
			all = append(all, bounds.lastCalled)
		}
	}
	return all
}

// indexAttempts returns, by token, the attempt that was acknowledged first, and when the first attempt began
// that may have taken effect.
func indexAttempts(observations []*observation) (firstAcks map[string]*observation, begun map[string]int64) {
	firstAcks, begun = map[string]*observation{}, map[string]int64{}
	for _, seen := range observations {
		if seen.change == nil || seen.change.Token == "" {
			continue
		}
		token := seen.change.Token
		if first := firstAcks[token]; seen.outcome == Acknowledged && (first == nil || seen.returnedAt < first.returnedAt) {
			firstAcks[token] = seen
		}
		if earliest, ok := begun[token]; (seen.outcome == Unknown || seen.outcome == Acknowledged) && (!ok || seen.calledAt < earliest) {
			begun[token] = seen.calledAt
		}
	}
	return firstAcks, begun
}

// answeredVersions is what the answers show of versions.
type answeredVersions struct {
	byBase    map[uint64]string // the token that was acknowledged on a version
	byVersion map[uint64]string // the token that was acknowledged as a version
	bodies    map[uint64]string // the content that a read found under a version
	named     map[uint64]bool   // versions that an answer names, or that a change with an answer builds on
	overtaken map[string]bool   // tokens of changes that were rejected because a later version is current
	allNamed  bool              // each rejection names the current version
}

func answeredVersionsOf(observations []*observation) answeredVersions {
	versions := answeredVersions{byBase: map[uint64]string{}, byVersion: map[uint64]string{}, bodies: map[uint64]string{},
		named: map[uint64]bool{}, overtaken: map[string]bool{}, allNamed: true}
	for _, seen := range observations {
		if seen.outcome == Unknown {
			continue
		}
		versions.named[seen.version] = true
		switch {
		case seen.change == nil:
			versions.bodies[seen.version] = seen.body
			continue
		case seen.outcome == Acknowledged && seen.change.Token != "":
			versions.byVersion[seen.version] = seen.change.Token
			if !seen.change.AnyVersion {
				versions.byBase[seen.change.BaseVersion] = seen.change.Token
			}
		case seen.version == 0:
			versions.allNamed = false
		case seen.outcome == Rejected && seen.version > seen.change.BaseVersion:
			versions.overtaken[seen.change.Token] = true
		}
		versions.named[seen.change.BaseVersion] = true
	}
	return versions
}

// neverApplied returns a function that reports which changes with an unknown outcome can't have taken effect,
// or did so unseen by any operation: another change was acknowledged on their base or as their
// version, a read found another content under it, they were overtaken, or no answer names their version
// though each rejection names one.
func neverApplied(observations []*observation) func(*Change) bool {
	versions := answeredVersionsOf(observations)
	return func(change *Change) bool {
		if change.Token == "" || change.NewVersion == 0 || change.AnyVersion || change.Body == "" {
			return false
		}
		onBase, baseUsed := versions.byBase[change.BaseVersion]
		asVersion, versionUsed := versions.byVersion[change.NewVersion]
		body, wasRead := versions.bodies[change.NewVersion]
		return baseUsed && onBase != change.Token || versionUsed && asVersion != change.Token || wasRead && body != change.Body ||
			versions.allNamed && !versions.named[change.NewVersion] || versions.overtaken[change.Token]
	}
}
