package controlstate

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/wire"
)

// followRequest follows the routing configuration, with a proof, and other documents.
func followRequest(maxWait time.Duration, known ...*wire.KnownVersion) *wire.FollowRequest {
	return &wire.FollowRequest{Known: known, MaxWaitNs: uint64(maxWait), ProofKey: routingconfig.DocumentKey}
}

// Three machines found the group, a fourth waits as a spare. A configuration is accepted by any of them,
// read back from any of them, and sent to followers. A retry is acknowledged again, another body on an
// old base is a conflict, and invalid bodies are rejected as such.
func TestGroupAcceptsRoutingConfigs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		defer cluster.stopAll()
		t.Log("a leader after", cluster.startFounders(4))
		checkPutsAndReads(t, cluster)
		checkRejections(t, cluster.node(4))
		checkWeightsVersions(t, cluster)
		checkPlacementUpdate(t, cluster)
	})
}

// checkPutsAndReads puts the versions 2, 4 and 6 at three nodes, the later ones as patches.
func checkPutsAndReads(t *testing.T, cluster *testCluster) {
	t.Helper()
	ctx := context.Background()
	first, second, spare := cluster.node(1), cluster.node(2), cluster.node(4)
	put := func(index int, node *Node) {
		base, version := uint64(2*index), uint64(2*index+2)
		if got, err := node.PutRoutingConfig(ctx, base, body(version, "x"), index > 0); err != nil || got != version {
			t.Fatalf("configuration %d: %d, %v", index, got, err)
		}
	}
	followed := make(chan *wire.FollowResponse)
	request := followRequest(10*time.Second, &wire.KnownVersion{Key: routingconfig.DocumentKey}, &wire.KnownVersion{Key: fleet.WeightsKey}, &wire.KnownVersion{Key: fleet.PlacementKey})
	go func() { response, _ := second.Follow(ctx, request); followed <- response }()
	put(0, first)
	if response := <-followed; len(response.Documents) != 1 || response.Documents[0].Version != 2 || len(response.Members) != 3 {
		t.Errorf("a follower received %v", response)
	}
	put(1, second)
	put(2, spare)
	for _, node := range cluster.nodes {
		if text, version, err := node.ReadRoutingConfig(ctx); err != nil || version != 6 || !strings.Contains(string(text), `"x+x+x"`) {
			t.Errorf("read back: %s, %d, %v", text, version, err)
		}
		if version, err := node.PutRoutingConfig(ctx, 2, body(4, "x"), true); err != nil || version != 4 {
			t.Errorf("a late retry: %d, %v", version, err)
		}
	}
}

// checkRejections sends changes on old bases and invalid ones; version 6 is in force.
func checkRejections(t *testing.T, node *Node) {
	t.Helper()
	for _, test := range []struct {
		name string
		base uint64
		body string
		kind *errs.Kind
	}{
		{"an old base", 4, `{"version":9}`, errs.Conflict},
		{"a base that doesn't exist", 9, `{"version":11}`, errs.Conflict},
		{"no base", 0, `{"version":11}`, errs.Conflict},
		{"the version in force again", 6, `{"version":6}`, errs.BadInput},
		{"an invalid configuration", 6, `{"version":9,"bad":true}`, errs.BadInput},
		{"no JSON", 6, `{`, errs.BadInput},
	} {
		if _, err := node.PutRoutingConfig(context.Background(), test.base, []byte(test.body), false); err == nil || errs.KindOf(err) != test.kind {
			t.Errorf("%s: %s on %d: %v", test.name, test.body, test.base, err)
		}
	}
}

// checkWeightsVersions sets versions at several nodes, an older and a repeated one among them.
func checkWeightsVersions(t *testing.T, cluster *testCluster) {
	t.Helper()
	ctx := context.Background()
	first, second, spare := cluster.node(1), cluster.node(2), cluster.node(4)
	for _, test := range []struct {
		node    *Node
		model   string
		version uint64
	}{{first, "m", 2}, {spare, "m", 3}, {second, "m", 2}, {second, "m", 3}, {first, "o", 1}} {
		if err := test.node.SetWeightsVersion(ctx, test.model, test.version); err != nil {
			t.Errorf("weights %d of %s: %v", test.version, test.model, err)
		}
	}
	cluster.waitUntil("weights at the spare", 3*time.Second, func() bool {
		weights := fleet.Weights{}
		response, _ := spare.Follow(ctx, &wire.FollowRequest{Known: []*wire.KnownVersion{{Key: fleet.WeightsKey}}})
		return len(response.Documents) == 1 && json.Unmarshal(response.Documents[0].Body, &weights) == nil && weights.Versions["m"] == 3 && weights.Versions["o"] == 1 && !response.NothingNewer
	})
}

