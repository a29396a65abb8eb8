package calendar

import "pebbleloom/internal/errs"

// Verb is an operator's request to control a calendar entry.
type Verb string

// Verbs that operators may apply to a calendar entry.
const (
	VerbPause  Verb = "pause"
	VerbResume Verb = "resume"
	VerbCancel Verb = "cancel" // cancels an entry that has not started
	VerbUndo   Verb = "undo"   // reverts the configuration changes of an entry that has started
)

// byOperator is the Entry.Reason after a change of state that an operator requested.
const byOperator = "by an operator"

// ApplyVerb applies an operator's request to the calendar entry. Only the state and its reason change; the
// lease holder performs the resulting actions. The error is of the kind errs.Conflict if the current state
// does not allow the verb, and errs.BadInput if the verb is unknown.
//
// Example: err := entry.ApplyVerb(calendar.VerbPause)
func (e *Entry) ApplyVerb(verb Verb) error {
	switch verb {
	case VerbPause:
		return e.pause()
	case VerbResume:
		return e.resume()
	case VerbCancel:
		return e.cancel()
	case VerbUndo:
		return e.undo()
	}
	return errs.New(errs.BadInput, "unknown calendar verb %q: use pause, resume, cancel or undo", verb)
}

func (e *Entry) pause() error {
	if e.State != StatePlanned && e.State != StateRunning {
		return e.notAllowed(VerbPause)
	}
	e.State, e.Reason = StatePaused, byOperator
	return nil
}

func (e *Entry) resume() error {
	if e.State != StatePaused {
		return e.notAllowed(VerbResume)
	}
	e.State, e.Reason = StateRunning, ""
	if len(e.Steps) == 0 {
		e.State = StatePlanned
	}
	return nil
}

func (e *Entry) cancel() error {
	switch {
	case e.State == StatePlanned || e.State == StatePaused && len(e.Steps) == 0:
		e.State, e.Reason = StateCancelled, byOperator
		return nil
	case e.Active():
		return errs.New(errs.Conflict, "calendar entry %q has started and cannot be cancelled: undo it, or let it finish", e.Name)
	}
	return e.notAllowed(VerbCancel)
}

func (e *Entry) undo() error {
	switch {
	case e.Kind == KindWeights && len(e.Steps) > 0:
		return errs.New(errs.Conflict, "a started rollout of weights cannot be undone, because weights versions only increase: publish the older weights under a newer version and roll that out")
	case e.State == StateRunning || e.State == StatePaused || e.State == StateDone && e.Kind == KindHandover:
		e.State, e.Reason = StateUndoing, byOperator
		return nil
	}
	return e.notAllowed(VerbUndo)
}

func (e *Entry) notAllowed(verb Verb) error {
	return errs.New(errs.Conflict, "calendar entry %q is %s, and the verb %q is not allowed in that state", e.Name, e.State, verb)
}
