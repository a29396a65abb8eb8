package history

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"pebbleloom/internal/queue"
)

// Result is what the checker found.
type Result struct {
	Operations    int      // attempts and reads that were judged
	Indeterminate int      // attempts whose outcome nobody was told
	Violations    []string // one for each document whose history isn't linearizable, or wasn't judged in time
}

// Check checks the history of each document by itself. A check that isn't done within the limit is
// a failure.
//
// Example: v := h.Judge(10 * time.Second)
func (h *History) Check(limit time.Duration) Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	byKey := map[string][]*observation{}
	for _, o := range h.observations {
		if o.outcome != NotExecuted {
			byKey[o.key] = append(byKey[o.key], o)
		}
	}
	var v Result
	for _, key := range queue.Keys(byKey) {
		ops, unclear := operations(byKey[key], true)
		v.Operations += len(byKey[key])
		v.Indeterminate += unclear
		switch m := model(); porcupine.CheckOperationsTimeout(m, ops, limit) {
		case porcupine.Illegal:
			v.Violations = append(v.Violations, fmt.Sprintf("the history of %s isn't linearizable: %s", key, explain(m, ops, limit)))
		case porcupine.Unknown:
			v.Violations = append(v.Violations, fmt.Sprintf("the history of %s (%d operations, %d after reduction) wasn't judged within %v", key, len(byKey[key]), len(ops), limit))
		}
	}
	return v
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
