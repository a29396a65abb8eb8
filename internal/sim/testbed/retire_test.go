package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pebbleloom/internal/cli"
	"pebbleloom/internal/control/retire"
)

// Exit codes of pebblectl.
const (
	exitOK       = 0
	exitProblems = 1 // the status has problems
	exitBadInput = 2
	exitNotFound = 4
	exitConflict = 5
)

// retireTest retires a site's base model by the command line.
type retireTest struct {
	*testing.T
	node       string // operator address
	file       string // with the retirement
	retirement retire.Retirement
}

// do runs pebblectl, checks its exit code and returns its output.
func (r *retireTest) do(want int, args ...string) string {
	r.Helper()
	var out, bad bytes.Buffer
	if code := cli.Main(append([]string{"--node", r.node}, args...), strings.NewReader(""), &out, &bad); code != want {
		r.Fatalf("pebblectl %v: exit %d, want %d: %s%s", args, code, want, out.String(), bad.String())
	}
	return out.String() + bad.String()
}

// command sends the retirement a command.
func (r *retireTest) command(want int, verb string) {
	r.Helper()
	r.do(want, "retire", verb, "--service", r.retirement.Service, "--name", r.retirement.Name)
}

// write writes the retirement into its file.
func (r *retireTest) write() {
	r.Helper()
	raw, err := json.Marshal(r.retirement)
	if err == nil {
		err = os.WriteFile(r.file, raw, 0o644)
	}
	if err != nil {
		r.Fatal(err)
	}
}

// retireByCommandLine retires a site's base model by pebblectl's commands alone, and checks their exit codes. While the
// retirement is under way block is called with the problem that the status then has.
func retireByCommandLine(t *testing.T, fleet *Fleet, node string, block func(problem string)) {
	t.Helper()
	model := fleet.Site.Traffic.Model
	r := &retireTest{T: t, node: node, file: filepath.Join(t.TempDir(), "spring.json"), retirement: retire.Retirement{Name: "spring", Service: mainService(model),
		OldBase: model, NewBase: nextBuild(model), Replacements: map[string]string{}, TrafficPercents: []int{50, 100}, MaxConcurrent: 6}}
	r.plan(fleet.Site)
	r.startAndPause()
	block(`"retirement-held"`)
	r.awaitDone()
	r.command(exitConflict, "abort")
	if body := r.do(exitOK, "retire", "history", "--name", "spring"); !strings.Contains(body, "running barrier") || !strings.Contains(body, "done") {
		t.Errorf("history: %s", body)
	}
	r.do(exitNotFound, "retire", "status", "--name", "summer")
}

// plan plans the retirement: first without replacements and as a dry run, which change nothing.
func (r *retireTest) plan(site *Site) {
	r.Helper()
	r.write()
	if body := r.do(exitBadInput, "retire", "plan", "--file", r.file, "--dry-run"); !strings.Contains(body, "has no replacement") {
		r.Errorf("a plan without replacements: %s", body)
	}
	for _, kind := range site.Traffic.Kinds[:2] {
		r.retirement.Replacements[kind.Name] = nextBuild(kind.Name)
	}
	r.write()
	r.do(exitOK, "retire", "plan", "--file", r.file, "--dry-run")
	r.command(exitNotFound, "start") // the dry run has written nothing
	r.do(exitOK, "retire", "plan", "--file", r.file)
	r.do(exitConflict, "retire", "plan", "--file", r.file) // it exists already
}

// startAndPause starts, pauses and resumes the retirement. Starting and pausing are idempotent.
func (r *retireTest) startAndPause() {
	r.Helper()
	r.command(exitOK, "start")
	r.command(exitOK, "start")
	r.command(exitOK, "pause")
	r.command(exitOK, "pause")
	if body := r.do(exitProblems, "retire", "status"); !strings.Contains(body, "by an operator") {
		r.Errorf("%s", body)
	}
	r.command(exitOK, "resume")
}

// awaitDone waits until the retirement is done.
func (r *retireTest) awaitDone() {
	r.Helper()
	var list struct{ Retirements []retire.Retirement }
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	for len(list.Retirements) != 1 || list.Retirements[0].State != retire.StateDone {
		var out, bad bytes.Buffer
		if code := cli.Main([]string{"--node", r.node, "retire", "status", "--json"}, strings.NewReader(""), &out, &bad); code > exitProblems {
			r.Fatalf("exit %d: %s", code, bad.String())
		}
		if err := json.Unmarshal(out.Bytes(), &list); err != nil || ctx.Err() != nil {
			r.Fatalf("%v %v: %s", err, ctx.Err(), out.String())
		}
	}
}
