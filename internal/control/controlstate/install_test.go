package controlstate

import (
	"context"
	"math/rand/v2"
	"testing"

	"github.com/hashicorp/go-hclog"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/storage"
	"pebbleloom/internal/wire"
)

// newTestMember is a group's member that holds a document under version 1 in its snapshot.
func newTestMember(t *testing.T) (*shard, *simDisk) {
	t.Helper()
	d := newSimDisk()
	p := newShard(context.Background(), 0, &clock.Manual{}, hclog.NewNullLogger(), func(*wire.Message) {})
	first := consensus.BootstrapSnapshot("a", []string{"a", "b", "c"})
	s := newState()
	s.applyPut(&wire.Put{Key: "k", Body: []byte("one"), AnyVersion: true})
	first.State, _ = s.save()
	openGroup(p, &group{codec: versionCodec{}, disk: d, targetSize: 3, reopenTicks: 1, zoneOf: func(string) string { return "" },
		consensusConfig: consensus.Config{HeartbeatTicks: heartbeatTicks, ElectionTicks: electionTicks, MaxBatchBytes: 4096, Rand: testRand()},
		initialSnapshot: func() *wire.Snapshot { return first }})
	if p.failure != nil {
		t.Fatal(p.failure)
	}
	return p, d
}

func snapshotMessage(s *wire.Snapshot) *wire.Message {
	return &wire.Message{From: "b", To: "a", Incarnation: "b", Kind: wire.MessageKind_SNAPSHOT_REQUEST, Term: 5, Snapshot: s}
}

// A snapshot whose state can't be read, or that a later release wrote, is never stored in place of
// what is held: the member is out, and its disk opens with what it held before.
func TestSnapshotThatCannotBeReadIsNotStored(t *testing.T) {
	later, _ := (&state{}).save()
	for what, s := range map[string]*wire.Snapshot{
		"torn state":         {Format: 1, Index: 9, Term: 5, State: []byte("\x12\xffnot a state"), Members: []string{"a", "b", "c"}},
		"of a later release": {Format: 2, Index: 9, Term: 5, State: later, Members: []string{"a", "b", "c"}},
	} {
		p, d := newTestMember(t)
		p.core.Step(snapshotMessage(s))
		if p.handleReady(); p.failure == nil {
			t.Errorf("%s: the member goes on", what)
		}
		_, l, err := storage.Open(d)
		if err != nil || l.Snapshot.Index != 0 {
			t.Errorf("%s: the disk holds snapshot %d, %v", what, l.Snapshot.GetIndex(), err)
		}
		p.ticks = 0
		if p.tickGroup(); p.failure != nil || p.state.documents["k"].GetVersion() != 1 {
			t.Errorf("%s: opened again: %v, %v", what, p.failure, p.state.documents["k"])
		}
	}
}

// A change that was under way when a snapshot of another leader passed it gets an unknown outcome at
// once, and its place among the pending changes is free again.
func TestSnapshotAnswersTheChangesItPasses(t *testing.T) {
	p, _ := newTestMember(t)
	passed := pendingProposal{1, make(chan *wire.ChangeResponse, 1)}
	p.pendingProposals[9] = passed
	body, _ := newState().save()
	p.core.Step(snapshotMessage(&wire.Snapshot{Format: 1, Index: 9, Term: 5, State: body, Members: []string{"a", "b", "c"}}))
	if p.handleReady(); p.failure != nil {
		t.Fatal(p.failure)
	}
	select {
	case r := <-passed.response:
		if r.Outcome != wire.OutcomeUnknown {
			t.Errorf("the change that was passed is %s", r.Outcome)
		}
	default:
		t.Error("the change that was passed isn't answered")
	}
	if len(p.pendingProposals) != 0 {
		t.Errorf("%d changes are pending", len(p.pendingProposals))
	}
}

// When a member says that it holds a snapshot, its disk does.
func TestSnapshotIsStoredBeforeItIsAcknowledged(t *testing.T) {
	p, d := newTestMember(t)
	acknowledged := 0
	p.send = func(m *wire.Message) {
		if m.Kind != wire.MessageKind_APPEND_RESPONSE || !m.Ok {
			return
		}
		acknowledged++
		if _, l, err := storage.Open(d); err != nil || l.Snapshot.Index != m.Index {
			t.Errorf("snapshot %d is acknowledged, the disk holds %d, %v", m.Index, l.Snapshot.GetIndex(), err)
		}
	}
	body, _ := newState().save()
	p.core.Step(snapshotMessage(&wire.Snapshot{Format: 1, Index: 9, Term: 5, State: body, Members: []string{"a", "b", "c"}}))
	if p.handleReady(); acknowledged != 1 || p.failure != nil {
		t.Errorf("%d acknowledgements, %v", acknowledged, p.failure)
	}
}

func testRand() *rand.Rand { return rand.New(rand.NewPCG(1, 10)) }
