package controlstate

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/wire"
)

// returnScenario is when the majority that was given up comes back with its disks.
type returnScenario struct {
	beforeNewMachines bool // the old members come back before the new machines start
	survivorIsDown    bool // they come back while the machine that the group was restored from is down
	oneByOne          bool // the second comes back once the first is settled
}

func (s returnScenario) String() string {
	return fmt.Sprintf("before new machines %v, survivor down %v, one by one %v", s.beforeNewMachines, s.survivorIsDown, s.oneByOne)
}

// Members that were given up come back with their disks, in every order. They may lead each other until they hear of
// the restore, and no longer: they join the restored group as new members, and copies of their files are kept. What
// they acknowledge meanwhile never gets into the restored group.
func TestAbandonedMembersReturn(t *testing.T) {
	for _, before := range []bool{false, true} {
		for _, down := range []bool{false, true} {
			for _, oneByOne := range []bool{false, true} {
				scenario := returnScenario{before, down, oneByOne}
				if before && down {
					continue // then nobody of the restored group runs
				}
				t.Run(scenario.String(), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { playReturn(t, scenario) })
				})
			}
		}
	}
}

func playReturn(t *testing.T, scenario returnScenario) {
	cluster := newTestCluster(t)
	defer cluster.stopAll()
	cluster.startFounders(3)
	cluster.putEverywhere(1)
	cluster.stop(1)
	cluster.putVersion(2) // which the survivor lacks
	cluster.stop(2)
	cluster.stop(3)
	cluster.start(1, false)
	cluster.restoreFrom(1)
	cluster.putVersion(2)
	files := map[int]map[string][]byte{2: cluster.filesOf(2), 3: cluster.filesOf(3)}
	startNew := func() {
		cluster.start(4, false)
		cluster.start(5, false)
	}
	if !scenario.beforeNewMachines {
		startNew()
		cluster.awaitRestored(2, 1, 4, 5)
	}
	if scenario.survivorIsDown {
		cluster.stop(1)
	}
	for _, i := range []int{2, 3} {
		cluster.start(i, false)
		if scenario.oneByOne {
			cluster.waitUntil("the return of a member", 30*time.Second, func() bool { return consensus.RestoreCount(cluster.generation(i)) == 1 })
		}
	}
	if scenario.beforeNewMachines {
		cluster.awaitRestored(2, 1, 2, 3)
		startNew()
	}
	cluster.waitUntil("one group", 60*time.Second, func() bool {
		for i := 1; i <= 5; i++ {
			if node := cluster.node(i); node != nil && consensus.RestoreCount(cluster.generation(i)) != 1 {
				return false
			}
		}
		return true
	})
	cluster.checkCopies(files)
	cluster.putVersion(3)
	cluster.waitUntil("the newest version everywhere", 30*time.Second, func() bool { return cluster.allRead(3) })
}

// filesOf are the files on a machine's disk.
func (c *testCluster) filesOf(i int) (files map[string][]byte) {
	c.disks[c.addr(i)].update(func(disk *stallingDisk) { files = maps.Clone(disk.disk.files) })
	return files
}

// checkCopies checks that copies of files, by machine, are on the disks that were put aside.
func (c *testCluster) checkCopies(files map[int]map[string][]byte) {
	c.t.Helper()
	for i, content := range files {
		onDisk := c.filesOf(i)
		for name := range content {
			if _, isCopied := onDisk["superseded-"+name]; !isCopied {
				c.t.Errorf("machine %d: no copy of %s is kept", i, name)
			}
		}
	}
}

// allRead reports whether every node that runs reads a version.
func (c *testCluster) allRead(version uint64) bool {
	for _, node := range c.nodes {
		plan, inForce, err := node.ReadRoutingConfig(context.Background())
		if err != nil || inForce != version || !bytes.Equal(plan, body(version, "x")) {
			return false
		}
	}
	return true
}

// A restore generation that no group has, by a fault, takes members out; but no group of it serves, so their disks stay as
// they are, and the group serves again once the members are restarted.
func TestUnknownGenerationReplacesNoDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		defer cluster.stopAll()
		cluster.startFounders(3)
		cluster.putVersion(1)
		wrong := &wire.Message{Kind: wire.MessageKind_RESTORE_NOTICE, From: "10.0.0.9:7360/1", RestoreGeneration: restoredTokenStep * 7}
		for i := 1; i <= 3; i++ {
			if _, err := cluster.node(i).Deliver(context.Background(), &wire.MessageBatch{Format: messageFormat, Messages: []*wire.Message{wrong}}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(30 * time.Second)
		for i := 1; i <= 3; i++ {
			status, err := cluster.node(i).Status(context.Background(), &wire.StatusRequest{})
			if err != nil || !strings.Contains(status.Shards[0].Failure, "restored without this member") {
				t.Errorf("machine %d: %v, %v", i, status, err)
			}
			for name := range cluster.filesOf(i) {
				if strings.HasPrefix(name, "superseded-") {
					t.Errorf("machine %d: the disk was replaced: %s", i, name)
				}
			}
		}
		for i := 1; i <= 3; i++ {
			cluster.stop(i)
			cluster.start(i, false)
		}
		cluster.waitUntil("the group", 15*time.Second, func() bool { return len(cluster.members()) == 3 && cluster.allRead(1) })
	})
}
