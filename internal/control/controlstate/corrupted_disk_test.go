package controlstate

import (
	"bytes"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/control/routingconfig"
)

// corruptDisk makes what a stopped machine's disk holds unreadable, and returns its files.
func (c *testCluster) corruptDisk(i int) (files map[string][]byte) {
	c.disks[c.addr(i)].update(func(disk *stallingDisk) {
		corruptSnapshots(disk.disk.files)
		files = maps.Clone(disk.disk.files)
	})
	return files
}

// holdsVersion reports whether a node is a voter and has a version of the routing configuration.
func (c *testCluster) holdsVersion(i int, version uint64) bool {
	view := c.node(i).shards[0].published.current()
	return view.isVoter && view.documents[routingconfig.DocumentKey].GetVersion() == version
}

// A machine whose disk is corrupted joins again as a new member, and keeps copies of what it found.
func TestCorruptedDiskIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		defer cluster.stopAll()
		cluster.startFounders(3)
		cluster.putVersion(1)
		follower := cluster.leader()%3 + 1
		before := cluster.node(follower).currentIncarnation()
		cluster.stop(follower)
		files := cluster.corruptDisk(follower)
		cluster.start(follower, true) // its settings file is that of the site's first start
		cluster.waitUntil("the member's return", 10*time.Second, func() bool { return cluster.holdsVersion(follower, 1) })
		if after := cluster.node(follower).currentIncarnation(); after == before {
			t.Errorf("it goes on as %s", after)
		}
		cluster.disks[cluster.addr(follower)].update(func(disk *stallingDisk) {
			for name, content := range files {
				if !bytes.Equal(disk.disk.files["corrupted-"+name], content) {
					t.Errorf("%s: no copy is kept", name)
				}
			}
		})
	})
}

// Where more disks are corrupted than are tolerated nothing is replaced: an operator may restore one of them, and the
// group serves again, with all that was acknowledged, once enough of them are.
func TestCorruptedMajorityIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		defer cluster.stopAll()
		cluster.startFounders(3)
		cluster.putVersion(1)
		intact := map[int]map[string][]byte{}
		for _, i := range []int{1, 2} {
			cluster.stop(i)
			cluster.disks[cluster.addr(i)].update(func(disk *stallingDisk) { intact[i] = maps.Clone(disk.disk.files) })
		}
		corrupted := map[int]map[string][]byte{1: cluster.corruptDisk(1), 2: cluster.corruptDisk(2)}
		cluster.start(1, false)
		cluster.start(2, false)
		time.Sleep(30 * time.Second) // of the synctest bubble
		for i, files := range corrupted {
			cluster.disks[cluster.addr(i)].update(func(disk *stallingDisk) {
				if !maps.EqualFunc(disk.disk.files, files, bytes.Equal) {
					t.Errorf("machine %d: the disk was changed", i)
				}
			})
		}
		cluster.disks[cluster.addr(1)].update(func(disk *stallingDisk) { disk.disk.files = maps.Clone(intact[1]) })
		for _, i := range []int{1, 2} {
			cluster.waitUntil("the members' return", 15*time.Second, func() bool { return cluster.holdsVersion(i, 1) })
		}
	})
}
