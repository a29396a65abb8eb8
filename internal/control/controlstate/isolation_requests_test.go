package controlstate

import (
	"context"
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

// isolateMember starts a group of three and isolates one, the leader or a follower, in both directions.
func isolateMember(t *testing.T, isolatesLeader bool) *isolationWorld {
	w := newIsolationWorld(t, isolationScenario{isolatesLeader: isolatesLeader, direction: isolatedBoth})
	w.startFounders(3)
	w.chooseVictim(3)
	if err := w.putPlan(w.victim, 0, body(1, "before")); err != nil {
		t.Fatal(err)
	}
	clock.Sleep(context.Background(), time.Second)
	w.isolateVictim()
	return w
}

// healAndStop ends the isolation first, so that nothing is in flight when the machines stop.
func (w *isolationWorld) healAndStop() {
	w.network.heal()
	w.stopAll()
}

// An isolated leader doesn't reject by what it has applied: it can't know the outcome, and answers so.
func TestIsolatedLeaderRejectsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := isolateMember(t, true)
		defer w.healAndStop()
		for name, request := range map[string]*wire.ChangeRequest{
			"another version": putRequest(&wire.Put{Key: fleet.WeightsKey, Body: []byte("{}"), IfVersion: 7}),
			"a dry run":       {DryRun: true, Command: &wire.Command{Kind: &wire.Command_Put{Put: &wire.Put{Key: fleet.WeightsKey, Body: []byte("{}")}}}},
			"a plan":          putRequest(&wire.Put{Key: routingconfig.DocumentKey, Body: body(9, "x"), IfVersion: 8}),
		} {
			begun := time.Now()
			response, _ := w.node(w.victim).Change(context.Background(), request)
			if waited := time.Since(begun); response.Outcome != wire.OutcomeOverloaded && response.Outcome != wire.OutcomeNotLeader || waited > answerWithin {
				t.Errorf("%s: %v after %v", name, response, waited)
			}
		}
	})
}

// Changes that wait for their commit are answered when the leader steps down, however long their callers
// would wait, and none stays pending.
func TestStepDownReleasesPendingChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := isolateMember(t, true)
		defer w.healAndStop()
		replica, begun := w.node(w.victim).shards[0], time.Now()
		ctx, end := context.WithTimeout(context.Background(), isolationTime)
		defer end()
		grant := &wire.Grant{Lease: "site", Holder: "x", TtlNs: uint64(leaseTTL)}
		response := replica.change(ctx, grantRequest(grant))
		if waited := time.Since(begun); response.Outcome != wire.OutcomeUnknown || waited > stepDownWithin {
			t.Errorf("%v after %v", response, waited)
		}
		if n := query(ctx, replica, -1, func() int { return len(replica.pendingProposals) }); n != 0 {
			t.Errorf("%d changes still wait", n)
		}
	})
}

// A request is served for a bounded time, also where its caller has gone away.
func TestRequestsHaveABoundedServingTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := isolateMember(t, true)
		defer w.healAndStop()
		begun := time.Now()
		response, _ := w.node(w.victim).Read(context.Background(), &wire.ReadRequest{Key: routingconfig.DocumentKey})
		if waited := time.Since(begun); response.Outcome == wire.OutcomeDone || waited > grantWithin {
			t.Errorf("a read: %v after %v", response, waited)
		}
	})
}

// contestedNode is a control node on which every change conflicts with another one.
type contestedNode struct{ wire.ControlNode }

func (contestedNode) Read(ctx context.Context, _ *wire.ReadRequest) (*wire.ReadResponse, error) {
	clock.Sleep(ctx, 50*time.Millisecond)
	return &wire.ReadResponse{Outcome: wire.OutcomeDone}, nil
}

func (contestedNode) Change(ctx context.Context, _ *wire.ChangeRequest) (*wire.ChangeResponse, error) {
	clock.Sleep(ctx, 50*time.Millisecond)
	return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Version: 3}, nil
}

func (contestedNode) Join(context.Context, *wire.JoinRequest) (*wire.JoinResponse, error) {
	return &wire.JoinResponse{Outcome: wire.OutcomeNotLeader}, nil
}

// A weights version whose change conflicts with others until its time-out has an unknown outcome: it was
// not rejected.
func TestContestedWeightsVersionIsNotRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := isolateMember(t, false)
		defer w.healAndStop()
		node := w.node(w.victim)
		w.waitUntil("no leader known", 5*time.Second, func() bool { return node.shards[0].published.current().leader == "" })
		server := &http.Server{Handler: wire.NewControlNodeServer(contestedNode{})}
		listener := w.listen(w.addr(10))
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		node.controlClient.HintLeader(w.addr(10))
		begun := time.Now()
		err := node.SetWeightsVersion(context.Background(), "m", 2)
		if waited := time.Since(begun); err == nil || errs.KindOf(err) != errs.OutcomeUnknown || waited > answerWithin {
			t.Errorf("after %v: %v", waited, err)
		}
	})
}

// The response of a learner doesn't count for a proof of freshness, whatever it holds.
func TestLearnerProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newIsolationWorld(t, isolationScenario{isolatesLeader: true, direction: isolatedBoth, withSpare: true})
		defer w.healAndStop()
		w.startFounders(4)
		request := followRequest(0, &wire.KnownVersion{Key: routingconfig.DocumentKey, Version: 9})
		w.waitUntil("a learner that is replicated to", 5*time.Second, func() bool {
			response, _ := w.node(4).Follow(context.Background(), request)
			if response.NothingNewer {
				t.Error("a learner says that there is nothing newer")
			}
			return len(response.Members) == 3
		})
		response, _ := w.node(4).Follow(context.Background(), request)
		memberResponse, _ := w.node(1).Follow(context.Background(), request)
		if response.NothingNewer || !memberResponse.NothingNewer {
			t.Errorf("a learner: %v, a member: %v", response, memberResponse)
		}
	})
}

// An isolated follower returns with a log as long as the leader's, and deposes nobody.
func TestReturningFollowerDeposesNobody(t *testing.T) {
	for _, direction := range []isolationDirection{isolatedBoth, isolatedOut, isolatedIn} {
		synctest.Test(t, func(t *testing.T) {
			w := isolateMember(t, false)
			defer w.healAndStop()
			w.network.heal()
			w.scenario.direction = direction
			w.isolateVictim()
			term, leader := w.term(), w.leader()
			clock.Sleep(context.Background(), isolationTime)
			w.network.heal()
			clock.Sleep(context.Background(), recoverWithin)
			if w.term() != term || w.leader() != leader {
				t.Errorf("isolated %s: the leader was %d of term %d, now it is %d of %d", direction, leader, term, w.leader(), w.term())
			}
		})
	}
}
