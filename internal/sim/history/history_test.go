package history

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"
)

// key is the name of the document in the histories of these tests; limit is the time limit of a linearizability check.
const (
	key   = "plan"
	limit = 5 * time.Second
)

func newChange(token string, base, version uint64) Change {
	return Change{Key: key, Token: token, BaseVersion: base, NewVersion: version, Body: token}
}

// scriptedHistory adds completed operations to a history.
type scriptedHistory struct{ history *History }

func (s scriptedHistory) acknowledge(change Change) {
	s.history.BeginAttempt(change).Complete(Acknowledged, change.NewVersion)
}
func (s scriptedHistory) reject(change Change, current uint64) {
	s.history.BeginAttempt(change).Complete(Rejected, current)
}
func (s scriptedHistory) read(version uint64, body string) {
	s.history.BeginRead(key).Complete(version, body)
}

// chain adds an acknowledged change for each token, each on the version that the previous one produced.
func (s scriptedHistory) chain(tokens string) {
	for base, token := range strings.Fields(tokens) {
		s.acknowledge(newChange(token, uint64(base), uint64(base+1)))
	}
}

// The checker gives the right result for small histories that are known to be linearizable or not.
func TestCheckerOnKnownHistories(t *testing.T) {
	for _, test := range []struct {
		name         string
		linearizable bool
		record       func(scriptedHistory)
	}{
		{"a read of a document that doesn't exist", true, func(s scriptedHistory) { s.read(0, "") }},
		{"consecutive changes and a read of the last", true, func(s scriptedHistory) { s.chain("a b"); s.read(2, "b") }},
		{"of two concurrent changes on one base version one is rejected", true, func(s scriptedHistory) {
			first, second := s.history.BeginAttempt(newChange("a", 0, 1)), s.history.BeginAttempt(newChange("b", 0, 1))
			first.Complete(Rejected, 1)
			second.Complete(Acknowledged, 1)
			s.read(1, "b")
		}},
		{"two changes are acknowledged on one base version", false, func(s scriptedHistory) { s.acknowledge(newChange("a", 0, 1)); s.acknowledge(newChange("b", 0, 2)) }},
		{"two changes are acknowledged with the same new version", false, func(s scriptedHistory) { s.acknowledge(newChange("a", 0, 1)); s.acknowledge(newChange("b", 0, 1)) }},
		{"a stale read", false, func(s scriptedHistory) { s.chain("a b"); s.read(1, "a") }},
		{"a read concurrent with a change returns the old version", true, func(s scriptedHistory) {
			s.chain("a")
			read, write := s.history.BeginRead(key), s.history.BeginAttempt(newChange("b", 1, 2))
			write.Complete(Acknowledged, 2)
			read.Complete(1, "a")
		}},
		{"a read returns an older version than the read before", false, func(s scriptedHistory) {
			s.chain("a")
			write := s.history.BeginAttempt(newChange("b", 1, 2))
			s.read(2, "b")
			s.read(1, "a")
			write.Complete(Acknowledged, 2)
		}},
		{"an acknowledged change is lost", false, func(s scriptedHistory) { s.chain("a b"); s.acknowledge(newChange("c", 1, 2)); s.read(2, "c") }},
		{"a read returns another content than was written", false, func(s scriptedHistory) { s.chain("a"); s.read(1, "x") }},
		{"a change with an unknown outcome takes effect late", true, func(s scriptedHistory) {
			s.history.BeginAttempt(newChange("a", 0, 1))
			s.read(0, "")
			s.read(1, "a")
		}},
		{"a change with an unknown outcome never takes effect", true, func(s scriptedHistory) {
			s.history.BeginAttempt(newChange("a", 0, 1))
			s.acknowledge(newChange("b", 0, 2))
			s.read(2, "b")
		}},
		{"a change with an unknown outcome takes effect before it was sent", false, func(s scriptedHistory) { s.read(1, "a"); s.history.BeginAttempt(newChange("a", 0, 1)) }},
		{"a change with an unknown outcome takes effect twice", false, func(s scriptedHistory) {
			s.history.BeginAttempt(newChange("a", 0, 1))
			s.read(1, "a")
			s.acknowledge(newChange("b", 1, 2))
			s.read(1, "a")
		}},
		{"a retry is acknowledged again", true, func(s scriptedHistory) {
			s.chain("a b")
			s.acknowledge(newChange("a", 0, 1))
			s.history.BeginAttempt(newChange("a", 0, 1))
			s.read(2, "b")
		}},
		{"a retry is rejected", false, func(s scriptedHistory) { s.chain("a"); s.reject(newChange("a", 0, 1), 1) }},
		{"a late retry is acknowledged again", true, func(s scriptedHistory) {
			s.chain("a b c d e")
			s.acknowledge(newChange("a", 0, 1))
			s.read(5, "e")
		}},
		{"a late retry is rejected", false, func(s scriptedHistory) {
			s.chain("a b c d e")
			s.reject(newChange("a", 0, 1), 5)
		}},
		{"a retry is acknowledged with another version", false, func(s scriptedHistory) {
			s.chain("a b")
			s.history.BeginAttempt(newChange("a", 0, 1)).Complete(Acknowledged, 2)
		}},
		{"a rejected change takes effect", false, func(s scriptedHistory) {
			s.chain("a")
			s.reject(newChange("b", 0, 2), 1)
			s.read(2, "b")
		}},
		{"a change is rejected on the version that it builds on", false, func(s scriptedHistory) {
			s.chain("a")
			s.reject(newChange("b", 1, 2), 1)
			s.read(1, "a")
		}},
		{"a rejection names a version that is no longer current", false, func(s scriptedHistory) { s.chain("a b"); s.reject(newChange("c", 0, 3), 1) }},
		{"an attempt that was not executed takes effect", false, func(s scriptedHistory) {
			s.history.BeginAttempt(newChange("a", 0, 1)).Complete(NotExecuted, 0)
			s.read(1, "a")
		}},
		{"an invalid change takes effect", false, func(s scriptedHistory) {
			s.history.BeginAttempt(newChange("a", 0, 1)).Complete(Invalid, 0)
			s.read(1, "a")
		}},
		{"concurrent patches on any version are applied in turn", true, func(s scriptedHistory) {
			first, second := s.history.BeginAttempt(Change{Key: key, Token: "a", AnyVersion: true}), s.history.BeginAttempt(Change{Key: key, Token: "b", AnyVersion: true})
			first.Complete(Acknowledged, 2)
			second.Complete(Acknowledged, 1)
			s.read(2, "ba")
			s.read(2, "ba")
		}},
		{"two reads after one patch return different contents", false, func(s scriptedHistory) {
			s.history.BeginAttempt(Change{Key: key, Token: "a", AnyVersion: true}).Complete(Acknowledged, 1)
			s.read(1, "x")
			s.read(1, "y")
		}},
		{"another document has its own history", true, func(s scriptedHistory) {
			s.chain("a b")
			s.history.BeginRead("other").Complete(0, "")
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := scriptedHistory{&History{}}
			test.record(s)
			if result := s.history.Check(limit); (len(result.Violations) == 0) != test.linearizable {
				t.Errorf("check returned %+v, want linearizable = %v", result, test.linearizable)
			}
		})
	}
}