// checkPlacementUpdate follows documents by a prefix of their keys: a new one is sent at once; when the
// follower knows it, the long poll is held open for its whole time.
func checkPlacementUpdate(t *testing.T, cluster *testCluster) {
	t.Helper()
	ctx, key := context.Background(), fleet.PlacementKey+"s"
	put := &wire.Put{Key: key, Body: []byte("{}"), AnyVersion: true, Token: "p1"}
	if _, err := cluster.node(4).controlClient.Change(ctx, putRequest(put)); err != nil {
		t.Error(err)
	}
	first := cluster.node(1)
	config, placements := &wire.KnownVersion{Key: routingconfig.DocumentKey, Version: 6}, &wire.KnownVersion{Key: fleet.PlacementKey}
	response, _ := first.Follow(ctx, followRequest(time.Second, config, placements))
	if len(response.Documents) != 1 || response.Documents[0].Key != key || !response.NothingNewer || response.Member != cluster.addr(1)+"/0" {
		t.Errorf("a new placement: %v", response)
	}
	begun := time.Now()
	response, _ = first.Follow(ctx, followRequest(500*time.Millisecond, config, placements, &wire.KnownVersion{Key: key, Version: 1}))
	if waited := time.Since(begun); waited != 500*time.Millisecond || len(response.Documents) > 0 || !response.NothingNewer {
		t.Errorf("no update: after %v %v", waited, response)
	}
}

// A member that stays away is replaced by the spare. One that comes back without its disk is another
// member, and the one that it was is removed. A machine that replaces one for good joins at its new
// address. And all may restart at once.
func TestGroupReplacesItsMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		defer func() { cluster.stopAll() }()
		cluster.startFounders(4)
		cluster.putVersion(1)
		replaceLeaderBySpare(t, cluster)
		replaceLostDisk(cluster)
		cluster.putVersion(3)
		for i := range 2 { // twice, so that there is no other spare
			replaceLeaderByNewMachine(cluster, 5+i)
			cluster.putVersion(uint64(4 + i))
		}
		restartMachines(cluster, 6)
		cluster.putVersion(6)
		for _, node := range cluster.nodes {
			if _, version, err := node.ReadRoutingConfig(context.Background()); err != nil || version != 6 {
				t.Errorf("after all have started again: %d, %v", version, err)
			}
		}
	})
}

// replaceLeaderBySpare shuts the leader down until the spare, machine 4, has its place; then the old
// leader is the spare.
func replaceLeaderBySpare(t *testing.T, cluster *testCluster) {
	t.Helper()
	leader := cluster.leader()
	begun := time.Now()
	cluster.stop(leader)
	cluster.waitUntil("another leader", 2*time.Second, func() bool { return cluster.leader() > 0 })
	t.Log("another leader after a shutdown", time.Since(begun))
	cluster.putVersion(2)
	t.Log("the spare is a member after", cluster.awaitMembers("the spare is a member", 5*time.Second, func(members []string) bool {
		return cluster.isMember(4) && !slices.Contains(members, cluster.addr(leader)+"/0")
	}))
	cluster.start(leader, false)
}

// replaceLostDisk restarts the leader with an empty disk, and waits until the member that it was is
// removed.
func replaceLostDisk(cluster *testCluster) {
	cluster.t.Helper()
	leader := cluster.leader()
	lost := cluster.node(leader).shards[0].published.current().self
	cluster.stop(leader)
	cluster.disks[cluster.addr(leader)] = nil
	cluster.start(leader, false)
	cluster.awaitMembers("a group without the lost disk", 8*time.Second, func(members []string) bool { return !slices.Contains(members, lost) })
}

// replaceLeaderByNewMachine shuts the leader down and starts another machine.
func replaceLeaderByNewMachine(cluster *testCluster, replacement int) {
	cluster.t.Helper()
	leader := cluster.leader()
	cluster.stop(leader)
	cluster.start(replacement, false)
	cluster.awaitMembers("three members", 8*time.Second, func([]string) bool { return !cluster.isMember(leader) })
}

// restartMachines stops all machines that run, and starts the first ones.
func restartMachines(cluster *testCluster, machines int) {
	for i := range 8 {
		if cluster.node(i+1) != nil {
			cluster.stop(i + 1)
		}
	}
	for i := range machines {
		cluster.start(i+1, false)
	}
}
