package history

import (
	"math"

	"github.com/anishathalye/porcupine"
)

// operations turns what was seen of a document into the checker's operations. Attempts without a
// clear answer are one operation an order, without an end; where the order was acknowledged, they
// only say since when it may have taken effect. An end marker follows all that was answered.
// Reduced leaves out what can't change the verdict, on which the checker would spend its time.
func operations(list []*observation, reduced bool) (ops []porcupine.Operation, unclear int) {
	add := func(o *observation, call, answer int64) {
		var input *Change
		if o != nil {
			input = o.change
		}
		ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: input, Call: call, Output: o, Return: answer})
	}
	first, begun := indexAttempts(list)
	excluded := neverApplied(list)
	merged := map[string]bool{}
	for _, o := range list {
		if o.outcome != Unknown {
			continue
		}
		unclear++
		token := o.change.Token
		if token != "" && (first[token] != nil || merged[token]) || excluded(o.change) {
			continue
		}
		merged[token] = true
		add(o, o.calledAt, math.MaxInt64)
	}
	bounds := versionConstraints{}
	for _, o := range list {
		token := ""
		if o.change != nil {
			token = o.change.Token
		}
		switch {
		case o.outcome == Unknown:
		case token != "" && first[token] == o:
			add(o, begun[token], o.returnedAt)
		case reduced && isRepeatedAcknowledgement(o, first[token]):
		case reduced && isVersionConstraint(o, first[token] == nil && !merged[token]):
			bounds.add(o)
		default:
			add(o, o.calledAt, o.returnedAt)
		}
	}
	for _, o := range bounds.observations() {
		add(o, o.calledAt, o.returnedAt)
	}
	add(nil, math.MaxInt64-1, math.MaxInt64-1)
	return ops, unclear
}

// isRepeatedAcknowledgement tells whether an acknowledgement only repeats the first one of its order. It holds
// wherever that one does: the order took effect before the first answer, which came before this one.
func isRepeatedAcknowledgement(o, first *observation) bool {
	return o.outcome == Acknowledged && o.change != nil && o.change.Token != "" && first != nil && first != o && first.version == o.version
}

// isVersionConstraint tells whether an operation changes nothing, and says only that a version was current at
// some moment between its call and its answer: a read, or a refusal of an order that wasn't taken.
func isVersionConstraint(o *observation, neverTaken bool) bool {
	if o.change == nil {
		return true
	}
	return o.outcome == Rejected && o.version != 0 && o.change.Token != "" && neverTaken && !register{version: o.version}.isApplicable(o.change)
}

// versionConstraint is what pinned operations with the same content say of a version.
type versionConstraint struct {
	version uint64
	isRead  bool
	body    string
}

// versionConstraints holds, of all that say the same, the one that was answered first and the one that was called
// last. A version that is current from s to e meets all of them if, and only if, it meets these two:
// s is before each answer, and e after each call.
type versionConstraints map[versionConstraint]*[2]*observation

func (p versionConstraints) add(o *observation) {
	k := versionConstraint{o.version, o.change == nil, o.body}
	if p[k] == nil {
		p[k] = &[2]*observation{o, o}
		return
	}
	if o.returnedAt < p[k][0].returnedAt {
		p[k][0] = o
	}
	if o.calledAt > p[k][1].calledAt {
		p[k][1] = o
	}
}

func (p versionConstraints) observations() (l []*observation) {
	for _, x := range p {
		if l = append(l, x[0]); x[1] != x[0] {
			l = append(l, x[1])
		}
	}
	return l
}

// indexAttempts gives, by token, the attempt that was acknowledged first, and when the first one began that
// may have taken effect.
func indexAttempts(list []*observation) (first map[string]*observation, begun map[string]int64) {
	first, begun = map[string]*observation{}, map[string]int64{}
	for _, o := range list {
		if o.change == nil || o.change.Token == "" {
			continue
		}
		t := o.change.Token
		if f := first[t]; o.outcome == Acknowledged && (f == nil || o.returnedAt < f.returnedAt) {
			first[t] = o
		}
		if b, ok := begun[t]; (o.outcome == Unknown || o.outcome == Acknowledged) && (!ok || o.calledAt < b) {
			begun[t] = o.calledAt
		}
	}
	return first, begun
}

// neverApplied tells which orders without an answer can't have taken effect, or without anybody's
// having seen it: another one was acknowledged on their version or under their number, a read found
// another content under it, or no answer names the number though each refusal names one.
func neverApplied(list []*observation) func(*Change) bool {
	onBase, asNumber, content := map[uint64]string{}, map[uint64]string{}, map[uint64]string{}
	named, overtaken, all := map[uint64]bool{}, map[string]bool{}, true
	for _, o := range list {
		if o.outcome == Unknown {
			continue
		}
		named[o.version] = true
		switch {
		case o.change == nil:
			content[o.version] = o.body
			continue
		case o.outcome == Acknowledged && o.change.Token != "":
			asNumber[o.version] = o.change.Token
			if !o.change.AnyVersion {
				onBase[o.change.BaseVersion] = o.change.Token
			}
		case o.version == 0:
			all = false
		case o.outcome == Rejected && o.version > o.change.BaseVersion:
			overtaken[o.change.Token] = true
		}
		named[o.change.BaseVersion] = true
	}
	return func(o *Change) bool {
		if o.Token == "" || o.NewVersion == 0 || o.AnyVersion || o.Body == "" {
			return false
		}
		by, taken := onBase[o.BaseVersion]
		as, used := asNumber[o.NewVersion]
		body, seen := content[o.NewVersion]
		return taken && by != o.Token || used && as != o.Token || seen && body != o.Body || all && !named[o.NewVersion] || overtaken[o.Token]
	}
}
