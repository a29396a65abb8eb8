// Package calendar is the plan of moves that operators write and the system paces:
// roll-outs of weights, releases of a service worker by worker, handovers of a route from
// one service to another. All of it is pure; the holder of the service's lease carries it out.
package calendar

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"pebbleloom/internal/errs"
)

// The kinds of move.
const (
	Weights  = "weights"  // name newer weights, then see every worker on them
	Release  = "release"  // drain, await the replacement, take back: batch by batch
	Handover = "handover" // lead a route's requests to another service, share by share
)

// The states of an entry.
const (
	Planned   = "planned"
	Running   = "running"
	Paused    = "paused"
	Undoing   = "undoing"
	Done      = "done"
	Cancelled = "cancelled"
	Undone    = "undone"
)

// Entry is one planned move with how far it has come. It is one document of the control
// state, so whoever takes the lease over continues exactly where the last holder stopped.
type Entry struct {
	Name    string   `json:"name"`
	Service string   `json:"service"`
	Kind    string   `json:"kind"`
	At      string   `json:"at,omitempty"`      // not before (RFC 3339); empty: at once
	Model   string   `json:"model,omitempty"`   // weights, handover
	Weights uint64   `json:"weights,omitempty"` // weights
	To      string   `json:"to,omitempty"`      // handover: the other service
	Shares  []int    `json:"shares,omitempty"`  // handover: percent by percent, the last is 100
	SoakS   int      `json:"soak_s,omitempty"`  // handover: how long each share is held
	Workers []string `json:"workers,omitempty"` // release: in this order; empty: all of the service
	AtOnce  int      `json:"at_once,omitempty"` // release: how many together
	Keep    float64  `json:"keep,omitempty"`    // release: share of the service that stays up
	StopAt  float64  `json:"stop_at,omitempty"` // pause when a larger share of attempts fails; 0: 0.2

	State string     `json:"state"`
	Why   string     `json:"why,omitempty"` // why it stands where it stands
	Steps []StepInfo `json:"steps,omitempty"`
	Step  int        `json:"step"` // the first that isn't done
}

// StepInfo is one step and how far it has come.
type StepInfo struct {
	Do           string            `json:"do"`           // name, see, drain, replaced, back, share, soak
	On           []string          `json:"on,omitempty"` // workers
	Share        int               `json:"share,omitempty"`
	Incarnations map[string]string `json:"lives,omitempty"` // incarnations before the step
	State        string            `json:"state"`           // todo, doing, done, undone
}

// Key is the document that holds an entry.
//
// Example: calendar.Key("lector-main", "spring") == "calendar/lector-main/spring"
func Key(service, name string) string { return "calendar/" + service + "/" + name }

// Read decodes an entry.
//
// Example: e, err := calendar.Read(doc.Body)
func Read(body []byte) (*Entry, error) {
	e := &Entry{}
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.DisallowUnknownFields()
	if err := d.Decode(e); err != nil {
		return nil, errs.As(err, errs.BadInput, "calendar entry")
	}
	return e, nil
}

// Write encodes an entry.
//
// Example: body, err := e.Write()
func (e *Entry) Write() ([]byte, error) {
	b, err := json.Marshal(e)
	return b, errs.Wrap(err, "write calendar entry")
}

// Active tells whether an entry still has or holds a place in the calendar.
//
// Example: if e.Active() { … }
func (e *Entry) Active() bool {
	return e.State == Planned || e.State == Running || e.State == Paused || e.State == Undoing
}

