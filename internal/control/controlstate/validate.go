package controlstate

import (
	"strings"

	"pebbleloom/internal/control/calendar"
	"pebbleloom/internal/control/retire"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// validateCalendarEntry checks a calendar entry against the others of its service.
func (s *shard) validateCalendarEntry(put *wire.Put) error {
	entry, err := calendar.Decode(put.Body)
	if err != nil {
		return err
	}
	var faults errs.Batch
	if entry.Validate(&faults); calendar.Key(entry.Service, entry.Name) != put.Key {
		faults.Addf(errs.BadInput, "entry %q of service %q doesn't belong under %s", entry.Name, entry.Service, put.Key)
	}
	if len(s.core.UnappliedEntries()) > 0 {
		return errs.New(errs.Overloaded, "another change is under way: ask again")
	}
	var others []*calendar.Entry
	for key, document := range s.state.documents {
		if strings.HasPrefix(key, "calendar/") {
			other, err := calendar.Decode(document.Body)
			if faults.Add(key, err); err == nil {
				others = append(others, other)
			}
		}
	}
	faults.Add("calendar", entry.CheckConflicts(others))
	if entry.Active() {
		for _, retirement := range s.retirements(&faults) {
			if retirement.Service == entry.Service && retirement.Active() && retirement.State != retire.StatePlanned {
				faults.Addf(errs.Conflict, "entry %q clashes with retirement %q (%s): both move service %s", entry.Name, retirement.Name, retirement.State, entry.Service)
			}
		}
	}
	return faults.Err()
}

func (s *shard) retirements(faults *errs.Batch) (retirements []*retire.Retirement) {
	for key, document := range s.state.documents {
		if strings.HasPrefix(key, "retire/") {
			retirement, err := retire.Read(document.Body)
			if faults.Add(key, err); err == nil {
				retirements = append(retirements, retirement)
			}
		}
	}
	return retirements
}

// validateRetirement checks a retirement against the others and the calendar of its service.
func (s *shard) validateRetirement(put *wire.Put) error {
	retirement, err := retire.Read(put.Body)
	if err != nil {
		return err
	}
	var faults errs.Batch
	if retirement.Validate(&faults); retire.Key(retirement.Service, retirement.Name) != put.Key {
		faults.Addf(errs.BadInput, "retirement %q of service %q doesn't belong under %s", retirement.Name, retirement.Service, put.Key)
	}
	if len(s.core.UnappliedEntries()) > 0 {
		return errs.New(errs.Overloaded, "another change is under way: ask again")
	}
	faults.Add("retirement", retirement.CheckConflicts(s.retirements(&faults)))
	if retirement.Active() && retirement.State != retire.StatePlanned {
		for key, document := range s.state.documents {
			if !strings.HasPrefix(key, "calendar/") {
				continue
			}
			if entry, err := calendar.Decode(document.Body); err == nil && entry.Active() && entry.Service == retirement.Service {
				faults.Addf(errs.Conflict, "retirement %q clashes with calendar entry %q (%s): both move service %s: let it end, cancel or undo it first", retirement.Name, entry.Name, entry.State, entry.Service)
			}
		}
	}
	return faults.Err()
}

// validateDocument checks a calendar entry or a retirement against the others; any other document passes.
func (s *shard) validateDocument(put *wire.Put) error {
	switch {
	case strings.HasPrefix(put.Key, "calendar/"):
		return s.validateCalendarEntry(put)
	case strings.HasPrefix(put.Key, "retire/"):
		return s.validateRetirement(put)
	}
	return nil
}
