package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	set "pebbleloom/internal/settings"
)

// startSite starts all of a site, and waits until its group has formed and all have heard of each other.
func startSite(t *testing.T) *testSite {
	site := newTestSite(t)
	for i := 1; i <= 4; i++ {
		site.startStateProcess(i)
		site.startIndexProcess(i)
	}
	site.startEdgeProcess(5)
	site.waitUntil("a group", 10*time.Second, func() bool {
		for i := 1; i <= 4; i++ {
			_, nodes, _ := site.runOn(i, "", "nodes")
			if code, _, _ := site.runOn(i, "", "config get"); code != 4 || strings.Count(nodes, "alive") != 9 {
				return false
			}
		}
		return true
	})
	return site
}

// startSiteWithPlan starts a site whose plan is version 3.
func startSiteWithPlan(t *testing.T) *testSite {
	t.Helper()
	site := startSite(t)
	if code, out, bad := site.runOn(2, `{"version":3}`, "config apply --file -"); code != 0 {
		t.Fatalf("exit %d: %s%s", code, out, bad)
	}
	return site
}

// Every command that has a meaning on a site with agreed membership is answered by any core
// machine; every other one says that it has none there and what to use instead. All give JSON.
func TestCommandsOnASite(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		site := startSite(t)
		defer site.stopAll()
		tried := ""
		first := `{"version": 7,  "routes": [{"name":"a","to":"reading"}]}`
		for i, command := range []struct {
			args, in string
			code     int
			says     string // in the answer, or in what is wrong
		}{
			{"config get", "", 4, "no service configuration has been applied yet"},
			{"status", "", 1, "no plan is in force"},
			{"config validate --file -", `{"version":0}`, 2, "version: missing"},
			{"config validate --file -", first, 0, "valid"},
			{"config apply --file - --if-epoch 0", first, 0, "done, epoch 7"},
			{"config apply --file - --if-epoch 0", `{"version":8}`, 5, "in force: 7"},
			{"config apply --file -", `{"version":6}`, 2, "isn't above 7"},
			{"config patch --file - --if-epoch 7 --token t1", `{"version":9,"routes":[{"name":"b","to":"reading"}]}`, 0, "done, epoch 9"},
			{"config patch --file - --if-epoch 7 --token t1", `{"version":9,"routes":[{"name":"b","to":"reading"}]}`, 0, "done, epoch 9"},
			{"config get", "", 0, "epoch 9"},
			{"config diff --file -", `{"version":9,"routes":[{"name":"a","to":"writing"},{"name":"b","to":"reading"}]}`, 0, "routes.a.to"},
			{"nodes", "", 0, operatorAt(2)},
			{"weights name --model daka --weights 0", "", 2, "--weights"},
			{"placement show --service none", "", 4, "no placement"},
			{"placement show", "", 2, "--service"},
			{"keys revoke --tenant t --key k", "", 10, "pebblectl config patch"},
			{"drain --worker w1", "", 10, "pebblectl workers"},
			{"calendar list", "", 10, "pebblectl weights name"},
			{"calendar write --file -", `{"name":"x"}`, 10, "pebblectl weights name"},
			{"calendar check --file -", `{"name":"x"}`, 10, "pebblectl weights name"},
			{"calendar pause --service s --name n", "", 10, "pebblectl weights name"},
			{"calendar resume --service s --name n", "", 10, "pebblectl weights name"},
			{"calendar cancel --service s --name n", "", 10, "pebblectl weights name"},
			{"calendar undo --service s --name n", "", 10, "pebblectl weights name"},
			{"retire plan --file -", `{"name":"x"}`, 10, "pebblectl config patch"},
			{"retire status", "", 10, "pebblectl config patch"},
			{"retire history", "", 10, "pebblectl config patch"},
			{"retire start --service s --name n", "", 10, "pebblectl config patch"},
			{"retire pause --service s --name n", "", 10, "pebblectl config patch"},
			{"retire resume --service s --name n", "", 10, "pebblectl config patch"},
			{"retire abort --service s --name n", "", 10, "pebblectl config patch"},
			{"workers", "", 0, "as seen by the control state"},
			{"explain --request r1", "", 10, "/metrics"},
			{"group restore", "", 0, "a majority of the members answers"},
			{"group restore --confirm x", "", 5, "can't be restored"},
			{"index lookup --model daka --tenant t --part x", "", 0, "HOTNESS"},
			{"index lookup --model daka --tenant nobody --part x", "", 4, "nobody"},
			{"index lookup --model none --tenant t --part x", "", 4, "none"},
		} {
			tried += command.args + "\n"
			node := 1 + i%4
			if code, out, bad := site.runOn(node, command.in, command.args); code != command.code || !strings.Contains(out+bad, command.says) || code > 1 && !strings.Contains(bad, "remedy") {
				t.Errorf("pebblectl %s: exit %d, want %d; %s%s", command.args, code, command.code, out, bad)
			}
			if strings.Contains(command.args, "apply") || strings.Contains(command.args, "patch") {
				continue // a change that was made isn't made again
			}
			code, out, bad := site.runOn(node, command.in, command.args+" --json")
			if code != command.code || !json.Valid([]byte(out+bad)) {
				t.Errorf("pebblectl %s --json: exit %d, want %d; %s%s", command.args, code, command.code, out, bad)
			}
		}
		for _, command := range commands() { // whoever adds one says what it does here
			if !strings.Contains("\n"+tried, "\n"+command.path) && command.path != "config render" && !strings.HasPrefix(command.path, "runbook ") {
				t.Errorf("pebblectl %s: not tried", command.path)
			}
		}
	})
}

