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

// followRequest returns a long poll for the given documents that asks for a freshness proof of the routing configuration.
func followRequest(maxWait time.Duration, known ...*wire.KnownVersion) *wire.FollowRequest {
	return &wire.FollowRequest{Known: known, MaxWaitNs: uint64(maxWait), ProofKey: routingconfig.DocumentKey}
}

// Three machines form the group and a fourth is a spare. Each of them accepts a routing configuration, returns it to reads
// and sends it to long polls. A retry is acknowledged again, a different change of an old version is a conflict, and an
// invalid configuration is rejected as bad input.
func TestGroupAcceptsRoutingConfigs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		defer cluster.stopAll()
		t.Log("time until the group had a leader:", cluster.startInitialGroup(4))
		checkPutsAndReads(t, cluster)
		checkRejections(t, cluster.node(4))
		checkWeightsVersions(t, cluster)
		checkPlacementUpdate(t, cluster)
	})
}

// checkPutsAndReads sends the versions 2, 4 and 6 to three different nodes, the last two as patches, and reads them back.
func checkPutsAndReads(t *testing.T, cluster *testCluster) {
	t.Helper()
	ctx := context.Background()
	first, second, spare := cluster.node(1), cluster.node(2), cluster.node(4)
	put := func(index int, node *Node) {
		base, version := uint64(2*index), uint64(2*index+2)
		if got, err := node.PutRoutingConfig(ctx, base, body(version, "x"), index > 0); err != nil || got != version {
			t.Fatalf("change of the routing configuration from version %d to %d: got version %d, error %v", base, version, got, err)
		}
	}
	responses := make(chan *wire.FollowResponse)
	request := followRequest(10*time.Second, &wire.KnownVersion{Key: routingconfig.DocumentKey}, &wire.KnownVersion{Key: fleet.WeightsKey}, &wire.KnownVersion{Key: fleet.PlacementKey})
	go func() { response, _ := second.Follow(ctx, request); responses <- response }()
	put(0, first)
	if response := <-responses; len(response.Documents) != 1 || response.Documents[0].Version != 2 || len(response.Members) != 3 {
		t.Errorf("long poll for the routing configuration: got %v, want one document at version 2 and 3 members", response)
	}
	put(1, second)
	put(2, spare)
	for _, node := range cluster.nodes {
		if text, version, err := node.ReadRoutingConfig(ctx); err != nil || version != 6 || !strings.Contains(string(text), `"x+x+x"`) {
			t.Errorf("read of the routing configuration: got %s, version %d, error %v; want text x+x+x at version 6", text, version, err)
		}
		if version, err := node.PutRoutingConfig(ctx, 2, body(4, "x"), true); err != nil || version != 4 {
			t.Errorf("retry of the change to version 4 after version 6: got version %d, error %v; want version 4 acknowledged", version, err)
		}
	}
}

// checkRejections sends changes that are based on a wrong version or invalid. The current version is 6.
func checkRejections(t *testing.T, node *Node) {
	t.Helper()
	for _, test := range []struct {
		name string
		base uint64
		body string
		kind *errs.Kind
	}{
		{"an old base version", 4, `{"version":9}`, errs.Conflict},
		{"a base version above the current one", 9, `{"version":11}`, errs.Conflict},
		{"no base version", 0, `{"version":11}`, errs.Conflict},
		{"a new version equal to the current one", 6, `{"version":6}`, errs.BadInput},
		{"invalid contents", 6, `{"version":9,"bad":true}`, errs.BadInput},
		{"malformed JSON", 6, `{`, errs.BadInput},
	} {
		if _, err := node.PutRoutingConfig(context.Background(), test.base, []byte(test.body), false); err == nil || errs.KindOf(err) != test.kind {
			t.Errorf("change of the routing configuration with %s: body %s on base version %d: got error %v, want one of kind %v", test.name, test.body, test.base, err, test.kind.Name)
		}
	}
}

// checkWeightsVersions sets weights versions of two models through several nodes, including a lower and a repeated one.
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
			t.Errorf("setting weights version %d of model %s: unexpected error %v", test.version, test.model, err)
		}
	}
	cluster.waitUntil("the spare to hold weights version 3 of model m and 1 of model o", 3*time.Second, func() bool {
		weights := fleet.Weights{}
		response, _ := spare.Follow(ctx, &wire.FollowRequest{Known: []*wire.KnownVersion{{Key: fleet.WeightsKey}}})
		return len(response.Documents) == 1 && json.Unmarshal(response.Documents[0].Body, &weights) == nil && weights.Versions["m"] == 3 && weights.Versions["o"] == 1 && !response.NothingNewer
	})
}

