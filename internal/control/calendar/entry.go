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
	KindWeights  = "weights"  // name newer weights, then see every worker on them
	KindRelease  = "release"  // drain, await the replacement, take back: batch by batch
	KindHandover = "handover" // lead a route's requests to another service, share by share
)

// The states of an entry.
const (
	StatePlanned   = "planned"
	StateRunning   = "running"
	StatePaused    = "paused"
	StateUndoing   = "undoing"
	StateDone      = "done"
	StateCancelled = "cancelled"
	StateUndone    = "undone"
)

// Entry is one planned move with how far it has come. It is one document of the control
// state, so whoever takes the lease over continues exactly where the last holder stopped.
type Entry struct {
	Name            string   `json:"name"`
	Service         string   `json:"service"`
	Kind            string   `json:"kind"`
	NotBefore       string   `json:"at,omitempty"`      // not before (RFC 3339); empty: at once
	Model           string   `json:"model,omitempty"`   // weights, handover
	Weights         uint64   `json:"weights,omitempty"` // weights
	ToService       string   `json:"to,omitempty"`      // handover: the other service
	Percents        []int    `json:"shares,omitempty"`  // handover: percent by percent, the last is 100
	SoakS           int      `json:"soak_s,omitempty"`  // handover: how long each share is held
	Workers         []string `json:"workers,omitempty"` // release: in this order; empty: all of the service
	BatchSize       int      `json:"at_once,omitempty"` // release: how many together
	MinUpRatio      float64  `json:"keep,omitempty"`    // release: share of the service that stays up
	MaxFailureRatio float64  `json:"stop_at,omitempty"` // pause when a larger share of attempts fails; 0: 0.2

	State       string `json:"state"`
	Reason      string `json:"why,omitempty"` // why it stands where it stands
	Steps       []Step `json:"steps,omitempty"`
	CurrentStep int    `json:"step"` // the first that isn't done
}

// Step is one step and how far it has come.
type Step struct {
	Kind         string            `json:"do"`           // name, see, drain, replaced, back, share, soak
	Workers      []string          `json:"on,omitempty"` // workers
	Percent      int               `json:"share,omitempty"`
	Incarnations map[string]string `json:"lives,omitempty"` // incarnations before the step
	State        string            `json:"state"`           // todo, doing, done, undone
}

// Key is the document that holds an entry.
//
// Example: calendar.Key("lector-main", "spring") == "calendar/lector-main/spring"
func Key(service, name string) string { return "calendar/" + service + "/" + name }

// Decode decodes an entry.
//
// Example: e, err := calendar.Read(doc.Body)
func Decode(body []byte) (*Entry, error) {
	e := &Entry{}
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.DisallowUnknownFields()
	if err := d.Decode(e); err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "calendar entry")
	}
	return e, nil
}

// Encode encodes an entry.
//
// Example: body, err := e.Write()
func (e *Entry) Encode() ([]byte, error) {
	b, err := json.Marshal(e)
	return b, errs.Wrap(err, "write calendar entry")
}

// Active tells whether an entry still has or holds a place in the calendar.
//
// Example: if e.Active() { … }
func (e *Entry) Active() bool {
	return e.State == StatePlanned || e.State == StateRunning || e.State == StatePaused || e.State == StateUndoing
}

