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

// startSite starts all processes of a site and waits until the consensus group has formed and every core machine
// lists all nine nodes as alive.
func startSite(t *testing.T) *testSite {
	site := newTestSite(t)
	for i := 1; i <= 4; i++ {
		site.startStateProcess(i)
		site.startIndexProcess(i)
	}
	site.startEdgeProcess(5)
	site.waitUntil("consensus group formed and all nodes alive", 10*time.Second, func() bool {
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

// startSiteWithPlan starts a site and applies version 3 of its routing plan.
func startSiteWithPlan(t *testing.T) *testSite {
	t.Helper()
	site := startSite(t)
	if code, out, stderr := site.runOn(2, `{"version":3}`, "config apply --file -"); code != 0 {
		t.Fatalf("config apply of version 3: got exit code %d and output %s%s, want exit code 0", code, out, stderr)
	}
	return site
}

// On a platform site, any core machine serves every supported command; unsupported ones fail with exit code 10
// and name the alternative. With --json, all results and errors are JSON.
func TestCommandsOnASite(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		site := startSite(t)
		defer site.stopAll()
		tested := ""
		plan := `{"version": 7,  "routes": [{"name":"a","to":"reading"}]}`
		for i, command := range []struct {
			args, in string
			code     int
			want     string // text that the output or the error contains
		}{
			{"config get", "", 4, "no service configuration has been applied yet"},
			{"status", "", 1, "no routing plan is in force"},
			{"config validate --file -", `{"version":0}`, 2, "version: missing"},
			{"config validate --file -", plan, 0, "valid"},
			{"config apply --file - --if-epoch 0", plan, 0, "done, epoch 7"},
			{"config apply --file - --if-epoch 0", `{"version":8}`, 5, "document version 7,"},
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
			{"workers", "", 0, "reported by the control state"},
			{"explain --request r1", "", 10, "/metrics"},
			{"group restore", "", 0, "a majority of the members answers"},
			{"group restore --confirm x", "", 5, "can't be restored"},
			{"index lookup --model daka --tenant t --part x", "", 0, "HOTNESS"},
			{"index lookup --model daka --tenant nobody --part x", "", 4, "nobody"},
			{"index lookup --model none --tenant t --part x", "", 4, "none"},
		} {
			tested += command.args + "\n"
			node := 1 + i%4
			if code, out, stderr := site.runOn(node, command.in, command.args); code != command.code || !strings.Contains(out+stderr, command.want) || code > 1 && !strings.Contains(stderr, "remedy") {
				t.Errorf("pebblectl %s: got exit code %d and output %s%s, want exit code %d and text %q", command.args, code, out, stderr, command.code, command.want)
			}
			if strings.Contains(command.args, "apply") || strings.Contains(command.args, "patch") {
				continue // the change has taken effect, so repeating it would fail
			}
			code, out, stderr := site.runOn(node, command.in, command.args+" --json")
			if code != command.code || !json.Valid([]byte(out+stderr)) {
				t.Errorf("pebblectl %s --json: got exit code %d and output %s%s, want exit code %d and valid JSON", command.args, code, out, stderr, command.code)
			}
		}
		for _, command := range commands() { // every command needs a row in the table above
			if !strings.Contains("\n"+tested, "\n"+command.path) && command.path != "config render" && !strings.HasPrefix(command.path, "runbook ") {
				t.Errorf("pebblectl %s has no row in the table of this test", command.path)
			}
		}
	})
}

// commandOutput holds the fields of commands' JSON output that the tests read.
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
	_, out, stderr := site.runOn(i, "", args+" --json")
	if err := json.Unmarshal([]byte(out+stderr), &a); err != nil {
		site.t.Fatalf("pebblectl %s --json: decode output %s%s: %v", args, out, stderr, err)
	}
	return a
}

// hasProblem reports whether a status contains a problem of a kind at a location that contains where.
func (output commandOutput) hasProblem(kind, where string) bool {
	for _, problem := range output.Problems {
		if problem.Kind == kind && strings.Contains(problem.Where, where) {
			return true
		}
	}
	return false
}

func (output commandOutput) fact(name string) string {
	for _, fact := range output.Facts {
		if fact.Name == name {
			return fact.Value
		}
	}
	return ""
}

func (output commandOutput) replicaStates() map[string]int {
	counts := map[string]int{}
	for _, replica := range output.Parts {
		counts[replica.State]++
	}
	return counts
}

// The status at any core machine shows the consensus group, the index nodes, the workers and the rollout of
// weights. It also shows that an index node stopped and that a spare replaced a member that lost its disk.
func TestStatusFollowsASite(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		site := startSiteWithPlan(t)
		defer site.stopAll()
		site.waitUntil("status without problems", 20*time.Second, func() bool { return site.query(3, "status").Ok })
		checkHealthySite(t, site)
		checkCachedPrefixes(t, site)
		checkRollout(t, site)
		checkLostMachines(site)
	})
}

