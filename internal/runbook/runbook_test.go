package runbook

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"pebbleloom/internal/errs"
)

// fakeEnvironment is an Environment in memory that counts reads, actions and confirmations.
type fakeEnvironment struct {
	rows          map[string][]map[string]string
	actions       map[string]int // number of executions, by idempotency token
	confirmations int
	reject        bool
	reads         int
	beforeRead    func(read int, environment *fakeEnvironment)
}

func (f *fakeEnvironment) Rows(view string) ([]map[string]string, error) {
	if f.reads++; f.beforeRead != nil {
		f.beforeRead(f.reads, f)
	}
	return f.rows[view], nil
}

func (f *fakeEnvironment) Do(_ string, _ map[string]string, token string) error {
	f.actions[token]++
	return nil
}

func (f *fakeEnvironment) Confirm(string) bool { f.confirmations++; return !f.reject }

func (f *fakeEnvironment) Pause(int) {}

func minimum(n int) *int { return &n }

var sample = &Runbook{Name: "b", When: "x", Params: map[string]string{"worker": "the worker"}, Steps: []Step{
	{Type: Check, Text: "here", View: "workers", Match: map[string]string{"name": "{worker}"}, Min: minimum(1)},
	{Type: Do, Text: "drain", Action: "drain", Args: map[string]string{"worker": "{worker}"}},
	{Type: Confirm, Text: "sure?"},
	{Type: Wait, Text: "drained", View: "workers", Match: map[string]string{"name": "{worker}", "state": "draining"}, Min: minimum(1), WithinSeconds: 5},
	{Type: Do, Text: "back", Action: "undrain", Args: map[string]string{"worker": "{worker}"}},
}}

// newEnvironment returns an environment in which every step of the runbook sample succeeds.
func newEnvironment() *fakeEnvironment {
	return &fakeEnvironment{actions: map[string]int{}, rows: map[string][]map[string]string{"workers": {{"name": "worker-3", "state": "draining"}, {"name": "worker-4", "state": "up"}}}}
}

var start = Progress{RunID: "r", Params: map[string]string{"worker": "worker-3"}}

// A run that is interrupted after any entry of its record can be resumed from the record: every action is
// executed, and one that is repeated keeps its idempotency token.
func TestResumeFromEveryEntry(t *testing.T) {
	interrupted := errors.New("interrupted")
	for entries := range 10 {
		environment := newEnvironment()
		var recorded strings.Builder
		left := entries
		record := func(entry RecordEntry) error {
			if left == 0 {
				return interrupted
			}
			left--
			return json.NewEncoder(&recorded).Encode(entry)
		}
		err := sample.Run(start, false, environment, record)
		if !errors.Is(err, interrupted) {
			t.Fatalf("run interrupted after %d record entries: got error %v, want the interruption", entries, err)
		}
		left = 1000
		progress, err := sample.Resume(strings.NewReader(recorded.String()))
		if entries == 0 {
			if errs.KindOf(err) != errs.BadInput {
				t.Fatalf("resume from an empty record: got error %v, want kind bad-input", err)
			}
			continue
		}
		if err != nil || progress.Next != entries/2 || progress.Params["worker"] != "worker-3" {
			t.Fatalf("resume after %d record entries: got %+v and error %v, want next step %d", entries, progress, err, entries/2)
		}
		if err := sample.Run(progress, false, environment, record); err != nil {
			t.Fatalf("run resumed after %d record entries: %v", entries, err)
		}
		if len(environment.actions) != 2 || environment.actions["r/1"] < 1 || environment.actions["r/4"] < 1 {
			t.Errorf("run resumed after %d record entries: got executions of actions by idempotency token %v, want tokens r/1 and r/4 only", entries, environment.actions)
		}
		if _, err := sample.Resume(strings.NewReader(recorded.String())); errs.KindOf(err) != errs.Conflict {
			t.Errorf("resume a completed run: got error %v, want an error of kind epoch-conflict (nothing left to resume)", err)
		}
	}
}

func TestDryRunChecksOnly(t *testing.T) {
	environment := newEnvironment()
	var states []StepState
	err := sample.Run(start, true, environment, func(entry RecordEntry) error { states = append(states, entry.State); return nil })
	if err != nil || len(environment.actions)+environment.confirmations > 0 || environment.reads != 1 || fmt.Sprint(states) != "[begun done planned planned planned planned]" {
		t.Errorf("dry run: got error %v, actions %v, %d confirmations, %d reads and step states %v, want no actions or confirmations and 1 read", err, environment.actions, environment.confirmations, environment.reads, states)
	}
}

