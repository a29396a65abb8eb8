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
		var input *Order
		if o != nil {
			input = o.order
		}
		ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: input, Call: call, Output: o, Return: answer})
	}
	first, begun := attempts(list)
	excluded := exclusions(list)
	merged := map[string]bool{}
	for _, o := range list {
		if o.outcome != Unknown {
			continue
		}
		unclear++
		token := o.order.Token
		if token != "" && (first[token] != nil || merged[token]) || excluded(o.order) {
			continue
		}
		merged[token] = true
		add(o, o.call, math.MaxInt64)
	}
	bounds := pins{}
	for _, o := range list {
		token := ""
		if o.order != nil {
			token = o.order.Token
		}
		switch {
		case o.outcome == Unknown:
		case token != "" && first[token] == o:
			add(o, begun[token], o.answer)
		case reduced && isRepeat(o, first[token]):
		case reduced && isPinned(o, first[token] == nil && !merged[token]):
			bounds.note(o)
		default:
			add(o, o.call, o.answer)
		}
	}
	for _, o := range bounds.list() {
		add(o, o.call, o.answer)
	}
	add(nil, math.MaxInt64-1, math.MaxInt64-1)
	return ops, unclear
}

// isRepeat tells whether an acknowledgement only repeats the first one of its order. It holds
// wherever that one does: the order took effect before the first answer, which came before this one.
func isRepeat(o, first *observation) bool {
	return o.outcome == Done && o.order != nil && o.order.Token != "" && first != nil && first != o && first.version == o.version
}

// isPinned tells whether an operation changes nothing, and says only that a version was current at
// some moment between its call and its answer: a read, or a refusal of an order that wasn't taken.
func isPinned(o *observation, neverTaken bool) bool {
	if o.order == nil {
		return true
	}
	return o.outcome == Refused && o.version != 0 && o.order.Token != "" && neverTaken && !register{version: o.version}.fits(o.order)
}

// pin is what pinned operations with the same content say of a version.
type pin struct {
	version uint64
	read    bool
	body    string
}

// pins holds, of all that say the same, the one that was answered first and the one that was called
// last. A version that is current from s to e meets all of them if, and only if, it meets these two:
// s is before each answer, and e after each call.
type pins map[pin]*[2]*observation

func (p pins) note(o *observation) {
	k := pin{o.version, o.order == nil, o.body}
	if p[k] == nil {
		p[k] = &[2]*observation{o, o}
		return
	}
	if o.answer < p[k][0].answer {
		p[k][0] = o
	}
	if o.call > p[k][1].call {
		p[k][1] = o
	}
}

func (p pins) list() (l []*observation) {
	for _, x := range p {
		if l = append(l, x[0]); x[1] != x[0] {
			l = append(l, x[1])
		}
	}
	return l
}

// attempts gives, by token, the attempt that was acknowledged first, and when the first one began that
// may have taken effect.
func attempts(list []*observation) (first map[string]*observation, begun map[string]int64) {
	first, begun = map[string]*observation{}, map[string]int64{}
	for _, o := range list {
		if o.order == nil || o.order.Token == "" {
			continue
		}
		t := o.order.Token
		if f := first[t]; o.outcome == Done && (f == nil || o.answer < f.answer) {
			first[t] = o
		}
		if b, ok := begun[t]; (o.outcome == Unknown || o.outcome == Done) && (!ok || o.call < b) {
			begun[t] = o.call
		}
	}
	return first, begun
}

// exclusions tells which orders without an answer can't have taken effect, or without anybody's
// having seen it: another one was acknowledged on their version or under their number, a read found
// another content under it, or no answer names the number though each refusal names one.
func exclusions(list []*observation) func(*Order) bool {
	onBase, asNumber, content := map[uint64]string{}, map[uint64]string{}, map[uint64]string{}
	named, overtaken, all := map[uint64]bool{}, map[string]bool{}, true
	for _, o := range list {
		if o.outcome == Unknown {
			continue
		}
		named[o.version] = true
		switch {
		case o.order == nil:
			content[o.version] = o.body
			continue
		case o.outcome == Done && o.order.Token != "":
			asNumber[o.version] = o.order.Token
			if !o.order.AnyVersion {
				onBase[o.order.Base] = o.order.Token
			}
		case o.version == 0:
			all = false
		case o.outcome == Refused && o.version > o.order.Base:
			overtaken[o.order.Token] = true
		}
		named[o.order.Base] = true
	}
	return func(o *Order) bool {
		if o.Token == "" || o.Number == 0 || o.AnyVersion || o.Body == "" {
			return false
		}
		by, taken := onBase[o.Base]
		as, used := asNumber[o.Number]
		body, seen := content[o.Number]
		return taken && by != o.Token || used && as != o.Token || seen && body != o.Body || all && !named[o.Number] || overtaken[o.Token]
	}
}