// checkPlacementUpdate polls for documents by a key prefix. A new document is returned at once; if the client already
// knows it, the long poll stays open until its maximum wait time.
func checkPlacementUpdate(t *testing.T, cluster *testCluster) {
	t.Helper()
	ctx, key := context.Background(), fleet.PlacementKey+"s"
	put := &wire.Put{Key: key, Body: []byte("{}"), AnyVersion: true, Token: "p1"}
	if _, err := cluster.node(4).controlClient.Change(ctx, putRequest(put)); err != nil {
		t.Errorf("storing placement document %s: %v", key, err)
	}
	first := cluster.node(1)
	config, placements := &wire.KnownVersion{Key: routingconfig.DocumentKey, Version: 6}, &wire.KnownVersion{Key: fleet.PlacementKey}
	response, _ := first.Follow(ctx, followRequest(time.Second, config, placements))
	if len(response.Documents) != 1 || response.Documents[0].Key != key || !response.NothingNewer || response.Member != cluster.addr(1)+"/0" {
		t.Errorf("long poll: got %v, want only the new placement document %s and NothingNewer from member %s/0", response, key, cluster.addr(1))
	}
	startedAt := time.Now()
	response, _ = first.Follow(ctx, followRequest(500*time.Millisecond, config, placements, &wire.KnownVersion{Key: key, Version: 1}))
	if waited := time.Since(startedAt); waited != 500*time.Millisecond || len(response.Documents) > 0 || !response.NothingNewer {
		t.Errorf("long poll for known documents: got %v after %v, want no documents and NothingNewer after 500ms", response, waited)
	}
}

// A member that stays down is replaced by the spare. A machine that returns without its data becomes a new member, and its
// earlier incarnation is removed. A new machine that replaces a lost one joins under its own address. The group also
// survives a restart of all machines.
func TestGroupReplacesItsMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		defer func() { cluster.stopAll() }()
		cluster.startInitialGroup(4)
		cluster.putVersion(1)
		replaceLeaderBySpare(t, cluster)
		replaceLostDisk(cluster)
		cluster.putVersion(3)
		for i := range 2 { // in the second iteration, no other spare is left
			replaceLeaderByNewMachine(cluster, 5+i)
			cluster.putVersion(uint64(4 + i))
		}
		restartMachines(cluster, 6)
		cluster.putVersion(6)
		for _, node := range cluster.nodes {
			if _, version, err := node.ReadRoutingConfig(context.Background()); err != nil || version != 6 {
				t.Errorf("read after a restart of all machines: got version %d, error %v; want version 6", version, err)
			}
		}
	})
}

// replaceLeaderBySpare shuts the leader down, waits until the spare, machine 4, has replaced it as a voter, and starts the
// former leader again, which then is the spare.
func replaceLeaderBySpare(t *testing.T, cluster *testCluster) {
	t.Helper()
	leader := cluster.leader()
	startedAt := time.Now()
	cluster.stop(leader)
	cluster.waitUntil("the election of another leader", 2*time.Second, func() bool { return cluster.leader() > 0 })
	t.Log("time from the shutdown of the leader to the next leader:", time.Since(startedAt))
	cluster.putVersion(2)
	t.Log("time until the spare had replaced the former leader:", cluster.awaitMembers("the spare to replace the former leader as a voter", 5*time.Second, func(members []string) bool {
		return cluster.isMember(4) && !slices.Contains(members, cluster.addr(leader)+"/0")
	}))
	cluster.start(leader, false)
}

// replaceLostDisk restarts the leader with an empty disk, and waits until its earlier incarnation is removed.
func replaceLostDisk(cluster *testCluster) {
	cluster.t.Helper()
	leader := cluster.leader()
	lost := cluster.node(leader).shards[0].published.current().self
	cluster.stop(leader)
	cluster.disks[cluster.addr(leader)] = nil
	cluster.start(leader, false)
	cluster.awaitMembers("removal of the incarnation whose disk was lost", 8*time.Second, func(members []string) bool { return !slices.Contains(members, lost) })
}

// replaceLeaderByNewMachine shuts the leader down, starts a new machine, and waits until the former leader is removed.
func replaceLeaderByNewMachine(cluster *testCluster, replacement int) {
	cluster.t.Helper()
	leader := cluster.leader()
	cluster.stop(leader)
	cluster.start(replacement, false)
	cluster.awaitMembers("three voters without the former leader", 8*time.Second, func([]string) bool { return !cluster.isMember(leader) })
}

// restartMachines stops all running machines, and starts those with the numbers from 1 to the given one.
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
