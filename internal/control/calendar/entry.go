// Package calendar implements operators' scheduled changes to a service: rollouts of new weights, releases
// that replace a service's workers in batches, and handovers of a route from one service to another. The
// placement controller of the service carries them out step by step.
//
// The package performs no I/O: Planner decides, and the holder of the service's lease writes the entries
// and changes the service configuration. The JSON keys and values are those of the first release.
package calendar

import (
	"bytes"
	"encoding/json"

	"pebbleloom/internal/errs"
)

// Kind is the kind of change that a calendar entry makes.
type Kind string

// Kinds of calendar entries.
const (
	KindWeights  Kind = "weights"  // sets a newer version of a model's weights and waits until every worker serves it
	KindRelease  Kind = "release"  // drains workers in batches and waits until each has been replaced
	KindHandover Kind = "handover" // moves a route's requests to another service in steps of rising percentage
)

// State is the state of a calendar entry, as stored in its document.
type State string

// States of a calendar entry. Done, cancelled and undone are final, except that a completed handover can still
// be undone.
const (
	StatePlanned   State = "planned"
	StateRunning   State = "running"
	StatePaused    State = "paused"
	StateUndoing   State = "undoing"
	StateDone      State = "done"
	StateCancelled State = "cancelled"
	StateUndone    State = "undone"
)

// Entry is one scheduled change and its progress. It is stored as one document of the control state, so that
// the next holder of the lease continues where the previous one stopped.
type Entry struct {
	Name            string   `json:"name"`
	Service         string   `json:"service"`
	Kind            Kind     `json:"kind"`
	NotBefore       string   `json:"at,omitempty"`      // earliest start, in RFC 3339 format; empty: immediately
	Model           string   `json:"model,omitempty"`   // for KindWeights: the model whose weights are updated; for KindHandover: the model that the route is named after
	Weights         uint64   `json:"weights,omitempty"` // for KindWeights: the new version of the model's weights
	ToService       string   `json:"to,omitempty"`      // for KindHandover: the service that takes over the route
	Percents        []int    `json:"shares,omitempty"`  // for KindHandover: percentages of the route's requests to move, one per step, rising to 100; empty means 10, 50, 100
	SoakSeconds     int      `json:"soak_s,omitempty"`  // for KindHandover: seconds to wait after each change of the percentage
	Workers         []string `json:"workers,omitempty"` // for KindRelease: names of the workers to replace, in order; empty means all workers of the service
	BatchSize       int      `json:"at_once,omitempty"` // for KindRelease: number of workers to drain at the same time; 0 means 1
	MinUpRatio      float64  `json:"keep,omitempty"`    // for KindRelease: minimum ratio of the service's workers that keep accepting requests
	MaxFailureRatio float64  `json:"stop_at,omitempty"` // ratio of failed to all recent request attempts above which the entry is paused; 0 means 0.2

	State       State  `json:"state"`
	Reason      string `json:"why,omitempty"` // why the entry is in its state, or what the current step waits for
	Steps       []Step `json:"steps,omitempty"`
	CurrentStep int    `json:"step"` // index in Steps of the first step that is not done
}

// KeyPrefix begins the key of every document that stores a calendar entry.
const KeyPrefix = "calendar/"

// Key returns the key of the document that stores a calendar entry.
//
// Example: calendar.Key("lector-main", "spring") == "calendar/lector-main/spring"
func Key(service, name string) string { return KeyPrefix + service + "/" + name }

// Decode decodes a calendar entry from JSON. Invalid JSON and unknown fields are errors of the kind
// errs.BadInput.
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

// Encode encodes the calendar entry as JSON.
//
// Example: body, err := entry.Encode()
func (e *Entry) Encode() ([]byte, error) {
	body, err := json.Marshal(e)
	return body, errs.Wrap(err, "encode calendar entry as JSON")
}

// Active reports whether the calendar entry is planned, running, paused or being undone, and not in a final
// state.
//
// Example: if entry.Active() { … }
func (e *Entry) Active() bool {
	return e.State == StatePlanned || e.State == StateRunning || e.State == StatePaused || e.State == StateUndoing
}

// setReason sets the entry's reason and reports whether it differs from the previous one.
func (e *Entry) setReason(reason string) bool {
	changed := e.Reason != reason
	e.Reason = reason
	return changed
}
