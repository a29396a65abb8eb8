package calendar

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"pebbleloom/internal/control/serviceconfig"
)

// Worker is what a move needs to know of one worker.
type Worker struct {
	Name, Incarnation string
	Weights           uint64
	AcceptsRequests   bool // takes requests
	Reachable         bool // answers probes, draining or not
	Busy              int
}

// Observation is what is known when a step is decided.
type Observation struct {
	WallTime          time.Time // the median of the core machines' clocks; zero: no majority sent its own
	Now               time.Duration
	ConfigVersion     uint64 // of the configuration
	EntryVersion      uint64 // of the entry's document, as it was read
	Config            *serviceconfig.Config
	Workers           []Worker
	Succeeded, Failed float64 // attempts of the service, lately
}

// Action is what is to be done now: a partial setup under a token, or nothing.
type Action struct {
	Patch []byte // null: nothing to do
	Token string
}

// Planner carries one entry on. Between calls it remembers only when a soak began, by the
// holder's own clock; a new holder soaks anew.
type Planner struct{ soakStarted map[string]time.Duration }

// NewPlanner begins to pace.
//
// Example: p := calendar.NewPlanner()
func NewPlanner() *Planner { return &Planner{map[string]time.Duration{}} }

// Next says what an entry does now. It returns the entry as it is to be written (changed
// tells whether it is), and the move to make once that is written. A step that acts is
// first written as doing, then moved under a token of its own, then written as done: a holder of the
// lease that ends in between leaves it doing. The next holder makes the same move under the same token,
// on whatever version of the configuration is in force then: the control state answers that it is done.
//
// Example: e2, move, changed := p.Next(e, world)
func (p *Planner) Next(old *Entry, w Observation) (e *Entry, m Action, changed bool) {
	e = clone(old)
	switch e.State {
	case StatePlanned:
		return e, m, p.start(e, w)
	case StateRunning:
		if why := e.stopReason(w); why != "" {
			e.State, e.Reason = StatePaused, why
			return e, m, true
		}
	case StateUndoing:
	default:
		return e, m, false
	}
	if e.State == StateUndoing {
		return p.undo(e, w)
	}
	if e.CurrentStep >= len(e.Steps) {
		e.State, e.Reason = StateDone, ""
		return e, m, true
	}
	s := &e.Steps[e.CurrentStep]
	if s.State == "todo" {
		if why := e.unmetPrecondition(s, w); why != "" {
			changed = e.Reason != why
			e.Reason = why
			return e, m, changed
		}
		s.State, e.Reason = "doing", ""
		s.Incarnations = incarnations(s, w)
		return e, m, true
	}
	if patch := e.patch(s); patch != nil {
		return e, Action{patch, actionToken(e, w, "")}, false // Acted writes it as done
	}
	if why := p.unmetCompletion(e, s, w); why != "" {
		changed = e.Reason != why
		e.Reason = why
		return e, m, changed
	}
	s.State, e.Reason = "done", ""
	e.CurrentStep++
	return e, m, true
}

// RecordAction writes down that the move of the step in hand was acknowledged.
//
// Example: e2 := calendar.Acted(e)
func RecordAction(old *Entry) *Entry {
	e := clone(old)
	if e.State == StateUndoing {
		e.State, e.Reason = StateUndone, ""
		return e
	}
	if e.CurrentStep < len(e.Steps) {
		e.Steps[e.CurrentStep].State = "done"
		e.CurrentStep++
	}
	return e
}

func clone(e *Entry) *Entry {
	c := *e
	c.Steps = slices.Clone(e.Steps)
	return &c
}

// start plans the steps once the time has come by a majority's clocks.
func (p *Planner) start(e *Entry, w Observation) bool {
	if e.NotBefore != "" {
		at, err := time.Parse(time.RFC3339, e.NotBefore)
		if err != nil || w.WallTime.IsZero() || w.WallTime.Before(at) {
			return false
		}
	}
	switch e.Kind {
	case KindWeights:
		e.Steps = []Step{{Kind: "name", State: "todo"}, {Kind: "see", State: "todo"}}
	case KindRelease:
		names := e.Workers
		if len(names) == 0 {
			for _, x := range w.Workers {
				names = append(names, x.Name)
			}
			slices.Sort(names)
		}
		if len(names) == 0 {
			return false
		}
		for n := max(1, e.BatchSize); len(names) > 0; {
			b := names[:min(n, len(names))]
			names = names[len(b):]
			e.Steps = append(e.Steps, Step{Kind: "drain", Workers: b, State: "todo"}, Step{Kind: "replaced", Workers: b, State: "todo"}, Step{Kind: "back", Workers: b, State: "todo"})
		}
	case KindHandover:
		shares := e.Percents
		if len(shares) == 0 {
			shares = []int{10, 50, 100}
		}
		for _, s := range shares {
			e.Steps = append(e.Steps, Step{Kind: "share", Percent: s, State: "todo"}, Step{Kind: "soak", Percent: s, State: "todo"})
		}
	}
	e.State = StateRunning
	return true
}