// commandOutput are the fields of what a command with --json writes.
type commandOutput struct {
	Ok       bool
	Facts    []struct{ Name, Value string }
	Problems []struct{ Kind, Where string }
	Parts    []struct {
		Member string
		Leader string `json:"owner"`
		State  string
	}
	Named   map[string]int
	Workers []struct {
		Name, State string
		Weights     int
	}
	Version   int `json:"epoch"`
	Placement struct{ Service, Mode string }
}

func (site *testSite) query(i int, args string) (a commandOutput) {
	_, out, bad := site.runOn(i, "", args+" --json")
	if err := json.Unmarshal([]byte(out+bad), &a); err != nil {
		site.t.Fatalf("pebblectl %s: %v: %s%s", args, err, out, bad)
	}
	return a
}

// has reports whether a status names a problem.
func (output commandOutput) has(kind, where string) bool {
	for _, x := range output.Problems {
		if x.Kind == kind && strings.Contains(x.Where, where) {
			return true
		}
	}
	return false
}

func (output commandOutput) fact(name string) string {
	for _, x := range output.Facts {
		if x.Name == name {
			return x.Value
		}
	}
	return ""
}

func (output commandOutput) states() map[string]int {
	m := map[string]int{}
	for _, x := range output.Parts {
		m[x.State]++
	}
	return m
}

// The weights' roll-out, the workers, the placement and the state of the group can be followed from
// any core machine; a machine that is gone, and one that came back without its disk, are named.
func TestStatusFollowsASite(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		site := startSiteWithPlan(t)
		defer site.stopAll()
		site.waitUntil("all is well", 20*time.Second, func() bool { return site.query(3, "status").Ok })
		checkHealthySite(t, site)
		checkCachedPrefixes(t, site)
		checkRollout(t, site)
		checkLostMachines(site)
	})
}

// checkHealthySite: status names the group's members, the index nodes, the lease and the workers.
func checkHealthySite(t *testing.T, site *testSite) {
	t.Helper()
	status := site.query(4, "status")
	if m := status.states(); m["owns"] != 1 || m["follows"] != 2 || m["learner"] != 1 {
		t.Errorf("the group: %+v", status.Parts)
	}
	for name, says := range map[string]string{"plan": "version 3", "members": "archive/m1 archive/m2 archive/m3", "index nodes": "4, serving: catalogue/m",
		"duties of the site": "fence ", "workers": "3: 2 up, 1 draining"} {
		if !strings.Contains(status.fact(name), says) {
			t.Errorf("%s: %q, want %q", name, status.fact(name), says)
		}
	}
}

