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

// singleMemberShard is a shard with one fixed member, which leads.
func singleMemberShard(t *testing.T) *shard {
	t.Helper()
	replica := newShard(context.Background(), 0, &clock.Manual{}, hclog.NewNullLogger(), func(*wire.Message) {})
	loaded, err := replica.load(newSimDisk(), func(bool) *wire.Snapshot { return consensus.BootstrapSnapshot("core-1", nil) })
	if err != nil {
		t.Fatal(err)
	}
	cfg := consensus.Config{Self: "core-1", Members: []string{"core-1"}, HeartbeatTicks: 2, ElectionTicks: 12, MaxBatchBytes: 4096, Rand: rand.New(rand.NewPCG(1, 1))}
	replica.core = consensus.New(cfg, loaded.Snapshot, loaded.Records)
	for range 3 * cfg.ElectionTicks {
		replica.core.Tick()
		replica.handleReady()
	}
	return replica
}

// makeChange proposes a change and returns its outcome.
func makeChange(s *shard, put *wire.Put, patch bool) *wire.ChangeResponse {
	request := putRequest(put)
	request.Patch = patch
	pending, response := s.propose(request, nil)
	if s.handleReady(); response == nil {
		response = <-pending.response
	}
	return response
}

// A lease holder makes the change of a calendar step, and ends before it records the step as done. Another
// client changes the configuration meanwhile. The next holder makes the change again, under the same token
// and on a later version: it is acknowledged, and changes nothing.
func TestRepeatedCalendarStepIsAcknowledged(t *testing.T) {
	replica := singleMemberShard(t)
	recorded := recordedConfiguration(t)
	if response := makeChange(replica, &wire.Put{Key: controlclient.ConfigKey, Body: recorded}, false); response.Outcome != wire.OutcomeDone {
		t.Fatal(response)
	}
	entry := &calendar.Entry{Name: "spring", Service: "gisa", Kind: calendar.KindWeights, Model: "gisa", Weights: 5, State: calendar.StatePlanned}
	next := func(entry *calendar.Entry) (*calendar.Entry, calendar.Action, uint64) { // each call is that of a new holder
		document := replica.state.documents[controlclient.ConfigKey]
		config, err := serviceconfig.Decode(document.Body)
		if err != nil {
			t.Fatal(err)
		}
		entry, move, _ := calendar.NewPlanner().Next(entry, calendar.Observation{ConfigVersion: document.Version, EntryVersion: 3, Config: config})
		return entry, move, document.Version
	}
	entry, _, _ = next(entry)
	entry, _, _ = next(entry)
	_, move, version := next(entry)
	if response := makeChange(replica, &wire.Put{Key: controlclient.ConfigKey, Body: move.Patch, IfVersion: version, Token: move.Token}, true); response.Outcome != wire.OutcomeDone || response.Version != 2 {
		t.Fatal(response)
	}
	if response := makeChange(replica, &wire.Put{Key: controlclient.ConfigKey, Body: []byte(`{"drains":{"cab-1":true}}`), IfVersion: 2}, true); response.Outcome != wire.OutcomeDone {
		t.Fatal(response)
	}
	_, again, version := next(entry)
	response := makeChange(replica, &wire.Put{Key: controlclient.ConfigKey, Body: again.Patch, IfVersion: version, Token: again.Token}, true)
	if version != 3 || again.Token != move.Token || response.Outcome != wire.OutcomeDone || response.Version != 2 || response.TokenReuse == "" {
		t.Errorf("made again on version %d under %s: %v", version, again.Token, response)
	}
	if version := replica.state.documents[controlclient.ConfigKey].Version; version != 3 {
		t.Errorf("version %d is in force", version)
	}
}

// recordedConfiguration is the one that a core machine of the first release left behind.
func recordedConfiguration(t *testing.T) []byte {
	t.Helper()
	replica := openRecorded(t)
	for _, entry := range replica.core.UnappliedEntries() {
		replica.applyEntry(entry)
	}
	return replica.state.documents[controlclient.ConfigKey].GetBody()
}
