package mutation

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"
)

// mutant is one injected fault: the piece of a source file that is replaced by faulty code, and the test that
// must then fail.
type mutant struct {
	point       int    // number of the guarantee in docs/control.md that the fault breaks; 0: none
	name        string // short description of the fault; also the name of the subtest
	file        string // path of the source file from the repository's root
	original    string // source text to replace; occurs in the file exactly once
	replacement string
	pkg         string   // package whose test must fail, as a path from the repository's root
	run         string   // pattern of the test that must fail, as for go test -run
	env         []string // environment variables of that test, added to those of this process
	runs        int      // how often the test is run, 0 for once; more where a race with net/http's own reader can hide the fault
}

// mutants lists all mutants; each test file with mutants adds its own by register.
var mutants []mutant

func register(rows ...mutant) bool {
	mutants = append(mutants, rows...)
	return true
}

// root is the repository's root directory, relative to this package.
const root = "../../.."

// testFailed matches go test's output for a failed test. It doesn't match a build failure or a missing test.
var testFailed = regexp.MustCompile(`(?m)^\s*--- FAIL: `)

// searchReport matches the model checker's report: the violated invariant, and how many states were searched.
var searchReport = regexp.MustCompile(`.*\n\s*found in .*`)

// seedReport matches a simulation's report: the first seed that failed, and the violation that it found.
var seedReport = regexp.MustCompile(`seed \d+: .{0,160}`)

// howFound returns the part of a failed test's output that reports how many states or seeds it searched.
func howFound(output []byte) []byte {
	if report := searchReport.Find(output); report != nil {
		return report
	}
	return seedReport.Find(output)
}

// mutate returns the contents of the source file with the fault injected.
func (m mutant) mutate() (string, error) {
	source, err := os.ReadFile(filepath.Join(root, m.file))
	if err != nil {
		return "", err
	}
	if count := strings.Count(string(source), m.original); count != 1 {
		return "", fmt.Errorf("%s contains the mutant's original text %d times, want once: %q", m.file, count, m.original)
	}
	return strings.Replace(string(source), m.original, m.replacement, 1), nil
}

// writeOverlay writes the mutated source file, and the JSON file for the -overlay flag of go test that replaces the
// original by it. It returns the path of the JSON file.
func writeOverlay(t *testing.T, m mutant) string {
	t.Helper()
	mutated, err := m.mutate()
	if err != nil {
		t.Fatalf("inject fault %q: %v", m.name, err)
	}
	source, err := filepath.Abs(filepath.Join(root, m.file))
	if err != nil {
		t.Fatalf("absolute path of source file %s: %v", m.file, err)
	}
	dir := t.TempDir()
	mutatedFile, overlayFile := filepath.Join(dir, "mutated.go"), filepath.Join(dir, "overlay.json")
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {source: mutatedFile}})
	if err != nil {
		t.Fatalf("encode the overlay file for %s: %v", m.file, err)
	}
	for file, content := range map[string]string{mutatedFile: mutated, overlayFile: string(overlay)} {
		if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
			t.Fatalf("write the mutated source or its overlay file: %v", err)
		}
	}
	return overlayFile
}

// Each injected fault makes the mutant's test fail. That this test passes without the fault isn't checked here,
// but by the regular run of the test suite.
func TestPlantedFaultsAreFound(t *testing.T) {
	if len(mutants) == 0 {
		t.Fatal("the list of mutants is empty, want at least one")
	}
	for _, m := range mutants {
		t.Run(m.name, func(t *testing.T) {
			begun := time.Now()
			command := exec.Command("go", "test", fmt.Sprintf("-count=%d", max(1, m.runs)), "-timeout=5m", "-overlay="+writeOverlay(t, m), "-run="+m.run, "./"+m.pkg)
			command.Dir, command.Env = root, append(os.Environ(), m.env...)
			output, err := command.CombinedOutput()
			if err == nil || !testFailed.Match(output) {
				t.Fatalf("injected fault (point %d of docs/control.md) did not make test %s of %s fail: go test returned error %v\n%s", m.point, m.run, m.pkg, err, output)
			}
			t.Logf("injected fault (point %d of docs/control.md) made test %s fail after %v %s", m.point, m.run, time.Since(begun).Round(time.Millisecond), howFound(output))
		})
	}
}

// Each mutant's original text occurs exactly once in its file, its replacement differs and is valid Go syntax, its
// name is unique, and its test pattern matches a test of its package. This detects mutants that no longer match
// the sources without the time that running them takes.
func TestRowsMatchTheSources(t *testing.T) {
	names := map[string]bool{}
	tests := map[string][]string{}
	for _, m := range mutants {
		if names[m.name] {
			t.Errorf("two mutants have the name %q, want unique names", m.name)
		}
		names[m.name] = true
		mutated, err := m.mutate()
		if err != nil {
			t.Errorf("inject fault %q: %v", m.name, err)
			continue
		}
		if m.replacement == m.original {
			t.Errorf("mutant %q: replacement and original are the same text", m.name)
		}
		if _, err := parser.ParseFile(token.NewFileSet(), m.file, mutated, parser.SkipObjectResolution); err != nil {
			t.Errorf("mutant %q: %s isn't valid Go syntax with the replacement: %v", m.name, m.file, err)
		}
		if tests[m.pkg] == nil {
			tests[m.pkg] = testNames(t, m.pkg)
		}
		if !runsAny(t, m.run, tests[m.pkg]) {
			t.Errorf("mutant %q: package %s has no test that -run=%s matches", m.name, m.pkg, m.run)
		}
	}
	if len(mutants) == 0 {
		t.Error("the list of mutants is empty, want at least one")
	}
}

// testNames lists the names of the test functions of a package.
func testNames(t *testing.T, pkg string) (names []string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, pkg, "*_test.go"))
	if err != nil || len(files) == 0 {
		t.Fatalf("list test files of package %s: found %d, error %v; want at least one", pkg, len(files), err)
	}
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatalf("parse test file %s: %v", file, err)
		}
		for _, declaration := range parsed.Decls {
			if function, ok := declaration.(*ast.FuncDecl); ok && function.Recv == nil && strings.HasPrefix(function.Name.Name, "Test") {
				names = append(names, function.Name.Name)
			}
		}
	}
	return names
}

// runsAny reports whether a pattern for go test -run matches the name of a test. The part of the pattern that
// selects subtests is ignored.
func runsAny(t *testing.T, pattern string, tests []string) bool {
	t.Helper()
	top, _, _ := strings.Cut(pattern, "/")
	expression, err := regexp.Compile(top)
	if err != nil {
		t.Fatalf("compile the mutant's test pattern %q: %v", top, err)
	}
	for _, name := range tests {
		if expression.MatchString(name) {
			return true
		}
	}
	return false
}