// checkCachedPrefixes: the index names the workers that cache a prefix, but not to an isolated tenant.
func checkCachedPrefixes(t *testing.T, site *testSite) {
	t.Helper()
	site.waitUntil("what workers cache", 20*time.Second, func() bool { // their events arrive one after another
		_, out, _ := site.runOn(2, "", "index lookup --model daka --tenant t --part p1 --part p2")
		return strings.Contains(out, "w1:confirmed") && strings.Contains(out, "w2:confirmed") && strings.Count(out, "\n") == 3
	})
	if code, out, bad := site.runOn(2, "", "index lookup --model daka --tenant walled --part p1"); code != 0 || strings.Contains(out, "confirmed") {
		t.Errorf("an isolated tenant: exit %d, %s%s", code, out, bad)
	}
}

// rejectOrders has all workers reject orders, or obey them again.
func (site *testSite) rejectOrders(rejected bool) {
	site.mu.Lock()
	defer site.mu.Unlock()
	site.ordersRejected = rejected
}

// checkRollout: weights that are named are shown as behind until the workers serve them; older ones are
// refused, and the same again is acknowledged again.
func checkRollout(t *testing.T, site *testSite) {
	t.Helper()
	site.rejectOrders(true)
	if code, out, bad := site.runOn(2, "", "weights name --model daka --weights 2"); code != 0 {
		t.Fatalf("exit %d: %s%s", code, out, bad)
	}
	if code, _, bad := site.runOn(3, "", "weights name --model daka --weights 1"); code != 2 || !strings.Contains(bad, "older than 2") {
		t.Errorf("older weights: exit %d, %s", code, bad)
	}
	if code, out, _ := site.runOn(3, "", "weights name --model daka --weights 2"); code != 0 || !strings.Contains(out, "named already") {
		t.Errorf("the same weights again: exit %d, %s", code, out)
	}
	if status := site.query(1, "status"); !status.has("older-weights", "daka") || !strings.Contains(status.fact("weights of daka"), "version 2 named, 2 workers behind") {
		t.Errorf("older weights: %+v", status)
	}
	if status := site.query(1, "workers"); status.Named["daka"] != 2 || len(status.Workers) != 3 || status.Workers[0].Weights != 1 || status.Workers[0].State == "up" || status.Workers[2].State != "draining" {
		t.Errorf("workers: %+v", status)
	}
	site.rejectOrders(false)
	site.waitUntil("the roll-out's end", 40*time.Second, func() bool { return site.query(1, "status").Ok })
	if status := site.query(2, "placement show --service reading"); status.Version < 1 || status.Placement.Service != "reading" {
		t.Errorf("placement: %+v", status)
	}
}

// checkLostMachines: an index node that ends is dropped, and a member that comes back without its disk,
// at its own address, is replaced by the spare and becomes a learner.
func checkLostMachines(site *testSite) {
	site.stop("edge5")
	site.stop("index2")
	site.waitUntil("the edge's end", 10*time.Second, func() bool { return !strings.Contains(site.query(1, "status").fact("index nodes"), "4,") })
	site.stop("state3")
	site.disks[ip(3)+":7360"] = nil
	site.waitUntil("a spare's place", 30*time.Second, func() bool { return strings.Contains(site.query(1, "status").fact("members"), "m4") })
	site.startStateProcess(3)
	site.waitUntil("all four", 20*time.Second, func() bool { return site.query(1, "status").states()["learner"] == 1 })
}

