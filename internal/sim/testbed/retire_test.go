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
	exitOK       = 0 // the command succeeded
	exitProblems = 1 // the command succeeded, and reports problems of the site
	exitBadInput = 2 // the input is invalid
	exitNotFound = 4 // the named object does not exist
	exitConflict = 5 // the object exists already, or its state does not permit the command
)

// retireTest holds the state of a test that retires a site's base model with pebblectl.
type retireTest struct {
	*testing.T
	node       string            // operator address that pebblectl connects to
	file       string            // path of the file with the plan of the retirement, in JSON
	retirement retire.Retirement // plan of the retirement
}

// do runs pebblectl, checks its exit code and returns its standard output and standard error.
func (r *retireTest) do(want int, args ...string) string {
	r.Helper()
	var stdout, stderr bytes.Buffer
	if code := cli.Main(append([]string{"--node", r.node}, args...), strings.NewReader(""), &stdout, &stderr); code != want {
		r.Fatalf("pebblectl %v: got exit code %d, want %d; output: %s%s", args, code, want, stdout.String(), stderr.String())
	}
	return stdout.String() + stderr.String()
}

// command sends a command to the retirement through pebblectl and checks the exit code.
func (r *retireTest) command(want int, verb string) {
	r.Helper()
	r.do(want, "retire", verb, "--service", r.retirement.Service, "--name", r.retirement.Name)
}

// write writes the plan of the retirement into its file.
func (r *retireTest) write() {
	r.Helper()
	raw, err := json.Marshal(r.retirement)
	if err == nil {
		err = os.WriteFile(r.file, raw, 0o644)
	}
	if err != nil {
		r.Fatalf("write the plan of the retirement to %s: %v", r.file, err)
	}
}

// retireByCommandLine retires a site's base model with commands of pebblectl only, and checks their exit codes. While
// the retirement is in progress it calls block, which must make a worker fail, with the kind of problem that the status
// of the site must then contain.
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
		t.Errorf("history of the retirement: got %s, want it to contain \"running barrier\" and \"done\"", body)
	}
	r.do(exitNotFound, "retire", "status", "--name", "summer")
}

// plan plans the retirement. Before that, it tries a plan without replacements, which must be rejected, and a dry run,
// which must not create the retirement.
func (r *retireTest) plan(site *Site) {
	r.Helper()
	r.write()
	if body := r.do(exitBadInput, "retire", "plan", "--file", r.file, "--dry-run"); !strings.Contains(body, "has no replacement") {
		r.Errorf("plan of a retirement without replacements for its adapters: got output %s, want it to contain \"has no replacement\"", body)
	}
	for _, kind := range site.Traffic.Kinds[:2] {
		r.retirement.Replacements[kind.Name] = nextBuild(kind.Name)
	}
	r.write()
	r.do(exitOK, "retire", "plan", "--file", r.file, "--dry-run")
	r.command(exitNotFound, "start") // the dry run must not have created the retirement
	r.do(exitOK, "retire", "plan", "--file", r.file)
	r.do(exitConflict, "retire", "plan", "--file", r.file) // the retirement exists already
}

// startAndPause starts, pauses and resumes the retirement. It starts and pauses it twice, as both commands must be
// idempotent.
func (r *retireTest) startAndPause() {
	r.Helper()
	r.command(exitOK, "start")
	r.command(exitOK, "start")
	r.command(exitOK, "pause")
	r.command(exitOK, "pause")
	if body := r.do(exitProblems, "retire", "status"); !strings.Contains(body, "by an operator") {
		r.Errorf("status of a paused retirement: got %s, want it to contain \"by an operator\"", body)
	}
	r.command(exitOK, "resume")
}

// awaitDone polls with pebblectl until the retirement is done, for at most two minutes.
func (r *retireTest) awaitDone() {
	r.Helper()
	var list struct{ Retirements []retire.Retirement }
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	for len(list.Retirements) != 1 || list.Retirements[0].State != retire.StateDone {
		var stdout, stderr bytes.Buffer
		if code := cli.Main([]string{"--node", r.node, "retire", "status", "--json"}, strings.NewReader(""), &stdout, &stderr); code > exitProblems {
			r.Fatalf("pebblectl retire status: got exit code %d, want at most %d; standard error: %s", code, exitProblems, stderr.String())
		}
		if err := json.Unmarshal(stdout.Bytes(), &list); err != nil || ctx.Err() != nil {
			r.Fatalf("wait at most 2 minutes until the retirement of the base model is done: got decoding error %v and context error %v, want neither; last status: %s", err, ctx.Err(), stdout.String())
		}
	}
}
