package controlstate

import (
	"strings"

	"pebbleloom/internal/control/calendar"
	"pebbleloom/internal/control/retire"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// Key prefixes of calendar entries (scheduled changes of a service) and retirements (replacements of a base
// model), which are validated against each other. calendar.Key and retire.Key return keys with these prefixes.
const (
	calendarPrefix   = "calendar/"
	retirementPrefix = "retire/"
)

// validateDocument validates a calendar entry or a retirement of a service, also against the stored ones. Any
// other document is accepted. It returns errs.BadInput for an invalid document, errs.Conflict for a valid one that
// conflicts with others, and errs.Overloaded while there are unapplied log entries that it may conflict with.
func (s *shard) validateDocument(put *wire.Put) error {
	switch {
	case strings.HasPrefix(put.Key, calendarPrefix):
		return s.validateCalendarEntry(put)
	case strings.HasPrefix(put.Key, retirementPrefix):
		return s.validateRetirement(put)
	}
	return nil
}

// validateCalendarEntry validates a calendar entry, a scheduled change of a service, also against the stored
// entries and against the retirements of base models that change the same service.
func (s *shard) validateCalendarEntry(put *wire.Put) error {
	entry, err := calendar.Decode(put.Body)
	if err != nil {
		return err
	}
	var faults errs.Batch
	entry.Validate(&faults)
	if calendar.Key(entry.Service, entry.Name) != put.Key {
		faults.Addf(errs.BadInput, "calendar entry %q of service %q does not match its document key %q", entry.Name, entry.Service, put.Key)
	}
	if err := s.checkNothingInFlight(); err != nil {
		return err
	}
	others := decodeDocuments(s.state.documents, calendarPrefix, calendar.Decode, &faults)
	faults.Add("calendar", entry.CheckConflicts(others))
	if entry.Active() {
		for _, retirement := range s.retirements(&faults) {
			if retirement.Service == entry.Service && isChangingService(retirement) {
				faults.Addf(errs.Conflict, "calendar entry %q conflicts with retirement %q (state %s): both change service %s", entry.Name, retirement.Name, retirement.State, entry.Service)
			}
		}
	}
	return faults.Err()
}

// validateRetirement validates a retirement, the replacement of a base model, also against the stored retirements
// and against the calendar entries that change the same service.
func (s *shard) validateRetirement(put *wire.Put) error {
	retirement, err := retire.Read(put.Body)
	if err != nil {
		return err
	}
	var faults errs.Batch
	retirement.Validate(&faults)
	if retire.Key(retirement.Service, retirement.Name) != put.Key {
		faults.Addf(errs.BadInput, "retirement %q of service %q does not match its document key %q", retirement.Name, retirement.Service, put.Key)
	}
	if err := s.checkNothingInFlight(); err != nil {
		return err
	}
	faults.Add("retirement", retirement.CheckConflicts(s.retirements(&faults)))
	if isChangingService(retirement) {
		var unreadable errs.Batch // not reported: a stored calendar entry that cannot be decoded does not invalidate the retirement
		for _, entry := range decodeDocuments(s.state.documents, calendarPrefix, calendar.Decode, &unreadable) {
			if entry.Active() && entry.Service == retirement.Service {
				faults.Addf(errs.Conflict, "retirement %q conflicts with calendar entry %q (state %s): both change service %s: let the entry end, cancel it or undo it first", retirement.Name, entry.Name, entry.State, entry.Service)
			}
		}
	}
	return faults.Err()
}

// isChangingService reports whether a retirement of a base model has started to change its service and has not
// ended.
func isChangingService(retirement *retire.Retirement) bool {
	return retirement.Active() && retirement.State != retire.StatePlanned
}

// checkNothingInFlight returns errs.Overloaded if the consensus log has entries that are not applied yet.
func (s *shard) checkNothingInFlight() error {
	if len(s.core.UnappliedEntries()) > 0 {
		return errs.New(errs.Overloaded, "another change of the control state has not been applied yet: retry the request")
	}
	return nil
}

// retirements returns the stored retirements of base models of all services. Those that cannot be decoded are
// skipped and reported in faults.
func (s *shard) retirements(faults *errs.Batch) []*retire.Retirement {
	return decodeDocuments(s.state.documents, retirementPrefix, retire.Read, faults)
}

// decodeDocuments decodes the documents whose keys begin with a prefix. Documents that cannot be decoded are skipped
// and reported in faults with their keys.
func decodeDocuments[T any](documents map[string]*wire.Document, prefix string, decode func([]byte) (T, error), faults *errs.Batch) (decoded []T) {
	for key, document := range documents {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		value, err := decode(document.Body)
		faults.Add(key, err)
		if err == nil {
			decoded = append(decoded, value)
		}
	}
	return decoded
}