// Validate notes every fault of a new entry.
//
// Example: e.Check(&b)
func (e *Entry) Validate(b *errs.Batch) {
	bad := func(f, format string, a ...any) { b.Addf(errs.BadInput, "%s: %s", f, fmt.Sprintf(format, a...)) }
	for f, v := range map[string]string{"name": e.Name, "service": e.Service} {
		if v == "" || len(v) > 64 || strings.ContainsAny(v, " /\x00\n") {
			bad(f, "%q: give a word of 1 to 64 letters without spaces or slashes", v)
		}
	}
	if e.NotBefore != "" {
		if _, err := time.Parse(time.RFC3339, e.NotBefore); err != nil {
			bad("at", "%q: give a time like 2027-01-31T06:00:00Z", e.NotBefore)
		}
	}
	switch e.Kind {
	case KindWeights:
		if e.Model == "" || e.Weights == 0 {
			bad("model, weights", "missing: name the model and its newer weights version")
		}
	case KindRelease:
		if e.BatchSize < 0 || e.MinUpRatio < 0 || e.MinUpRatio >= 1 {
			bad("at_once, keep", "%d, %g: give at_once from 1, keep from 0 to under 1", e.BatchSize, e.MinUpRatio)
		}
	case KindHandover:
		if e.Model == "" || e.ToService == "" || e.ToService == e.Service {
			bad("model, to", "name the route's model and the other service")
		}
		last := 0
		for _, s := range e.Percents {
			if s <= last || s > 100 {
				bad("shares", "%v: give rising percents", e.Percents)
				break
			}
			last = s
		}
		if len(e.Percents) > 0 && last != 100 {
			bad("shares", "%v: end with 100", e.Percents)
		}
		if e.SoakS < 0 || e.SoakS > 86400 {
			bad("soak_s", "%d: give 0 to 86400", e.SoakS)
		}
	default:
		bad("kind", "%q: give weights, release or handover", e.Kind)
	}
	if e.MaxFailureRatio < 0 || e.MaxFailureRatio > 1 {
		bad("stop_at", "%g: give a share from 0 to 1", e.MaxFailureRatio)
	}
}

// CheckConflicts says which of the other entries can't stand beside this one; both are named.
//
// Example: if err := e.Clash(others); err != nil { return err }
func (e *Entry) CheckConflicts(others []*Entry) error {
	for _, o := range others {
		if o.Name == e.Name && o.Service == e.Service || !o.Active() || !e.Active() {
			continue
		}
		for _, a := range e.services() {
			for _, b := range o.services() {
				if a == b {
					return errs.New(errs.Conflict, "entry %q (%s) clashes with entry %q (%s, %s): both move %s", e.Name, e.Kind, o.Name, o.Kind, o.State, a)
				}
			}
		}
	}
	return nil
}

func (e *Entry) services() []string {
	l := []string{"service " + e.Service}
	if e.Kind == KindHandover {
		l = append(l, "service "+e.ToService)
	}
	return l
}

// ApplyVerb is what an operator asks of an entry: pause, resume, cancel or undo. It changes the
// state alone; what follows from it is carried out by the holder of the lease.
//
// Example: err := e.Ask("pause")
func (e *Entry) ApplyVerb(verb string) error {
	switch {
	case verb == "pause" && (e.State == StatePlanned || e.State == StateRunning):
		e.State, e.Reason = StatePaused, "by an operator"
	case verb == "resume" && e.State == StatePaused:
		e.State, e.Reason = StateRunning, ""
		if len(e.Steps) == 0 {
			e.State = StatePlanned
		}
	case verb == "cancel" && (e.State == StatePlanned || e.State == StatePaused && len(e.Steps) == 0):
		e.State, e.Reason = StateCancelled, "by an operator"
	case verb == "cancel" && e.Active():
		return errs.New(errs.Conflict, "entry %q has begun: undo it, or let it end", e.Name)
	case verb == "undo" && e.Kind == KindWeights && len(e.Steps) > 0:
		return errs.New(errs.Conflict, "weights don't go back: name a later version with the older weights in it")
	case verb == "undo" && (e.State == StateRunning || e.State == StatePaused || e.State == StateDone && e.Kind == KindHandover):
		e.State, e.Reason = StateUndoing, "by an operator"
	case verb == "pause" || verb == "resume" || verb == "cancel" || verb == "undo":
		return errs.New(errs.Conflict, "entry %q is %s: %s doesn't go with that", e.Name, e.State, verb)
	default:
		return errs.New(errs.BadInput, "%q: give pause, resume, cancel or undo", verb)
	}
	return nil
}
