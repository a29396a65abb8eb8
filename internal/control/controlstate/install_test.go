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

// newTestMember is a member of a group whose snapshot holds a document at version 1.
func newTestMember(t *testing.T) (*shard, *simDisk) {
	t.Helper()
	d := newSimDisk()
	replica := newShard(context.Background(), 0, &clock.Manual{}, hclog.NewNullLogger(), func(*wire.Message) {})
	first := consensus.BootstrapSnapshot("a", []string{"a", "b", "c"})
	s := newState()
	s.applyPut(&wire.Put{Key: "k", Body: []byte("one"), AnyVersion: true})
	first.State, _ = s.save()
	config := newTestGroup(d, testRand(), func(bool) *wire.Snapshot { return first })
	config.reopenTicks = 1
	openGroupShard(replica, config)
	if replica.failure != nil {
		t.Fatal(replica.failure)
	}
	return replica, d
}

// snapshotMessage is a message of a newer leader that carries a complete snapshot.
func snapshotMessage(snapshot *wire.Snapshot) *wire.Message {
	return &wire.Message{From: "b", To: "a", Incarnation: "b", Kind: wire.MessageKind_SNAPSHOT_REQUEST, Term: 5, Snapshot: snapshot}
}

// A snapshot whose state can't be read, or that a later release wrote, is never stored: the member fails,
// and opens its disk with what it held before.
func TestUnreadableSnapshotIsNotStored(t *testing.T) {
	later, _ := (&state{}).save()
	for what, snapshot := range map[string]*wire.Snapshot{
		"torn state":         {Format: 1, Index: 9, Term: 5, State: []byte("\x12\xffnot a state"), Members: []string{"a", "b", "c"}},
		"of a later release": {Format: 2, Index: 9, Term: 5, State: later, Members: []string{"a", "b", "c"}},
	} {
		replica, d := newTestMember(t)
		replica.core.Step(snapshotMessage(snapshot))
		if replica.handleReady(); replica.failure == nil {
			t.Errorf("%s: the member doesn't fail", what)
		}
		_, recovered, err := storage.Open(d)
		if err != nil || recovered.Snapshot.Index != 0 {
			t.Errorf("%s: the disk holds snapshot %d, %v", what, recovered.Snapshot.GetIndex(), err)
		}
		replica.ticks = 0
		if replica.maintainGroup(); replica.failure != nil || replica.state.documents["k"].GetVersion() != 1 {
			t.Errorf("%s: opened again: %v, %v", what, replica.failure, replica.state.documents["k"])
		}
	}
}

// A change that is pending when a snapshot of another leader supersedes its entry gets an unknown outcome at
// once, and isn't pending any more.
func TestSnapshotCompletesTheChangesItSupersedes(t *testing.T) {
	replica, _ := newTestMember(t)
	passed := pendingProposal{1, make(chan *wire.ChangeResponse, 1)}
	replica.pendingProposals[9] = passed
	body, _ := newState().save()
	replica.core.Step(snapshotMessage(&wire.Snapshot{Format: 1, Index: 9, Term: 5, State: body, Members: []string{"a", "b", "c"}}))
	if replica.handleReady(); replica.failure != nil {
		t.Fatal(replica.failure)
	}
	select {
	case response := <-passed.response:
		if response.Outcome != wire.OutcomeUnknown {
			t.Errorf("the change that was passed is %s", response.Outcome)
		}
	default:
		t.Error("the change that was passed isn't answered")
	}
	if len(replica.pendingProposals) != 0 {
		t.Errorf("%d changes are pending", len(replica.pendingProposals))
	}
}

// A member acknowledges a snapshot only when its disk holds it.
func TestSnapshotIsStoredBeforeItIsAcknowledged(t *testing.T) {
	replica, d := newTestMember(t)
	acknowledged := 0
	replica.send = func(message *wire.Message) {
		if message.Kind != wire.MessageKind_APPEND_RESPONSE || !message.Ok {
			return
		}
		acknowledged++
		if _, recovered, err := storage.Open(d); err != nil || recovered.Snapshot.Index != message.Index {
			t.Errorf("snapshot %d is acknowledged, the disk holds %d, %v", message.Index, recovered.Snapshot.GetIndex(), err)
		}
	}
	body, _ := newState().save()
	replica.core.Step(snapshotMessage(&wire.Snapshot{Format: 1, Index: 9, Term: 5, State: body, Members: []string{"a", "b", "c"}}))
	if replica.handleReady(); acknowledged != 1 || replica.failure != nil {
		t.Errorf("%d acknowledgements, %v", acknowledged, replica.failure)
	}
}

func testRand() *rand.Rand { return rand.New(rand.NewPCG(1, 10)) }