// A linearizability check that doesn't finish within its time limit is reported as a violation.
func TestCheckTimeoutIsAViolation(t *testing.T) {
	s := scriptedHistory{&History{}}
	for range 40 {
		s.history.BeginAttempt(Change{Key: key, AnyVersion: true})
	}
	s.acknowledge(newChange("z", 100, 101))
	result := s.history.Check(50 * time.Millisecond)
	if len(result.Violations) != 1 || !strings.Contains(result.Violations[0], "wasn't checked") {
		t.Errorf("check with a limit of 50 ms returned %+v, want one violation that the history wasn't checked", result)
	}
}

// testPrograms are the programs that run the test bed and may link the linearizability checker.
var testPrograms = []string{"pebbleloom/cmd/testbed", "pebbleloom/cmd/loadgen"}

// Only test programs link the linearizability checker.
func TestNoProductProgramLinksTheChecker(t *testing.T) {
	command := exec.Command("go", "list", "-f", `{{.ImportPath}}{{range .Deps}} {{.}}{{end}}`, "./cmd/...", "./platform/...")
	command.Dir = "../../.."
	output, err := command.Output()
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(output)), "\n")
	if len(lines) < 3 {
		t.Fatalf("go list printed %d packages, want at least 3", len(lines))
	}
	for _, line := range lines {
		program, _, _ := strings.Cut(line, " ")
		if strings.Contains(line, "anishathalye/porcupine") && strings.Contains(program, "/cmd/") && !slices.Contains(testPrograms, program) {
			t.Errorf("%s links the linearizability checker porcupine, which only test programs may link", program)
		}
	}
}
