package testbed

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"pebbleloom/internal/cli"
)

// operatorHand is the person at the pebblectl: asked to confirm, it does what the book says first.
type operatorHand struct{ confirm func() }

func (h *operatorHand) Read(p []byte) (int, error) {
	if h.confirm != nil {
		h.confirm()
		h.confirm = nil
	}
	return copy(p, "yes\n"), nil
}

// Runbooks are carried out on a site whose trouble is real: it is brought about, the book
// is run, and in the end nothing is wrong.
func TestRunbooksOnASite(t *testing.T) {
	dir := t.TempDir()
	s, err := LayOut("daegu", dir, 34, nil)
	if err != nil {
		t.Fatal(err)
	}
	s.addAdapters(true)
	f, err := Up(context.Background(), s, dir, builtPrograms(t))
	if err != nil {
		t.Fatal(err)
	}
	defer f.Stop()
	node := s.Operators[4]
	run := func(in *operatorHand, args ...string) {
		t.Helper()
		var out, bad bytes.Buffer
		rec := filepath.Join(dir, args[0]+".jsonl")
		a := append([]string{"--node", node, "--record", rec, "runbook", "run", "--name"}, args...)
		if code := cli.Main(a, in, &out, &bad); code != 0 {
			raw, _ := os.ReadFile(rec)
			t.Fatalf("%v: exit %d: %s\n%s", args, code, bad.String(), raw)
		}
		if raw, err := os.ReadFile(rec); err != nil || strings.Count(string(raw), `"state":"done"`) < 2 {
			t.Fatalf("%v: record %s %v", args, raw, err)
		}
	}
	each := func(do func(string) error, names ...string) func() {
		return func() {
			for _, n := range names {
				if err := do(n); err != nil {
					t.Errorf("%s: %v", n, err)
				}
			}
		}
	}
	kill := func(n string) error { return f.Signal(n, syscall.SIGKILL) }
	gone := func(view string) {
		t.Helper()
		ctx, end := context.WithTimeout(context.Background(), 30*time.Second)
		defer end()
		for ctx.Err() == nil { // each look takes its time: it asks every core machine
			if _, body := f.Get(ctx, node, "/v1/status"); strings.Contains(body, view) {
				return
			}
		}
		t.Fatalf("status never says %s", view)
	}

	each(kill, "cab-3")()
	gone(`"worker-gone"`)
	run(&operatorHand{each(f.Start, "cab-3")}, "worker-gone", "--set", "worker=cab-3")

	each(kill, "depot-1")()
	gone(`"no-store"`)
	run(&operatorHand{each(f.Start, "depot-1")}, "store-empty")

	// A core machine's disk is lost: it comes back empty under its name.
	each(kill, "archive-core-2", "appraiser-core-2")()
	if err := os.RemoveAll(f.settingsOf("archive-core-2").Data); err != nil {
		t.Fatal(err)
	}
	run(&operatorHand{each(f.Start, "archive-core-2", "appraiser-core-2")}, "disk-lost", "--set", "machine=core-2")

	each(kill, "runner-edge-2", "catalogue-edge-2", "dispatcher-edge-2")()
	run(&operatorHand{each(f.Start, "runner-edge-2", "catalogue-edge-2", "dispatcher-edge-2")}, "edge-gone", "--set", "machine=edge-2")

	each(kill, "archive-core-3", "appraiser-core-3")()
	run(&operatorHand{each(f.Start, "archive-core-3", "appraiser-core-3")}, "core-gone", "--set", "machine=core-3")

	// A core machine is replaced: empty, at another address, under its name.
	each(kill, "archive-core-4", "appraiser-core-4")()
	if err := os.RemoveAll(f.settingsOf("archive-core-4").Data); err != nil {
		t.Fatal(err)
	}
	each(f.moveAddress, "archive-core-4")()
	run(&operatorHand{each(f.Start, "archive-core-4", "appraiser-core-4")}, "core-replaced", "--set", "machine=core-4")

	edge3 := []string{"runner-edge-3", "catalogue-edge-3", "dispatcher-edge-3"}
	signal := func(s syscall.Signal) func(string) error { return func(n string) error { return f.Signal(n, s) } }
	each(signal(syscall.SIGSTOP), edge3...)()
	run(&operatorHand{each(signal(syscall.SIGCONT), edge3...)}, "machine-frozen", "--set", "machine=edge-3")

	many := append([]string{"archive-core-1", "appraiser-core-1", "runner-edge-4", "catalogue-edge-4", "dispatcher-edge-4"}, edge3...)
	each(kill, many...)()
	run(&operatorHand{each(f.Start, many...)}, "many-gone")

	part := func(name, body string) string {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(body), 0o644); err != nil {
			t.Fatal(err)
		}
		return "file=" + file
	}
	run(&operatorHand{}, "seeds-change", "--set", part("seeds.json", `{"seeds":["127.34.2.1:7003","127.34.3.1:7003","127.34.2.11:7000"]}`))
	run(&operatorHand{}, "setup-wrong", "--set", part("right.json", `{"tenants":{"tenant-5":{"inflight":40}}}`))

	run(&operatorHand{}, "weights-midday", "--set", "model=gisa", "--set", "weights=2", "--set", "service=gisa-main")
	run(&operatorHand{}, "key-leaked", "--set", "tenant=tenant-4", "--set", "key=key-of-daegu-tenant-4")

	retireByCommandLine(t, f, node, func(held string) {
		each(kill, "cab-7")()
		gone(held)
		run(&operatorHand{each(f.Start, "cab-7")}, "retirement-held", "--set", "service=gisa-main", "--set", "retirement=spring")
	})

	var out, bad bytes.Buffer
	if code := cli.Main([]string{"--node", node, "status"}, &operatorHand{}, &out, &bad); code != 0 {
		t.Errorf("in the end something is wrong: %s%s", out.String(), bad.String())
	}
}
