package controlstate

import (
	"strings"
	"testing"

	"pebbleloom/internal/control/calendar"
	"pebbleloom/internal/control/retire"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// A service's shard rejects a retirement that conflicts with another retirement of the same base model, or with a calendar
// entry of the service when it starts running. While a retirement runs, calendar entries of the service are rejected. The
// errors name the conflicting retirement or entry.
func TestConflictingRetirementsAreRejected(t *testing.T) {
	replica, err := openTestShard(t, newSimDisk())
	if err != nil {
		t.Fatalf("opening the shard: %v", err)
	}
	store := func(key string, body []byte, err error) {
		t.Helper()
		if err != nil {
			t.Fatalf("encoding document %s: %v", key, err)
		}
		replica.state.documents[key] = &wire.Document{Key: key, Body: body, Version: 1}
	}
	retirement := func(name string, state retire.State) *retire.Retirement {
		return &retire.Retirement{Name: name, Service: "s", OldBase: "a", NewBase: "b", State: state}
	}
	validate := func(retirement *retire.Retirement) error {
		b, err := retirement.Write()
		if err != nil {
			t.Fatalf("encoding retirement %s: %v", retirement.Name, err)
		}
		return replica.validateRetirement(&wire.Put{Key: retire.Key("s", retirement.Name), Body: b})
	}
	entry := &calendar.Entry{Name: "night", Service: "s", Kind: calendar.KindRelease, State: calendar.StatePlanned}
	if err := validate(retirement("spring", retire.StatePlanned)); err != nil {
		t.Errorf("retirement without a conflict: unexpected error %v", err)
	}
	b, err := retirement("spring", retire.StatePlanned).Write()
	store(retire.Key("s", "spring"), b, err)
	if err := validate(retirement("summer", retire.StatePlanned)); errs.KindOf(err) != errs.Conflict || !strings.Contains(err.Error(), `"spring"`) {
		t.Errorf("second retirement of the same base model: got error %v, want a conflict with \"spring\"", err)
	}
	if err := replica.validateRetirement(&wire.Put{Key: retire.Key("other", "spring"), Body: b}); errs.KindOf(err) != errs.BadInput {
		t.Errorf("retirement stored under the key of another service: got error %v, want kind %v", err, errs.BadInput.Name)
	}
	if err := replica.validateRetirement(&wire.Put{Key: retire.Key("s", "spring"), Body: []byte(`{"odd":1}`)}); errs.KindOf(err) != errs.BadInput {
		t.Errorf("undecodable retirement: got error %v, want kind %v", err, errs.BadInput.Name)
	}
	m, err := entry.Encode()
	store(calendar.Key("s", "night"), m, err)
	if err := validate(retirement("spring", retire.StateRunning)); errs.KindOf(err) != errs.Conflict || !strings.Contains(err.Error(), `"night"`) {
		t.Errorf("start of a retirement with a planned calendar entry: got error %v, want a conflict with \"night\"", err)
	}
	delete(replica.state.documents, calendar.Key("s", "night"))
	if err := validate(retirement("spring", retire.StateRunning)); err != nil {
		t.Errorf("start of a retirement without a calendar entry: unexpected error %v", err)
	}
	b, err = retirement("spring", retire.StateRunning).Write()
	store(retire.Key("s", "spring"), b, err)
	if err := replica.validateCalendarEntry(&wire.Put{Key: calendar.Key("s", "night"), Body: m}); errs.KindOf(err) != errs.Conflict || !strings.Contains(err.Error(), `"spring"`) {
		t.Errorf("calendar entry during a running retirement: got error %v, want a conflict with \"spring\"", err)
	}
}
