package mutation

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"
)

// mutant is one planted fault: a piece of a source file that is replaced, and the test that has to
// fail because of it.
type mutant struct {
	point       int    // of docs/control.md
	name        string // the fault, in a few words
	file        string // from the project's root
	original    string // stands in the file exactly once
	replacement string
	pkg         string // whose test finds it, from the project's root
	run         string // the test, as for go test -run
	env         []string
}

// mutants are those of all points; each file pointN_test.go registers its own.
var mutants []mutant

func register(list ...mutant) bool {
	mutants = append(mutants, list...)
	return true
}

const root = "../../.."

// testFailed is what go test prints of a test that failed, as against one that wasn't built or run.
var testFailed = regexp.MustCompile(`(?m)^\s*--- FAIL: `)

// searched is what a search prints of the rule that was broken and of how long it took to find that.
var searched = regexp.MustCompile(`.*\n\s*found in .*`)

// seedFound is the first seed of a simulator that failed, where one did, and what it saw.
var seedFound = regexp.MustCompile(`seed \d+: .{0,160}`)

// howFound is what the failing test says of its search: states or seeds.
func howFound(out []byte) []byte {
	if how := searched.Find(out); how != nil {
		return how
	}
	return seedFound.Find(out)
}

// overlay writes the mutated file and the file that go test's -overlay reads.
func overlay(t *testing.T, m mutant) string {
	t.Helper()
	source, err := filepath.Abs(filepath.Join(root, m.file))
	if err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(source)
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(string(raw), m.original); n != 1 {
		t.Fatalf("%s holds the original %d times, it must once: %q", m.file, n, m.original)
	}
	dir := t.TempDir()
	mutated := filepath.Join(dir, "mutated.go")
	if err := os.WriteFile(mutated, []byte(strings.Replace(string(raw), m.original, m.replacement, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	list, err := json.Marshal(map[string]map[string]string{"Replace": {source: mutated}})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(file, list, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Every planted fault is found by the test that is named beside it. That this test passes without
// the fault is seen by its own run.
func TestPlantedFaultsAreFound(t *testing.T) {
	if len(mutants) == 0 {
		t.Fatal("no fault is planted")
	}
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			begun := time.Now()
			c := exec.Command("go", "test", "-count=1", "-timeout=5m", "-overlay="+overlay(t, m), "-run="+m.run, "./"+m.pkg)
			c.Dir, c.Env = root, append(os.Environ(), m.env...)
			out, err := c.CombinedOutput()
			if err == nil || !testFailed.Match(out) {
				t.Fatalf("point %d: not found by %s of %s: %v\n%s", m.point, m.run, m.pkg, err, out)
			}
			t.Logf("point %d: found by %s after %v %s", m.point, m.run, time.Since(begun).Round(time.Millisecond), howFound(out))
		})
	}
}
