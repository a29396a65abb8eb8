package controlstate

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// Checks the reasons against restoring a group from one member that result from various reports of the control nodes.
func TestObjectionsToRestore(t *testing.T) {
	five := membership{[]string{"a/0", "b/0", "c/0", "d/0", "e/0"}, logPosition{2, 7}}
	reportOf := func(name string, end logPosition) memberReport {
		return memberReport{member: name, logEnd: end, newest: five}
	}
	withGeneration := func(s memberReport, generation uint64) memberReport {
		s.generation = generation
		return s
	}
	failing := reportOf("b/0", logPosition{3, 9})
	failing.failure = "no space"
	newerMembers := reportOf("f/1", logPosition{2, 8})
	newerMembers.newest = membership{[]string{"a/0", "f/1", "g/1"}, logPosition{2, 8}}
	self := reportOf("a/0", logPosition{2, 8})
	restored := withGeneration(reportOf("a/1", logPosition{1, 3}), 1<<32)
	restored.newest = membership{[]string{"a/1", "f/1", "g/1"}, logPosition{1, 3}}
	for _, test := range []struct {
		name     string
		self     memberReport
		answered []memberReport
		want     string // text that the objections to the restore must contain; empty: no objection
	}{
		{"only this member responds", self, nil, ""},
		{"two of five members respond", self, []memberReport{reportOf("b/0", logPosition{2, 8})}, ""},
		{"two of five members and a new machine respond", self, []memberReport{reportOf("b/0", logPosition{2, 8}), {member: "c/77"}}, ""},
		{"another member responds that its disk failed", self, []memberReport{failing, reportOf("c/0", logPosition{1, 8})}, ""},
		{"three of five members respond", self, []memberReport{reportOf("b/0", logPosition{2, 8}), reportOf("c/0", logPosition{1, 4})}, "a majority of the members answers: a/0, b/0, c/0"},
		{"the log of another member is longer", self, []memberReport{reportOf("b/0", logPosition{2, 9})}, "the log of b/0 is newer"},
		{"the log of another member ends in a later term", self, []memberReport{reportOf("b/0", logPosition{3, 5})}, "the log of b/0 is newer"},
		{"a majority of a newer membership responds", self, []memberReport{newerMembers}, "a majority of the members answers: a/0, f/1"},
		{"another member belongs to a group that was restored later", self, []memberReport{withGeneration(reportOf("b/0", logPosition{1, 1}), 1<<32)}, "restored after"},
		{"other members belong to the group before the last restore", restored, []memberReport{reportOf("b/0", logPosition{9, 9}), reportOf("c/0", logPosition{9, 9}), reportOf("d/0", logPosition{9, 9})}, ""},
		{"the disk of this member failed", failing, nil, "can't be used: no space"},
		{"the disk of this member is empty", memberReport{member: "a/5"}, nil, "disk is empty"},
	} {
		objections := objectionsToRestore(test.self, append([]memberReport{test.self}, test.answered...))
		if text := strings.Join(objections, "; "); text != "" && test.want == "" || !strings.Contains(text, test.want) {
			t.Errorf("restore when %s: got objections %q, want one that contains %q (empty: no objections)", test.name, text, test.want)
		}
	}
}

// restoreFrom performs a dry run of a restore from a machine, and then the restore.
func (c *testCluster) restoreFrom(i int) {
	c.t.Helper()
	report, err := c.node(i).RestoreGroup(context.Background(), "")
	if err != nil || report.Restored || len(report.Objections) > 0 {
		c.t.Fatalf("dry run of a restore from machine %d: got %+v, error %v; want no objections", i, report, err)
	}
	if report, err = c.node(i).RestoreGroup(context.Background(), report.Member); err != nil || !report.Restored {
		c.t.Fatalf("restore from machine %d: got %+v, error %v; want Restored", i, report, err)
	}
}

// startSurvivor starts a group of three at version 1 and stops all machines but the first.
func startSurvivor(t *testing.T) *testCluster {
	t.Helper()
	cluster := newTestCluster(t)
	cluster.startInitialGroup(3)
	cluster.putEverywhere(1)
	cluster.stop(2)
	cluster.stop(3)
	return cluster
}

// putEverywhere sends the next version of the routing configuration, and waits until every machine has applied it. An
// acknowledgement alone would only show that a majority holds the change.
func (c *testCluster) putEverywhere(version uint64) {
	c.t.Helper()
	c.putVersion(version)
	for i := 1; c.node(i) != nil; i++ {
		c.waitUntil(fmt.Sprintf("machine %d to be a voter with version %d", i, version), 5*time.Second, func() bool { return c.holdsVersion(i, version) })
	}
}

// loseDisk removes the disk of a stopped machine, which gets an empty one at the next start.
func (c *testCluster) loseDisk(i int) { delete(c.disks, c.addr(i)) }

// generation returns the restore generation of a machine's member.
func (c *testCluster) generation(i int) uint64 {
	return c.node(i).shards[0].published.current().generation
}

