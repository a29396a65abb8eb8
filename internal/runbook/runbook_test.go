package runbook

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"pebbleloom/internal/errs"
)

// fakeEnvironment is an environment in which every wait succeeds, and which counts the actions.
type fakeEnvironment struct {
	rows   map[string][]map[string]string
	done   map[string]int // by token
	asked  int
	reject bool
	looks  int
	after  func(look int, s *fakeEnvironment)
}

func (s *fakeEnvironment) Rows(v string) ([]map[string]string, error) {
	if s.looks++; s.after != nil {
		s.after(s.looks, s)
	}
	return s.rows[v], nil
}
func (s *fakeEnvironment) Do(a string, _ map[string]string, token string) error {
	s.done[token]++
	return nil
}
func (s *fakeEnvironment) Confirm(string) bool { s.asked++; return !s.reject }
func (s *fakeEnvironment) Pause(int)           {}

func one(n int) *int { return &n }

var book = &Runbook{Name: "b", When: "x", Params: map[string]string{"worker": "the worker"}, Steps: []Step{
	{Type: "check", Text: "here", View: "workers", Match: map[string]string{"name": "{worker}"}, Min: one(1)},
	{Type: "do", Text: "drain", Action: "drain", Args: map[string]string{"worker": "{worker}"}},
	{Type: "confirm", Text: "sure?"},
	{Type: "wait", Text: "drained", View: "workers", Match: map[string]string{"name": "{worker}", "state": "draining"}, Min: one(1), WithinSeconds: 5},
	{Type: "do", Text: "back", Action: "undrain", Args: map[string]string{"worker": "{worker}"}},
}}

func newStage() *fakeEnvironment {
	return &fakeEnvironment{done: map[string]int{}, rows: map[string][]map[string]string{"workers": {{"name": "worker-3", "state": "draining"}, {"name": "worker-4", "state": "up"}}}}
}

var set = map[string]string{"worker": "worker-3"}

// The run is interrupted after every line of its record, in turn; going on from the record
// makes every action, none under two tokens, and asks and waits as if nothing had been.
func TestResumeFromEveryLine(t *testing.T) {
	cut := errors.New("interrupted")
	for n := range 10 {
		s := newStage()
		var rec strings.Builder
		left := n
		write := func(l RecordEntry) error {
			if left == 0 {
				return cut
			}
			left--
			return json.NewEncoder(&rec).Encode(l)
		}
		err := Run(book, set, "r", 0, false, s, write)
		if !errors.Is(err, cut) {
			t.Fatalf("after %d lines: %v", n, err)
		}
		left = 1000
		from, got, run, err := Resume(strings.NewReader(rec.String()), book)
		if n == 0 {
			if errs.KindOf(err) != errs.BadInput {
				t.Fatalf("an empty record: %v", err)
			}
			continue
		}
		if err != nil || from != n/2 || got["worker"] != "worker-3" {
			t.Fatalf("after %d lines: from %d, %v, %v", n, from, got, err)
		}
		if err := Run(book, got, run, from, false, s, write); err != nil {
			t.Fatalf("after %d lines: %v", n, err)
		}
		if len(s.done) != 2 || s.done["r/1"] < 1 || s.done["r/4"] < 1 {
			t.Errorf("after %d lines: done %v", n, s.done)
		}
		if _, _, _, err := Resume(strings.NewReader(rec.String()), book); errs.KindOf(err) != errs.Conflict {
			t.Errorf("a run that is through was resumed: %v", err)
		}
	}
}

func TestDryRunLooksOnly(t *testing.T) {
	s := newStage()
	var states []string
	err := Run(book, set, "r", 0, true, s, func(l RecordEntry) error { states = append(states, l.State); return nil })
	if err != nil || len(s.done)+s.asked > 0 || s.looks != 1 || fmt.Sprint(states) != "[begun done planned planned planned planned]" {
		t.Errorf("%v, done %v, asked %d, looked %d, %v", err, s.done, s.asked, s.looks, states)
	}
}

func TestWhatStopsARun(t *testing.T) {
	quiet := func(RecordEntry) error { return nil }
	s := newStage()
	s.rows["workers"] = s.rows["workers"][1:]
	if err := Run(book, set, "r", 0, false, s, quiet); errs.KindOf(err) != errs.CheckFailed || len(s.done) > 0 {
		t.Errorf("a check that fails: %v, done %v", err, s.done)
	}
	s = newStage()
	s.reject = true
	if err := Run(book, set, "r", 0, false, s, quiet); errs.KindOf(err) != errs.CheckFailed || len(s.done) != 1 {
		t.Errorf("not confirmed: %v, done %v", err, s.done)
	}
	s = newStage()
	s.rows["workers"][0]["state"] = "up"
	if err := Run(book, set, "r", 0, false, s, quiet); err == nil || !strings.Contains(err.Error(), "waited 5 s") {
		t.Errorf("a wait that doesn't come true: %v", err)
	}
	s.after = func(look int, s *fakeEnvironment) {
		if look == 12 {
			s.rows["workers"][0]["state"] = "draining"
		}
	}
	s.looks = 5
	if err := Run(book, set, "r", 0, false, s, quiet); err != nil {
		t.Errorf("a wait that comes true late: %v", err)
	}
	for _, bad := range []map[string]string{{}, {"worker": "x", "odd": "y"}} {
		if err := Run(book, bad, "r", 0, false, newStage(), quiet); errs.KindOf(err) != errs.BadInput {
			t.Errorf("%v: %v", bad, err)
		}
	}
}

// Every shipped book is sound, and there is one for each failure of the brief and for each
// that status points to.
func TestShippedBooks(t *testing.T) {
	l, err := Builtin()
	if err != nil {
		t.Fatal(err)
	}
	have := map[string]bool{}
	for _, b := range l {
		have[b.Name] = true
	}
	for _, n := range strings.Fields(`worker-gone replace-service edge-gone core-gone many-gone core-replaced disk-lost disk-full clock-jumped core-split machine-cut
		machine-frozen seeds-change setup-wrong key-leaked links-slow reports-missing weights-midday store-empty move-paused`) {
		if !have[n] {
			t.Errorf("no runbook %s", n)
		}
	}
	if _, err := Read([]byte(`{"name":"x","when":"y","params":{"a":"b"},"steps":[{"type":"do","action":"fly","text":"{c}"},{"type":"wait","of":"stars"},{"type":"pray"}]}`)); err == nil || strings.Count(err.Error(), "steps[") < 7 {
		t.Errorf("a bad book's faults: %v", err)
	}
}
