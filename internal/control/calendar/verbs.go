package calendar

import "pebbleloom/internal/errs"

// Verb is an operator's request to an entry.
type Verb string

// The verbs.
const (
	VerbPause  Verb = "pause"
	VerbResume Verb = "resume"
	VerbCancel Verb = "cancel" // before the first step
	VerbUndo   Verb = "undo"   // after it
)

const byOperator = "by an operator"

// ApplyVerb applies an operator's request to the entry's state. It changes the state alone; the holder
// of the lease carries out what follows from it. The error's kind is errs.Conflict if the verb isn't
// allowed in this state, errs.BadInput if it is unknown.
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
	return errs.New(errs.BadInput, "%q: give pause, resume, cancel or undo", verb)
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
		return errs.New(errs.Conflict, "entry %q has begun: undo it, or let it end", e.Name)
	}
	return e.notAllowed(VerbCancel)
}

func (e *Entry) undo() error {
	switch {
	case e.Kind == KindWeights && len(e.Steps) > 0:
		return errs.New(errs.Conflict, "weights don't go back: name a later version with the older weights in it")
	case e.State == StateRunning || e.State == StatePaused || e.State == StateDone && e.Kind == KindHandover:
		e.State, e.Reason = StateUndoing, byOperator
		return nil
	}
	return e.notAllowed(VerbUndo)
}

func (e *Entry) notAllowed(verb Verb) error {
	return errs.New(errs.Conflict, "entry %q is %s: %s doesn't go with that", e.Name, e.State, verb)
}
