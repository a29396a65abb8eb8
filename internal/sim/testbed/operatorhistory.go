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

// Besides sending partial configurations, operators change the configuration when they set weights, revoke API keys,
// drain workers, or plan calendar entries, whose steps the placement controller that holds the lease of the service
// executes later. The history records each of these as an unconditional change with unknown content. The
// linearizability check therefore reports a configuration version that no recorded change accounts for, or a change
// that accounts for two versions.

// maxCalendarSteps is the maximum number of configuration changes that the steps of one calendar entry make.
const maxCalendarSteps = 64

// operatorResponse is the JSON body of the operator API's response to a change of the configuration.
type operatorResponse struct {
	Version int64  `json:"epoch"`
	Kind    string `json:"kind"`
	Remark  string `json:"note"`
}

// outcome returns the outcome of a change that a response with the status code shows. A response with a remark reports
// that there was nothing to change.
func (r operatorResponse) outcome(code int) history.Outcome {
	switch {
	case code == 200 && r.Remark == "":
		return history.Acknowledged
	case code == 200, r.Kind == errs.Conflict.Name, r.Kind == errs.NotFound.Name, r.Kind == errs.BadInput.Name, r.Kind == errs.NotExecuted.Name:
		return history.NotExecuted
	}
	return history.Unknown
}

// anyVersionChange returns a history record of an unconditional change of the configuration. Attempts with the same
// token count as one change; if the token is empty, each attempt counts as a separate change.
func anyVersionChange(token string) *history.Change {
	return &history.Change{Key: configurationKey, Token: token, AnyVersion: true}
}

// beginAttempt records in the history that an attempt at a change starts. It returns nil if change is nil, which stands
// for a request that doesn't change the configuration.
func (run *scenarioRun) beginAttempt(change *history.Change) *history.Attempt {
	if change == nil {
		return nil
	}
	return run.history.BeginAttempt(*change)
}

// completeAttempt records the outcome of an attempt in the history, unless the response leaves it unknown.
func completeAttempt(attempt *history.Attempt, code int, response operatorResponse) {
	if outcome := response.outcome(code); attempt != nil && outcome != history.Unknown {
		attempt.Complete(outcome, uint64(response.Version))
	}
}

// plannedEntry is a calendar entry that a simulated operator has written, with an open attempt in the history for each
// configuration change that its steps may make.
type plannedEntry struct {
	target string // names of the service and of the entry, in the form service/name
	steps  []*history.Attempt
}

// beginCalendarEntry records in the history that the steps of a calendar entry, given as JSON, may change the
// configuration from now on. It must be called before the entry is written.
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

// isChange reports whether a calendar step has changed the configuration or is about to: its kind does so and it is no
// longer pending.
func isChange(step calendar.Step) bool {
	switch step.Kind {
	case calendar.StepSetWeights, calendar.StepDrain, calendar.StepUndrain, calendar.StepSetPercent:
		return step.State != calendar.StepPending
	}
	return false
}

// completeCalendarEntries reads each planned calendar entry and completes the attempts for changes beyond the number of
// steps that have begun as not executed.
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

// readCalendarEntry reads a calendar entry, given as service/name, from the first operator address that lists it.
func (run *scenarioRun) readCalendarEntry(ctx context.Context, target string) (*calendar.Entry, error) {
	for _, addr := range run.fleet.Site.Operators {
		if _, body := run.fleet.Get(ctx, addr, "/v1/calendar"); calendarEntry(body, target) != nil {
			return calendarEntry(body, target), nil
		}
	}
	return nil, errs.New(errs.NotFound, "none of the operator addresses lists calendar entry %s", target)
}

// isUndo reports whether a scenario step undoes a calendar entry. The undo replaces the steps of the entry, so that the
// changes that the original steps made can't be counted afterwards.
func isUndo(step Step) bool {
	return step.Action == "ask" && strings.TrimSpace(step.Argument) == string(calendar.VerbUndo)
}

// decodeOperatorResponse decodes the body of a response of the operator API; ok is false if it isn't valid JSON of that
// form.
func decodeOperatorResponse(body string) (response operatorResponse, ok bool) {
	return response, json.Unmarshal([]byte(body), &response) == nil
}
