package history

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"
)

const key = "plan"

const limit = 5 * time.Second

func newChange(token string, base, number uint64) Change {
	return Change{Key: key, Token: token, BaseVersion: base, NewVersion: number, Body: token}
}

// scriptedHistory builds a history step by step.
type scriptedHistory struct{ history *History }

func (s scriptedHistory) acknowledge(change Change) {
	s.history.BeginAttempt(change).Complete(Acknowledged, change.NewVersion)
}
func (s scriptedHistory) reject(change Change, at uint64) {
	s.history.BeginAttempt(change).Complete(Rejected, at)
}
func (s scriptedHistory) read(v uint64, body string) { s.history.BeginRead(key).Complete(v, body) }
func (s scriptedHistory) chain(names string) {
	for i, n := range strings.Fields(names) {
		s.acknowledge(newChange(n, uint64(i), uint64(i+1)))
	}
}

// The checker itself: histories that are known good and known bad.
func TestCheckerOnKnownHistories(t *testing.T) {
	for _, x := range []struct {
		name string
		good bool
		play func(scriptedHistory)
	}{
		{"nothing happened", true, func(s scriptedHistory) { s.read(0, "") }},
		{"one after the other", true, func(s scriptedHistory) { s.chain("a b"); s.read(2, "b") }},
		{"of two on one base one is refused", true, func(s scriptedHistory) {
			first, second := s.history.BeginAttempt(newChange("a", 0, 1)), s.history.BeginAttempt(newChange("b", 0, 1))
			first.Complete(Rejected, 1)
			second.Complete(Acknowledged, 1)
			s.read(1, "b")
		}},
		{"two are acknowledged on one base", false, func(s scriptedHistory) { s.acknowledge(newChange("a", 0, 1)); s.acknowledge(newChange("b", 0, 2)) }},
		{"two are acknowledged under one number", false, func(s scriptedHistory) { s.acknowledge(newChange("a", 0, 1)); s.acknowledge(newChange("b", 0, 1)) }},
		{"a stale read", false, func(s scriptedHistory) { s.chain("a b"); s.read(1, "a") }},
		{"a read beside a change sees either", true, func(s scriptedHistory) {
			s.chain("a")
			read, write := s.history.BeginRead(key), s.history.BeginAttempt(newChange("b", 1, 2))
			write.Complete(Acknowledged, 2)
			read.Complete(1, "a")
		}},
		{"reads go back beside one change", false, func(s scriptedHistory) {
			s.chain("a")
			write := s.history.BeginAttempt(newChange("b", 1, 2))
			s.read(2, "b")
			s.read(1, "a")
			write.Complete(Acknowledged, 2)
		}},
		{"an acknowledged change is lost", false, func(s scriptedHistory) { s.chain("a b"); s.acknowledge(newChange("c", 1, 2)); s.read(2, "c") }},
		{"a read finds another body", false, func(s scriptedHistory) { s.chain("a"); s.read(1, "x") }},
		{"an unknown order comes into force late", true, func(s scriptedHistory) {
			s.history.BeginAttempt(newChange("a", 0, 1))
			s.read(0, "")
			s.read(1, "a")
		}},
		{"an unknown order never comes into force", true, func(s scriptedHistory) {
			s.history.BeginAttempt(newChange("a", 0, 1))
			s.acknowledge(newChange("b", 0, 2))
			s.read(2, "b")
		}},
		{"an unknown order comes into force before it was sent", false, func(s scriptedHistory) { s.read(1, "a"); s.history.BeginAttempt(newChange("a", 0, 1)) }},
		{"an unknown order comes into force twice", false, func(s scriptedHistory) {
			s.history.BeginAttempt(newChange("a", 0, 1))
			s.read(1, "a")
			s.acknowledge(newChange("b", 1, 2))
			s.read(1, "a")
		}},
		{"sent again it is acknowledged again", true, func(s scriptedHistory) {
			s.chain("a b")
			s.acknowledge(newChange("a", 0, 1))
			s.history.BeginAttempt(newChange("a", 0, 1))
			s.read(2, "b")
		}},
		{"sent again it is refused", false, func(s scriptedHistory) { s.chain("a"); s.reject(newChange("a", 0, 1), 1) }},
		{"sent again after others it is acknowledged again", true, func(s scriptedHistory) {
			s.chain("a b c d e")
			s.acknowledge(newChange("a", 0, 1))
			s.read(5, "e")
		}},
		{"sent again after others it is refused", false, func(s scriptedHistory) {
			s.chain("a b c d e")
			s.reject(newChange("a", 0, 1), 5)
		}},
		{"sent again it is acknowledged as another version", false, func(s scriptedHistory) {
			s.chain("a b")
			s.history.BeginAttempt(newChange("a", 0, 1)).Complete(Acknowledged, 2)
		}},
		{"a refused order comes into force", false, func(s scriptedHistory) {
			s.chain("a")
			s.reject(newChange("b", 0, 2), 1)
			s.read(2, "b")
		}},
		{"an order is refused on the version that it builds on", false, func(s scriptedHistory) {
			s.chain("a")
			s.reject(newChange("b", 1, 2), 1)
			s.read(1, "a")
		}},
		{"a refusal names a version of the past", false, func(s scriptedHistory) { s.chain("a b"); s.reject(newChange("c", 0, 3), 1) }},
		{"an attempt that never ran comes into force", false, func(s scriptedHistory) {
			s.history.BeginAttempt(newChange("a", 0, 1)).Complete(NotExecuted, 0)
			s.read(1, "a")
		}},
		{"an invalid order comes into force", false, func(s scriptedHistory) {
			s.history.BeginAttempt(newChange("a", 0, 1)).Complete(Invalid, 0)
			s.read(1, "a")
		}},
		{"patches on any version count up", true, func(s scriptedHistory) {
			first, second := s.history.BeginAttempt(Change{Key: key, Token: "a", AnyVersion: true}), s.history.BeginAttempt(Change{Key: key, Token: "b", AnyVersion: true})
			first.Complete(Acknowledged, 2)
			second.Complete(Acknowledged, 1)
			s.read(2, "ba")
			s.read(2, "ba")
		}},
		{"a patch's outcome is read in two ways", false, func(s scriptedHistory) {
			s.history.BeginAttempt(Change{Key: key, Token: "a", AnyVersion: true}).Complete(Acknowledged, 1)
			s.read(1, "x")
			s.read(1, "y")
		}},
		{"another document has its own history", true, func(s scriptedHistory) {
			s.chain("a b")
			s.history.BeginRead("other").Complete(0, "")
		}},
	} {
		s := scriptedHistory{&History{}}
		x.play(s)
		if result := s.history.Check(limit); (len(result.Violations) == 0) != x.good {
			t.Errorf("%s: %+v", x.name, result)
		}
	}
}