// awaitRestored waits until each given machine is a voter of a group that was restored once, and has applied a version.
func (c *testCluster) awaitRestored(version uint64, machines ...int) {
	c.t.Helper()
	c.waitUntil(fmt.Sprintf("machines %v to be voters of the restored group with version %d", machines, version), 30*time.Second, func() bool {
		return !slices.ContainsFunc(machines, func(i int) bool {
			return consensus.RestoreCount(c.generation(i)) != 1 || !c.holdsVersion(i, version)
		})
	})
}

// A group of three that lost two disks is restored from the third member. It keeps the acknowledged change and also an
// unacknowledged one that only the surviving member has in its log. The machines with new disks join it, after which it
// tolerates the loss of a machine again.
func TestRestoreAfterMajorityOfDisksIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		defer cluster.stopAll()
		cluster.startInitialGroup(3)
		cluster.putVersion(1)
		survivor := cluster.leader()
		others := slices.DeleteFunc([]int{1, 2, 3}, func(i int) bool { return i == survivor })
		for _, i := range others {
			cluster.setUnreachable(i, true)
		}
		const key = "on one disk"
		put := &wire.Put{Key: key, Body: []byte("{}"), AnyVersion: true}
		response, err := cluster.node(survivor).Change(context.Background(), &wire.ChangeRequest{Command: newPutCommand(put)})
		if err != nil || response.Outcome != wire.OutcomeUnknown {
			t.Fatalf("change without a quorum: got %v, error %v; want outcome %s", response, err, wire.OutcomeUnknown)
		}
		for _, i := range others {
			cluster.stop(i)
			cluster.loseDisk(i)
			cluster.setUnreachable(i, false)
			cluster.start(i, false)
		}
		time.Sleep(20 * time.Second)
		if len(cluster.members()) > 0 {
			t.Fatalf("group that lost two of three disks has a leader, with members %v", cluster.members())
		}
		cluster.restoreFrom(survivor)
		cluster.awaitRestored(1, 1, 2, 3)
		for i := 1; i <= 3; i++ {
			cluster.waitUntil(fmt.Sprintf("machine %d to hold the change that was unacknowledged before the restore", i), 5*time.Second, func() bool {
				return cluster.node(i).shards[0].published.current().documents[key].GetVersion() == 1
			})
		}
		cluster.putVersion(2)
		cluster.stop(survivor)
		cluster.putVersion(3)
	})
}

// fencingToken returns the fencing token of a lease in a machine's applied state.
func (c *testCluster) fencingToken(i int, name string) uint64 {
	shard := c.node(i).shards[0]
	return query(context.Background(), shard, 0, func() uint64 { return shard.state.leases[name].GetFence() })
}

// After a restore the fencing token of a lease is higher than any that the lost members can have granted, and the earlier
// holder cannot renew the lease with its old token.
func TestFencingTokensAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		defer cluster.stopAll()
		cluster.startInitialGroup(3)
		leader := cluster.leader()
		grant := &wire.Grant{Lease: "site", Holder: "x", TtlNs: uint64(time.Second)}
		var granted *wire.ChangeResponse
		cluster.waitUntil("the lease to be granted", 5*time.Second, func() bool { // a new leader does not grant leases immediately, since it may not know all holders yet
			response, err := cluster.node(leader).Change(context.Background(), grantRequest(grant))
			granted = response
			return err == nil && response.Outcome == wire.OutcomeDone
		})
		for i := range 3 {
			if i+1 != leader {
				cluster.stop(i + 1)
			}
		}
		cluster.restoreFrom(leader)
		if token := cluster.fencingToken(leader, "site"); token < granted.Fence+restoredTokenStep {
			t.Errorf("fencing token after the restore is %d, want at least %d (token before the restore: %d)", token, granted.Fence+restoredTokenStep, granted.Fence)
		}
		grant.IfFence = granted.Fence
		cluster.waitUntil("renewal with the token from before the restore to be rejected", 5*time.Second, func() bool {
			response, err := cluster.node(leader).Change(context.Background(), grantRequest(grant))
			if err == nil && response.Outcome == wire.OutcomeDone {
				t.Fatalf("lease was renewed with token %d from before the restore, want a conflict", granted.Fence)
			}
			return err == nil && response.Outcome == wire.OutcomeConflict
		})
	})
}

// A client that knows a later version than the restored group holds receives the version of the restored group. Once it
// knows the restore generation, it receives only newer versions.
func TestFollowAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := startSurvivor(t)
		defer cluster.stopAll()
		cluster.restoreFrom(1)
		request := &wire.FollowRequest{ProofKey: routingconfig.DocumentKey, Known: []*wire.KnownVersion{{Key: routingconfig.DocumentKey, Version: 7}}}
		response, err := cluster.node(1).Follow(context.Background(), request)
		if err != nil || response.RestoreGeneration != cluster.generation(1) || len(response.Documents) != 1 || response.Documents[0].Version != 1 {
			t.Fatalf("long poll by a client of the group before the restore: got %v, error %v; want generation %d and one document at version 1", response, err, cluster.generation(1))
		}
		request.RestoreGeneration, request.Known[0].Version = response.RestoreGeneration, 1
		if response, err = cluster.node(1).Follow(context.Background(), request); err != nil || len(response.Documents) != 0 || !response.NothingNewer {
			t.Errorf("long poll by a client of the restored group: got %v, error %v; want no documents and NothingNewer", response, err)
		}
	})
}

