package controlstate

import (
	"strings"

	"pebbleloom/internal/control/calendar"
	"pebbleloom/internal/control/retire"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// validateCalendarEntry checks a calendar entry against the others of its service.
func (p *shard) validateCalendarEntry(u *wire.Put) error {
	e, err := calendar.Decode(u.Body)
	if err != nil {
		return err
	}
	var b errs.Batch
	if e.Validate(&b); calendar.Key(e.Service, e.Name) != u.Key {
		b.Addf(errs.BadInput, "entry %q of service %q doesn't belong under %s", e.Name, e.Service, u.Key)
	}
	if len(p.core.UnappliedEntries()) > 0 {
		return errs.New(errs.Overloaded, "another change is under way: ask again")
	}
	var others []*calendar.Entry
	for k, d := range p.state.documents {
		if strings.HasPrefix(k, "calendar/") {
			o, err := calendar.Decode(d.Body)
			if b.Add(k, err); err == nil {
				others = append(others, o)
			}
		}
	}
	b.Add("calendar", e.CheckConflicts(others))
	if e.Active() {
		for _, r := range p.retirements(&b) {
			if r.Service == e.Service && r.Active() && r.State != retire.StatePlanned {
				b.Addf(errs.Conflict, "entry %q clashes with retirement %q (%s): both move service %s", e.Name, r.Name, r.State, e.Service)
			}
		}
	}
	return b.Err()
}

func (p *shard) retirements(b *errs.Batch) (l []*retire.Retirement) {
	for k, d := range p.state.documents {
		if strings.HasPrefix(k, "retire/") {
			r, err := retire.Read(d.Body)
			if b.Add(k, err); err == nil {
				l = append(l, r)
			}
		}
	}
	return l
}

// validateRetirement checks a retirement against the others and the calendar of its service.
func (p *shard) validateRetirement(u *wire.Put) error {
	r, err := retire.Read(u.Body)
	if err != nil {
		return err
	}
	var b errs.Batch
	if r.Validate(&b); retire.Key(r.Service, r.Name) != u.Key {
		b.Addf(errs.BadInput, "retirement %q of service %q doesn't belong under %s", r.Name, r.Service, u.Key)
	}
	if len(p.core.UnappliedEntries()) > 0 {
		return errs.New(errs.Overloaded, "another change is under way: ask again")
	}
	b.Add("retirement", r.CheckConflicts(p.retirements(&b)))
	if r.Active() && r.State != retire.StatePlanned {
		for k, d := range p.state.documents {
			if !strings.HasPrefix(k, "calendar/") {
				continue
			}
			if e, err := calendar.Decode(d.Body); err == nil && e.Active() && e.Service == r.Service {
				b.Addf(errs.Conflict, "retirement %q clashes with calendar entry %q (%s): both move service %s: let it end, cancel or undo it first", r.Name, e.Name, e.State, e.Service)
			}
		}
	}
	return b.Err()
}
