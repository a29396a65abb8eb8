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

// confirmation is the standard input of a runbook. Before the first confirmation it calls do, which does what the
// runbook asks the operator for; it answers every confirmation with yes.
type confirmation struct{ do func() }

func (c *confirmation) Read(p []byte) (int, error) {
	if c.do != nil {
		c.do()
		c.do = nil
	}
	return copy(p, "yes\n"), nil
}

// runbookTest holds the state of a test that runs runbooks on a site.
type runbookTest struct {
	*testing.T
	fleet *Fleet
	dir   string // folder of the site, and of the records of the runbooks
	node  string // operator address that pebblectl connects to
}

// run runs a runbook with pebblectl; args are its name and parameters. It calls do, if not nil, when the runbook first
// asks for confirmation. The runbook must succeed and record at least two steps as done.
func (r *runbookTest) run(do func(), args ...string) {
	r.Helper()
	var stdout, stderr bytes.Buffer
	record := filepath.Join(r.dir, args[0]+".jsonl")
	command := append([]string{"--node", r.node, "--record", record, "runbook", "run", "--name"}, args...)
	if code := cli.Main(command, &confirmation{do}, &stdout, &stderr); code != 0 {
		raw, _ := os.ReadFile(record)
		r.Fatalf("runbook %v: got exit code %d, want 0; standard error: %s\nrecord: %s", args, code, stderr.String(), raw)
	}
	if raw, err := os.ReadFile(record); err != nil || strings.Count(string(raw), `"state":"done"`) < 2 {
		r.Fatalf("runbook %v: got record %s and read error %v, want at least 2 steps with the state done", args, raw, err)
	}
}

// forEach returns a function that calls do with each of the names of processes and reports errors.
func (r *runbookTest) forEach(do func(string) error, names ...string) func() {
	return func() {
		for _, name := range names {
			if err := do(name); err != nil {
				r.Errorf("signal, start or move process %s: got error %v, want none", name, err)
			}
		}
	}
}

// signal returns a function that sends a signal to each of the named processes.
func (r *runbookTest) signal(signal syscall.Signal, names ...string) func() {
	return r.forEach(func(name string) error { return r.fleet.Signal(name, signal) }, names...)
}

func (r *runbookTest) kill(names ...string)         { r.signal(syscall.SIGKILL, names...)() }
func (r *runbookTest) start(names ...string) func() { return r.forEach(r.fleet.Start, names...) }

// awaitStatus polls the status of the site for up to 30 s until it contains a text.
func (r *runbookTest) awaitStatus(text string) {
	r.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for ctx.Err() == nil { // no pause between polls: a request is slow enough, since it queries every core machine
		if _, body := r.fleet.Get(ctx, r.node, "/v1/status"); strings.Contains(body, text) {
			return
		}
	}
	r.Fatalf("status of the site does not contain %s within 30 s", text)
}

// wipeDisk removes the data of a process from the disk.
func (r *runbookTest) wipeDisk(name string) {
	r.Helper()
	if err := os.RemoveAll(r.fleet.settingsOf(name).Data); err != nil {
		r.Fatalf("remove the data of process %s: %v", name, err)
	}
}

// patchFile writes a partial configuration, in JSON, into a file and returns the runbook parameter that names the file.
func (r *runbookTest) patchFile(name, content string) string {
	r.Helper()
	file := filepath.Join(r.dir, name)
	if err := os.WriteFile(file, []byte(content), 0o644); err != nil {
		r.Fatalf("write the partial configuration to %s: %v", file, err)
	}
	return "file=" + file
}

// processesOf returns the names of the processes of machines by a pattern, in which "%" stands for a machine.
func processesOf(pattern string, machines ...string) []string {
	return strings.Fields(expandNames(pattern, machines))
}

