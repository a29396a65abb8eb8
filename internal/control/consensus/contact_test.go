package consensus

import (
	"math/rand/v2"
	"testing"

	"pebbleloom/internal/wire"
)

// newElectedLeader returns the leader of a group of three that has just been elected by b.
func newElectedLeader(t *testing.T) *Core {
	t.Helper()
	members := []string{"a/0", "b/0", "c/0"}
	cfg := Config{Self: "a/0", DynamicMembership: true, HeartbeatTicks: 3, ElectionTicks: 9, MaxBatchBytes: 1 << 20, Rand: rand.New(rand.NewPCG(1, 1))}
	c := New(cfg, BootstrapSnapshot("a/0", members), nil)
	c.campaign(candidate)
	c.Step(&wire.Message{To: "a/0", From: "b/0", Incarnation: "b/0", DiskState: wire.DiskState_DISK_FOUNDED, Kind: wire.MessageKind_VOTE_RESPONSE, Ok: true, Term: 1, AboutIncarnation: "a/0"})
	c.Ready()
	if !c.Status().IsLeader {
		t.Fatal("a isn't the leader")
	}
	return c
}

// nextAppendTo ticks the leader until it sends a peer an append request, and returns that.
func nextAppendTo(t *testing.T, c *Core, peer string) *wire.Message {
	t.Helper()
	for range c.cfg.HeartbeatTicks {
		c.Tick()
		for _, message := range c.Ready().Messages {
			if message.To == peer && message.Kind == wire.MessageKind_APPEND_REQUEST {
				return message
			}
		}
	}
	t.Fatalf("no request to %s", peer)
	return nil
}

// appendResponseTo returns the response of a peer whose log matches.
func appendResponseTo(request *wire.Message) *wire.Message {
	return &wire.Message{To: request.From, From: request.To, Incarnation: request.To, DiskState: wire.DiskState_DISK_FOUNDED, Kind: wire.MessageKind_APPEND_RESPONSE,
		Ok: true, Term: request.Term, Index: request.Index, AboutIncarnation: request.Incarnation, SentTick: request.SentTick, AcceptsChunks: true}
}

func contactAgeOf(t *testing.T, c *Core, peer string) int {
	t.Helper()
	for _, status := range c.PeerStatuses() {
		if status.Name == peer {
			return status.ContactAge
		}
	}
	t.Fatalf("no status of %s", peer)
	return 0
}

// A late response proves that its peer was up when the request was sent, and no more: the contact age is
// that of the request, and the leader steps down as if nothing had come since.
func TestContactAgeOfLateResponseIsThatOfItsRequest(t *testing.T) {
	for late := range 18 {
		core := newElectedLeader(t)
		request := nextAppendTo(t, core, "c/0")
		sent := core.ticks
		for range late {
			core.Tick()
			core.Ready()
		}
		if !core.Status().IsLeader {
			continue // it has had no contact with a quorum for too long
		}
		core.Step(appendResponseTo(request))
		if got := contactAgeOf(t, core, "c/0"); got != late {
			t.Errorf("a response %d ticks after its request: the contact age is %d", late, got)
		}
		for core.Status().IsLeader && core.ticks < 100 {
			core.Tick()
			core.Ready()
		}
		if led := core.ticks - sent; led > 2*core.cfg.ElectionTicks {
			t.Errorf("a response %d ticks late: the leader led for %d ticks after that request, want at most %d", late, led, 2*core.cfg.ElectionTicks)
		}
	}
}

// A response that doesn't echo the tick of its request, or a tick in the future, counts as a contact of the
// moment when it arrives.
func TestResponseWithoutSentTickCountsAsFresh(t *testing.T) {
	for _, tick := range []uint64{0, 1 << 40} {
		c := newElectedLeader(t)
		request := nextAppendTo(t, c, "c/0")
		for range 5 {
			c.Tick()
			c.Ready()
		}
		response := appendResponseTo(request)
		response.SentTick = tick
		c.Step(response)
		if got := contactAgeOf(t, c, "c/0"); got != 0 {
			t.Errorf("tick %d: the contact age is %d", tick, got)
		}
	}
}
