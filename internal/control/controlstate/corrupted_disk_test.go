package controlstate

import (
	"bytes"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/control/routingconfig"
)

// corruptDisk corrupts the snapshots on the disk of a stopped machine, and returns all files as they are afterwards.
func (c *testCluster) corruptDisk(i int) (files map[string][]byte) {
	c.disks[c.addr(i)].update(func(disk *stallingDisk) {
		corruptSnapshots(disk.disk.files)
		files = maps.Clone(disk.disk.files)
	})
	return files
}

// holdsVersion reports whether a node is a voter and has applied exactly the given version of the routing configuration.
func (c *testCluster) holdsVersion(i int, version uint64) bool {
	view := c.node(i).shards[0].published.current()
	return view.isVoter && view.documents[routingconfig.DocumentKey].GetVersion() == version
}

// A machine whose disk is corrupted joins the group again under a new incarnation, and keeps copies of the corrupted
// files.
func TestCorruptedDiskIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		defer cluster.stopAll()
		cluster.startInitialGroup(3)
		cluster.putVersion(1)
		follower := cluster.leader()%3 + 1
		before := cluster.node(follower).currentIncarnation()
		cluster.stop(follower)
		files := cluster.corruptDisk(follower)
		cluster.start(follower, true) // the settings still say that this is the first start of the site, which must not bootstrap a new group
		cluster.waitUntil("the machine with the corrupted disk to be a voter with version 1 again", 10*time.Second, func() bool { return cluster.holdsVersion(follower, 1) })
		if after := cluster.node(follower).currentIncarnation(); after == before {
			t.Errorf("member still has incarnation %s after its disk was corrupted, want a new one", after)
		}
		cluster.disks[cluster.addr(follower)].update(func(disk *stallingDisk) {
			for name, content := range files {
				if !bytes.Equal(disk.disk.files["corrupted-"+name], content) {
					t.Errorf("disk holds no identical copy of the corrupted file %s under the name corrupted-%s", name, name)
				}
			}
		})
	})
}

// If more disks are corrupted than the group tolerates, none of them is replaced, since their contents are all that the
// group can be restored from. Once one of them is readable again, the group serves all acknowledged changes, and the
// member that is still corrupted joins again.
func TestCorruptedMajorityIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		defer cluster.stopAll()
		cluster.startInitialGroup(3)
		cluster.putVersion(1)
		intact := map[int]map[string][]byte{}
		for _, i := range []int{1, 2} {
			cluster.stop(i)
			cluster.disks[cluster.addr(i)].update(func(disk *stallingDisk) { intact[i] = maps.Clone(disk.disk.files) })
		}
		corrupted := map[int]map[string][]byte{1: cluster.corruptDisk(1), 2: cluster.corruptDisk(2)}
		cluster.start(1, false)
		cluster.start(2, false)
		time.Sleep(30 * time.Second) // virtual time, in which an erroneous replacement would have happened
		for i, files := range corrupted {
			cluster.disks[cluster.addr(i)].update(func(disk *stallingDisk) {
				if !maps.EqualFunc(disk.disk.files, files, bytes.Equal) {
					t.Errorf("machine %d: files on the corrupted disk changed while no quorum served, want them unchanged", i)
				}
			})
		}
		cluster.disks[cluster.addr(1)].update(func(disk *stallingDisk) { disk.disk.files = maps.Clone(intact[1]) })
		for _, i := range []int{1, 2} {
			cluster.waitUntil(fmt.Sprintf("machine %d to be a voter with version 1 again", i), 15*time.Second, func() bool { return cluster.holdsVersion(i, 1) })
		}
	})
}
