package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
)

const (
	module       = "pebbleloom/" // the prefix of the import paths of its packages
	maxEventSize = 16 << 20      // bytes
)

// event is one event of `go test -json`.
type event struct {
	Action     string
	Package    string
	ImportPath string // instead of Package in the events of a build
	Test       string
	Elapsed    float64 // seconds; in the event "exit", the exit code
	Output     string
}

// testKey returns the folder and the name of the top-level test that an event belongs to.
func (e event) testKey() string {
	name, _, _ := strings.Cut(e.Test, "/")
	return folderOf(e.Package) + "." + name
}

// testState counts the outcomes of the runs of a top-level test.
type testState struct {
	running, passed, failed, skipped int
	output                           []outputLine      // of the test and its subtests
	lastActions                      map[string]string // by test or subtest; "fail" stays
}

// unfinished reports whether a run of the test didn't end.
func (t *testState) unfinished() bool { return t.running > t.passed+t.failed+t.skipped }

// outputLine is a line that a test or a subtest printed.
type outputLine struct{ test, text string }

// failureOutput returns what the test and its subtests printed, without the subtests that passed: CI's record may show
// only the end of its output.
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
	output      []string // of the build and outside the tests
	buildFailed bool
}

// results collects the events of all runs of go test.
type results struct {
	tests    map[string]*testState // by folder and name
	packages map[string]*packageState
	exits    int     // runs of go test that ended with an error
	crashes  []crash // of the runtime, in the order of the runs
}

func newResults() *results {
	return &results{tests: map[string]*testState{}, packages: map[string]*packageState{}}
}

// folderOf returns the folder of an import path within the module. The import path of a test build is followed by a space
// and the name of the test program.
func folderOf(importPath string) string {
	path, _, _ := strings.Cut(importPath, " ")
	return strings.TrimPrefix(path, module)
}

// readFile adds the events in a file; see read.
func (r *results) readFile(name string, replaced []string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return r.read(file, replaced)
}

// read adds the events of a run of go test. The last event has to be its exit code, which CI appends. A later run
// replaces the packages in the folders replaced: of these only the failures before the crash count, and the exit code
// says nothing about the other packages.
func (r *results) read(in io.Reader, replaced []string) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxEventSize)
	exited, tests := false, false
	var ofReplaced []event
	for lines.Scan() {
		var decoded event
		if err := json.Unmarshal(lines.Bytes(), &decoded); err != nil {
			return fmt.Errorf("not an event: %.80s", lines.Text())
		}
		if decoded.Action == "exit" {
			exited = true
			if decoded.Elapsed != 0 && len(replaced) == 0 {
				r.exits++
			}
			continue
		}
		tests = tests || decoded.Test != ""
		if slices.Contains(replaced, folderOf(decoded.Package)) {
			ofReplaced = append(ofReplaced, decoded)
		} else {
			r.add(decoded)
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	if !exited || !tests {
		return fmt.Errorf("no test ran, or go test's exit code is missing")
	}
	for _, e := range failuresBeforeCrash(ofReplaced) {
		r.add(e)
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
	key := event.testKey()
	if r.tests[key] == nil {
		r.tests[key] = &testState{lastActions: map[string]string{}}
	}
	r.tests[key].add(event)
}

// add adds an event of the test or of one of its subtests.
func (t *testState) add(e event) {
	if e.Action == "output" {
		t.output = append(t.output, outputLine{e.Test, e.Output})
		return
	}
	if t.lastActions[e.Test] != "fail" { // a test that fails in one of the runs has failed
		t.lastActions[e.Test] = e.Action
	}
	if strings.Contains(e.Test, "/") {
		return // a test fails with its subtest
	}
	switch e.Action {
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

// add adds an event of the package that belongs to none of its tests.
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

// sortedKeys returns the keys of a map in order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// printTimes prints the time of each package, the slowest first.
func (r *results) printTimes(out io.Writer) {
	folders := sortedKeys(r.packages)
	slices.SortStableFunc(folders, func(a, b string) int { return cmp.Compare(r.packages[b].seconds, r.packages[a].seconds) })
	for _, folder := range folders {
		if seconds := r.packages[folder].seconds; seconds > 0 {
			fmt.Fprintf(out, "%8.1f s  %s\n", seconds, folder)
		}
	}
}

// printTotals prints how the top-level tests of all runs ended and returns how many passed. Known failures count as
// failed.
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

// judge returns the reasons why CI fails, if any, and prints every entry of the list of known failures with its outcome.
func (r *results) judge(known []knownFailure, out io.Writer) (faults []string) {
	excused := map[string]bool{}
	for _, entry := range known {
		var v verdict
		if entry.test == raceRuntime {
			v = r.judgeCrashes()
		} else {
			v = entry.judge(r.tests[entry.test])
		}
		fmt.Fprintf(out, "known failure: %v: %s\n", entry, v.outcome)
		if v.fault != "" {
			faults = append(faults, fmt.Sprintf("%s: %s %s", knownFile, entry.test, v.fault))
		}
		if v.excused {
			excused[entry.test] = true
		}
	}
	testFaults, explained := r.judgeTests(excused)
	faults = append(faults, testFaults...)
	faults = append(faults, r.judgePackages(explained)...)
	if r.exits > 0 && len(faults)+len(excused) == 0 {
		faults = append(faults, "go test ended with an error that no event explains")
	}
	return faults
}

// judgeTests returns the failures of tests that aren't excused, and the folders that have a failed test, excused or not.
func (r *results) judgeTests(excused map[string]bool) (faults []string, explained map[string]bool) {
	explained = map[string]bool{}
	for _, key := range sortedKeys(r.tests) {
		state := r.tests[key]
		if state.failed == 0 && !state.unfinished() {
			continue
		}
		explained[key[:strings.LastIndex(key, ".")]] = true
		switch {
		case excused[key]:
		case state.unfinished():
			faults = append(faults, fmt.Sprintf("%s did not finish:\n%s", key, state.failureOutput()))
		default:
			faults = append(faults, fmt.Sprintf("%s failed:\n%s", key, state.failureOutput()))
		}
	}
	return faults, explained
}

// judgePackages returns the failures of packages that no failed test explains: a failed build, a failure outside the
// tests, or a package that printed something but didn't end.
func (r *results) judgePackages(explained map[string]bool) (faults []string) {
	for _, folder := range sortedKeys(r.packages) {
		p := r.packages[folder]
		failedAlone := p.failed && !explained[folder]
		cutOff := !p.ended && len(p.output) > 0
		if p.buildFailed || failedAlone || cutOff {
			faults = append(faults, fmt.Sprintf("%s failed outside its tests:\n%s", folder, strings.Join(p.output, "")))
		}
	}
	return faults
}
