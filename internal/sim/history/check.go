package history

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"pebbleloom/internal/maputil"
)

// Result is the result of a linearizability check of a History.
type Result struct {
	Operations    int      // number of attempts at a change and of reads that were checked
	Indeterminate int      // number of attempts at a change with outcome Unknown
	Violations    []string // a message for each document whose history isn't linearizable or wasn't checked within the limit
}

// Check checks the history of each document separately for linearizability. If the check of a document takes longer
// than limit, that is reported as a violation.
//
// Example: result := h.Check(10 * time.Second)
func (h *History) Check(limit time.Duration) Result {
	h.mu.Lock()
	defer h.mu.Unlock()
	byKey := map[string][]*observation{}
	for _, seen := range h.observations {
		if seen.outcome != NotExecuted {
			byKey[seen.key] = append(byKey[seen.key], seen)
		}
	}
	var result Result
	for _, key := range maputil.SortedKeys(byKey) {
		ops, indeterminate := operations(byKey[key], true)
		result.Operations += len(byKey[key])
		result.Indeterminate += indeterminate
		switch model := model(); porcupine.CheckOperationsTimeout(model, ops, limit) {
		case porcupine.Illegal:
			result.Violations = append(result.Violations, fmt.Sprintf("history of document %s isn't linearizable: %s", key, explain(model, ops, limit)))
		case porcupine.Unknown:
			result.Violations = append(result.Violations, fmt.Sprintf("history of document %s (%d operations, %d after reduction) wasn't checked for linearizability within %v", key, len(byKey[key]), len(ops), limit))
		}
	}
	return result
}

// explain describes why a history isn't linearizable: the last operations of the longest partial linearization that
// the checker found, and the operations of which none can come next.
func explain(model porcupine.Model, ops []porcupine.Operation, limit time.Duration) string {
	_, info := porcupine.CheckOperationsVerbose(model, ops, limit)
	var longest []porcupine.Operation
	for _, linearization := range slices.Concat(info.PartialLinearizationsOperations()...) {
		if len(linearization) > len(longest) {
			longest = linearization
		}
	}
	linearized := map[int]bool{}
	for _, op := range longest {
		linearized[op.ClientId] = true
	}
	var others []porcupine.Operation
	for _, op := range ops {
		if !linearized[op.ClientId] {
			others = append(others, op)
		}
	}
	slices.SortFunc(others, func(a, b porcupine.Operation) int { return int(min(1, max(-1, a.Return-b.Return))) })
	const shown = 6
	var descriptions []string
	for _, op := range longest[max(0, len(longest)-shown):] {
		descriptions = append(descriptions, model.DescribeOperation(op.Input, op.Output))
	}
	descriptions = append(descriptions, "none of these operations can come next:")
	for _, op := range others[:min(shown, len(others))] {
		descriptions = append(descriptions, model.DescribeOperation(op.Input, op.Output))
	}
	return strings.Join(descriptions, "; ")
}
