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
	p := newShard(context.Background(), 0, &clock.Manual{}, hclog.NewNullLogger(), func(*wire.Message) {})
	loaded, err := p.load(newSimDisk(), func() *wire.Snapshot { return consensus.BootstrapSnapshot("core-1", nil) })
	if err != nil {
		t.Fatal(err)
	}
	cfg := consensus.Config{Self: "core-1", Members: []string{"core-1"}, HeartbeatTicks: 2, ElectionTicks: 12, MaxBatchBytes: 4096, Rand: rand.New(rand.NewPCG(1, 1))}
	p.core = consensus.New(cfg, loaded.Snapshot, loaded.Records)
	for range 3 * cfg.ElectionTicks {
		p.core.Tick()
		p.handleReady()
	}
	return p
}

// makeChange proposes a change of the configuration and waits for its outcome.
func (p *shard) makeChange(put *wire.Put, patch bool) *wire.ChangeResponse {
	pending, response := p.propose(&wire.ChangeRequest{Patch: patch, Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}}, nil)
	if p.handleReady(); response == nil {
		response = <-pending.response
	}
	return response
}

// A holder of the lease makes a calendar step's move and ends before it writes the step as done.
// Somebody else changes the configuration meanwhile. The next holder makes the move again, under the
// same token and on a later version: it is acknowledged as done, and changes nothing.
func TestAStepThatTheNextHolderMakesAgainIsDone(t *testing.T) {
	p := singleMemberShard(t)
	recorded := recordedConfiguration(t)
	if r := p.makeChange(&wire.Put{Key: controlclient.ConfigKey, Body: recorded}, false); r.Outcome != wire.OutcomeDone {
		t.Fatal(r)
	}
	entry := &calendar.Entry{Name: "spring", Service: "gisa", Kind: calendar.KindWeights, Model: "gisa", Weights: 5, State: calendar.StatePlanned}
	next := func(e *calendar.Entry) (*calendar.Entry, calendar.Action, uint64) { // each time a new holder's
		doc := p.state.documents[controlclient.ConfigKey]
		config, err := serviceconfig.Decode(doc.Body)
		if err != nil {
			t.Fatal(err)
		}
		e, move, _ := calendar.NewPlanner().Next(e, calendar.Observation{ConfigVersion: doc.Version, EntryVersion: 3, Config: config})
		return e, move, doc.Version
	}
	entry, _, _ = next(entry)
	entry, _, _ = next(entry)
	_, move, version := next(entry)
	if r := p.makeChange(&wire.Put{Key: controlclient.ConfigKey, Body: move.Patch, IfVersion: version, Token: move.Token}, true); r.Outcome != wire.OutcomeDone || r.Version != 2 {
		t.Fatal(r)
	}
	if r := p.makeChange(&wire.Put{Key: controlclient.ConfigKey, Body: []byte(`{"drains":{"cab-1":true}}`), IfVersion: 2}, true); r.Outcome != wire.OutcomeDone {
		t.Fatal(r)
	}
	_, again, version := next(entry)
	r := p.makeChange(&wire.Put{Key: controlclient.ConfigKey, Body: again.Patch, IfVersion: version, Token: again.Token}, true)
	if version != 3 || again.Token != move.Token || r.Outcome != wire.OutcomeDone || r.Version != 2 || r.TokenReuse == "" {
		t.Errorf("made again on version %d under %s: %v", version, again.Token, r)
	}
	if v := p.state.documents[controlclient.ConfigKey].Version; v != 3 {
		t.Errorf("version %d is in force", v)
	}
}

// recordedConfiguration is the one that a core machine of the first release left behind.
func recordedConfiguration(t *testing.T) []byte {
	t.Helper()
	p := openRecorded(t)
	for _, e := range p.core.UnappliedEntries() {
		p.applyEntry(e)
	}
	return p.state.documents[controlclient.ConfigKey].GetBody()
}
