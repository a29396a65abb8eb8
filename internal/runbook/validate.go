package runbook

import (
	"fmt"
	"slices"
	"strings"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/maputil"
)

// maxWaitSeconds is the largest time limit of a step that waits for a condition.
const maxWaitSeconds = 3600

func (b *Runbook) validate(faults *errs.Batch) {
	if b.Name == "" || b.When == "" || len(b.Steps) == 0 {
		faults.Addf(errs.BadInput, "runbook fields name, when and steps are required")
	}
	used := map[string]bool{}
	for i, step := range b.Steps {
		fault := func(format string, args ...any) {
			faults.Addf(errs.BadInput, "steps[%d]: %s", i, fmt.Sprintf(format, args...))
		}
		if step.Text == "" {
			fault("text is empty: describe the purpose of the step")
		}
		for _, name := range step.parameters() {
			if used[name] = true; b.Params[name] == "" {
				fault("parameter {%s} isn't declared: describe it under params", name)
			}
		}
		switch step.Type {
		case Check, Wait:
			step.validateCondition(fault)
		case Do:
			step.validateAction(fault)
		case Confirm:
		default:
			fault("type %q is unknown: give check, wait, do or confirm", step.Type)
		}
	}
	for _, name := range maputil.SortedKeys(b.Params) {
		if !used[name] {
			faults.Addf(errs.BadInput, "params.%s: no step uses this parameter: remove it", name)
		}
	}
}

func (s *Step) validateCondition(fault func(format string, args ...any)) {
	if !slices.Contains(Views(), s.View) {
		fault("of: view %q is unknown: give one of %v", s.View, Views())
	}
	if s.Min == nil && s.Max == nil {
		fault("at_least and at_most are missing: give at least one of them")
	}
	if s.Type == Wait && (s.WithinSeconds < 1 || s.WithinSeconds > maxWaitSeconds) {
		fault("within_s is %d: give a value from 1 to %d", s.WithinSeconds, maxWaitSeconds)
	}
}

func (s *Step) validateAction(fault func(format string, args ...any)) {
	required, known := Actions()[s.Action]
	if !known {
		fault("action %q is unknown: give one of %s", s.Action, strings.Join(maputil.SortedKeys(Actions()), ", "))
	}
	for _, name := range required {
		if s.Args[name] == "" {
			fault("args.%s is missing: action %s requires it", name, s.Action)
		}
	}
}
