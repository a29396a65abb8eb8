package consensus

import (
	"math/rand/v2"
	"testing"

	"pebbleloom/internal/wire"
)

// newElectedLeader returns the core of member a/0, just elected as the leader of a group of three by the vote of b/0.
func newElectedLeader(t *testing.T) *Core {
	t.Helper()
	members := []string{"a/0", "b/0", "c/0"}
	cfg := Config{Self: "a/0", DynamicMembership: true, HeartbeatTicks: 3, ElectionTicks: 9, MaxBatchBytes: 1 << 20, Rand: rand.New(rand.NewPCG(1, 1))}
	c := New(cfg, BootstrapSnapshot("a/0", members), nil)
	c.campaign(candidate)
	c.Step(&wire.Message{To: "a/0", From: "b/0", Incarnation: "b/0", DiskState: wire.DiskState_DISK_FOUNDED, Kind: wire.MessageKind_VOTE_RESPONSE, Ok: true, Term: 1, AboutIncarnation: "a/0"})
	c.Ready()
	if !c.Status().IsLeader {
		t.Fatal("member a/0 of three isn't the leader after it received the vote of b/0")
	}
	return c
}

// nextAppendTo ticks the leader until it sends an append request to a peer, and returns the request. It fails the test
// if the leader sends none within a heartbeat interval.
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
	t.Fatalf("the leader sent no append request to %s within a heartbeat interval", peer)
	return nil
}

// appendResponseTo returns the response to an append request by a peer whose log matches.
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
	t.Fatalf("PeerStatuses of the leader has no entry for peer %s", peer)
	return 0
}

// A late response proves only that its peer was up when the request was sent. So the contact age is the age of
// that request, and the leader steps down as early as without any later response.
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
			continue // the leader has already stepped down, after two election timeouts without contact to a quorum
		}
		core.Step(appendResponseTo(request))
		if got := contactAgeOf(t, core, "c/0"); got != late {
			t.Errorf("a response arrived %[1]d ticks after its request: the contact age of the peer, the age of its newest answered request, is %[2]d ticks, want %[1]d", late, got)
		}
		for core.Status().IsLeader && core.ticks < 100 {
			core.Tick()
			core.Ready()
		}
		if led := core.ticks - sent; led > 2*core.cfg.ElectionTicks {
			t.Errorf("a response arrived %d ticks after its request: the leader stepped down %d ticks after the request, want at most %d", late, led, 2*core.cfg.ElectionTicks)
		}
	}
}

// A response that echoes no tick, or one later than the leader's current tick, counts as a contact at the time when it
// arrives.
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
			t.Errorf("a response with the invalid send tick %d (0 or later than the current tick, %d) has just arrived: the contact age of the peer is %d ticks, want 0, as if the request had been sent in the current tick", tick, c.ticks, got)
		}
	}
}
