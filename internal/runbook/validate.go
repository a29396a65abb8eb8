package runbook

import (
	"fmt"
	"slices"
	"strings"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/maputil"
)

// maxWaitSeconds bounds a step that waits.
const maxWaitSeconds = 3600

func (b *Runbook) validate(faults *errs.Batch) {
	if b.Name == "" || b.When == "" || len(b.Steps) == 0 {
		faults.Addf(errs.BadInput, "name, when, steps: give all three")
	}
	used := map[string]bool{}
	for i, step := range b.Steps {
		fault := func(format string, args ...any) {
			faults.Addf(errs.BadInput, "steps[%d]: %s", i, fmt.Sprintf(format, args...))
		}
		if step.Text == "" {
			fault("text: say what it is for")
		}
		for _, name := range step.parameters() {
			if used[name] = true; b.Params[name] == "" {
				fault("{%s}: no such parameter: describe it under params", name)
			}
		}
		switch step.Type {
		case Check, Wait:
			step.validateCondition(fault)
		case Do:
			step.validateAction(fault)
		case Confirm:
		default:
			fault("type: %q: give check, wait, do or confirm", step.Type)
		}
	}
	for _, name := range maputil.SortedKeys(b.Params) {
		if !used[name] {
			faults.Addf(errs.BadInput, "params.%s: no step uses it: remove it", name)
		}
	}
}

func (s *Step) validateCondition(fault func(format string, args ...any)) {
	if !slices.Contains(Views(), s.View) {
		fault("of: %q: give one of %v", s.View, Views())
	}
	if s.Min == nil && s.Max == nil {
		fault("at_least, at_most: give one or both")
	}
	if s.Type == Wait && (s.WithinSeconds < 1 || s.WithinSeconds > maxWaitSeconds) {
		fault("within_s: %d: give 1 to %d", s.WithinSeconds, maxWaitSeconds)
	}
}

func (s *Step) validateAction(fault func(format string, args ...any)) {
	required, known := Actions()[s.Action]
	if !known {
		fault("action: %q: give one of %s", s.Action, strings.Join(maputil.SortedKeys(Actions()), ", "))
	}
	for _, name := range required {
		if s.Args[name] == "" {
			fault("args.%s: missing", name)
		}
	}
}
