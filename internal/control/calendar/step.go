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
	Up                bool // takes requests
	Here              bool // answers probes, draining or not
	Busy              int
}

// World is what is known when a step is decided.
type World struct {
	Wall         time.Time // the median of the core machines' clocks; zero: no majority sent its own
	Clock        time.Duration
	Version      uint64 // of the configuration
	EntryVersion uint64 // of the entry's document, as it was read
	Config       *serviceconfig.Config
	Workers      []Worker
	Ok, Bad      float64 // attempts of the service, lately
}

// Move is what is to be done now: a partial setup under a token, or nothing.
type Move struct {
	Patch []byte // null: nothing to do
	Token string
}

// Pacer carries one entry on. Between calls it remembers only when a soak began, by the
// holder's own clock; a new holder soaks anew.
type Pacer struct{ soak map[string]time.Duration }

// NewPacer begins to pace.
//
// Example: p := calendar.NewPacer()
func NewPacer() *Pacer { return &Pacer{map[string]time.Duration{}} }

// Next says what an entry does now. It returns the entry as it is to be written (changed
// tells whether it is), and the move to make once that is written. A step that acts is
// first written as doing, then moved under a token of its own, then written as done: a holder of the
// lease that ends in between leaves it doing. The next holder makes the same move under the same token,
// on whatever version of the configuration is in force then: the control state answers that it is done.
//
// Example: e2, move, changed := p.Next(e, world)
func (p *Pacer) Next(old *Entry, w World) (e *Entry, m Move, changed bool) {
	e = clone(old)
	switch e.State {
	case Planned:
		return e, m, p.begin(e, w)
	case Running:
		if why := e.stop(w); why != "" {
			e.State, e.Why = Paused, why
			return e, m, true
		}
	case Undoing:
	default:
		return e, m, false
	}
	if e.State == Undoing {
		return p.undo(e, w)
	}
	if e.Step >= len(e.Steps) {
		e.State, e.Why = Done, ""
		return e, m, true
	}
	s := &e.Steps[e.Step]
	if s.State == "todo" {
		if why := e.wait(s, w); why != "" {
			changed = e.Why != why
			e.Why = why
			return e, m, changed
		}
		s.State, e.Why = "doing", ""
		s.Incarnations = incarnations(s, w)
		return e, m, true
	}
	if patch := e.patch(s); patch != nil {
		return e, Move{patch, token(e, w, "")}, false // Acted writes it as done
	}
	if why := p.await(e, s, w); why != "" {
		changed = e.Why != why
		e.Why = why
		return e, m, changed
	}
	s.State, e.Why = "done", ""
	e.Step++
	return e, m, true
}

// Acted writes down that the move of the step in hand was acknowledged.
//
// Example: e2 := calendar.Acted(e)
func Acted(old *Entry) *Entry {
	e := clone(old)
	if e.State == Undoing {
		e.State, e.Why = Undone, ""
		return e
	}
	if e.Step < len(e.Steps) {
		e.Steps[e.Step].State = "done"
		e.Step++
	}
	return e
}

func clone(e *Entry) *Entry {
	c := *e
	c.Steps = slices.Clone(e.Steps)
	return &c
}

// begin plans the steps once the time has come by a majority's clocks.
func (p *Pacer) begin(e *Entry, w World) bool {
	if e.At != "" {
		at, err := time.Parse(time.RFC3339, e.At)
		if err != nil || w.Wall.IsZero() || w.Wall.Before(at) {
			return false
		}
	}
	switch e.Kind {
	case Weights:
		e.Steps = []StepInfo{{Do: "name", State: "todo"}, {Do: "see", State: "todo"}}
	case Release:
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
		for n := max(1, e.AtOnce); len(names) > 0; {
			b := names[:min(n, len(names))]
			names = names[len(b):]
			e.Steps = append(e.Steps, StepInfo{Do: "drain", On: b, State: "todo"}, StepInfo{Do: "replaced", On: b, State: "todo"}, StepInfo{Do: "back", On: b, State: "todo"})
		}
	case Handover:
		shares := e.Shares
		if len(shares) == 0 {
			shares = []int{10, 50, 100}
		}
		for _, s := range shares {
			e.Steps = append(e.Steps, StepInfo{Do: "share", Share: s, State: "todo"}, StepInfo{Do: "soak", Share: s, State: "todo"})
		}
	}
	e.State = Running
	return true
}

