package consensus

import (
	"math/rand/v2"
	"testing"

	"pebbleloom/internal/wire"
)

// A member that comes back from a cut asks whether it could win: who hears a leader says no, however
// long the asker's log is, and says yes once it has heard none for an election span. The leader itself
// says no. Asking changes no term.
func TestPreVoteIsRejectedWhileLeaderIsKnown(t *testing.T) {
	members := []string{"a/0", "b/0", "c/0"}
	cfg := Config{Self: "b/0", DynamicMembership: true, HeartbeatTicks: 3, ElectionTicks: 9, MaxBatchBytes: 1 << 10, Rand: rand.New(rand.NewPCG(1, 1))}
	core := New(cfg, BootstrapSnapshot("b/0", members), nil)
	ask := &wire.Message{To: "b/0", From: "c/0", Incarnation: "c/0", Kind: wire.MessageKind_PRE_VOTE_REQUEST, Term: 9, Index: 99, LogTerm: 8}
	answer := func() *wire.Message {
		core.Ready()
		core.Step(ask)
		for _, message := range core.Ready().Messages {
			if message.Kind == wire.MessageKind_PRE_VOTE_RESPONSE {
				return message
			}
		}
		t.Fatal("no answer to a pre-vote request")
		return nil
	}
	heartbeat := &wire.Message{To: "b/0", From: "a/0", Incarnation: "a/0", Kind: wire.MessageKind_APPEND_REQUEST, Term: 3}
	core.Tick() // the driver's first step, before any message
	core.Step(heartbeat)
	for tick := range cfg.ElectionTicks {
		if answer().Ok {
			t.Fatalf("it says yes %d ticks after a heartbeat", tick)
		}
		core.Tick()
	}
	if !answer().Ok {
		t.Error("it says no though it has heard no leader for an election span")
	}
	if term := core.Status().Term; term != 3 {
		t.Errorf("it was asked, and is in term %d", term)
	}
}