// Check notes every fault of a new entry.
//
// Example: e.Check(&b)
func (e *Entry) Check(b *errs.Batch) {
	bad := func(f, format string, a ...any) { b.Fault(errs.BadInput, "%s: %s", f, fmt.Sprintf(format, a...)) }
	for f, v := range map[string]string{"name": e.Name, "service": e.Service} {
		if v == "" || len(v) > 64 || strings.ContainsAny(v, " /\x00\n") {
			bad(f, "%q: give a word of 1 to 64 letters without spaces or slashes", v)
		}
	}
	if e.At != "" {
		if _, err := time.Parse(time.RFC3339, e.At); err != nil {
			bad("at", "%q: give a time like 2027-01-31T06:00:00Z", e.At)
		}
	}
	switch e.Kind {
	case Weights:
		if e.Model == "" || e.Weights == 0 {
			bad("model, weights", "missing: name the model and its newer weights version")
		}
	case Release:
		if e.AtOnce < 0 || e.Keep < 0 || e.Keep >= 1 {
			bad("at_once, keep", "%d, %g: give at_once from 1, keep from 0 to under 1", e.AtOnce, e.Keep)
		}
	case Handover:
		if e.Model == "" || e.To == "" || e.To == e.Service {
			bad("model, to", "name the route's model and the other service")
		}
		last := 0
		for _, s := range e.Shares {
			if s <= last || s > 100 {
				bad("shares", "%v: give rising percents", e.Shares)
				break
			}
			last = s
		}
		if len(e.Shares) > 0 && last != 100 {
			bad("shares", "%v: end with 100", e.Shares)
		}
		if e.SoakS < 0 || e.SoakS > 86400 {
			bad("soak_s", "%d: give 0 to 86400", e.SoakS)
		}
	default:
		bad("kind", "%q: give weights, release or handover", e.Kind)
	}
	if e.StopAt < 0 || e.StopAt > 1 {
		bad("stop_at", "%g: give a share from 0 to 1", e.StopAt)
	}
}

// Clash says which of the other entries can't stand beside this one; both are named.
//
// Example: if err := e.Clash(others); err != nil { return err }
func (e *Entry) Clash(others []*Entry) error {
	for _, o := range others {
		if o.Name == e.Name && o.Service == e.Service || !o.Active() || !e.Active() {
			continue
		}
		for _, a := range e.touches() {
			for _, b := range o.touches() {
				if a == b {
					return errs.New(errs.Conflict, "entry %q (%s) clashes with entry %q (%s, %s): both move %s", e.Name, e.Kind, o.Name, o.Kind, o.State, a)
				}
			}
		}
	}
	return nil
}

func (e *Entry) touches() []string {
	l := []string{"service " + e.Service}
	if e.Kind == Handover {
		l = append(l, "service "+e.To)
	}
	return l
}

// Ask is what an operator asks of an entry: pause, resume, cancel or undo. It changes the
// state alone; what follows from it is carried out by the holder of the lease.
//
// Example: err := e.Ask("pause")
func (e *Entry) Ask(verb string) error {
	switch {
	case verb == "pause" && (e.State == Planned || e.State == Running):
		e.State, e.Why = Paused, "by an operator"
	case verb == "resume" && e.State == Paused:
		e.State, e.Why = Running, ""
		if len(e.Steps) == 0 {
			e.State = Planned
		}
	case verb == "cancel" && (e.State == Planned || e.State == Paused && len(e.Steps) == 0):
		e.State, e.Why = Cancelled, "by an operator"
	case verb == "cancel" && e.Active():
		return errs.New(errs.Conflict, "entry %q has begun: undo it, or let it end", e.Name)
	case verb == "undo" && e.Kind == Weights && len(e.Steps) > 0:
		return errs.New(errs.Conflict, "weights don't go back: name a later version with the older weights in it")
	case verb == "undo" && (e.State == Running || e.State == Paused || e.State == Done && e.Kind == Handover):
		e.State, e.Why = Undoing, "by an operator"
	case verb == "pause" || verb == "resume" || verb == "cancel" || verb == "undo":
		return errs.New(errs.Conflict, "entry %q is %s: %s doesn't go with that", e.Name, e.State, verb)
	default:
		return errs.New(errs.BadInput, "%q: give pause, resume, cancel or undo", verb)
	}
	return nil
}