// stop is the stop condition on failures.
func (e *Entry) stop(w World) string {
	at := e.StopAt
	if at == 0 {
		at = 0.2
	}
	if n := w.Ok + w.Bad; n >= 20 && w.Bad/n > at {
		return fmt.Sprintf("stopped: %.0f of %.0f attempts failed lately: find out why, then resume or undo", w.Bad, n)
	}
	return ""
}

// wait is a step's precondition: why it can't begin yet.
func (e *Entry) wait(s *StepInfo, w World) string {
	if w.Config == nil {
		return "no configuration is known"
	}
	switch s.Do {
	case "name":
		if m, ok := w.Config.Models[e.Model]; !ok {
			return "model " + e.Model + " isn't in the configuration"
		} else if m.Weights > e.Weights {
			return fmt.Sprintf("weights %d are in force already, newer than %d: cancel or undo this entry", m.Weights, e.Weights)
		}
	case "drain":
		up, stay := 0, 0
		for _, x := range w.Workers {
			if x.Up {
				if up++; !slices.Contains(s.On, x.Name) {
					stay++
				}
			}
		}
		if need := e.Keep * float64(len(w.Workers)); stay < 1 || float64(stay) < need {
			return fmt.Sprintf("waits for capacity: %d workers would stay up, %.0f are to", stay, max(1, need))
		}
	case "share":
		if _, ok := w.Config.Services[e.To]; !ok {
			return "service " + e.To + " isn't in the configuration"
		}
	}
	return ""
}

func incarnations(s *StepInfo, w World) map[string]string {
	if s.Do != "drain" {
		return nil
	}
	m := map[string]string{}
	for _, x := range w.Workers {
		if slices.Contains(s.On, x.Name) {
			m[x.Name] = x.Incarnation
		}
	}
	return m
}

func raw(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("calendar: a patch of plain values can't be written: " + err.Error())
	}
	return b
}

type object = map[string]any

// patch is the partial configuration of a step that acts; nil for one that waits.
func (e *Entry) patch(s *StepInfo) []byte {
	switch s.Do {
	case "name":
		return raw(object{"models": object{e.Model: object{"weights": e.Weights}}})
	case "drain", "back":
		d := object{}
		for _, n := range s.On {
			if d[n] = any(true); s.Do == "back" {
				d[n] = nil
			}
		}
		return raw(object{"drains": d})
	case "share":
		if s.Share == 100 {
			return raw(object{"ways": object{e.Model: object{"service": e.To, "next": nil, "share": nil}}})
		}
		return raw(object{"ways": object{e.Model: object{"service": e.Service, "next": e.To, "share": s.Share}}})
	}
	return nil
}

// await is why a step that waits isn't over.
func (p *Pacer) await(e *Entry, s *StepInfo, w World) string {
	switch s.Do {
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
		before := e.Steps[e.Step-1].Incarnations
		for _, n := range s.On {
			here := false
			for _, x := range w.Workers {
				here = here || x.Name == n && x.Here && x.Incarnation != "" && x.Incarnation != before[n]
			}
			if !here {
				return "waits for " + n + " to come back as a new incarnation"
			}
		}
	case "soak":
		k := fmt.Sprintf("%s/%d", e.Name, e.Step)
		at, ok := p.soak[k]
		if !ok {
			p.soak[k] = w.Clock
			at = w.Clock
		}
		if w.Clock-at < time.Duration(e.SoakS)*time.Second {
			return fmt.Sprintf("holds %d percent for %d s", s.Share, e.SoakS)
		}
		delete(p.soak, k)
	}
	return ""
}

// undo takes back what was done, in one change.
func (p *Pacer) undo(e *Entry, w World) (*Entry, Move, bool) {
	switch e.Kind {
	case Release:
		d := object{}
		for _, s := range e.Steps {
			for _, n := range s.On {
				if s.State != "todo" {
					d[n] = nil
				}
			}
		}
		if len(d) > 0 {
			return e, Move{raw(object{"drains": d}), token(e, w, "undo")}, false
		}
	case Handover:
		if len(e.Steps) > 0 {
			return e, Move{raw(object{"ways": object{e.Model: object{"service": e.Service, "next": nil, "share": nil}}}), token(e, w, "undo")}, false
		}
	}
	e.State = Undone
	return e, Move{}, true
}

// token names one step's move, the same for every holder: nobody writes the entry between the step's
// beginning and its end. The version of the entry tells it from a later entry of the same name, whose
// moves would else count as made; a step that is resumed after a pause is made anew, which changes
// nothing where it was made before.
func token(e *Entry, w World, suffix string) string {
	return fmt.Sprintf("calendar/%s/%s/%d/%d%s", e.Service, e.Name, w.EntryVersion, e.Step, suffix)
}
