package consensus

import (
	"math/rand/v2"
	"testing"

	"pebbleloom/internal/wire"
)

// A member that returns from a partition requests pre-votes. A member that has a leader rejects them, however
// up to date the sender's log is, and grants them once it has had no contact with the leader for an election
// timeout. A pre-vote request doesn't change the receiver's term.
func TestPreVoteIsRejectedWhileLeaderIsKnown(t *testing.T) {
	members := []string{"a/0", "b/0", "c/0"}
	cfg := Config{Self: "b/0", DynamicMembership: true, HeartbeatTicks: 3, ElectionTicks: 9, MaxBatchBytes: 1 << 10, Rand: rand.New(rand.NewPCG(1, 1))}
	core := New(cfg, BootstrapSnapshot("b/0", members), nil)
	request := &wire.Message{To: "b/0", From: "c/0", Incarnation: "c/0", Kind: wire.MessageKind_PRE_VOTE_REQUEST, Term: 9, Index: 99, LogTerm: 8}
	response := func() *wire.Message {
		core.Ready()
		core.Step(request)
		for _, message := range core.Ready().Messages {
			if message.Kind == wire.MessageKind_PRE_VOTE_RESPONSE {
				return message
			}
		}
		t.Fatal("member b/0 sent no response to a pre-vote request")
		return nil
	}
	heartbeat := &wire.Message{To: "b/0", From: "a/0", Incarnation: "a/0", Kind: wire.MessageKind_APPEND_REQUEST, Term: 3}
	core.Tick() // as the driver does, tick before the first message is delivered
	core.Step(heartbeat)
	for tick := range cfg.ElectionTicks {
		if response().Ok {
			t.Fatalf("a pre-vote was granted %d ticks after a heartbeat of the leader, want a rejection before the election timeout of %d ticks", tick, cfg.ElectionTicks)
		}
		core.Tick()
	}
	if !response().Ok {
		t.Error("a pre-vote was rejected although an election timeout has passed since the leader's last heartbeat")
	}
	if term := core.Status().Term; term != 3 {
		t.Errorf("a pre-vote request has changed the receiver's term to %d, want 3", term)
	}
}
