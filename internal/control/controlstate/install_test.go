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

// newTestMember returns a member of a group and its disk, whose snapshot contains a document at version 1.
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
		t.Fatalf("opening the group member: %v", replica.failure)
	}
	return replica, d
}

// snapshotMessage returns a message with a complete snapshot from the leader of a newer term.
func snapshotMessage(snapshot *wire.Snapshot) *wire.Message {
	return &wire.Message{From: "b", To: "a", Incarnation: "b", Kind: wire.MessageKind_SNAPSHOT_REQUEST, Term: 5, Snapshot: snapshot}
}

// A snapshot with undecodable state, or in the format of a later release, is never stored. The member fails, and after it
// reopens its disk it has its earlier state.
func TestUnreadableSnapshotIsNotStored(t *testing.T) {
	later, _ := (&state{}).save()
	for name, snapshot := range map[string]*wire.Snapshot{
		"undecodable state":         {Format: 1, Index: 9, Term: 5, State: []byte("\x12\xffnot a state"), Members: []string{"a", "b", "c"}},
		"format of a later release": {Format: 2, Index: 9, Term: 5, State: later, Members: []string{"a", "b", "c"}},
	} {
		replica, d := newTestMember(t)
		replica.core.Step(snapshotMessage(snapshot))
		if replica.handleReady(); replica.failure == nil {
			t.Errorf("snapshot with %s: member did not fail after receiving it", name)
		}
		_, recovered, err := storage.Open(d)
		if err != nil || recovered.Snapshot.Index != 0 {
			t.Errorf("snapshot with %s: disk holds a snapshot at index %d, error %v; want the one at index 0", name, recovered.Snapshot.GetIndex(), err)
		}
		replica.ticks = 0
		if replica.maintainGroup(); replica.failure != nil || replica.state.documents["k"].GetVersion() != 1 {
			t.Errorf("snapshot with %s: after reopening the disk: failure %v, document %v; want no failure and version 1", name, replica.failure, replica.state.documents["k"])
		}
	}
}

// If a snapshot of another leader covers the log index of a pending change, the change immediately gets an unknown
// outcome and is no longer pending.
func TestSnapshotCompletesTheChangesItSupersedes(t *testing.T) {
	replica, _ := newTestMember(t)
	superseded := pendingProposal{1, make(chan *wire.ChangeResponse, 1)}
	replica.pendingProposals[9] = superseded
	body, _ := newState().save()
	replica.core.Step(snapshotMessage(&wire.Snapshot{Format: 1, Index: 9, Term: 5, State: body, Members: []string{"a", "b", "c"}}))
	if replica.handleReady(); replica.failure != nil {
		t.Fatalf("member failed when installing a snapshot: %v", replica.failure)
	}
	select {
	case response := <-superseded.response:
		if response.Outcome != wire.OutcomeUnknown {
			t.Errorf("change superseded by a snapshot: got outcome %s, want %s", response.Outcome, wire.OutcomeUnknown)
		}
	default:
		t.Error("change superseded by a snapshot got no response")
	}
	if len(replica.pendingProposals) != 0 {
		t.Errorf("%d changes are pending after the snapshot superseded the only one, want 0", len(replica.pendingProposals))
	}
}

// A member acknowledges a snapshot only after the snapshot is stored on its disk.
func TestSnapshotIsStoredBeforeItIsAcknowledged(t *testing.T) {
	replica, d := newTestMember(t)
	acknowledged := 0
	replica.send = func(message *wire.Message) {
		if message.Kind != wire.MessageKind_APPEND_RESPONSE || !message.Ok {
			return
		}
		acknowledged++
		if _, recovered, err := storage.Open(d); err != nil || recovered.Snapshot.Index != message.Index {
			t.Errorf("member acknowledged the snapshot at index %d, but its disk holds the one at index %d, error %v", message.Index, recovered.Snapshot.GetIndex(), err)
		}
	}
	body, _ := newState().save()
	replica.core.Step(snapshotMessage(&wire.Snapshot{Format: 1, Index: 9, Term: 5, State: body, Members: []string{"a", "b", "c"}}))
	if replica.handleReady(); acknowledged != 1 || replica.failure != nil {
		t.Errorf("member sent %d acknowledgements of the snapshot, failure %v; want 1 and no failure", acknowledged, replica.failure)
	}
}

// testRand returns a random number generator with a fixed seed.
func testRand() *rand.Rand { return rand.New(rand.NewPCG(1, 10)) }