// checkHealthySite checks that the status lists the group's members, the index nodes, the lease and the workers.
func checkHealthySite(t *testing.T, site *testSite) {
	t.Helper()
	status := site.query(4, "status")
	if m := status.replicaStates(); m["owns"] != 1 || m["follows"] != 2 || m["learner"] != 1 {
		t.Errorf("replicas of the consensus group: got %+v, want 1 leader, 2 followers and 1 learner", status.Parts)
	}
	for name, want := range map[string]string{"plan": "version 3", "members": "archive/m1 archive/m2 archive/m3", "index nodes": "4, serving: catalogue/m",
		"duties of the site": "fencing token ", "workers": "3: 2 up, 1 draining"} {
		if !strings.Contains(status.fact(name), want) {
			t.Errorf("status fact %s: got %q, want it to contain %q", name, status.fact(name), want)
		}
	}
}

// checkCachedPrefixes checks that the index lists the workers that cache a prefix, but not for an isolated
// tenant, whose prompts have a separate cache.
func checkCachedPrefixes(t *testing.T, site *testSite) {
	t.Helper()
	site.waitUntil("index lists the cached prefixes of both workers", 20*time.Second, func() bool { // cache events of the workers arrive one after another
		_, out, _ := site.runOn(2, "", "index lookup --model daka --tenant t --part p1 --part p2")
		return strings.Contains(out, "w1:confirmed") && strings.Contains(out, "w2:confirmed") && strings.Count(out, "\n") == 3
	})
	if code, out, stderr := site.runOn(2, "", "index lookup --model daka --tenant walled --part p1"); code != 0 || strings.Contains(out, "confirmed") {
		t.Errorf("index lookup for a tenant whose prompts are cached separately: got exit code %d and output %s%s, want exit code 0 and no worker that caches the prompt", code, out, stderr)
	}
}

// rejectOrders sets whether all workers reject the orders to load other weights.
func (site *testSite) rejectOrders(rejected bool) {
	site.mu.Lock()
	defer site.mu.Unlock()
	site.ordersRejected = rejected
}

// checkRollout checks that workers are shown as outdated until they serve the target weights, that an older
// target is rejected, and that setting the same target again succeeds.
func checkRollout(t *testing.T, site *testSite) {
	t.Helper()
	site.rejectOrders(true)
	if code, out, stderr := site.runOn(2, "", "weights name --model daka --weights 2"); code != 0 {
		t.Fatalf("weights name with version 2: got exit code %d and output %s%s, want exit code 0", code, out, stderr)
	}
	if code, _, stderr := site.runOn(3, "", "weights name --model daka --weights 1"); code != 2 || !strings.Contains(stderr, "of daka are older than 2") {
		t.Errorf("weights name with an older version: got exit code %d and error %s, want exit code 2", code, stderr)
	}
	if code, out, _ := site.runOn(3, "", "weights name --model daka --weights 2"); code != 0 || !strings.Contains(out, "weights 2 of daka are the target already") {
		t.Errorf("weights name with the same version: got exit code %d and output %s, want exit code 0", code, out)
	}
	if status := site.query(1, "status"); !status.hasProblem("older-weights", "daka") || !strings.Contains(status.fact("weights of daka"), "target version 2, 2 workers on outdated weights") {
		t.Errorf("status while workers reject the rollout: got %+v, want problem older-weights and 2 workers on outdated weights", status)
	}
	if status := site.query(1, "workers"); status.Named["daka"] != 2 || len(status.Workers) != 3 || status.Workers[0].Weights != 1 || status.Workers[0].State == "up" || status.Workers[2].State != "draining" {
		t.Errorf("workers while they reject the rollout: got %+v, want target 2, w1 not up on weights 1 and w3 draining", status)
	}
	site.rejectOrders(false)
	site.waitUntil("rollout of weights completed", 40*time.Second, func() bool { return site.query(1, "status").Ok })
	if status := site.query(2, "placement show --service reading"); status.Version < 1 || status.Placement.Service != "reading" {
		t.Errorf("placement show: got %+v, want a placement of service reading", status)
	}
}

