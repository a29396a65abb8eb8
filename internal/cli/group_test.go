package cli

import (
	"bytes"
	"fmt"
	"io"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// killState stops a machine's control-state process without a shutdown, as a power failure does. With loseDisk,
// the machine's disk is erased.
func (site *testSite) killState(i int, loseDisk bool) {
	name := fmt.Sprint("state", i)
	site.processes[name].Stop(0)
	delete(site.processes, name)
	if loseDisk {
		site.disks[ip(i)+":7360"] = nil
	}
}

// memberToConfirm returns the member name from the --confirm flag that the dry run of a restore prints.
func memberToConfirm(t *testing.T, out string) string {
	t.Helper()
	_, after, ok := strings.Cut(out, "--confirm ")
	if !ok {
		t.Fatalf("dry run of group restore: got %s, want a --confirm flag with a member", out)
	}
	return strings.TrimSpace(after)
}

// confirmingOperator is a standard input that answers yes to each confirmation of a runbook, after calling the
// function for that confirmation.
type confirmingOperator struct{ steps []func() }

func (o *confirmingOperator) Read(answer []byte) (int, error) {
	if len(o.steps) == 0 {
		return 0, io.EOF
	}
	step := o.steps[0]
	o.steps = o.steps[1:]
	step()
	return copy(answer, "yes\n"), nil
}

// A site that lost all disks but one is restored from the remaining member. Group restore raises an objection
// while a majority answers, changes nothing without the right member name, and can be repeated. Afterwards the
// status has no problems, and the site accepts and serves configuration changes.
func TestGroupRestore(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		site := startSiteWithPlan(t)
		defer site.stopAll()
		code, out, stderr := site.runOn(1, "", "group restore")
		if code != 0 || !strings.Contains(out, "a majority of the members answers") {
			t.Errorf("group restore with a majority: got exit code %d and output %s%s, want exit code 0 and the objection that a majority answers", code, out, stderr)
		}
		for _, i := range []int{2, 3, 4} {
			site.killState(i, true)
		}
		code, out, stderr = site.runOn(1, "", "group restore")
		if code != 0 || !strings.Contains(out, "version 3") || !strings.Contains(out, ip(3)+":7360") {
			t.Fatalf("dry run of group restore: got exit code %d and output %s%s, want exit code 0, plan version 3 and member %s:7360", code, out, stderr, ip(3))
		}
		member := memberToConfirm(t, out)
		if code, out, stderr := site.runOn(1, "", "group restore --confirm "+member+"0"); code != 5 || !strings.Contains(stderr, "but this member is "+member) {
			t.Errorf("group restore with another member's name: got exit code %d and output %s%s, want exit code 5 and the name %s", code, out, stderr, member)
		}
		if site.query(1, "status").Ok {
			t.Fatal("pebblectl status without a majority of the consensus group: got ok, want problems")
		}
		for range 2 {
			if code, out, stderr := site.runOn(1, "", "group restore --confirm "+member); code != 0 || !strings.Contains(out, "the consensus group is restored from this member") {
				t.Fatalf("group restore --confirm %s: got exit code %d and output %s%s, want exit code 0", member, code, out, stderr)
			}
		}
		for _, i := range []int{2, 3, 4} {
			site.startStateProcess(i)
		}
		site.waitUntil("status without problems", 40*time.Second, func() bool { return site.query(3, "status").Ok })
		if code, out, stderr := site.runOn(3, `{"version":4}`, "config apply --file - --if-epoch 3"); code != 0 {
			t.Errorf("config apply after the restore: got exit code %d and output %s%s, want exit code 0", code, out, stderr)
		}
		if code, out, stderr := site.runOn(4, "", "config get"); code != 0 || !strings.Contains(out, "epoch 4") {
			t.Errorf("config get after the restore: got exit code %d and output %s%s, want version 4", code, out, stderr)
		}
	})
}

// The runbook group-lost fails at its first check while the group has a leader, and restores a group that lost
// its majority if the operator does what its confirmations ask for.
func TestRunbookForALostGroup(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		site := startSiteWithPlan(t)
		defer site.stopAll()
		runbook := func(steps ...func()) (int, string) {
			var out, stderr bytes.Buffer
			record := filepath.Join(t.TempDir(), "run.jsonl")
			args := []string{"--node", operatorAt(1), "runbook", "run", "--name", "group-lost", "--record", record}
			code := Run(args, &confirmingOperator{steps}, &out, &stderr, site.http)
			return code, out.String() + stderr.String()
		}
		if code, text := runbook(); code != 1 || !strings.Contains(text, "no core machine leads the consensus group") {
			t.Errorf("runbook group-lost in a group with a leader: got exit code %d and output %s, want exit code 1 at the first check", code, text)
		}
		for _, i := range []int{2, 3, 4} {
			site.killState(i, true)
		}
		site.waitUntil("status reports that the group has no leader", 10*time.Second, func() bool { return site.query(1, "status").hasProblem("part-unowned", "site") })
		restore := func() {
			_, out, _ := site.runOn(1, "", "group restore")
			site.runOn(1, "", "group restore --confirm "+memberToConfirm(t, out))
		}
		startOthers := func() {
			for _, i := range []int{2, 3, 4} {
				site.startStateProcess(i)
			}
		}
		doNothing := func() {}
		if code, text := runbook(doNothing, restore, startOthers, doNothing); code != 0 {
			t.Errorf("runbook group-lost: got exit code %d and output %s, want exit code 0", code, text)
		}
		site.waitUntil("status without problems", 40*time.Second, func() bool { return site.query(3, "status").Ok })
	})
}
