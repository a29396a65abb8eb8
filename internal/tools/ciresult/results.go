package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"slices"
	"strings"
)

const (
	module   = "pebbleloom/"
	maxKnown = 3 // known failures that may be listed
)

// event is one event of `go test -json`.
type event struct {
	Action     string
	Package    string
	ImportPath string // of a build failure
	Test       string
	Elapsed    float64 // s
	Output     string
}

// knownFailure is one line of KNOWN-RED.txt: test, cause, issue.
type knownFailure struct{ test, cause, issue string }

// readKnown reads the list of known failures; without a file there are none.
func readKnown(file string) ([]knownFailure, error) {
	raw, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return parseKnown(string(raw))
}

// parseKnown parses the lines FOLDER.TestName, cause, issue.
func parseKnown(text string) ([]knownFailure, error) {
	var listed []knownFailure
	for line := range strings.Lines(text) {
		if line = strings.TrimSpace(line); line == "" {
			continue
		}
		test, rest, _ := strings.Cut(line, ",")
		cause, issue := "", ""
		if i := strings.LastIndex(rest, ","); i >= 0 {
			cause, issue = strings.TrimSpace(rest[:i]), strings.TrimSpace(rest[i+1:])
		}
		folder, name, ok := strings.Cut(strings.TrimSpace(test), ".")
		if !ok || folder == "" || !strings.HasPrefix(name, "Test") || cause == "" || issue == "" {
			return nil, fmt.Errorf("%q: give FOLDER.TestName, cause, issue", line)
		}
		listed = append(listed, knownFailure{strings.TrimSpace(test), cause, issue})
	}
	if len(listed) > maxKnown {
		return nil, fmt.Errorf("%d known failures, at most %d: mend some first", len(listed), maxKnown)
	}
	return listed, nil
}

// testState counts the outcomes of the runs of a top-level test.
type testState struct {
	running, passed, failed, skipped int
	output                           []outputLine      // of the test and its subtests
	lastActions                      map[string]string // the newest action by test or subtest
}

// outputLine is a line that a test or a subtest printed.
type outputLine struct{ test, text string }

// failureOutput returns what the tests and subtests that didn't pass printed. CI's record may show the end
// of its output alone, so the lines of the subtests that passed are left out.
func (t *testState) failureOutput() string {
	var text strings.Builder
	for _, line := range t.output {
		if t.lastActions[line.test] != "pass" {
			text.WriteString(line.text)
		}
	}
	return text.String()
}

// packageState is the outcome of the runs of a package.
type packageState struct {
	seconds     float64
	failed      bool
	ended       bool
	output      []string // outside tests
	buildFailed bool     // it didn't build
}

// results collects the events of all runs of go test.
type results struct {
	tests    map[string]*testState // by folder and name
	packages map[string]*packageState
	exits    int // runs of go test that ended with an error
}

func newResults() *results {
	return &results{tests: map[string]*testState{}, packages: map[string]*packageState{}}
}

// folderOf returns the folder of an import path within the module.
func folderOf(importPath string) string {
	path, _, _ := strings.Cut(importPath, " ")
	return strings.TrimPrefix(path, module)
}

// readFile adds the events in a file, without those of some folders.
func (r *results) readFile(name string, without []string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return r.read(file, without)
}

// read adds the events of a run of go test, without those of some folders. The last one must be its exit code, which CI
// appends; it says nothing about the others where folders are left out.
func (r *results) read(in io.Reader, without []string) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 16<<20)
	exited, tests := false, false
	for lines.Scan() {
		var e event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return fmt.Errorf("not an event: %.80s", lines.Text())
		}
		if e.Action == "exit" {
			exited = true
			if e.Elapsed != 0 && len(without) == 0 {
				r.exits++
			}
			continue
		}
		tests = tests || e.Test != ""
		if !slices.Contains(without, folderOf(e.Package)) {
			r.add(e)
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	if !exited || !tests {
		return fmt.Errorf("no test ran, or go test's exit code is missing")
	}
	return nil
}

