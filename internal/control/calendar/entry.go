// Package calendar is the operators' calendar of planned changes to a service, which the service's
// placement controller carries out step by step: rollouts of new weights, releases of a service's
// workers in batches, and handovers of a route from one service to another.
//
// The package is a pure state machine: Planner decides, and the holder of the service's lease writes
// the entries and changes the configuration. The JSON keys and values are those of the first release.
package calendar

import (
	"bytes"
	"encoding/json"

	"pebbleloom/internal/errs"
)

// Kind is what an entry changes.
type Kind string

// The kinds of entry.
const (
	KindWeights  Kind = "weights"  // names newer weights, then waits until every worker serves them
	KindRelease  Kind = "release"  // drains workers in batches, and waits for their replacements
	KindHandover Kind = "handover" // moves a route's requests to another service, by rising percents
)

// State is how far an entry has come.
type State string

// The states of an entry. Done, cancelled and undone are final, except that a handover that is done
// can be undone.
const (
	StatePlanned   State = "planned"
	StateRunning   State = "running"
	StatePaused    State = "paused"
	StateUndoing   State = "undoing"
	StateDone      State = "done"
	StateCancelled State = "cancelled"
	StateUndone    State = "undone"
)

// Entry is one planned change and its progress. It is one document of the control state, so a new
// holder of the lease continues where the last one stopped.
type Entry struct {
	Name            string   `json:"name"`
	Service         string   `json:"service"`
	Kind            Kind     `json:"kind"`
	NotBefore       string   `json:"at,omitempty"`      // RFC 3339; empty: at once
	Model           string   `json:"model,omitempty"`   // weights, handover
	Weights         uint64   `json:"weights,omitempty"` // weights: the new version
	ToService       string   `json:"to,omitempty"`      // handover
	Percents        []int    `json:"shares,omitempty"`  // handover: of requests, rising; the last is 100; none: 10, 50, 100
	SoakS           int      `json:"soak_s,omitempty"`  // handover: seconds to wait at each percent
	Workers         []string `json:"workers,omitempty"` // release: in this order; none: all of the service
	BatchSize       int      `json:"at_once,omitempty"` // release: workers; 0: 1
	MinUpRatio      float64  `json:"keep,omitempty"`    // release: the ratio of the service's workers that stays up
	MaxFailureRatio float64  `json:"stop_at,omitempty"` // of recent attempts, above which the entry is paused; 0: 0.2

	State       State  `json:"state"`
	Reason      string `json:"why,omitempty"` // of the state, or what the current step waits for
	Steps       []Step `json:"steps,omitempty"`
	CurrentStep int    `json:"step"` // the first that isn't done
}

// KeyPrefix begins the keys of all documents that hold entries.
const KeyPrefix = "calendar/"

// Key is the key of the document that holds an entry.
//
// Example: calendar.Key("lector-main", "spring") == "calendar/lector-main/spring"
func Key(service, name string) string { return KeyPrefix + service + "/" + name }

// Decode decodes an entry; the error's kind is errs.BadInput.
//
// Example: entry, err := calendar.Decode(doc.Body)
func Decode(body []byte) (*Entry, error) {
	entry := &Entry{}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(entry); err != nil {
		return nil, errs.WrapAs(err, errs.BadInput, "calendar entry")
	}
	return entry, nil
}

// Encode encodes an entry.
//
// Example: body, err := entry.Encode()
func (e *Entry) Encode() ([]byte, error) {
	body, err := json.Marshal(e)
	return body, errs.Wrap(err, "write calendar entry")
}

// Active reports whether the entry isn't in a final state.
//
// Example: if entry.Active() { … }
func (e *Entry) Active() bool {
	return e.State == StatePlanned || e.State == StateRunning || e.State == StatePaused || e.State == StateUndoing
}

// setReason sets the reason and reports whether it has changed.
func (e *Entry) setReason(reason string) bool {
	changed := e.Reason != reason
	e.Reason = reason
	return changed
}
