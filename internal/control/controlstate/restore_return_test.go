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

// returnScenario describes how the machines of a lost majority return, with their disks, after the group was restored
// without them.
type returnScenario struct {
	beforeNewMachines bool // the lost machines return before new machines are added
	survivorIsDown    bool // the machine that the group was restored from is down when the lost machines return
	oneByOne          bool // the second lost machine returns only after the first has joined the restored group
}

func (s returnScenario) String() string {
	return fmt.Sprintf("return before new machines %v, with survivor down %v, one by one %v", s.beforeNewMachines, s.survivorIsDown, s.oneByOne)
}

// After a group was restored from one member, the other members return with their disks, in various orders. Until they
// learn of the restore they may still form a group of their own, but nothing that this group acknowledges may get into
// the restored group. They then have to join the restored group as new members, and keep copies of their old files.
func TestAbandonedMembersReturn(t *testing.T) {
	for _, before := range []bool{false, true} {
		for _, down := range []bool{false, true} {
			for _, oneByOne := range []bool{false, true} {
				scenario := returnScenario{before, down, oneByOne}
				if before && down {
					continue // no member of the restored group would be running
				}
				t.Run(scenario.String(), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { runReturnScenario(t, scenario) })
				})
			}
		}
	}
}

// runReturnScenario restores a group from machine 1 and has the machines 2 and 3 return as the scenario says.
func runReturnScenario(t *testing.T, scenario returnScenario) {
	cluster := newTestCluster(t)
	defer cluster.stopAll()
	cluster.startInitialGroup(3)
	cluster.putEverywhere(1)
	cluster.stop(1)
	cluster.putVersion(2) // machine 1 does not receive this version before the restore
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
			cluster.waitUntil(fmt.Sprintf("machine %d to join the restored group", i), 30*time.Second, func() bool { return consensus.RestoreCount(cluster.generation(i)) == 1 })
		}
	}
	if scenario.beforeNewMachines {
		cluster.awaitRestored(2, 1, 2, 3)
		startNew()
	}
	cluster.waitUntil("all running machines to belong to the restored group", 60*time.Second, func() bool {
		for i := 1; i <= 5; i++ {
			if node := cluster.node(i); node != nil && consensus.RestoreCount(cluster.generation(i)) != 1 {
				return false
			}
		}
		return true
	})
	cluster.checkCopies(files)
	cluster.putVersion(3)
	cluster.waitUntil("all running nodes to return version 3", 30*time.Second, func() bool { return cluster.allRead(3) })
}

// filesOf returns the files on a machine's disk.
func (c *testCluster) filesOf(i int) (files map[string][]byte) {
	c.disks[c.addr(i)].update(func(disk *stallingDisk) { files = maps.Clone(disk.disk.files) })
	return files
}

// checkCopies checks that the disk of each given machine holds a copy of each of its earlier files. The contents are not
// compared.
func (c *testCluster) checkCopies(files map[int]map[string][]byte) {
	c.t.Helper()
	for i, content := range files {
		onDisk := c.filesOf(i)
		for name := range content {
			if _, isCopied := onDisk["superseded-"+name]; !isCopied {
				c.t.Errorf("machine %d: disk holds no copy of %s under the name superseded-%s", i, name, name)
			}
		}
	}
}

// allRead reports whether a read at every running node returns the given version of the routing configuration.
func (c *testCluster) allRead(version uint64) bool {
	for _, node := range c.nodes {
		plan, current, err := node.ReadRoutingConfig(context.Background())
		if err != nil || current != version || !bytes.Equal(plan, body(version, "x")) {
			return false
		}
	}
	return true
}

// An erroneous restore notice names a generation that no group has. Members that receive it fail, but keep their disks,
// since no group of that generation serves. The group serves again after the members are restarted.
func TestUnknownGenerationReplacesNoDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		defer cluster.stopAll()
		cluster.startInitialGroup(3)
		cluster.putVersion(1)
		erroneous := &wire.Message{Kind: wire.MessageKind_RESTORE_NOTICE, From: "10.0.0.9:7360/1", RestoreGeneration: restoredTokenStep * 7}
		for i := 1; i <= 3; i++ {
			if _, err := cluster.node(i).Deliver(context.Background(), &wire.MessageBatch{Format: messageFormat, Messages: []*wire.Message{erroneous}}); err != nil {
				t.Fatalf("delivering the erroneous restore notice to machine %d: %v", i, err)
			}
		}
		time.Sleep(30 * time.Second)
		for i := 1; i <= 3; i++ {
			status, err := cluster.node(i).Status(context.Background(), &wire.StatusRequest{})
			if err != nil || !strings.Contains(status.Shards[0].Failure, "restored without this member") {
				t.Errorf("machine %d after the erroneous restore notice: got status %v, error %v; want the failure of a member that the group was restored without", i, status, err)
			}
			for name := range cluster.filesOf(i) {
				if strings.HasPrefix(name, "superseded-") {
					t.Errorf("machine %d: disk was replaced although no group of the generation serves: found file %s", i, name)
				}
			}
		}
		for i := 1; i <= 3; i++ {
			cluster.stop(i)
			cluster.start(i, false)
		}
		cluster.waitUntil("three voters that all return version 1 after the restart", 15*time.Second, func() bool { return len(cluster.members()) == 3 && cluster.allRead(1) })
	})
}
