package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"pebbleloom/internal/maputil"
)

const (
	module       = "pebbleloom/" // prefix of the import paths of the module's packages
	maxEventSize = 16 << 20      // longest accepted line of go test -json, in bytes
)

// event is an event of `go test -json`, or the event "exit" that CI appends with the exit code of go test.
type event struct {
	Action     string
	Package    string
	ImportPath string // set instead of Package in the events of a build
	Test       string
	Elapsed    float64 // seconds; the exit code of go test in the event "exit"
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
	output                           []outputLine      // printed by the test and its subtests
	lastActions                      map[string]string // last action of each test or subtest; "fail" is not overwritten
}

// unfinished reports whether a run of the test started but neither passed, failed nor was skipped.
func (t *testState) unfinished() bool { return t.running > t.passed+t.failed+t.skipped }

// outputLine is a line that a test or a subtest printed.
type outputLine struct{ test, text string }

// failureOutput returns what the test and its subtests printed, without the subtests that passed. It is kept short
// because the log of CI may be truncated to its end.
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
	output      []string // printed by the build, or by the test program outside its tests
	buildFailed bool
}

// results collects the events of all runs of go test.
type results struct {
	tests    map[string]*testState    // state of each top-level test, by FOLDER.TestName
	packages map[string]*packageState // state of each package, by folder
	exits    int                      // number of runs of go test with a non-zero exit code
	crashes  []crash                  // crashes of the race detector's or Go's runtime, in the order of the runs
}

func newResults() *results {
	return &results{tests: map[string]*testState{}, packages: map[string]*packageState{}}
}

// folderOf returns the folder of an import path within the module. The import path of a test build is followed by a
// space and the name of the test program.
func folderOf(importPath string) string {
	path, _, _ := strings.Cut(importPath, " ")
	return strings.TrimPrefix(path, module)
}

// readFile adds the events in a file to the results. As in read, a later run replaces the packages in the folders
// replaced.
func (r *results) readFile(name string, replaced []string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return r.read(file, replaced)
}

// read adds the events of a run of go test to the results. The events have to include the exit code of go test, which
// CI appends. The packages in the folders replaced crashed and were run again: of their events only the failures before
// the crash count. The exit code is then ignored, because the crash alone makes it non-zero.
func (r *results) read(in io.Reader, replaced []string) error {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxEventSize)
	exited, tests := false, false
	var replacedEvents []event
	for lines.Scan() {
		var decoded event
		if err := json.Unmarshal(lines.Bytes(), &decoded); err != nil {
			return fmt.Errorf("line is not an event of go test -json: %.80s", lines.Text())
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
			replacedEvents = append(replacedEvents, decoded)
		} else {
			r.add(decoded)
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	if !exited || !tests {
		return fmt.Errorf("incomplete events: no test ran, or go test's exit code is missing")
	}
	for _, e := range failuresBeforeCrash(replacedEvents) {
		r.add(e)
	}
	return nil
}

// add adds an event of go test to the state of its test or package.
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
	if t.lastActions[e.Test] != "fail" { // a test or subtest that fails in any run counts as failed
		t.lastActions[e.Test] = e.Action
	}
	if strings.Contains(e.Test, "/") {
		return // the runs of subtests aren't counted: a failed subtest makes its top-level test fail
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

// printTimes prints the time of each package, added up over its runs, the slowest package first.
func (r *results) printTimes(out io.Writer) {
	folders := maputil.SortedKeys(r.packages)
	slices.SortStableFunc(folders, func(a, b string) int { return cmp.Compare(r.packages[b].seconds, r.packages[a].seconds) })
	for _, folder := range folders {
		if seconds := r.packages[folder].seconds; seconds > 0 {
			fmt.Fprintf(out, "%8.1f s  %s\n", seconds, folder)
		}
	}
}

// printTotals prints how many runs of top-level tests passed, failed and were skipped, and returns how many passed. The
// failures of tests in KNOWN-RED.txt count as failed.
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

// evaluate returns the reasons why CI fails, if any, and prints every entry of KNOWN-RED.txt with the outcome of its
// test.
func (r *results) evaluate(known []knownFailure, out io.Writer) (faults []string) {
	excused := map[string]bool{}
	for _, entry := range known {
		var v verdict
		if entry.test == raceRuntime {
			v = r.evaluateCrashes()
		} else {
			v = entry.evaluate(r.tests[entry.test])
		}
		fmt.Fprintf(out, "known failure: %v: %s\n", entry, v.outcome)
		if v.fault != "" {
			faults = append(faults, fmt.Sprintf("%s: %s %s", knownFile, entry.test, v.fault))
		}
		if v.excused {
			excused[entry.test] = true
		}
	}
	testFaults, explained := r.evaluateTests(excused)
	faults = append(faults, testFaults...)
	faults = append(faults, r.evaluatePackages(explained)...)
	if r.exits > 0 && len(faults)+len(excused) == 0 {
		faults = append(faults, "go test ended with a non-zero exit code that no event explains")
	}
	return faults
}

// evaluateTests returns the failures of tests that KNOWN-RED.txt doesn't excuse, and the folders with a test that
// failed or did not finish, excused or not.
func (r *results) evaluateTests(excused map[string]bool) (faults []string, explained map[string]bool) {
	explained = map[string]bool{}
	for _, key := range maputil.SortedKeys(r.tests) {
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

// evaluatePackages returns the failures of packages that no failed test explains: a failed build, a failure outside the
// tests, or output without a final event of the package.
func (r *results) evaluatePackages(explained map[string]bool) (faults []string) {
	for _, folder := range maputil.SortedKeys(r.packages) {
		p := r.packages[folder]
		failedAlone := p.failed && !explained[folder]
		incomplete := !p.ended && len(p.output) > 0
		if p.buildFailed || failedAlone || incomplete {
			faults = append(faults, fmt.Sprintf("%s failed outside its tests:\n%s", folder, strings.Join(p.output, "")))
		}
	}
	return faults
}
