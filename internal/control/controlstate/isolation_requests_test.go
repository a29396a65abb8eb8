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

// isolateMember founds a group of three and cuts one off: the leader, or a follower.
func isolateMember(t *testing.T, leader bool) *partitionWorld {
	w := newPartitionWorld(t, partitionScenario{isolatesLeader: leader, direction: "both"})
	for i := range 3 {
		w.start(i+1, true)
	}
	w.waitUntil("a leader", 5*time.Second, func() bool { return len(w.members()) == 3 })
	w.chooseVictim(3)
	if err := w.putPlan(w.victim, 0, body(1, "before")); err != nil {
		t.Fatal(err)
	}
	clock.Sleep(context.Background(), time.Second)
	w.isolateVictim()
	return w
}

// healAndStop ends the cut, so that nothing is under way when the machines stop.
func (w *partitionWorld) healAndStop() {
	w.network.update(func(partitioned map[[2]string]bool) { clear(partitioned) })
	w.stopAll()
}

// A leader that was cut off doesn't refuse by what it has applied: it can't say, and says so.
func TestIsolatedLeaderRejectsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := isolateMember(t, true)
		defer w.healAndStop()
		for what, request := range map[string]*wire.ChangeRequest{
			"another version": {Command: &wire.Command{Kind: &wire.Command_Put{Put: &wire.Put{Key: fleet.WeightsKey, Body: []byte("{}"), IfVersion: 7}}}},
			"a dry run":       {DryRun: true, Command: &wire.Command{Kind: &wire.Command_Put{Put: &wire.Put{Key: fleet.WeightsKey, Body: []byte("{}")}}}},
			"a plan":          {Command: &wire.Command{Kind: &wire.Command_Put{Put: &wire.Put{Key: routingconfig.DocumentKey, Body: body(9, "x"), IfVersion: 8}}}},
		} {
			begun := time.Now()
			response, _ := w.node(w.victim).Change(context.Background(), request)
			if d := time.Since(begun); response.Outcome != wire.OutcomeOverloaded && response.Outcome != wire.OutcomeNotLeader || d > answerWithin {
				t.Errorf("%s: %v after %v", what, response, d)
			}
		}
	})
}

// Those whose change waits for its commit are let go when the leader stops leading, however long
// they would wait; nothing of them stays behind.
func TestStepDownReleasesPendingChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := isolateMember(t, true)
		defer w.healAndStop()
		replica, begun := w.node(w.victim).shards[0], time.Now()
		ctx, end := context.WithTimeout(context.Background(), partitionTime)
		defer end()
		grant := &wire.Grant{Lease: "site", Holder: "x", TtlNs: uint64(leaseTTL)}
		response := replica.change(ctx, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Grant{Grant: grant}}})
		if d := time.Since(begun); response.Outcome != wire.OutcomeUnknown || d > stepDownWithin {
			t.Errorf("%v after %v", response, d)
		}
		if n := query(ctx, replica, -1, func() int { return len(replica.pendingProposals) }); n != 0 {
			t.Errorf("%d changes still wait", n)
		}
	})
}

// A request of a caller that has gone away is worked on for a bounded time.
func TestRequestsHaveABoundedServingTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := isolateMember(t, true)
		defer w.healAndStop()
		begun := time.Now()
		response, _ := w.node(w.victim).Read(context.Background(), &wire.ReadRequest{Key: routingconfig.DocumentKey})
		if d := time.Since(begun); response.Outcome == wire.OutcomeDone || d > grantWithin {
			t.Errorf("a read: %v after %v", response, d)
		}
	})
}

// contestedNode is a control node where every change loses to another one.
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

// A naming of weights that loses to others until its time is over was not refused.
func TestContestedWeightsVersionIsNotRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := isolateMember(t, false)
		defer w.healAndStop()
		node := w.node(w.victim)
		w.waitUntil("no leader known", 5*time.Second, func() bool { return node.shards[0].published.current().leader == "" })
		door := &pipeListener{cluster: w.testCluster, addr: w.addr(10), connections: make(chan net.Conn), closed: make(chan struct{})}
		w.testCluster.mu.Lock()
		w.listeners[w.addr(10)] = door
		w.testCluster.mu.Unlock()
		server := &http.Server{Handler: wire.NewControlNodeServer(contestedNode{})}
		go func() { _ = server.Serve(door) }()
		defer server.Close()
		node.controlClient.HintLeader(w.addr(10))
		begun := time.Now()
		err := node.SetWeightsVersion(context.Background(), "m", 2)
		if d := time.Since(begun); err == nil || errs.KindOf(err) != errs.OutcomeUnknown || d > answerWithin {
			t.Errorf("after %v: %v", d, err)
		}
	})
}

// A machine that has no vote gives no word that counts for a proof, whatever it holds.
func TestLearnerProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newPartitionWorld(t, partitionScenario{isolatesLeader: true, direction: "both", withSpare: true})
		for i := range 4 {
			w.start(i+1, true)
		}
		defer w.healAndStop()
		w.waitUntil("a leader", 5*time.Second, func() bool { return len(w.members()) == 3 })
		ask := &wire.FollowRequest{Known: []*wire.KnownVersion{{Key: routingconfig.DocumentKey, Version: 9}}, ProofKey: routingconfig.DocumentKey}
		w.waitUntil("a learner that is fed", 5*time.Second, func() bool {
			response, _ := w.node(4).Follow(context.Background(), ask)
			if response.NothingNewer {
				t.Error("a learner says that there is nothing newer")
			}
			return len(response.Members) == 3
		})
		response, _ := w.node(4).Follow(context.Background(), ask)
		memberResponse, _ := w.node(1).Follow(context.Background(), ask)
		if response.NothingNewer || !memberResponse.NothingNewer {
			t.Errorf("a learner: %v, a member: %v", response, memberResponse)
		}
	})
}

// A follower that was cut off comes back with a log as long as the leader's, and unseats nobody.
func TestReturningFollowerDeposesNobody(t *testing.T) {
	for _, direction := range []string{"both", "out", "in"} {
		synctest.Test(t, func(t *testing.T) {
			w := isolateMember(t, false)
			defer w.healAndStop()
			w.network.update(func(partitioned map[[2]string]bool) { clear(partitioned) })
			w.scenario.direction = direction
			w.isolateVictim()
			term, leader := w.term(), w.leader()
			clock.Sleep(context.Background(), partitionTime)
			w.network.update(func(partitioned map[[2]string]bool) { clear(partitioned) })
			clock.Sleep(context.Background(), recoverWithin)
			if w.term() != term || w.leader() != leader {
				t.Errorf("cut %s: the leader was %d of term %d, now it is %d of %d", direction, leader, term, w.leader(), w.term())
			}
		})
	}
}
