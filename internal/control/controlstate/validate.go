package controlstate

import (
	"strings"

	"pebbleloom/internal/control/calendar"
	"pebbleloom/internal/control/retire"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// Prefixes of the keys of documents that are validated against each other, as calendar.Key and
// retire.Key make them.
const (
	calendarPrefix   = "calendar/"
	retirementPrefix = "retire/"
)

// validateDocument validates a calendar entry or a retirement against the others. Any other document is
// accepted. It returns errs.BadInput for an invalid document, errs.Conflict for a valid one that
// conflicts with others, and errs.Overloaded while another change is in flight that it may conflict
// with.
func (s *shard) validateDocument(put *wire.Put) error {
	switch {
	case strings.HasPrefix(put.Key, calendarPrefix):
		return s.validateCalendarEntry(put)
	case strings.HasPrefix(put.Key, retirementPrefix):
		return s.validateRetirement(put)
	}
	return nil
}

// validateCalendarEntry validates a calendar entry against the others of its service, and against the
// retirements that move the same service.
func (s *shard) validateCalendarEntry(put *wire.Put) error {
	entry, err := calendar.Decode(put.Body)
	if err != nil {
		return err
	}
	var faults errs.Batch
	entry.Validate(&faults)
	if calendar.Key(entry.Service, entry.Name) != put.Key {
		faults.Addf(errs.BadInput, "entry %q of service %q doesn't belong under %s", entry.Name, entry.Service, put.Key)
	}
	if err := s.checkNothingInFlight(); err != nil {
		return err
	}
	others := decodeDocuments(s.state.documents, calendarPrefix, calendar.Decode, &faults)
	faults.Add("calendar", entry.CheckConflicts(others))
	if entry.Active() {
		for _, retirement := range s.retirements(&faults) {
			if retirement.Service == entry.Service && isMovingService(retirement) {
				faults.Addf(errs.Conflict, "entry %q clashes with retirement %q (%s): both move service %s", entry.Name, retirement.Name, retirement.State, entry.Service)
			}
		}
	}
	return faults.Err()
}

// validateRetirement validates a retirement against the others, and against the calendar entries that
// move the same service.
func (s *shard) validateRetirement(put *wire.Put) error {
	retirement, err := retire.Read(put.Body)
	if err != nil {
		return err
	}
	var faults errs.Batch
	retirement.Validate(&faults)
	if retire.Key(retirement.Service, retirement.Name) != put.Key {
		faults.Addf(errs.BadInput, "retirement %q of service %q doesn't belong under %s", retirement.Name, retirement.Service, put.Key)
	}
	if err := s.checkNothingInFlight(); err != nil {
		return err
	}
	faults.Add("retirement", retirement.CheckConflicts(s.retirements(&faults)))
	if isMovingService(retirement) {
		var unreadable errs.Batch // entries that can't be read don't concern this retirement
		for _, entry := range decodeDocuments(s.state.documents, calendarPrefix, calendar.Decode, &unreadable) {
			if entry.Active() && entry.Service == retirement.Service {
				faults.Addf(errs.Conflict, "retirement %q clashes with calendar entry %q (%s): both move service %s: let it end, cancel or undo it first", retirement.Name, entry.Name, entry.State, entry.Service)
			}
		}
	}
	return faults.Err()
}

// isMovingService reports whether a retirement has begun to move its service and hasn't ended.
func isMovingService(retirement *retire.Retirement) bool {
	return retirement.Active() && retirement.State != retire.StatePlanned
}

func (s *shard) checkNothingInFlight() error {
	if len(s.core.UnappliedEntries()) > 0 {
		return errs.New(errs.Overloaded, "another change is under way: ask again")
	}
	return nil
}

func (s *shard) retirements(faults *errs.Batch) []*retire.Retirement {
	return decodeDocuments(s.state.documents, retirementPrefix, retire.Read, faults)
}

// decodeDocuments decodes the documents whose keys begin with a prefix. Those that can't be decoded are
// left out and added to the faults, by their keys.
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
