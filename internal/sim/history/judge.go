package history

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"pebbleloom/internal/queue"
)

// Bounds are the limits of one judgement.
type Bounds struct {
	Time       time.Duration // for one document; a check that isn't done by then is a failure
	Remembered int           // an order that was taken may be refused after more other orders than this
}

// Verdict is what the checker found.
type Verdict struct {
	Operations int      // that were judged
	Unclear    int      // attempts whose outcome nobody was told
	Faults     []string // one for each document whose history isn't linearizable, or wasn't judged in time
}

// Judge checks the history of each document by itself.
//
// Example: v := h.Judge(history.Bounds{Time: 10 * time.Second, Remembered: 256})
func (h *History) Judge(b Bounds) Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	byKey := map[string][]*observation{}
	for _, o := range h.list {
		if o.outcome != NotTaken {
			byKey[o.key] = append(byKey[o.key], o)
		}
	}
	var v Verdict
	for _, key := range queue.Keys(byKey) {
		ops, unclear := operations(byKey[key])
		v.Operations += len(ops)
		v.Unclear += unclear
		switch m := model(b.Remembered); porcupine.CheckOperationsTimeout(m, ops, b.Time) {
		case porcupine.Illegal:
			v.Faults = append(v.Faults, fmt.Sprintf("the history of %s isn't linearizable: %s", key, explain(m, ops, b.Time)))
		case porcupine.Unknown:
			v.Faults = append(v.Faults, fmt.Sprintf("the history of %s (%d operations) wasn't judged within %v", key, len(ops), b.Time))
		}
	}
	return v
}

// operations turns what was seen of a document into the checker's operations. Attempts without a
// clear answer are one operation an order, without an end; where the order was acknowledged, they
// only say since when it may have taken effect.
func operations(list []*observation) (ops []porcupine.Operation, unclear int) {
	first, begun := map[string]*observation{}, map[string]int64{}
	for _, o := range list {
		if o.order == nil || o.order.Token == "" {
			continue
		}
		t := o.order.Token
		if f := first[t]; o.outcome == Done && (f == nil || o.answer < f.answer) {
			first[t] = o
		}
		if b, ok := begun[t]; o.outcome == Unknown && (!ok || o.call < b) {
			begun[t] = o.call
		}
	}
	seen, all := observedVersions(list)
	merged := map[string]bool{}
	for _, o := range list {
		call, answer, token := o.call, o.answer, ""
		if o.order != nil {
			token = o.order.Token
		}
		if o.outcome == Unknown {
			unclear++
			if token != "" && (first[token] != nil || merged[token]) || all && o.order.Number != 0 && !seen[o.order.Number] {
				continue
			}
			merged[token] = true
			answer = math.MaxInt64
		} else if b, ok := begun[token]; ok && first[token] == o {
			call = min(call, b)
		}
		ops = append(ops, porcupine.Operation{ClientId: len(ops), Input: o.order, Call: call, Output: o, Return: answer})
	}
	return ops, unclear
}

// observedVersions are those that any answer names. An order that brings another one, and wasn't
// answered, can't have been seen: it may be left out, if each refusal says which version it met.
func observedVersions(list []*observation) (seen map[uint64]bool, all bool) {
	seen, all = map[uint64]bool{}, true
	for _, o := range list {
		if o.outcome == Unknown {
			continue
		}
		seen[o.version] = true
		if o.order == nil {
			continue
		}
		seen[o.order.Base] = true
		if o.outcome != Done && o.version == 0 {
			all = false
		}
	}
	return seen, all
}

// explain shows the longest order of operations that holds, its end, and what can't follow it.
func explain(m porcupine.Model, ops []porcupine.Operation, limit time.Duration) string {
	_, info := porcupine.CheckOperationsVerbose(m, ops, limit)
	var longest []porcupine.Operation
	for _, l := range slices.Concat(info.PartialLinearizationsOperations()...) {
		if len(l) > len(longest) {
			longest = l
		}
	}
	in := map[int]bool{}
	for _, o := range longest {
		in[o.ClientId] = true
	}
	var rest []porcupine.Operation
	for _, o := range ops {
		if !in[o.ClientId] {
			rest = append(rest, o)
		}
	}
	slices.SortFunc(rest, func(a, b porcupine.Operation) int { return int(min(1, max(-1, a.Return-b.Return))) })
	const shown = 6
	var said []string
	for _, o := range longest[max(0, len(longest)-shown):] {
		said = append(said, m.DescribeOperation(o.Input, o.Output))
	}
	said = append(said, "then none of")
	for _, o := range rest[:min(shown, len(rest))] {
		said = append(said, m.DescribeOperation(o.Input, o.Output))
	}
	return strings.Join(said, "; ")
}
