package controlstate

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/wire"
)

// cutOffMember founds a group of three and cuts one off: the leader, or a follower.
func cutOffMember(t *testing.T, leader bool) *cutWorld {
	w := newCutWorld(t, cutRow{leader: leader, direction: "both"})
	for i := range 3 {
		w.start(i+1, true)
	}
	w.until("a leader", 5*time.Second, func() bool { return len(w.members()) == 3 })
	w.chooseVictim(3)
	if err := w.order(w.victim, 0, body(1, "before")); err != nil {
		t.Fatal(err)
	}
	clock.Sleep(context.Background(), time.Second)
	w.cutOff()
	return w
}

// healed ends the cut, so that nothing is under way when the machines stop.
func (w *cutWorld) healed() {
	w.net.set(func(cut map[[2]string]bool) { clear(cut) })
	w.down()
}

// A leader that was cut off doesn't refuse by what it has applied: it can't say, and says so.
func TestACutOffLeaderRefusesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := cutOffMember(t, true)
		defer w.healed()
		for what, a := range map[string]*wire.ChangeRequest{
			"another version": {Command: &wire.Command{Kind: &wire.Command_Put{Put: &wire.Put{Key: fleet.WeightsKey, Body: []byte("{}"), IfVersion: 7}}}},
			"a dry run":       {DryRun: true, Command: &wire.Command{Kind: &wire.Command_Put{Put: &wire.Put{Key: fleet.WeightsKey, Body: []byte("{}")}}}},
			"a plan":          {Command: &wire.Command{Kind: &wire.Command_Put{Put: &wire.Put{Key: routingconfig.Key, Body: body(9, "x"), IfVersion: 8}}}},
		} {
			begun := time.Now()
			r, _ := w.node(w.victim).Change(context.Background(), a)
			if d := time.Since(begun); r.Outcome != wire.OutcomeOverloaded && r.Outcome != wire.OutcomeNotLeader || d > answerWithin {
				t.Errorf("%s: %v after %v", what, r, d)
			}
		}
	})
}

// Those whose change waits for its commit are let go when the leader stops leading, however long
// they would wait; nothing of them stays behind.
func TestWhoWaitsIsLetGoAtTheStepDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := cutOffMember(t, true)
		defer w.healed()
		p, begun := w.node(w.victim).shards[0], time.Now()
		ctx, end := context.WithTimeout(context.Background(), cutFor)
		defer end()
		grant := &wire.Grant{Lease: "site", Holder: "x", TtlNs: uint64(leaseTTL)}
		r := p.change(ctx, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Grant{Grant: grant}}})
		if d := time.Since(begun); r.Outcome != wire.OutcomeUnknown || d > leadsAtMost {
			t.Errorf("%v after %v", r, d)
		}
		if n := query(ctx, p, -1, func() int { return len(p.pendingProposals) }); n != 0 {
			t.Errorf("%d changes still wait", n)
		}
	})
}

// A request of a caller that has gone away is worked on for a bounded time.
func TestARequestIsServedForABoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := cutOffMember(t, true)
		defer w.healed()
		begun := time.Now()
		r, _ := w.node(w.victim).Read(context.Background(), &wire.ReadRequest{Key: routingconfig.Key})
		if d := time.Since(begun); r.Outcome == wire.OutcomeDone || d > grantWithin {
			t.Errorf("a read: %v after %v", r, d)
		}
	})
}

// contested is a control node where every change loses to another one.
type contested struct{ wire.ControlNode }

func (contested) Read(ctx context.Context, _ *wire.ReadRequest) (*wire.ReadResponse, error) {
	clock.Sleep(ctx, 50*time.Millisecond)
	return &wire.ReadResponse{Outcome: wire.OutcomeDone}, nil
}

func (contested) Change(ctx context.Context, _ *wire.ChangeRequest) (*wire.ChangeResponse, error) {
	clock.Sleep(ctx, 50*time.Millisecond)
	return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Version: 3}, nil
}

func (contested) Join(context.Context, *wire.JoinRequest) (*wire.JoinResponse, error) {
	return &wire.JoinResponse{Outcome: wire.OutcomeNotLeader}, nil
}

// A naming of weights that loses to others until its time is over was not refused.
func TestANamingThatLosesIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := cutOffMember(t, false)
		defer w.healed()
		n := w.node(w.victim)
		w.until("no leader known", 5*time.Second, func() bool { return n.shards[0].published.current().leader == "" })
		door := &pipes{g: w.ground, addr: w.addr(10), c: make(chan net.Conn), end: make(chan struct{})}
		w.ground.mu.Lock()
		w.doors[w.addr(10)] = door
		w.ground.mu.Unlock()
		server := &http.Server{Handler: wire.NewControlNodeServer(contested{})}
		go func() { _ = server.Serve(door) }()
		defer server.Close()
		n.controlClient.HintLeader(w.addr(10))
		begun := time.Now()
		err := n.SetWeightsVersion(context.Background(), "m", 2)
		if d := time.Since(begun); err == nil || errs.KindOf(err) != errs.CantSay || d > answerWithin {
			t.Errorf("after %v: %v", d, err)
		}
	})
}

// A machine that has no vote gives no word that counts for a proof, whatever it holds.
func TestWhoHasNoVoteProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCutWorld(t, cutRow{leader: true, direction: "both", spare: true})
		for i := range 4 {
			w.start(i+1, true)
		}
		defer w.healed()
		w.until("a leader", 5*time.Second, func() bool { return len(w.members()) == 3 })
		ask := &wire.FollowRequest{Known: []*wire.KnownVersion{{Key: routingconfig.Key, Version: 9}}, ProofKey: routingconfig.Key}
		w.until("a learner that is fed", 5*time.Second, func() bool {
			x, _ := w.node(4).Follow(context.Background(), ask)
			if x.NothingNewer {
				t.Error("a learner says that there is nothing newer")
			}
			return len(x.Members) == 3
		})
		x, _ := w.node(4).Follow(context.Background(), ask)
		y, _ := w.node(1).Follow(context.Background(), ask)
		if x.NothingNewer || !y.NothingNewer {
			t.Errorf("a learner: %v, a member: %v", x, y)
		}
	})
}

// A follower that was cut off comes back with a log as long as the leader's, and unseats nobody.
func TestAFollowerThatReturnsUnseatsNobody(t *testing.T) {
	for _, direction := range []string{"both", "out", "in"} {
		synctest.Test(t, func(t *testing.T) {
			w := cutOffMember(t, false)
			defer w.healed()
			w.net.set(func(cut map[[2]string]bool) { clear(cut) })
			w.row.direction = direction
			w.cutOff()
			term, leader := w.term(), w.leader()
			clock.Sleep(context.Background(), cutFor)
			w.net.set(func(cut map[[2]string]bool) { clear(cut) })
			clock.Sleep(context.Background(), backWithin)
			if w.term() != term || w.leader() != leader {
				t.Errorf("cut %s: the leader was %d of term %d, now it is %d of %d", direction, leader, term, w.leader(), w.term())
			}
		})
	}
}
