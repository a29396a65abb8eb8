package calendar

import (
	"fmt"
	"strings"
	"time"

	"pebbleloom/internal/errs"
)

const (
	maxNameBytes = 64
	maxSoakS     = 86400 // seconds: a day
)

// faultFunc reports a fault of a field, named by its JSON key.
type faultFunc func(field, format string, args ...any)

// Validate reports every fault of a new entry; their kind is errs.BadInput.
//
// Example: entry.Validate(&faults)
func (e *Entry) Validate(faults *errs.Batch) {
	report := func(field, format string, args ...any) {
		faults.Addf(errs.BadInput, "%s: %s", field, fmt.Sprintf(format, args...))
	}
	validateName("name", e.Name, report)
	validateName("service", e.Service, report)
	if e.NotBefore != "" {
		if _, err := time.Parse(time.RFC3339, e.NotBefore); err != nil {
			report("at", "%q: give a time like 2027-01-31T06:00:00Z", e.NotBefore)
		}
	}
	switch e.Kind {
	case KindWeights:
		if e.Model == "" || e.Weights == 0 {
			report("model, weights", "missing: name the model and its newer weights version")
		}
	case KindRelease:
		if e.BatchSize < 0 || e.MinUpRatio < 0 || e.MinUpRatio >= 1 {
			report("at_once, keep", "%d, %g: give at_once from 1, keep from 0 to under 1", e.BatchSize, e.MinUpRatio)
		}
	case KindHandover:
		e.validateHandover(report)
	default:
		report("kind", "%q: give weights, release or handover", e.Kind)
	}
	if e.MaxFailureRatio < 0 || e.MaxFailureRatio > 1 {
		report("stop_at", "%g: give a share from 0 to 1", e.MaxFailureRatio)
	}
}

func validateName(field, name string, report faultFunc) {
	if name == "" || len(name) > maxNameBytes || strings.ContainsAny(name, " /\x00\n") {
		report(field, "%q: give a word of 1 to 64 letters without spaces or slashes", name)
	}
}

func (e *Entry) validateHandover(report faultFunc) {
	if e.Model == "" || e.ToService == "" || e.ToService == e.Service {
		report("model, to", "name the route's model and the other service")
	}
	last := 0
	for _, percent := range e.Percents {
		if percent <= last || percent > allRequests {
			report("shares", "%v: give rising percents", e.Percents)
			break
		}
		last = percent
	}
	if len(e.Percents) > 0 && last != allRequests {
		report("shares", "%v: end with 100", e.Percents)
	}
	if e.SoakS < 0 || e.SoakS > maxSoakS {
		report("soak_s", "%d: give 0 to 86400", e.SoakS)
	}
}

// CheckConflicts returns an errs.Conflict that names the first of the other entries that changes the
// same service at the same time; nil if there is none.
//
// Example: if err := entry.CheckConflicts(others); err != nil { return err }
func (e *Entry) CheckConflicts(others []*Entry) error {
	for _, other := range others {
		if other.Name == e.Name && other.Service == e.Service || !other.Active() || !e.Active() {
			continue
		}
		for _, mine := range e.services() {
			for _, theirs := range other.services() {
				if mine == theirs {
					return errs.New(errs.Conflict, "entry %q (%s) clashes with entry %q (%s, %s): both move service %s", e.Name, e.Kind, other.Name, other.Kind, other.State, mine)
				}
			}
		}
	}
	return nil
}

// services lists the services that the entry changes.
func (e *Entry) services() []string {
	if e.Kind == KindHandover {
		return []string{e.Service, e.ToService}
	}
	return []string{e.Service}
}
