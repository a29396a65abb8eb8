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

// startWithIsolatedMember starts a group of three members and isolates the leader or a follower in both directions.
func startWithIsolatedMember(t *testing.T, isolatesLeader bool) *isolationWorld {
	w := newIsolationWorld(t, isolationScenario{isolatesLeader: isolatesLeader, direction: isolatedBoth})
	w.startInitialGroup(3)
	w.chooseIsolatedMachine(3)
	if err := w.putConfig(w.isolatedMachine, 0, body(1, "before")); err != nil {
		t.Fatalf("change of the configuration before the isolation: %v", err)
	}
	clock.Sleep(context.Background(), time.Second)
	w.startIsolation()
	return w
}

// healAndStop ends the isolation before it stops the machines, so that no messages are in flight when they stop.
func (w *isolationWorld) healAndStop() {
	w.network.heal()
	w.stopAll()
}

// An isolated leader does not reject changes based on its applied state: another leader may have accepted them, so it
// answers that it cannot serve the request.
func TestIsolatedLeaderRejectsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWithIsolatedMember(t, true)
		defer w.healAndStop()
		for name, request := range map[string]*wire.ChangeRequest{
			"base version never reached": putRequest(&wire.Put{Key: fleet.WeightsKey, Body: []byte("{}"), IfVersion: 7}),
			"dry run":                    {DryRun: true, Command: &wire.Command{Kind: &wire.Command_Put{Put: &wire.Put{Key: fleet.WeightsKey, Body: []byte("{}")}}}},
			"configuration change":       putRequest(&wire.Put{Key: routingconfig.DocumentKey, Body: body(9, "x"), IfVersion: 8}),
		} {
			begun := time.Now()
			response, _ := w.node(w.isolatedMachine).Change(context.Background(), request)
			if waited := time.Since(begun); response.Outcome != wire.OutcomeOverloaded && response.Outcome != wire.OutcomeNotLeader || waited > maxResponseTime {
				t.Errorf("%s: isolated leader responded with %v after %v, want overloaded or not-leader within %v", name, response, waited, maxResponseTime)
			}
		}
	})
}

// Changes that wait for their commit are answered with an unknown outcome when the leader steps down, even if their
// callers would wait longer, and none stays pending.
func TestStepDownReleasesPendingChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWithIsolatedMember(t, true)
		defer w.healAndStop()
		replica, begun := w.node(w.isolatedMachine).shards[0], time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), isolationTime)
		defer cancel()
		grant := &wire.Grant{Lease: "site", Holder: "x", TtlNs: uint64(leaseTTL)}
		response := replica.change(ctx, grantRequest(grant))
		if waited := time.Since(begun); response.Outcome != wire.OutcomeUnknown || waited > maxStepDownTime {
			t.Errorf("lease request on an isolated leader: got %v after %v, want an unknown outcome within %v", response, waited, maxStepDownTime)
		}
		if count := query(ctx, replica, -1, func() int { return len(replica.pendingProposals) }); count != 0 {
			t.Errorf("%d proposals are still pending after the step-down, want 0 (-1: no answer from the shard)", count)
		}
	})
}

// A node gives up on a request after a bounded time, even if the caller's context has no deadline.
func TestRequestsHaveABoundedServingTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWithIsolatedMember(t, true)
		defer w.healAndStop()
		begun := time.Now()
		response, _ := w.node(w.isolatedMachine).Read(context.Background(), &wire.ReadRequest{Key: routingconfig.DocumentKey})
		if waited := time.Since(begun); response.Outcome == wire.OutcomeDone || waited > maxServeTime {
			t.Errorf("read on an isolated leader: got %v after %v, want a failure within %v", response, waited, maxServeTime)
		}
	})
}

// contestedNode is a fake control node that answers every change with a conflict, as if another client changed the
// document at the same time.
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

// SetWeightsVersion reports an unknown outcome, not a rejection, if its changes conflict with those of other clients
// until its time-out.
func TestContestedWeightsVersionIsNotRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWithIsolatedMember(t, false)
		defer w.healAndStop()
		node := w.node(w.isolatedMachine)
		w.waitUntil("isolated follower no longer knows a leader", 5*time.Second, func() bool { return node.shards[0].published.current().leader == "" })
		server := &http.Server{Handler: wire.NewControlNodeServer(contestedNode{})}
		listener := w.listen(w.addr(10))
		go func() { _ = server.Serve(listener) }()
		defer server.Close()
		node.controlClient.HintLeader(w.addr(10))
		begun := time.Now()
		err := node.SetWeightsVersion(context.Background(), "m", 2)
		if waited := time.Since(begun); err == nil || errs.KindOf(err) != errs.OutcomeUnknown || waited > maxResponseTime {
			t.Errorf("SetWeightsVersion with constant conflicts: got error %v after %v, want an unknown outcome within %v", err, waited, maxResponseTime)
		}
	})
}

// The response of a learner does not count for a proof of freshness, whichever version the learner has.
func TestLearnerProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newIsolationWorld(t, isolationScenario{isolatesLeader: true, direction: isolatedBoth, withSpare: true})
		defer w.healAndStop()
		w.startInitialGroup(4)
		request := followRequest(0, &wire.KnownVersion{Key: routingconfig.DocumentKey, Version: 9})
		w.waitUntil("leader replicates to the learner", 5*time.Second, func() bool {
			response, _ := w.node(4).Follow(context.Background(), request)
			if response.NothingNewer {
				t.Error("learner responded to a poll with NothingNewer set, want it unset")
			}
			return len(response.Members) == 3
		})
		response, _ := w.node(4).Follow(context.Background(), request)
		memberResponse, _ := w.node(1).Follow(context.Background(), request)
		if response.NothingNewer || !memberResponse.NothingNewer {
			t.Errorf("NothingNewer: learner responded %v, want false; voter responded %v, want true", response, memberResponse)
		}
	})
}

// A follower that returns from an isolation with a log as long as the leader's does not depose the leader.
func TestReturningFollowerDeposesNobody(t *testing.T) {
	for _, direction := range []isolationDirection{isolatedBoth, isolatedOut, isolatedIn} {
		synctest.Test(t, func(t *testing.T) {
			w := startWithIsolatedMember(t, false)
			defer w.healAndStop()
			w.network.heal()
			w.scenario.direction = direction
			w.startIsolation()
			term, leader := w.term(), w.leader()
			clock.Sleep(context.Background(), isolationTime)
			w.network.heal()
			clock.Sleep(context.Background(), maxRecoveryTime)
			if w.term() != term || w.leader() != leader {
				t.Errorf("follower isolated %s: machine %d was leader in term %d before the isolation, machine %d is leader in term %d after it", direction, leader, term, w.leader(), w.term())
			}
		})
	}
}
