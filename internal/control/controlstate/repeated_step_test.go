package controlstate

import (
	"context"
	"math/rand/v2"
	"testing"

	"github.com/hashicorp/go-hclog"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/calendar"
	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/wire"
)

// singleMemberShard returns a shard whose only, fixed member has become the leader.
func singleMemberShard(t *testing.T) *shard {
	t.Helper()
	replica := newShard(context.Background(), 0, &clock.Manual{}, hclog.NewNullLogger(), func(*wire.Message) {})
	loaded, err := replica.load(newSimDisk(), func(bool) *wire.Snapshot { return consensus.BootstrapSnapshot("core-1", nil) })
	if err != nil {
		t.Fatalf("loading the shard from an empty disk: %v", err)
	}
	cfg := consensus.Config{Self: "core-1", Members: []string{"core-1"}, HeartbeatTicks: 2, ElectionTicks: 12, MaxBatchBytes: 4096, Rand: rand.New(rand.NewPCG(1, 1))}
	replica.core = consensus.New(cfg, loaded.Snapshot, loaded.Records)
	for range 3 * cfg.ElectionTicks {
		replica.core.Tick()
		replica.handleReady()
	}
	return replica
}

// makeChange proposes a change and returns the response.
func makeChange(s *shard, put *wire.Put, patch bool) *wire.ChangeResponse {
	request := putRequest(put)
	request.Patch = patch
	pending, response := s.propose(request, nil)
	if s.handleReady(); response == nil {
		response = <-pending.response
	}
	return response
}

// A calendar planner makes the change of a step and stops before it records the step as done; then another client changes
// the configuration. The planner of the next lease holder sends the change again under the same token, based on the later
// version. The change must be acknowledged without being applied a second time.
func TestRepeatedCalendarStepIsAcknowledged(t *testing.T) {
	replica := singleMemberShard(t)
	recorded := recordedConfiguration(t)
	if response := makeChange(replica, &wire.Put{Key: controlclient.ConfigKey, Body: recorded}, false); response.Outcome != wire.OutcomeDone {
		t.Fatalf("storing the configuration from the data directory of the first release: got %v, want outcome %s", response, wire.OutcomeDone)
	}
	entry := &calendar.Entry{Name: "spring", Service: "gisa", Kind: calendar.KindWeights, Model: "gisa", Weights: 5, State: calendar.StatePlanned}
	next := func(entry *calendar.Entry) (*calendar.Entry, calendar.Action, uint64) { // each call creates a new calendar planner, as a new lease holder would
		document := replica.state.documents[controlclient.ConfigKey]
		config, err := serviceconfig.Decode(document.Body)
		if err != nil {
			t.Fatalf("decoding configuration version %d: %v", document.Version, err)
		}
		entry, step, _ := calendar.NewPlanner().Next(entry, calendar.Observation{ConfigVersion: document.Version, EntryVersion: 3, Config: config})
		return entry, step, document.Version
	}
	entry, _, _ = next(entry)
	entry, _, _ = next(entry)
	_, step, version := next(entry)
	if response := makeChange(replica, &wire.Put{Key: controlclient.ConfigKey, Body: step.Patch, IfVersion: version, Token: step.Token}, true); response.Outcome != wire.OutcomeDone || response.Version != 2 {
		t.Fatalf("change of the calendar step: got %v, want outcome %s at version 2", response, wire.OutcomeDone)
	}
	if response := makeChange(replica, &wire.Put{Key: controlclient.ConfigKey, Body: []byte(`{"drains":{"cab-1":true}}`), IfVersion: 2}, true); response.Outcome != wire.OutcomeDone {
		t.Fatalf("change by another client: got %v, want outcome %s", response, wire.OutcomeDone)
	}
	_, repeated, version := next(entry)
	response := makeChange(replica, &wire.Put{Key: controlclient.ConfigKey, Body: repeated.Patch, IfVersion: version, Token: repeated.Token}, true)
	if version != 3 || repeated.Token != step.Token || response.Outcome != wire.OutcomeDone || response.Version != 2 || response.TokenReuse == "" {
		t.Errorf("repeated change with base version %d and token %s: got %v, want version 2 acknowledged again for base version 3 and token %s", version, repeated.Token, response, step.Token)
	}
	if version := replica.state.documents[controlclient.ConfigKey].Version; version != 3 {
		t.Errorf("configuration has version %d after the repeated change, want 3", version)
	}
}

// recordedConfiguration returns the configuration on the recorded disk of a control machine of the first release.
func recordedConfiguration(t *testing.T) []byte {
	t.Helper()
	replica := openFirstReleaseShard(t)
	for _, entry := range replica.core.UnappliedEntries() {
		replica.applyEntry(entry)
	}
	return replica.state.documents[controlclient.ConfigKey].GetBody()
}
