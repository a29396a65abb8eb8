package runbook

import (
	"fmt"
	"strings"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/maputil"
)

// Environment gives a run of a runbook access to the site and to the operator.
type Environment interface {
	// Rows returns the rows of one of the views that the function Views names, each as a map from field name to value.
	Rows(view string) ([]map[string]string, error)
	// Do executes one of the actions that the function Actions lists. A retry of an action has the same idempotency
	// token as its first attempt.
	Do(action string, args map[string]string, token string) error
	// Confirm asks the operator a yes/no question and reports whether the answer is yes.
	Confirm(text string) bool
	// Pause waits for one second between two evaluations of a wait; second counts them from 0.
	Pause(second int)
}

// Run executes a runbook from step progress.Next on. Each step is recorded as begun before it is executed, and
// as done or failed afterwards. A dry run executes the checks only and records all other steps as planned.
// Each action has its own idempotency token, so that an action whose response was lost doesn't take effect
// twice when the run is resumed.
//
// Example: err := b.Run(runbook.Progress{RunID: "r-1", Params: params}, false, environment, record)
func (b *Runbook) Run(progress Progress, dryRun bool, environment Environment, record func(RecordEntry) error) error {
	substituted, err := b.Substitute(progress.Params)
	if err != nil {
		return err
	}
	for i, step := range substituted.Steps {
		if i < progress.Next {
			continue
		}
		note := func(state StepState, detail string) error {
			return errs.Wrap(record(RecordEntry{RunID: progress.RunID, Runbook: b.Name, Params: progress.Params, Step: i,
				Type: step.Type, Text: step.Text, State: state, Detail: detail}), "record")
		}
		if dryRun && step.Type != Check {
			if err := note(Planned, strings.TrimSpace(step.Action+" "+formatPairs(step.Args)+formatPairs(step.Match))); err != nil {
				return err
			}
			continue
		}
		if err := note(Begun, ""); err != nil {
			return err // a step isn't executed unless its start is recorded
		}
		detail, err := step.execute(environment, fmt.Sprintf("%s/%d", progress.RunID, i))
		if err != nil {
			if recordErr := note(Failed, err.Error()); recordErr != nil {
				return recordErr
			}
			return errs.Wrap(err, fmt.Sprintf("runbook step %d (%s)", i, step.Text))
		}
		if err := note(Done, detail); err != nil {
			return err
		}
	}
	return nil
}

// formatPairs formats a map as "key=value …" in the order of the keys.
func formatPairs(values map[string]string) string {
	var pairs []string
	for _, key := range maputil.SortedKeys(values) {
		pairs = append(pairs, key+"="+values[key])
	}
	return strings.Join(pairs, " ")
}

// execute executes a step and returns a description of what it did or found.
func (s *Step) execute(environment Environment, token string) (string, error) {
	switch s.Type {
	case Confirm:
		if !environment.Confirm(s.Text) {
			return "", errs.New(errs.CheckFailed, "the operator did not confirm the step")
		}
		return "confirmed", nil
	case Do:
		return s.Action + " " + formatPairs(s.Args), environment.Do(s.Action, s.Args, token)
	case Check:
		return s.evaluate(environment)
	}
	return s.wait(environment)
}

// wait evaluates the step's condition once a second until it holds or WithinSeconds have passed.
func (s *Step) wait(environment Environment) (string, error) {
	var detail string
	var err error
	for second := range s.WithinSeconds + 1 {
		if detail, err = s.evaluate(environment); err == nil {
			return detail, nil
		}
		environment.Pause(second)
	}
	return "", errs.Wrap(err, fmt.Sprintf("condition did not hold within %d s", s.WithinSeconds))
}

// maxNamedRows limits the matching rows whose names are listed in a step's detail; if more match, only their
// number is given.
const maxNamedRows = 8

// evaluate counts the rows of the step's view that match its patterns and returns the result as text. If the
// count is below Min or above Max, the error is of kind errs.CheckFailed.
func (s *Step) evaluate(environment Environment) (string, error) {
	rows, err := environment.Rows(s.View)
	if err != nil {
		return "", errs.Wrap(err, "read view "+s.View)
	}
	var matching []string
	for _, row := range rows {
		if matches(row, s.Match) {
			matching = append(matching, row["name"])
		}
	}
	detail := fmt.Sprintf("%d of %d rows of view %s match %s", len(matching), len(rows), s.View, formatPairs(s.Match))
	if len(matching) > 0 && len(matching) <= maxNamedRows {
		detail += ": " + strings.Join(matching, " ")
	}
	if s.Min != nil && len(matching) < *s.Min {
		return "", errs.New(errs.CheckFailed, "%s; at least %d matching rows required", detail, *s.Min)
	}
	if s.Max != nil && len(matching) > *s.Max {
		return "", errs.New(errs.CheckFailed, "%s; at most %d matching rows allowed", detail, *s.Max)
	}
	return detail, nil
}

// matches reports whether the fields of a row match all patterns: "x" is the value x, "x*" any value that
// begins with x, and a leading "!" negates the pattern.
func matches(row, patterns map[string]string) bool {
	for field, pattern := range patterns {
		pattern, negated := strings.CutPrefix(pattern, "!")
		matched := row[field] == pattern
		if prefix, isPrefix := strings.CutSuffix(pattern, "*"); isPrefix {
			matched = strings.HasPrefix(row[field], prefix)
		}
		if matched == negated {
			return false
		}
	}
	return true
}
