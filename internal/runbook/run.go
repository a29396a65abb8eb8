package runbook

import (
	"fmt"
	"strings"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/maputil"
)

// Environment is what a run reads and changes.
type Environment interface {
	// Rows returns the rows of a view, each as its fields by name.
	Rows(view string) ([]map[string]string, error)
	// Do carries out an action. A repetition has the token of the first try.
	Do(action string, args map[string]string, token string) error
	// Confirm asks the operator.
	Confirm(text string) bool
	// Pause lasts one second, the given one of a wait.
	Pause(second int)
}

// Run carries out a runbook from its next step on. Each step is recorded as begun before it, and as done or
// failed after it; a dry run only checks, and neither waits, acts nor asks. Each action has a token of its
// own, so that one whose response was lost isn't carried out twice by resuming.
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
			return err // no step runs without its record
		}
		detail, err := step.execute(environment, fmt.Sprintf("%s/%d", progress.RunID, i))
		if err != nil {
			if recordErr := note(Failed, err.Error()); recordErr != nil {
				return recordErr
			}
			return errs.Wrap(err, fmt.Sprintf("step %d (%s)", i, step.Text))
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

// execute carries out a step and returns what it has done or seen.
func (s *Step) execute(environment Environment, token string) (string, error) {
	switch s.Type {
	case Confirm:
		if !environment.Confirm(s.Text) {
			return "", errs.New(errs.CheckFailed, "not confirmed")
		}
		return "confirmed", nil
	case Do:
		return s.Action + " " + formatPairs(s.Args), environment.Do(s.Action, s.Args, token)
	case Check:
		return s.evaluate(environment)
	}
	return s.wait(environment)
}

// wait evaluates the condition until it holds, once a second.
func (s *Step) wait(environment Environment) (string, error) {
	var detail string
	var err error
	for second := range s.WithinSeconds + 1 {
		if detail, err = s.evaluate(environment); err == nil {
			return detail, nil
		}
		environment.Pause(second)
	}
	return "", errs.Wrap(err, fmt.Sprintf("waited %d s", s.WithinSeconds))
}

// maxNamedRows is up to how many matching rows are named in a step's detail.
const maxNamedRows = 8

// evaluate counts the rows that match. An error of kind errs.CheckFailed says that it isn't the required
// number.
func (s *Step) evaluate(environment Environment) (string, error) {
	rows, err := environment.Rows(s.View)
	if err != nil {
		return "", errs.Wrap(err, "look at "+s.View)
	}
	var matching []string
	for _, row := range rows {
		if matches(row, s.Match) {
			matching = append(matching, row["name"])
		}
	}
	detail := fmt.Sprintf("%d of %d %s match %s", len(matching), len(rows), s.View, formatPairs(s.Match))
	if len(matching) > 0 && len(matching) <= maxNamedRows {
		detail += ": " + strings.Join(matching, " ")
	}
	if s.Min != nil && len(matching) < *s.Min {
		return "", errs.New(errs.CheckFailed, "%s, at least %d are due", detail, *s.Min)
	}
	if s.Max != nil && len(matching) > *s.Max {
		return "", errs.New(errs.CheckFailed, "%s, at most %d are due", detail, *s.Max)
	}
	return detail, nil
}

// matches reports whether a row's fields match all patterns: "x", "!x", "x*" or "!x*".
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