// Injects real faults into a site and runs the runbook for each. Every runbook must succeed, and in the end the status
// of the site must show no problem.
func TestRunbooksOnASite(t *testing.T) {
	dir := t.TempDir()
	site, err := NewSite("daegu", dir, 34, nil)
	if err != nil {
		t.Fatalf("lay out site daegu: %v", err)
	}
	site.addAdapters(true)
	fleet, err := Up(context.Background(), site, dir, builtPrograms(t))
	if err != nil {
		t.Fatalf("start site daegu: %v", err)
	}
	defer fleet.Stop()
	r := &runbookTest{T: t, fleet: fleet, dir: dir, node: site.Operators[4]}
	r.recoverSimulators()
	r.recoverCoreMachines()
	r.recoverEdgeMachines()
	r.changeConfiguration()
	retireByCommandLine(t, fleet, r.node, r.blockRetirement)

	var stdout, stderr bytes.Buffer
	if code := cli.Main([]string{"--node", r.node, "status"}, &confirmation{}, &stdout, &stderr); code != 0 {
		t.Errorf("site status after all runbooks: got exit code %d, want 0; output: %s%s", code, stdout.String(), stderr.String())
	}
}

// recoverSimulators runs the runbooks for a crashed worker and a crashed prompt store.
func (r *runbookTest) recoverSimulators() {
	worker := workerPrefix + "3"
	r.kill(worker)
	r.awaitStatus(`"worker-gone"`)
	r.run(r.start(worker), "worker-gone", "--set", "worker="+worker)

	r.kill(storeName)
	r.awaitStatus(`"no-store"`)
	r.run(r.start(storeName), "store-empty")
}

// recoverCoreMachines runs the runbooks for a lost disk, a crashed edge machine, a crashed core machine, and a replaced
// core machine.
func (r *runbookTest) recoverCoreMachines() {
	// A core machine crashes and loses its disk: it restarts with an empty one.
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

	// A core machine is replaced by one with the same name, an empty disk and another address.
	core4 := processesOf(coreProcesses, "core-4")
	r.kill(core4...)
	r.wipeDisk(controlNodePrefix + "core-4")
	r.forEach(r.fleet.moveAddress, controlNodePrefix+"core-4")()
	r.run(r.start(core4...), "core-replaced", "--set", "machine=core-4")
}

// recoverEdgeMachines runs the runbooks for a frozen edge machine, and for several machines that crash at once.
func (r *runbookTest) recoverEdgeMachines() {
	edge3 := processesOf(edgeProcesses, "edge-3")
	r.signal(syscall.SIGSTOP, edge3...)()
	r.run(r.signal(syscall.SIGCONT, edge3...), "machine-frozen", "--set", "machine=edge-3")

	many := slices.Concat(processesOf(coreProcesses, "core-1"), processesOf(edgeProcesses, "edge-4"), edge3)
	r.kill(many...)
	r.run(r.start(many...), "many-gone")
}

// changeConfiguration runs the runbooks in which operators change the configuration.
func (r *runbookTest) changeConfiguration() {
	r.run(nil, "seeds-change", "--set", r.patchFile("seeds.json", `{"seeds":["127.34.2.1:7003","127.34.3.1:7003","127.34.2.11:7000"]}`))
	r.run(nil, "setup-wrong", "--set", r.patchFile("right.json", `{"tenants":{"tenant-5":{"inflight":40}}}`))

	r.run(nil, "weights-midday", "--set", "model=gisa", "--set", "weights=2", "--set", "service=gisa-main")
	r.run(nil, "key-leaked", "--set", "tenant=tenant-4", "--set", "key=key-of-daegu-tenant-4")
}

// blockRetirement blocks the retirement in progress by the crash of a worker, waits until the status shows the problem,
// and runs the runbook for it.
func (r *runbookTest) blockRetirement(problem string) {
	worker := workerPrefix + "7"
	r.kill(worker)
	r.awaitStatus(problem)
	r.run(r.start(worker), "retirement-held", "--set", "service=gisa-main", "--set", "retirement=spring")
}
