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

// killState ends a machine's state process without a shutdown, as a loss of power does; loseDisk: its disk is gone.
func (site *testSite) killState(i int, loseDisk bool) {
	name := fmt.Sprint("state", i)
	site.processes[name].Stop(0)
	delete(site.processes, name)
	if loseDisk {
		site.disks[ip(i)+":7360"] = nil
	}
}

// memberToConfirm is the member that the dry run of a restore asks to be confirmed.
func memberToConfirm(t *testing.T, out string) string {
	t.Helper()
	_, after, ok := strings.Cut(out, "--confirm ")
	if !ok {
		t.Fatalf("no member to confirm: %s", out)
	}
	return strings.TrimSpace(after)
}

// operatorSteps confirms the steps of a runbook, each after it has carried out what the step asks for.
type operatorSteps struct{ steps []func() }

func (o *operatorSteps) Read(answer []byte) (int, error) {
	if len(o.steps) == 0 {
		return 0, io.EOF
	}
	step := o.steps[0]
	o.steps = o.steps[1:]
	step()
	return copy(answer, "yes\n"), nil
}

// An operator restores a site of which all disks but one are lost, by what the command says: it refuses while there is
// no need, does nothing without the member's name, and can be sent again. The edge then serves the plan that survived,
// and the site accepts changes.
func TestGroupRestore(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		site := startSiteWithPlan(t)
		defer site.stopAll()
		code, out, bad := site.runOn(1, "", "group restore")
		if code != 0 || !strings.Contains(out, "a majority of the members answers") {
			t.Errorf("in a group that serves: exit %d, %s%s", code, out, bad)
		}
		for _, i := range []int{2, 3, 4} {
			site.killState(i, true)
		}
		code, out, bad = site.runOn(1, "", "group restore")
		if code != 0 || !strings.Contains(out, "version 3") || !strings.Contains(out, ip(3)+":7360") {
			t.Fatalf("dry run: exit %d, %s%s", code, out, bad)
		}
		member := memberToConfirm(t, out)
		if code, out, bad := site.runOn(1, "", "group restore --confirm "+member+"0"); code != 5 || !strings.Contains(bad, "but this member is "+member) {
			t.Errorf("another member: exit %d, %s%s", code, out, bad)
		}
		if site.query(1, "status").Ok {
			t.Fatal("all is well without a majority")
		}
		for range 2 {
			if code, out, bad := site.runOn(1, "", "group restore --confirm "+member); code != 0 || !strings.Contains(out, "the group is restored from this member") {
				t.Fatalf("exit %d, %s%s", code, out, bad)
			}
		}
		for _, i := range []int{2, 3, 4} {
			site.startStateProcess(i)
		}
		site.waitUntil("all is well", 40*time.Second, func() bool { return site.query(3, "status").Ok })
		if code, out, bad := site.runOn(3, `{"version":4}`, "config apply --file - --if-epoch 3"); code != 0 {
			t.Errorf("a change: exit %d, %s%s", code, out, bad)
		}
		if code, out, bad := site.runOn(4, "", "config get"); code != 0 || !strings.Contains(out, "epoch 4") {
			t.Errorf("the change: exit %d, %s%s", code, out, bad)
		}
	})
}

// The runbook for a group that is lost, with what its steps ask an operator to do.
func TestRunbookForALostGroup(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		site := startSiteWithPlan(t)
		defer site.stopAll()
		runbook := func(steps ...func()) (int, string) {
			var out, bad bytes.Buffer
			record := filepath.Join(t.TempDir(), "run.jsonl")
			args := []string{"--node", operatorAt(1), "runbook", "run", "--name", "group-lost", "--record", record}
			code := Run(args, &operatorSteps{steps}, &out, &bad, site.http)
			return code, out.String() + bad.String()
		}
		if code, text := runbook(); code != 1 || !strings.Contains(text, "no core machine leads the group") {
			t.Errorf("in a group that serves: exit %d, %s", code, text)
		}
		for _, i := range []int{2, 3, 4} {
			site.killState(i, true)
		}
		site.waitUntil("no leader", 10*time.Second, func() bool { return site.query(1, "status").has("part-unowned", "site") })
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
			t.Errorf("exit %d, %s", code, text)
		}
		site.waitUntil("all is well", 40*time.Second, func() bool { return site.query(3, "status").Ok })
	})
}