func discard(RecordEntry) error { return nil }

func TestFailedStepEndsTheRun(t *testing.T) {
	t.Run("failed check", func(t *testing.T) {
		environment := newEnvironment()
		environment.rows["workers"] = environment.rows["workers"][1:]
		if err := sample.Run(start, false, environment, discard); errs.KindOf(err) != errs.CheckFailed || len(environment.actions) > 0 {
			t.Errorf("run with a failing check: got error %v and actions %v, want an error of kind not-as-due (a check failed) and no actions", err, environment.actions)
		}
	})
	t.Run("rejected confirmation", func(t *testing.T) {
		environment := newEnvironment()
		environment.reject = true
		if err := sample.Run(start, false, environment, discard); errs.KindOf(err) != errs.CheckFailed || len(environment.actions) != 1 {
			t.Errorf("run with a rejected confirmation: got error %v and actions %v, want an error of kind not-as-due (a check failed) and 1 action", err, environment.actions)
		}
	})
	t.Run("wait that exceeds its time limit", func(t *testing.T) {
		environment := newEnvironment()
		environment.rows["workers"][0]["state"] = "up"
		if err := sample.Run(start, false, environment, discard); err == nil || !strings.Contains(err.Error(), "condition did not hold within 5 s") {
			t.Errorf("wait for a condition that never holds: got error %v, want a time-out after 5 s", err)
		}
		environment.beforeRead = func(read int, environment *fakeEnvironment) {
			if read == 12 {
				environment.rows["workers"][0]["state"] = "draining"
			}
		}
		environment.reads = 5
		if err := sample.Run(start, false, environment, discard); err != nil {
			t.Errorf("wait for a condition that holds before the time limit: %v", err)
		}
	})
	t.Run("missing and unknown parameters", func(t *testing.T) {
		for _, params := range []map[string]string{{}, {"worker": "x", "odd": "y"}} {
			if err := sample.Run(Progress{RunID: "r", Params: params}, false, newEnvironment(), discard); errs.KindOf(err) != errs.BadInput {
				t.Errorf("run with parameters %v: got error %v, want kind bad-input", params, err)
			}
		}
	})
}

// Every built-in runbook is valid, and there is one for each fault that operators must be able to handle and
// for each problem in the status report. Read lists every fault of an invalid runbook.
func TestBuiltinRunbooks(t *testing.T) {
	runbooks, err := Builtin()
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]bool{}
	for _, b := range runbooks {
		found[b.Name] = true
	}
	for _, name := range strings.Fields(`worker-gone replace-service edge-gone core-gone many-gone core-replaced disk-lost disk-full clock-jumped core-split machine-cut
		machine-frozen seeds-change setup-wrong key-leaked links-slow reports-missing weights-midday store-empty move-paused group-lost`) {
		if !found[name] {
			t.Errorf("built-in runbook %s is missing", name)
		}
	}
	if _, err := Read([]byte(`{"name":"x","when":"y","params":{"a":"b"},"steps":[{"type":"do","action":"fly","text":"{c}"},{"type":"wait","of":"stars"},{"type":"pray"}]}`)); err == nil || strings.Count(err.Error(), "steps[") < 7 {
		t.Errorf("read an invalid runbook: got error %v, want at least 7 faults in its steps", err)
	}
}

// A step that waits for one machine's shard replicas must require a minimum number of them: while the machine
// doesn't answer, the status lists none, so a condition with only an upper limit would hold at once.
func TestWaitForShardsNeedsAnswer(t *testing.T) {
	runbooks, err := Builtin()
	if err != nil {
		t.Fatal(err)
	}
	checked := 0
	for _, builtin := range runbooks {
		for _, step := range builtin.Steps {
			if step.Type != Wait || step.View != "parts" || step.Match["member"] != "{machine}" || step.Match["state"] == "out" {
				continue
			}
			if checked++; step.Min == nil || *step.Min < 1 {
				t.Errorf("runbook %s: wait step %q has no minimum, so it passes while the machine doesn't answer", builtin.Name, step.Text)
			}
		}
	}
	if checked != 3 {
		t.Errorf("found %d steps that wait for a machine's shard replicas, want 3", checked)
	}
}
