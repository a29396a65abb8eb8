package testbed

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"pebbleloom/internal/cli"
)

// confirmation is the input of an operator who, when asked to confirm, first does what the runbook instructs.
type confirmation struct{ do func() }

func (c *confirmation) Read(p []byte) (int, error) {
	if c.do != nil {
		c.do()
		c.do = nil
	}
	return copy(p, "yes\n"), nil
}

// runbookTest runs runbooks on a site.
type runbookTest struct {
	*testing.T
	fleet *Fleet
	dir   string
	node  string // operator address
}

// run runs a runbook by the command line. The operator does what is given when the runbook asks for confirmation.
func (r *runbookTest) run(do func(), args ...string) {
	r.Helper()
	var out, bad bytes.Buffer
	record := filepath.Join(r.dir, args[0]+".jsonl")
	command := append([]string{"--node", r.node, "--record", record, "runbook", "run", "--name"}, args...)
	if code := cli.Main(command, &confirmation{do}, &out, &bad); code != 0 {
		raw, _ := os.ReadFile(record)
		r.Fatalf("%v: exit %d: %s\n%s", args, code, bad.String(), raw)
	}
	if raw, err := os.ReadFile(record); err != nil || strings.Count(string(raw), `"state":"done"`) < 2 {
		r.Fatalf("%v: record %s %v", args, raw, err)
	}
}

// forEach returns a function that does something to each of the processes.
func (r *runbookTest) forEach(do func(string) error, names ...string) func() {
	return func() {
		for _, name := range names {
			if err := do(name); err != nil {
				r.Errorf("%s: %v", name, err)
			}
		}
	}
}

// signal returns a function that sends a signal to each of the processes.
func (r *runbookTest) signal(signal syscall.Signal, names ...string) func() {
	return r.forEach(func(name string) error { return r.fleet.Signal(name, signal) }, names...)
}

func (r *runbookTest) kill(names ...string)         { r.signal(syscall.SIGKILL, names...)() }
func (r *runbookTest) start(names ...string) func() { return r.forEach(r.fleet.Start, names...) }

// awaitStatus waits until the status of the site contains a text.
func (r *runbookTest) awaitStatus(text string) {
	r.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for ctx.Err() == nil { // no pause: each request takes its time, since it queries every core machine
		if _, body := r.fleet.Get(ctx, r.node, "/v1/status"); strings.Contains(body, text) {
			return
		}
	}
	r.Fatalf("the status never contains %s", text)
}

// wipeDisk removes the data of a process.
func (r *runbookTest) wipeDisk(name string) {
	r.Helper()
	if err := os.RemoveAll(r.fleet.settingsOf(name).Data); err != nil {
		r.Fatal(err)
	}
}

// patchFile writes a partial configuration into a file, and returns the runbook's parameter that names it.
func (r *runbookTest) patchFile(name, content string) string {
	r.Helper()
	file := filepath.Join(r.dir, name)
	if err := os.WriteFile(file, []byte(content), 0o644); err != nil {
		r.Fatal(err)
	}
	return "file=" + file
}

// processesOf returns the processes of machines by a pattern of their names.
func processesOf(pattern string, machines ...string) []string {
	return strings.Fields(expandNames(pattern, machines))
}

// Each runbook ends a real fault of a site, and in the end the site has no problem.
func TestRunbooksOnASite(t *testing.T) {
	dir := t.TempDir()
	site, err := NewSite("daegu", dir, 34, nil)
	if err != nil {
		t.Fatal(err)
	}
	site.addAdapters(true)
	fleet, err := Up(context.Background(), site, dir, builtPrograms(t))
	if err != nil {
		t.Fatal(err)
	}
	defer fleet.Stop()
	r := &runbookTest{T: t, fleet: fleet, dir: dir, node: site.Operators[4]}
	r.recoverSimulators()
	r.recoverCoreMachines()
	r.recoverEdgeMachines()
	r.changeConfiguration()
	retireByCommandLine(t, fleet, r.node, r.blockRetirement)

	var out, bad bytes.Buffer
	if code := cli.Main([]string{"--node", r.node, "status"}, &confirmation{}, &out, &bad); code != 0 {
		t.Errorf("in the end the status has a problem: %s%s", out.String(), bad.String())
	}
}

// recoverSimulators runs the runbooks for a lost worker and a lost store.
func (r *runbookTest) recoverSimulators() {
	worker := workerPrefix + "3"
	r.kill(worker)
	r.awaitStatus(`"worker-gone"`)
	r.run(r.start(worker), "worker-gone", "--set", "worker="+worker)

	r.kill(storeName)
	r.awaitStatus(`"no-store"`)
	r.run(r.start(storeName), "store-empty")
}

// recoverCoreMachines runs the runbooks for a lost disk, a lost edge and core machine, and a replaced core machine.
func (r *runbookTest) recoverCoreMachines() {
	// The disk of a core machine is lost: it restarts with an empty one.
	core2 := processesOf(coreProcesses, "core-2")
	r.kill(core2...)
	r.wipeDisk(controlNodePrefix + "core-2")
	r.run(r.start(core2...), "disk-lost", "--set", "machine=core-2")

	edge2 := processesOf(edgeProcesses, "edge-2")
	r.kill(edge2...)
	r.run(r.start(edge2...), "edge-gone", "--set", "machine=edge-2")

	core3 := processesOf(coreProcesses, "core-3")
	r.kill(core3...)
	r.run(r.start(core3...), "core-gone", "--set", "machine=core-3")

	// A core machine is replaced by one with an empty disk at another address, under the same name.
	core4 := processesOf(coreProcesses, "core-4")
	r.kill(core4...)
	r.wipeDisk(controlNodePrefix + "core-4")
	r.forEach(r.fleet.moveAddress, controlNodePrefix+"core-4")()
	r.run(r.start(core4...), "core-replaced", "--set", "machine=core-4")
}

// recoverEdgeMachines runs the runbooks for a frozen machine, and for several lost at once.
func (r *runbookTest) recoverEdgeMachines() {
	edge3 := processesOf(edgeProcesses, "edge-3")
	r.signal(syscall.SIGSTOP, edge3...)()
	r.run(r.signal(syscall.SIGCONT, edge3...), "machine-frozen", "--set", "machine=edge-3")

	many := slices.Concat(processesOf(coreProcesses, "core-1"), processesOf(edgeProcesses, "edge-4"), edge3)
	r.kill(many...)
	r.run(r.start(many...), "many-gone")
}

// changeConfiguration runs the runbooks that change the configuration.
func (r *runbookTest) changeConfiguration() {
	r.run(nil, "seeds-change", "--set", r.patchFile("seeds.json", `{"seeds":["127.34.2.1:7003","127.34.3.1:7003","127.34.2.11:7000"]}`))
	r.run(nil, "setup-wrong", "--set", r.patchFile("right.json", `{"tenants":{"tenant-5":{"inflight":40}}}`))

	r.run(nil, "weights-midday", "--set", "model=gisa", "--set", "weights=2", "--set", "service=gisa-main")
	r.run(nil, "key-leaked", "--set", "tenant=tenant-4", "--set", "key=key-of-daegu-tenant-4")
}

// blockRetirement blocks the retirement under way by the loss of a worker, and runs the runbook for it.
func (r *runbookTest) blockRetirement(problem string) {
	worker := workerPrefix + "7"
	r.kill(worker)
	r.awaitStatus(problem)
	r.run(r.start(worker), "retirement-held", "--set", "service=gisa-main", "--set", "retirement=spring")
}