// checkLostMachines checks that a stopped index node is removed from the status, and that a member that lost
// its disk is replaced by the spare and becomes a learner when it restarts at its own address.
func checkLostMachines(site *testSite) {
	site.stop("edge5")
	site.stop("index2")
	site.waitUntil("index2 removed from the index nodes", 10*time.Second, func() bool { return !strings.Contains(site.query(1, "status").fact("index nodes"), "4,") })
	site.stop("state3")
	site.disks[ip(3)+":7360"] = nil
	site.waitUntil("spare m4 is a member", 30*time.Second, func() bool { return strings.Contains(site.query(1, "status").fact("members"), "m4") })
	site.startStateProcess(3)
	site.waitUntil("restarted state3 is a learner", 20*time.Second, func() bool { return site.query(1, "status").replicaStates()["learner"] == 1 })
}

// Without a majority of the members, commands that need one fail within three quarters of the recovery bound,
// the status reports that the group has no leader, and commands that need no majority still succeed.
func TestStatusReportsALostQuorum(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		site := startSiteWithPlan(t)
		defer site.stopAll()
		for _, i := range []int{2, 3, 4} { // stopped without a shutdown, so leadership isn't transferred
			site.processes[fmt.Sprint("state", i)].Stop(0)
			delete(site.processes, fmt.Sprint("state", i))
		}
		for args, code := range map[string]int{"config get": 8, "workers": 8, "placement show --service reading": 8, "weights name --model daka --weights 5": 8,
			"config diff --file -": 8, "config validate --file -": 8, "nodes": 0, "status": 1} {
			from := time.Now()
			got, out, stderr := site.runOn(1, `{"version":4}`, args)
			if d := time.Since(from); got != code || d > set.DefaultBounds().Recovery(0.75) {
				t.Errorf("pebblectl %s without a majority: got exit code %d after %v and output %s%s, want exit code %d within %v", args, got, d, out, stderr, code, set.DefaultBounds().Recovery(0.75))
			}
		}
		if a := site.query(1, "status"); !a.hasProblem("part-unowned", "site") || a.hasProblem("plan-unknown", "") {
			t.Errorf("status without a majority: got %+v, want problem part-unowned (no leader) and not plan-unknown (reading the routing plan failed)", a)
		}
		if code, _, stderr := site.runOn(2, "", "nodes"); code != 8 || !strings.Contains(stderr, "can't be reached") {
			t.Errorf("pebblectl nodes at a stopped machine: got exit code %d and error %s, want exit code 8", code, stderr)
		}
	})
}

// A command sent to an address that doesn't serve the operator API reports this with a remedy, whether the
// port belongs to another process of the site, serves another API for operators, or doesn't speak HTTP.
func TestAWrongPortIsReported(t *testing.T) {
	skipUnderRace(t)
	synctest.Test(t, func(t *testing.T) {
		site := startSite(t)
		defer site.stopAll()
		startListener := func(addr string, serve func(net.Conn)) {
			ln, err := site.processes["edge5"].Listen(addr)
			site.requireNoError(err)
			t.Cleanup(func() { ln.Close() })
			go func() {
				for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
					go serve(c)
				}
			}()
		}
		startListener("10.0.0.9:1", func(c net.Conn) {
			_, _ = c.Read(make([]byte, 1)) // an HTTP client ignores bytes that arrive before it has sent its request
			go func() { _, _ = c.Write([]byte("220 ready\r\n")) }()
			_, _ = io.Copy(io.Discard, c)
		})
		startListener("10.0.0.9:2", func(c net.Conn) {
			_, _ = c.Read(make([]byte, 1))
			c.Close()
		})
		startListener("10.0.0.9:3", func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
		for port, want := range map[string]string{"2": "broke before a complete response", "3": "did not answer within the time limit"} {
			if code, out, stderr := site.runOnAddr("10.0.0.9:"+port, "", "drain --worker w"); code != 7 || !strings.Contains(stderr, want) {
				t.Errorf("drain sent to port %s: got exit code %d and output %s%s, want exit code 7 and text %q", port, code, out, stderr, want)
			}
		}
		for _, addr := range []string{ip(1) + ":7360", ip(1) + ":7361", ip(1) + ":8683", ip(5) + ":7360", ip(5) + ":8689", ip(5) + ":8687", "10.0.0.9:1"} {
			for _, args := range []string{"status", "config get", "nodes --json", "weights name --model m --weights 3"} {
				if code, out, stderr := site.runOnAddr(addr, "", args); code != 2 || !strings.Contains(stderr, "the response isn't from the operator API") {
					t.Errorf("pebblectl --node %s %s: got exit code %d and output %s%s, want exit code 2 and an error about the address", addr, args, code, out, stderr)
				}
			}
		}
	})
}

// The processes of a site serve the expected metrics at /metrics of their internal addresses, with at most 64
// series each.
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
					t.Errorf("metrics at %s: pebbleloom_%s is missing among %v", addr, n, names)
				}
			}
			if series > 64 {
				t.Errorf("metrics at %s: got %d series, want at most 64", addr, series)
			}
		}
	})
}