// Without a majority every question that needs one says so within the bound, and status says who
// is silent; nothing hangs, and what asks nobody is still answered.
func TestStatusReportsALostQuorum(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		site := startSiteWithPlan(t)
		defer site.stopAll()
		for _, i := range []int{2, 3, 4} { // killed without a shutdown: no hand-over
			site.processes[fmt.Sprint("state", i)].Stop(0)
			delete(site.processes, fmt.Sprint("state", i))
		}
		for args, code := range map[string]int{"config get": 8, "workers": 8, "placement show --service reading": 8, "weights name --model daka --weights 5": 8,
			"config diff --file -": 8, "config validate --file -": 8, "nodes": 0, "status": 1} {
			from := time.Now()
			got, out, bad := site.runOn(1, `{"version":4}`, args)
			if d := time.Since(from); got != code || d > set.DefaultBounds().Heal(0.75) {
				t.Errorf("pebblectl %s: exit %d after %v, want %d; %s%s", args, got, d, code, out, bad)
			}
		}
		if a := site.query(1, "status"); !a.has("part-unowned", "site") || a.has("plan-unknown", "") {
			t.Errorf("%+v", a)
		}
		if code, _, bad := site.runOn(2, "", "nodes"); code != 8 || !strings.Contains(bad, "can't be reached") {
			t.Errorf("a machine that is down: exit %d, %s", code, bad)
		}
	})
}

// An address that isn't an operator's is named as such, with what to do: another process's port,
// a port where operators are served in another form, one that speaks no HTTP.
func TestAWrongPortIsReported(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		site := startSite(t)
		defer site.stopAll()
		odd := func(addr string, play func(net.Conn)) {
			ln, err := site.processes["edge5"].Listen(addr)
			site.requireNoError(err)
			t.Cleanup(func() { ln.Close() })
			go func() {
				for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
					go play(c)
				}
			}()
		}
		odd("10.0.0.9:1", func(c net.Conn) {
			_, _ = c.Read(make([]byte, 1)) // an answer to nothing would be no answer
			go func() { _, _ = c.Write([]byte("220 ready\r\n")) }()
			_, _ = io.Copy(io.Discard, c)
		})
		odd("10.0.0.9:2", func(c net.Conn) {
			_, _ = c.Read(make([]byte, 1))
			c.Close()
		})
		odd("10.0.0.9:3", func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
		for port, says := range map[string]string{"2": "broke off", "3": "no answer in time"} {
			if code, out, bad := site.runOnAddr("10.0.0.9:"+port, "", "drain --worker w"); code != 7 || !strings.Contains(bad, says) {
				t.Errorf("%s: exit %d; %s%s", says, code, out, bad)
			}
		}
		for _, addr := range []string{ip(1) + ":7360", ip(1) + ":7361", ip(1) + ":8683", ip(5) + ":7360", ip(5) + ":8689", ip(5) + ":8687", "10.0.0.9:1"} {
			for _, args := range []string{"status", "config get", "nodes --json", "weights name --model m --weights 3"} {
				if code, out, bad := site.runOnAddr(addr, "", args); code != 2 || !strings.Contains(bad, "something else answers there") {
					t.Errorf("pebblectl --node %s %s: exit %d; %s%s", addr, args, code, out, bad)
				}
			}
		}
	})
}

// What the site's processes show at /metrics, at their internal addresses. Series are bounded:
// names from a fixed list, and labels from one alone.
func TestMetricsOfASite(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		site := startSite(t)
		defer site.stopAll()
		for addr, want := range map[string]string{
			ip(1) + ":7360": "group_members group_votes plan_version parts_owned parts_out state_bytes log_bytes log_behind",
			ip(1) + ":7361": "index_entries lease_held lease_fence plan_version proof_age_seconds workers_known",
			ip(5) + ":7360": "requests extra_attempts_total plan_version proof_age_seconds workers_known seek_calls_total",
		} {
			names, series := site.scrape(addr)
			for _, n := range strings.Fields(want) {
				if !names["pebbleloom_"+n] {
					t.Errorf("%s: no pebbleloom_%s among %v", addr, n, names)
				}
			}
			if series > 64 {
				t.Errorf("%s: %d series", addr, series)
			}
		}
	})
}