// A check that isn't done in time is a failure, not a pass.
func TestCheckTimeoutIsAViolation(t *testing.T) {
	s := scriptedHistory{&History{}}
	for range 40 {
		s.history.BeginAttempt(Change{Key: key, AnyVersion: true})
	}
	s.acknowledge(newChange("z", 100, 101))
	result := s.history.Check(50 * time.Millisecond)
	if len(result.Violations) != 1 || !strings.Contains(result.Violations[0], "wasn't judged") {
		t.Errorf("%+v", result)
	}
}

// testPrograms drive the test bed; they are no part of the product.
var testPrograms = []string{"pebbleloom/cmd/testbed", "pebbleloom/cmd/loadgen"}

// No program of the product links the checker.
func TestNoProductProgramLinksTheChecker(t *testing.T) {
	command := exec.Command("go", "list", "-f", `{{.ImportPath}}{{range .Deps}} {{.}}{{end}}`, "./cmd/...", "./platform/...")
	command.Dir = "../../.."
	out, err := command.Output()
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(out)), "\n")
	if len(lines) < 3 {
		t.Fatalf("only %d packages listed", len(lines))
	}
	for _, l := range lines {
		program, _, _ := strings.Cut(l, " ")
		if strings.Contains(l, "anishathalye/porcupine") && strings.Contains(program, "/cmd/") && !slices.Contains(testPrograms, program) {
			t.Errorf("%s links the checker", program)
		}
	}
}
