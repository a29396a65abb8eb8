package history

import (
	"math"

	"github.com/anishathalye/porcupine"
)

// operations converts the observations of a document to the checker's operations. All attempts with an unknown outcome
// at one change become one operation that never returns; if another attempt at the change was acknowledged, they only
// extend its operation back to the first call. An end marker follows all operations with a known outcome. If reduced
// is true, operations that can't change the result are left out, because they make the check slower.
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

// operationList is the input of the linearizability checker. Each operation has its own client ID.
type operationList []porcupine.Operation

func (l *operationList) add(seen *observation, calledAt, returnedAt int64) {
	var change *Change
	if seen != nil {
		change = seen.change
	}
	*l = append(*l, porcupine.Operation{ClientId: len(*l), Input: change, Call: calledAt, Output: seen, Return: returnedAt})
}

// addIndeterminate adds one operation for each change that may have taken effect although no attempt at it was
// acknowledged. It returns the number of attempts with an unknown outcome, and the tokens of the changes that it
// added.
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

// isRepeatedAcknowledgement reports whether an observation repeats the first acknowledgement of its change with the
// same version. It adds no condition: the change took effect before the first acknowledgement, which came earlier.
func isRepeatedAcknowledgement(seen, first *observation) bool {
	return seen.outcome == Acknowledged && seen.change != nil && seen.change.Token != "" && first != nil && first != seen && first.version == seen.version
}

// isVersionConstraint reports whether an observation shows only that a version was current at some time between its
// call and its response: a read, or the rejection of a change that was never applied.
func isVersionConstraint(seen *observation, isNeverApplied bool) bool {
	if seen.change == nil {
		return true
	}
	return seen.outcome == Rejected && seen.version != 0 && seen.change.Token != "" && isNeverApplied && !register{version: seen.version}.isApplicable(seen.change)
}

// versionConstraint groups the observations that differ only in their times: reads of the same version and content, or
// rejections that name the same version.
type versionConstraint struct {
	version uint64
	isRead  bool
	body    string
}

// constraintBounds are the observation that returned first and the one that was called last of all that share a
// versionConstraint.
type constraintBounds struct{ firstReturned, lastCalled *observation }

// versionConstraints maps each constraint to its bounds. A version that is current from time s to time e is consistent
// with all observations of a constraint if and only if it is consistent with its two bounds: s must be before every
// return, and e after every call.
type versionConstraints map[versionConstraint]*constraintBounds

func (c versionConstraints) add(seen *observation) {
	constraint := versionConstraint{seen.version, seen.change == nil, seen.body}
	bounds := c[constraint]
	if bounds == nil {
		c[constraint] = &constraintBounds{seen, seen}
		return
	}
	if seen.returnedAt < bounds.firstReturned.returnedAt {
		bounds.firstReturned = seen
	}
	if seen.calledAt > bounds.lastCalled.calledAt {
		bounds.lastCalled = seen
	}
}

func (c versionConstraints) observations() (all []*observation) {
	for _, bounds := range c {
		if all = append(all, bounds.firstReturned); bounds.lastCalled != bounds.firstReturned {
			all = append(all, bounds.lastCalled)
		}
	}
	return all
}

// indexAttempts returns, by change token, the attempt that was acknowledged first, and the call time of the first
// attempt that may have taken effect.
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

// responseVersions holds what the responses in a history say about the versions of a document.
type responseVersions struct {
	byBase     map[uint64]string // token of the acknowledged change, by its base version
	byVersion  map[uint64]string // token of the acknowledged change, by the version that it produced
	bodies     map[uint64]string // content that a read returned, by version
	named      map[uint64]bool   // versions that a response names, or that are the base of a change with a response
	superseded map[string]bool   // tokens of changes that were rejected because a version later than their base is current
	allNamed   bool              // true if every rejection names the current version
}

func versionsInResponses(observations []*observation) responseVersions {
	versions := responseVersions{byBase: map[uint64]string{}, byVersion: map[uint64]string{}, bodies: map[uint64]string{},
		named: map[uint64]bool{}, superseded: map[string]bool{}, allNamed: true}
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
			versions.superseded[seen.change.Token] = true
		}
		versions.named[seen.change.BaseVersion] = true
	}
	return versions
}

// neverApplied returns a function that reports whether a change with an unknown outcome can't have taken effect, or
// has taken effect without any operation observing it. That is so if another change was acknowledged on its base
// version or with its new version, if a read returned other content for its new version, if it was rejected in favour
// of a later version, or if no response names its new version although every rejection names a version.
func neverApplied(observations []*observation) func(*Change) bool {
	versions := versionsInResponses(observations)
	return func(change *Change) bool {
		if change.Token == "" || change.NewVersion == 0 || change.AnyVersion || change.Body == "" {
			return false
		}
		onBase, baseUsed := versions.byBase[change.BaseVersion]
		asVersion, versionUsed := versions.byVersion[change.NewVersion]
		body, wasRead := versions.bodies[change.NewVersion]
		return baseUsed && onBase != change.Token || versionUsed && asVersion != change.Token || wasRead && body != change.Body ||
			versions.allNamed && !versions.named[change.NewVersion] || versions.superseded[change.Token]
	}
}
