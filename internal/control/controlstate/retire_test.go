package controlstate

import (
	"strings"
	"testing"

	"pebbleloom/internal/control/calendar"
	"pebbleloom/internal/control/retire"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// A service's shard accepts a retirement unless it conflicts with another one of the base model, or with a
// calendar entry that moves the service; and no calendar entry once the retirement runs. Errors name what
// it conflicts with.
func TestConflictingRetirementsAreRejected(t *testing.T) {
	replica, err := openTestShard(t, newSimDisk())
	if err != nil {
		t.Fatal(err)
	}
	store := func(key string, body []byte, err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		replica.state.documents[key] = &wire.Document{Key: key, Body: body, Version: 1}
	}
	ret := func(name string, state retire.State) *retire.Retirement {
		return &retire.Retirement{Name: name, Service: "s", OldBase: "a", NewBase: "b", State: state}
	}
	validate := func(retirement *retire.Retirement) error {
		b, err := retirement.Write()
		if err != nil {
			t.Fatal(err)
		}
		return replica.validateRetirement(&wire.Put{Key: retire.Key("s", retirement.Name), Body: b})
	}
	move := &calendar.Entry{Name: "night", Service: "s", Kind: calendar.KindRelease, State: calendar.StatePlanned}
	if err := validate(ret("spring", retire.StatePlanned)); err != nil {
		t.Errorf("alone: %v", err)
	}
	b, err := ret("spring", retire.StatePlanned).Write()
	store(retire.Key("s", "spring"), b, err)
	if err := validate(ret("summer", retire.StatePlanned)); errs.KindOf(err) != errs.Conflict || !strings.Contains(err.Error(), `"spring"`) {
		t.Errorf("two of one base: %v", err)
	}
	if err := replica.validateRetirement(&wire.Put{Key: retire.Key("other", "spring"), Body: b}); errs.KindOf(err) != errs.BadInput {
		t.Errorf("under another key: %v", err)
	}
	if err := replica.validateRetirement(&wire.Put{Key: retire.Key("s", "spring"), Body: []byte(`{"odd":1}`)}); errs.KindOf(err) != errs.BadInput {
		t.Errorf("what can't be read: %v", err)
	}
	m, err := move.Encode()
	store(calendar.Key("s", "night"), m, err)
	if err := validate(ret("spring", retire.StateRunning)); errs.KindOf(err) != errs.Conflict || !strings.Contains(err.Error(), `"night"`) {
		t.Errorf("begun beside a planned move: %v", err)
	}
	delete(replica.state.documents, calendar.Key("s", "night"))
	if err := validate(ret("spring", retire.StateRunning)); err != nil {
		t.Errorf("begun: %v", err)
	}
	b, err = ret("spring", retire.StateRunning).Write()
	store(retire.Key("s", "spring"), b, err)
	if err := replica.validateCalendarEntry(&wire.Put{Key: calendar.Key("s", "night"), Body: m}); errs.KindOf(err) != errs.Conflict || !strings.Contains(err.Error(), `"spring"`) {
		t.Errorf("a move beside one that runs: %v", err)
	}
}