// add adds an event to the state of its test or package.
func (r *results) add(event event) {
	if event.Package == "" && event.ImportPath != "" {
		event.Package = event.ImportPath
	}
	p := r.packages[folderOf(event.Package)]
	if p == nil {
		p = &packageState{}
		r.packages[folderOf(event.Package)] = p
	}
	if event.Test == "" {
		p.add(event)
		return
	}
	name, sub, _ := strings.Cut(event.Test, "/")
	key := folderOf(event.Package) + "." + name
	t := r.tests[key]
	if t == nil {
		t = &testState{lastActions: map[string]string{}}
		r.tests[key] = t
	}
	if event.Action == "output" {
		t.output = append(t.output, outputLine{event.Test, event.Output})
		return
	}
	if t.lastActions[event.Test] != "fail" { // a test that fails in one of the runs has failed
		t.lastActions[event.Test] = event.Action
	}
	if sub != "" {
		return // the test itself fails with it
	}
	switch event.Action {
	case "run":
		t.running++
	case "pass":
		t.passed++
	case "fail":
		t.failed++
	case "skip":
		t.skipped++
	}
}

func (p *packageState) add(e event) {
	switch e.Action {
	case "output", "build-output":
		p.output = append(p.output, e.Output)
	case "build-fail":
		p.buildFailed = true
	case "pass", "skip":
		p.seconds, p.ended = p.seconds+e.Elapsed, true
	case "fail":
		p.seconds, p.ended, p.failed = p.seconds+e.Elapsed, true, true
	}
}

func sortedKeys[V any](m map[string]V) []string {
	var l []string
	for k := range m {
		l = append(l, k)
	}
	slices.Sort(l)
	return l
}

// printTimes prints the time of each package, the slowest first.
func (r *results) printTimes(out io.Writer) {
	l := sortedKeys(r.packages)
	slices.SortStableFunc(l, func(a, b string) int { return int((r.packages[b].seconds - r.packages[a].seconds) * 1000) })
	for _, folder := range l {
		if s := r.packages[folder].seconds; s > 0 {
			fmt.Fprintf(out, "%8.1f s  %s\n", s, folder)
		}
	}
}

// printTotals prints how the top-level tests of all runs ended, known failures among the failed ones, and
// returns how many passed.
func (r *results) printTotals(out io.Writer) (passed int) {
	failed, skipped := 0, 0
	for _, t := range r.tests {
		passed += t.passed
		failed += t.failed
		skipped += t.skipped
	}
	fmt.Fprintf(out, "%d passed, %d failed, %d skipped\n", passed, failed, skipped)
	return passed
}

// judge returns the reasons why CI fails, if any, and prints the known failures.
func (r *results) judge(known []knownFailure, out io.Writer) (faults []string) {
	excused := map[string]bool{}
	for _, k := range known {
		t := r.tests[k.test]
		switch {
		case t == nil || t.running == t.skipped:
			faults = append(faults, fmt.Sprintf("KNOWN-RED.txt: %s: no such test ran: take it off the list", k.test))
		case t.failed == 0 && t.running <= t.passed+t.skipped:
			faults = append(faults, fmt.Sprintf("KNOWN-RED.txt: %s passes: take it off the list", k.test))
		default:
			excused[k.test] = true
			fmt.Fprintf(out, "known red: %s (%s; %s)\n", k.test, k.cause, k.issue)
		}
	}
	explained := map[string]bool{} // folders with a test that failed
	for _, key := range sortedKeys(r.tests) {
		t := r.tests[key]
		unfinished := t.running > t.passed+t.failed+t.skipped
		if t.failed == 0 && !unfinished {
			continue
		}
		folder := key[:strings.LastIndex(key, ".")]
		explained[folder] = true
		switch {
		case excused[key]:
		case unfinished:
			faults = append(faults, fmt.Sprintf("%s didn't end:\n%s", key, t.failureOutput()))
		default:
			faults = append(faults, fmt.Sprintf("%s failed:\n%s", key, t.failureOutput()))
		}
	}
	for _, folder := range sortedKeys(r.packages) {
		p := r.packages[folder]
		if p.buildFailed || p.failed && !explained[folder] || !p.ended && !p.buildFailed && len(p.output) > 0 {
			faults = append(faults, fmt.Sprintf("%s failed outside its tests:\n%s", folder, strings.Join(p.output, "")))
		}
	}
	if r.exits > 0 && len(faults)+len(excused) == 0 {
		faults = append(faults, "go test ended with an error that no event explains")
	}
	return faults
}