// A restore is refused while the group serves and if it is confirmed with another member's name. A retry of a completed
// restore has no effect.
func TestRestoreIsConfirmedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		defer cluster.stopAll()
		cluster.startInitialGroup(3)
		cluster.putEverywhere(1)
		if report, err := cluster.node(1).RestoreGroup(context.Background(), ""); err != nil || !strings.Contains(fmt.Sprint(report.Objections), "a majority of the members answers") {
			t.Errorf("dry run of a restore while a majority responds: got %+v, error %v; want an objection", report, err)
		}
		first := cluster.node(1).currentIncarnation()
		if report, err := cluster.node(1).RestoreGroup(context.Background(), first); errs.KindOf(err) != errs.Conflict || report.Restored {
			t.Errorf("restore while a majority responds: got %+v, error %v; want a conflict", report, err)
		}
		cluster.stop(2)
		cluster.stop(3)
		if _, err := cluster.node(1).RestoreGroup(context.Background(), first+"x"); errs.KindOf(err) != errs.Conflict {
			t.Errorf("restore confirmed with the wrong member name %q: got error %v, want a conflict", first+"x", err)
		}
		cluster.restoreFrom(1)
		restored, generation := cluster.node(1).currentIncarnation(), cluster.generation(1)
		report, err := cluster.node(1).RestoreGroup(context.Background(), first)
		if err != nil || !report.Restored || report.Member != restored || cluster.generation(1) != generation {
			t.Errorf("retry of a completed restore: got %+v, error %v, generation %d; want Restored, member %s and generation %d", report, err, cluster.generation(1), restored, generation)
		}
		cluster.stop(1)
		cluster.start(1, false)
		if report, err = cluster.node(1).RestoreGroup(context.Background(), first); err != nil || !report.Restored || cluster.generation(1) != generation {
			t.Errorf("retry of a completed restore after a restart: got %+v, error %v, generation %d; want Restored and generation %d", report, err, cluster.generation(1), generation)
		}
	})
}

// A group of five is restored from each of its two survivors while they are partitioned from each other. Once they can
// communicate, one of the two restored groups prevails, and all five machines join it.
func TestTwoMembersAreRestoredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		cluster.toleratedLosses = 2
		defer cluster.stopAll()
		for i := range 5 {
			cluster.start(i+1, true)
		}
		cluster.waitUntil("a group of five voters", 20*time.Second, func() bool { return len(cluster.members()) == 5 })
		cluster.putEverywhere(1)
		for _, i := range []int{3, 4, 5} {
			cluster.stop(i)
			cluster.loseDisk(i)
		}
		for _, i := range []int{1, 2} {
			cluster.setUnreachable(3-i, true)
			cluster.restoreFrom(i)
			cluster.setUnreachable(3-i, false)
		}
		if cluster.generation(1) == cluster.generation(2) {
			t.Fatalf("two independent restores produced the same generation %d", cluster.generation(1))
		}
		newest := max(cluster.generation(1), cluster.generation(2))
		for _, i := range []int{3, 4, 5} {
			cluster.start(i, false)
		}
		cluster.waitUntil(fmt.Sprintf("all five machines to be voters of generation %d", newest), 60*time.Second, func() bool {
			for i := range 5 {
				if view := cluster.node(i + 1).shards[0].published.current(); view.generation != newest || !view.isVoter || len(view.members) != 5 {
					return false
				}
			}
			return true
		})
		cluster.putVersion(2)
	})
}

// If the disk fails during a restore, the member counts as failed until the disk works again. The group is then either
// unchanged or completely restored, and a retry of the restore succeeds.
func TestDiskFailsDuringRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := startSurvivor(t)
		defer cluster.stopAll()
		disk := cluster.disks[cluster.addr(1)]
		report, err := cluster.node(1).RestoreGroup(context.Background(), "")
		if err != nil {
			t.Fatalf("dry run of the restore: %v", err)
		}
		disk.update(func(d *stallingDisk) { d.disk.failWrites = true })
		if _, err := cluster.node(1).RestoreGroup(context.Background(), report.Member); err == nil {
			t.Fatal("restore returned no error although the disk rejected all writes")
		}
		disk.update(func(d *stallingDisk) { d.disk.failWrites = false })
		cluster.waitUntil("the member to reopen its disk", 10*time.Second, func() bool {
			return query(context.Background(), cluster.node(1).shards[0], false, func() bool { return cluster.node(1).shards[0].failure == nil })
		})
		if report, err = cluster.node(1).RestoreGroup(context.Background(), report.Member); err != nil || !report.Restored {
			t.Fatalf("retry of the restore after the disk works again: got %+v, error %v; want Restored", report, err)
		}
		cluster.putVersion(2)
		if addr := controlclient.MemberAddr(cluster.node(1).currentIncarnation()); addr != cluster.addr(1) {
			t.Errorf("restored member has address %s, want %s", addr, cluster.addr(1))
		}
	})
}
