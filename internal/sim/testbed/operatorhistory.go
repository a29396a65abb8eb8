package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"pebbleloom/internal/control/calendar"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/sim/history"
)

// Operators change the configuration not only as a document: they name weights, revoke keys and drain workers, and
// plan calendar entries whose steps the lease holder carries out later. All of these are changes of the same
// document, and part of the same history: each is one change of whatever version is current, whose content isn't
// known. So a version that none of them explains, or that one of them explains twice, is a violation.

// maxCalendarSteps bounds the changes that one calendar entry makes.
const maxCalendarSteps = 64

// operatorResponse is what the operators' interface answers to a change.
type operatorResponse struct {
	Version int64  `json:"epoch"`
	Kind    string `json:"kind"`
	Remark  string `json:"note"`
}

// outcome is what an answer shows of the change that it answers. A remark says that there was nothing to change.
func (r operatorResponse) outcome(code int) history.Outcome {
	switch {
	case code == 200 && r.Remark == "":
		return history.Acknowledged
	case code == 200, r.Kind == errs.Conflict.Name, r.Kind == errs.NotFound.Name, r.Kind == errs.BadInput.Name, r.Kind == errs.NotExecuted.Name:
		return history.NotExecuted
	}
	return history.Unknown
}

// anyVersionChange is a change of the configuration on whatever version is current. Without a token each attempt at it
// is a change by itself.
func anyVersionChange(token string) *history.Change {
	return &history.Change{Key: configurationKey, Token: token, AnyVersion: true}
}

// beginAttempt records an attempt at a change; nil: the request changes no configuration.
func (run *scenarioRun) beginAttempt(change *history.Change) *history.Attempt {
	if change == nil {
		return nil
	}
	return run.history.BeginAttempt(*change)
}

// completeAttempt records the answer to an attempt, unless it leaves the outcome open.
func completeAttempt(attempt *history.Attempt, code int, response operatorResponse) {
	if outcome := response.outcome(code); attempt != nil && outcome != history.Unknown {
		attempt.Complete(outcome, uint64(response.Version))
	}
}

// plannedEntry is a calendar entry that an operator has written, and the changes that its steps may make.
type plannedEntry struct {
	target string // service/name
	steps  []*history.Attempt
}

// beginCalendarEntry records that an entry is about to be written: its steps may change the configuration from now on.
func (run *scenarioRun) beginCalendarEntry(raw string) error {
	entry, err := calendar.Decode([]byte(raw))
	if err != nil {
		return err
	}
	planned := plannedEntry{target: entry.Service + "/" + entry.Name}
	for i := range maxCalendarSteps {
		planned.steps = append(planned.steps, run.history.BeginAttempt(*anyVersionChange(fmt.Sprintf("%s-%d", planned.target, i))))
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	run.plannedEntries = append(run.plannedEntries, planned)
	return nil
}

// isChange reports whether a calendar step changes the configuration once it is carried out.
func isChange(step calendar.Step) bool {
	switch step.Kind {
	case calendar.StepSetWeights, calendar.StepDrain, calendar.StepUndrain, calendar.StepSetPercent:
		return step.State != calendar.StepPending
	}
	return false
}

// completeCalendarEntries records that no step has changed the configuration beyond those that the calendar lists as
// begun.
func (run *scenarioRun) completeCalendarEntries(ctx context.Context) error {
	for _, planned := range run.plannedEntries {
		entry, err := run.readCalendarEntry(ctx, planned.target)
		if err != nil {
			return err
		}
		changes := 0
		for _, step := range entry.Steps {
			if isChange(step) {
				changes++
			}
		}
		for _, step := range planned.steps[min(changes, len(planned.steps)):] {
			step.Complete(history.NotExecuted, 0)
		}
	}
	return nil
}

// readCalendarEntry reads an entry, given as service/name, at the first operator address that answers.
func (run *scenarioRun) readCalendarEntry(ctx context.Context, target string) (*calendar.Entry, error) {
	for _, addr := range run.fleet.Site.Operators {
		if _, body := run.fleet.Get(ctx, addr, "/v1/calendar"); calendarEntry(body, target) != nil {
			return calendarEntry(body, target), nil
		}
	}
	return nil, errs.New(errs.NotFound, "no operator address lists the calendar entry %s", target)
}

// isUndo reports whether a step of a scenario undoes a calendar entry, which replaces the steps that it had.
func isUndo(step Step) bool {
	return step.Action == "ask" && strings.TrimSpace(step.Argument) == string(calendar.VerbUndo)
}

// decodeOperatorResponse reads an answer of the operators' interface; an empty one if it isn't such an answer.
func decodeOperatorResponse(body string) (response operatorResponse, ok bool) {
	return response, json.Unmarshal([]byte(body), &response) == nil
}
