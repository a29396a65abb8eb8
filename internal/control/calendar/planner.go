package calendar

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"pebbleloom/internal/control/serviceconfig"
)

// A running entry is paused when too many of its services' recent attempts fail.
const (
	defaultMaxFailureRatio = 0.2
	minAttemptsToJudge     = 20
)

// Worker is what the planner needs to know of one of the service's workers.
type Worker struct {
	Name, Incarnation string
	Weights           uint64 // the version that it serves
	AcceptsRequests   bool   // up, and not draining
	Reachable         bool   // responds to health checks, draining or not
}

// Observation is what is known when a step is decided.
type Observation struct {
	WallTime          time.Time     // the median of the control nodes' clocks; zero if no majority responded
	Now               time.Duration // by the holder's own clock
	ConfigVersion     uint64
	EntryVersion      uint64 // of the entry's document, as it was read
	Config            *serviceconfig.Config
	Workers           []Worker
	Succeeded, Failed float64 // recent attempts of the entry's services
}

// Action is a change of the service configuration to make now: a patch under a token.
type Action struct {
	Patch []byte // nil: nothing to do
	Token string // makes the change once, whoever makes it
}

// Planner decides the steps of a service's entries. Between calls it remembers only when a soak began,
// by the holder's own clock; a new holder soaks anew.
type Planner struct {
	soakStarted map[string]time.Duration // by the entry's name and the step
}

// NewPlanner makes a planner that remembers no soak.
//
// Example: p := calendar.NewPlanner()
func NewPlanner() *Planner { return &Planner{map[string]time.Duration{}} }

// Next decides what an entry does now. It returns the entry as it is to be written, whether it has
// changed, and the action to take once it is written.
//
// A step that acts is first written as doing, then its action is taken under the step's own token,
// then it is written as done: see RecordAction. A holder that loses the lease in between leaves it
// doing. The next holder takes the same action under the same token, on whatever version of the
// configuration is in force then, and the control state acknowledges an action that was taken.
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

// advance takes a running entry through its current step.
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
		return Action{marshalPatch(patch), actionToken(entry, observed, "")}, false // RecordAction ends the step
	}
	if reason := p.unmetCompletion(entry, step, observed); reason != "" {
		return Action{}, entry.setReason(reason)
	}
	step.State, entry.Reason = StepDone, ""
	entry.CurrentStep++
	return Action{}, true
}

// RecordAction returns the entry after the action that Next returned was acknowledged.
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

func clone(e *Entry) *Entry {
	c := *e
	c.Steps = slices.Clone(e.Steps)
	return &c
}

// start plans the steps once it is time by a majority's clocks, and reports whether it did.
func (e *Entry) start(observed Observation) bool {
	if e.NotBefore != "" {
		notBefore, err := time.Parse(time.RFC3339, e.NotBefore)
		if err != nil || observed.WallTime.IsZero() || observed.WallTime.Before(notBefore) {
			return false
		}
	}
	steps := e.planSteps(observed)
	if e.Kind == KindRelease && len(steps) == 0 {
		return false // no worker is known yet
	}
	e.Steps = steps
	e.State = StateRunning
	return true
}

// stopReason is why a running entry has to be paused; "" if it needn't.
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

// revert takes back what the steps have changed, in one action.
func (e *Entry) revert(observed Observation) (action Action, changed bool) {
	if patch := e.revertPatch(); patch != nil {
		return Action{marshalPatch(patch), actionToken(e, observed, "undo")}, false
	}
	e.State = StateUndone
	return Action{}, true
}

// revertPatch is the patch that takes back what the steps have changed; nil if there is nothing to.
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

// object is a JSON object of a patch; a nil value removes its key (RFC 7396).
type object = map[string]any

func routePatch(model string, fields object) object {
	return object{"ways": object{model: fields}}
}

func marshalPatch(patch object) []byte {
	body, err := json.Marshal(patch)
	if err != nil {
		panic("calendar: a patch of plain values can't be encoded: " + err.Error())
	}
	return body
}

// actionToken names one step's action, the same for every holder: nobody writes the entry while the
// step is doing. The version of the entry's document distinguishes it from a later entry of the
// same name, whose actions would otherwise count as taken; a step that is resumed after a pause acts
// again, which changes nothing where it acted before.
func actionToken(e *Entry, observed Observation, suffix string) string {
	return fmt.Sprintf("calendar/%s/%s/%d/%d%s", e.Service, e.Name, observed.EntryVersion, e.CurrentStep, suffix)
}
