package calendar

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"pebbleloom/internal/control/serviceconfig"
)

// Limits above which a running entry is paused because recent request attempts of its services fail.
const (
	defaultMaxFailureRatio = 0.2 // maximum ratio of failed to all recent request attempts; Entry.MaxFailureRatio overrides it
	minAttemptsToJudge     = 20  // minimum number of recent request attempts; with fewer the failure ratio is not meaningful and the entry is not paused
)

// Worker is the observed state of one of the service's workers.
type Worker struct {
	Name, Incarnation string
	Weights           uint64 // version of the weights that the worker serves
	AcceptsRequests   bool   // whether the worker is up and not draining
	Reachable         bool   // whether the worker responds to health checks, draining or not
}

// Observation is the input of Planner.Next.
type Observation struct {
	WallTime          time.Time     // median of the control nodes' wall clocks; zero if no majority responded
	Now               time.Duration // reading of this process's monotonic clock, by which soaks are timed
	ConfigVersion     uint64
	EntryVersion      uint64 // version of the document that stores the entry
	Config            *serviceconfig.Config
	Workers           []Worker
	Succeeded, Failed float64 // recent request attempts of the entry's services, by outcome
}

// Action is a change of the service configuration for the lease holder to make.
type Action struct {
	Patch []byte // JSON merge patch; nil if there is no change to make
	Token string // idempotency token: the change is applied once, even if several holders make it
}

// Planner decides the steps of a service's calendar entries. Its only state between calls is when each soak,
// the wait after a change of a handover's percentage, began by the clock of this process; a new lease holder
// starts the soak again.
type Planner struct {
	soakStarted map[string]time.Duration // time at which each soak step began, by entry name and step index
}

// NewPlanner returns a planner without any state.
//
// Example: p := calendar.NewPlanner()
func NewPlanner() *Planner { return &Planner{map[string]time.Duration{}} }

// Next computes the next transition of a calendar entry. It returns the entry to be written next, the action
// that the stored entry allows, and whether the entry has changed.
//
// A step that changes the configuration is first written as StepDoing; then its action is performed under the
// step's idempotency token; then it is written as StepDone, as RecordAction returns it. If a holder loses the
// lease in between, the next holder performs the same action under the same token, on the version of the
// configuration that is then in force. The control state acknowledges a token that it has already applied
// without applying it again.
//
// Example: next, action, changed := p.Next(entry, observed)
func (p *Planner) Next(old *Entry, observed Observation) (next *Entry, action Action, changed bool) {
	next = clone(old)
	switch next.State {
	case StatePlanned:
		return next, Action{}, next.start(observed)
	case StateRunning:
		if reason := next.stopReason(observed); reason != "" {
			next.State, next.Reason = StatePaused, reason
			return next, Action{}, true
		}
		action, changed = p.advance(next, observed)
	case StateUndoing:
		action, changed = next.revert(observed)
	}
	return next, action, changed
}

// advance performs the next transition of a running entry's current step.
func (p *Planner) advance(entry *Entry, observed Observation) (action Action, changed bool) {
	if entry.CurrentStep >= len(entry.Steps) {
		entry.State, entry.Reason = StateDone, ""
		return Action{}, true
	}
	step := &entry.Steps[entry.CurrentStep]
	if step.State == StepPending {
		if reason := entry.unmetPrecondition(step, observed); reason != "" {
			return Action{}, entry.setReason(reason)
		}
		step.State, entry.Reason = StepDoing, ""
		step.recordIncarnations(observed)
		return Action{}, true
	}
	if patch := entry.patch(step); patch != nil {
		return Action{marshalPatch(patch), actionToken(entry, observed, "")}, false // RecordAction completes the step once this action is acknowledged
	}
	if reason := p.unmetCompletion(entry, step, observed); reason != "" {
		return Action{}, entry.setReason(reason)
	}
	step.State, entry.Reason = StepDone, ""
	entry.CurrentStep++
	return Action{}, true
}