// stopReason is the stop condition on failures.
func (e *Entry) stopReason(w Observation) string {
	at := e.MaxFailureRatio
	if at == 0 {
		at = 0.2
	}
	if n := w.Succeeded + w.Failed; n >= 20 && w.Failed/n > at {
		return fmt.Sprintf("stopped: %.0f of %.0f attempts failed lately: find out why, then resume or undo", w.Failed, n)
	}
	return ""
}

// unmetPrecondition is a step's precondition: why it can't begin yet.
func (e *Entry) unmetPrecondition(s *Step, w Observation) string {
	if w.Config == nil {
		return "no configuration is known"
	}
	switch s.Kind {
	case "name":
		if m, ok := w.Config.Models[e.Model]; !ok {
			return "model " + e.Model + " isn't in the configuration"
		} else if m.Weights > e.Weights {
			return fmt.Sprintf("weights %d are in force already, newer than %d: cancel or undo this entry", m.Weights, e.Weights)
		}
	case "drain":
		up, stay := 0, 0
		for _, x := range w.Workers {
			if x.AcceptsRequests {
				if up++; !slices.Contains(s.Workers, x.Name) {
					stay++
				}
			}
		}
		if need := e.MinUpRatio * float64(len(w.Workers)); stay < 1 || float64(stay) < need {
			return fmt.Sprintf("waits for capacity: %d workers would stay up, %.0f are to", stay, max(1, need))
		}
	case "share":
		if _, ok := w.Config.Services[e.ToService]; !ok {
			return "service " + e.ToService + " isn't in the configuration"
		}
	}
	return ""
}

func incarnations(s *Step, w Observation) map[string]string {
	if s.Kind != "drain" {
		return nil
	}
	m := map[string]string{}
	for _, x := range w.Workers {
		if slices.Contains(s.Workers, x.Name) {
			m[x.Name] = x.Incarnation
		}
	}
	return m
}

func marshalPatch(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("calendar: a patch of plain values can't be written: " + err.Error())
	}
	return b
}

type object = map[string]any

// patch is the partial configuration of a step that acts; nil for one that waits.
func (e *Entry) patch(s *Step) []byte {
	switch s.Kind {
	case "name":
		return marshalPatch(object{"models": object{e.Model: object{"weights": e.Weights}}})
	case "drain", "back":
		d := object{}
		for _, n := range s.Workers {
			if d[n] = any(true); s.Kind == "back" {
				d[n] = nil
			}
		}
		return marshalPatch(object{"drains": d})
	case "share":
		if s.Percent == 100 {
			return marshalPatch(object{"ways": object{e.Model: object{"service": e.ToService, "next": nil, "share": nil}}})
		}
		return marshalPatch(object{"ways": object{e.Model: object{"service": e.Service, "next": e.ToService, "share": s.Percent}}})
	}
	return nil
}

// unmetCompletion is why a step that waits isn't over.
func (p *Planner) unmetCompletion(e *Entry, s *Step, w Observation) string {
	switch s.Kind {
	case "see":
		old := 0
		for _, x := range w.Workers {
			if x.Weights < e.Weights {
				old++
			}
		}
		if old > 0 || len(w.Workers) == 0 {
			return fmt.Sprintf("%d of %d workers are on older weights", old, len(w.Workers))
		}
	case "replaced":
		before := e.Steps[e.CurrentStep-1].Incarnations
		for _, n := range s.Workers {
			here := false
			for _, x := range w.Workers {
				here = here || x.Name == n && x.Reachable && x.Incarnation != "" && x.Incarnation != before[n]
			}
			if !here {
				return "waits for " + n + " to come back as a new incarnation"
			}
		}
	case "soak":
		k := fmt.Sprintf("%s/%d", e.Name, e.CurrentStep)
		at, ok := p.soakStarted[k]
		if !ok {
			p.soakStarted[k] = w.Now
			at = w.Now
		}
		if w.Now-at < time.Duration(e.SoakS)*time.Second {
			return fmt.Sprintf("holds %d percent for %d s", s.Percent, e.SoakS)
		}
		delete(p.soakStarted, k)
	}
	return ""
}

// undo takes back what was done, in one change.
func (p *Planner) undo(e *Entry, w Observation) (*Entry, Action, bool) {
	switch e.Kind {
	case KindRelease:
		d := object{}
		for _, s := range e.Steps {
			for _, n := range s.Workers {
				if s.State != "todo" {
					d[n] = nil
				}
			}
		}
		if len(d) > 0 {
			return e, Action{marshalPatch(object{"drains": d}), actionToken(e, w, "undo")}, false
		}
	case KindHandover:
		if len(e.Steps) > 0 {
			return e, Action{marshalPatch(object{"ways": object{e.Model: object{"service": e.Service, "next": nil, "share": nil}}}), actionToken(e, w, "undo")}, false
		}
	}
	e.State = StateUndone
	return e, Action{}, true
}

// actionToken names one step's move, the same for every holder: nobody writes the entry between the step's
// beginning and its end. The version of the entry tells it from a later entry of the same name, whose
// moves would else count as made; a step that is resumed after a pause is made anew, which changes
// nothing where it was made before.
func actionToken(e *Entry, w Observation, suffix string) string {
	return fmt.Sprintf("calendar/%s/%s/%d/%d%s", e.Service, e.Name, w.EntryVersion, e.CurrentStep, suffix)
}
