package calendar

import (
	"fmt"
	"strings"
	"time"

	"pebbleloom/internal/errs"
)

// Limits of the fields of a calendar entry.
const (
	maxNameBytes   = 64
	maxSoakSeconds = 86400 // maximum of Entry.SoakSeconds: one day
)

// faultFunc reports a validation fault of a field, which is named by its JSON key.
type faultFunc func(field, format string, args ...any)

// Validate adds every fault of a new calendar entry to a batch of errors. All faults are of the kind
// errs.BadInput.
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
			report("at", "invalid start time %q: use RFC 3339 format, as in 2027-01-31T06:00:00Z", e.NotBefore)
		}
	}
	switch e.Kind {
	case KindWeights:
		if e.Model == "" || e.Weights == 0 {
			report("model, weights", "an entry of kind weights needs both the model and the new version of its weights")
		}
	case KindRelease:
		if e.BatchSize < 0 || e.MinUpRatio < 0 || e.MinUpRatio >= 1 {
			report("at_once, keep", "batch size %d or ratio of workers to keep %g is out of range: use at_once of 1 or more and keep from 0 to below 1", e.BatchSize, e.MinUpRatio)
		}
	case KindHandover:
		e.validateHandover(report)
	default:
		report("kind", "unknown kind of calendar entry %q: use weights, release or handover", e.Kind)
	}
	if e.MaxFailureRatio < 0 || e.MaxFailureRatio > 1 {
		report("stop_at", "ratio of failed request attempts that pauses the entry, %g, is out of range: use 0 to 1", e.MaxFailureRatio)
	}
}

// validateName reports a fault if the name of an entry or service is empty, too long, or contains a space, a
// line break or a slash.
func validateName(field, name string, report faultFunc) {
	if name == "" || len(name) > maxNameBytes || strings.ContainsAny(name, " /\x00\n") {
		report(field, "invalid name %q: use 1 to 64 characters without spaces, line breaks or slashes", name)
	}
}

// validateHandover reports the faults of the fields that only a handover uses.
func (e *Entry) validateHandover(report faultFunc) {
	if e.Model == "" || e.ToService == "" || e.ToService == e.Service {
		report("model, to", "a handover needs the model that the route is named after and a service other than the current one")
	}
	last := 0
	for _, percent := range e.Percents {
		if percent <= last || percent > allRequests {
			report("shares", "handover percentages %v must rise from step to step and not exceed 100", e.Percents)
			break
		}
		last = percent
	}
	if len(e.Percents) > 0 && last != allRequests {
		report("shares", "handover percentages %v must end with 100", e.Percents)
	}
	if e.SoakSeconds < 0 || e.SoakSeconds > maxSoakSeconds {
		report("soak_s", "soak time of %d s after each handover step is out of range: use 0 to 86400", e.SoakSeconds)
	}
}

// CheckConflicts returns an error of the kind errs.Conflict if another active calendar entry changes the same
// service. The error names both entries.
//
// Example: if err := entry.CheckConflicts(others); err != nil { return err }
func (e *Entry) CheckConflicts(others []*Entry) error {
	for _, other := range others {
		if other.Name == e.Name && other.Service == e.Service || !other.Active() || !e.Active() {
			continue
		}
		for _, service := range e.services() {
			for _, otherService := range other.services() {
				if service == otherService {
					return errs.New(errs.Conflict, "calendar entry %q (%s) clashes with entry %q (%s, %s): both change service %s", e.Name, e.Kind, other.Name, other.Kind, other.State, service)
				}
			}
		}
	}
	return nil
}

// services returns the names of the services that the calendar entry changes.
func (e *Entry) services() []string {
	if e.Kind == KindHandover {
		return []string{e.Service, e.ToService}
	}
	return []string{e.Service}
}