// RecordAction returns the calendar entry to be written after the action that Planner.Next returned was
// acknowledged.
//
// Example: next := calendar.RecordAction(entry)
func RecordAction(old *Entry) *Entry {
	next := clone(old)
	if next.State == StateUndoing {
		next.State, next.Reason = StateUndone, ""
		return next
	}
	if next.CurrentStep < len(next.Steps) {
		next.Steps[next.CurrentStep].State = StepDone
		next.CurrentStep++
	}
	return next
}

// clone copies an entry, with its own slice of steps.
func clone(e *Entry) *Entry {
	c := *e
	c.Steps = slices.Clone(e.Steps)
	return &c
}

// start plans the steps of a planned entry and enters StateRunning once the median wall clock of the control
// nodes reaches the entry's start time. It reports whether the entry was started.
func (e *Entry) start(observed Observation) bool {
	if e.NotBefore != "" {
		notBefore, err := time.Parse(time.RFC3339, e.NotBefore)
		if err != nil || observed.WallTime.IsZero() || observed.WallTime.Before(notBefore) {
			return false
		}
	}
	steps := e.planSteps(observed)
	if e.Kind == KindRelease && len(steps) == 0 {
		return false // no worker of the service is known yet, so there is nothing to release
	}
	e.Steps = steps
	e.State = StateRunning
	return true
}

// stopReason returns why a running calendar entry must be paused, or "" if it may continue.
func (e *Entry) stopReason(observed Observation) string {
	limit := e.MaxFailureRatio
	if limit == 0 {
		limit = defaultMaxFailureRatio
	}
	attempts := observed.Succeeded + observed.Failed
	if attempts >= minAttemptsToJudge && observed.Failed/attempts > limit {
		return fmt.Sprintf("stopped: %.0f of %.0f attempts failed lately: find out why, then resume or undo", observed.Failed, attempts)
	}
	return ""
}

// revert undoes the configuration changes of all steps of a calendar entry in one action.
func (e *Entry) revert(observed Observation) (action Action, changed bool) {
	if patch := e.revertPatch(); patch != nil {
		return Action{marshalPatch(patch), actionToken(e, observed, "undo")}, false
	}
	e.State = StateUndone
	return Action{}, true
}

// revertPatch returns the patch that undoes the configuration changes of all steps of a calendar entry, or nil
// if there are none.
func (e *Entry) revertPatch() object {
	switch e.Kind {
	case KindRelease:
		undrained := object{}
		for _, step := range e.Steps {
			for _, worker := range step.Workers {
				if step.State != StepPending {
					undrained[worker] = nil
				}
			}
		}
		if len(undrained) > 0 {
			return object{"drains": undrained}
		}
	case KindHandover:
		if len(e.Steps) > 0 {
			return routePatch(e.Model, object{"service": e.Service, "next": nil, "share": nil})
		}
	}
	return nil
}

// object is a JSON object within a merge patch (RFC 7396); a nil value removes its key.
type object = map[string]any

// routePatch returns a patch of fields of the route that is named after a model.
func routePatch(model string, fields object) object {
	return object{"ways": object{model: fields}}
}

// marshalPatch encodes a patch of the service configuration as JSON.
func marshalPatch(patch object) []byte {
	body, err := json.Marshal(patch)
	if err != nil {
		panic("calendar: cannot encode the service configuration patch as JSON: " + err.Error())
	}
	return body
}

// actionToken returns the idempotency token of the current step's action. Every lease holder computes the same
// token, because the entry is not written while the step is in StepDoing. The version of the document that
// stores the entry distinguishes the token from those of a later entry of the same name, whose actions would
// otherwise count as already applied. A step that is resumed after a pause gets a new token and patches the
// configuration again, with the same values.
func actionToken(e *Entry, observed Observation, suffix string) string {
	return fmt.Sprintf("calendar/%s/%s/%d/%d%s", e.Service, e.Name, observed.EntryVersion, e.CurrentStep, suffix)
}
