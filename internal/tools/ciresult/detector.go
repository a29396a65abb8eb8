package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// Under the race detector a test program is sometimes ended by a failed check of the detector's own runtime, or by a
// segmentation violation in Go's runtime (runtime.(*timer).maybeRunChan, in a testing/synctest bubble). Both were seen
// with Go 1.26 in the package with the most goroutines, and neither names a line of the program. If KNOWN-RED.txt has
// the entry race-runtime, CI runs such a package again under the race detector, at most twice. The last run counts: it
// has to be complete and to pass. Without the entry a crash is a failure like any other.

const (
	// detectorFailure is part of the line that the race detector prints when a check of its runtime fails.
	detectorFailure = "ThreadSanitizer: CHECK failed"

	// runtimeFault begins the line that Go's runtime prints for a segmentation violation in its own code. In a
	// program's Go code a segmentation violation is a panic, which prints a different line.
	runtimeFault = "SIGSEGV: segmentation violation"

	// detectorFlag makes ciresult only list the packages that crashed and have to be run again.
	detectorFlag = "-detector-failures"

	// repeatSuffix is appended to the name of a file of events to name the file of the repeated run.
	repeatSuffix = "-again"
)

// crash is the abnormal end of a package's test program, caused by the race detector's runtime or by Go's runtime.
type crash struct {
	folder   string
	line     string // line that the runtime printed for the crash
	runAgain bool   // a repeated run of the package replaces the crashed one
}

// isCrash reports whether a line of output was printed for a crash of the race detector's runtime or of Go's runtime.
func isCrash(line string) bool {
	return strings.Contains(line, detectorFailure) || strings.HasPrefix(line, runtimeFault)
}

// findCrashes returns the first crash of each package in the events of a run of go test.
func findCrashes(in io.Reader) (crashes []crash, err error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxEventSize)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil || !isCrash(e.Output) {
			continue
		}
		folder := folderOf(e.Package)
		if !slices.ContainsFunc(crashes, func(c crash) bool { return c.folder == folder }) {
			crashes = append(crashes, crash{folder: folder, line: strings.TrimSpace(e.Output)})
		}
	}
	return crashes, lines.Err()
}

// crashesIn returns the first crash of each package in a file of events of go test.
func crashesIn(name string) ([]crash, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return findCrashes(file)
}

// matchRepeats sets runAgain for the crashes in the file name if files has the file of the repeated run. The repeated
// run then has to contain each crashed package.
func matchRepeats(crashes []crash, name string, files []string) error {
	if len(crashes) == 0 || !slices.Contains(files, name+repeatSuffix) {
		return nil
	}
	again := newResults()
	if err := again.readFile(name+repeatSuffix, nil); err != nil {
		return err
	}
	for i, c := range crashes {
		if again.packages[c.folder] == nil {
			return fmt.Errorf("package %s crashed (%s) and was not run again: it has no events in %s", c.folder, c.line, name+repeatSuffix)
		}
		crashes[i].runAgain = true
	}
	return nil
}

// readRun adds the events in the file name, which is one of files. If allowRepeat is set, a repeated run of a crashed
// package replaces the crashed run.
func (r *results) readRun(name string, files []string, allowRepeat bool) error {
	crashes, err := crashesIn(name)
	if err != nil {
		return err
	}
	if allowRepeat {
		if err := matchRepeats(crashes, name, files); err != nil {
			return err
		}
	}
	r.crashes = append(r.crashes, crashes...)
	var replaced []string
	for _, c := range crashes {
		if c.runAgain {
			replaced = append(replaced, c.folder)
		}
	}
	return r.readFile(name, replaced)
}

// failuresBeforeCrash returns the events of the tests that failed, or had a failed subtest, before their package
// crashed. A crash ends the test program at once, so it did not cause these failures, and a repeated run doesn't
// replace them.
func failuresBeforeCrash(events []event) (failures []event) {
	crashed, failed := map[string]bool{}, map[string]bool{} // crashed by folder, failed by FOLDER.TestName
	for _, e := range events {
		folder := folderOf(e.Package)
		crashed[folder] = crashed[folder] || isCrash(e.Output)
		if e.Action == "fail" && e.Test != "" && !crashed[folder] {
			failed[e.testKey()] = true
		}
	}
	for _, e := range events {
		if e.Test != "" && failed[e.testKey()] {
			failures = append(failures, e)
		}
	}
	return failures
}

// printCrashes prints each crashed package with the line that the runtime printed for the crash.
func (r *results) printCrashes(out io.Writer) {
	for _, c := range r.crashes {
		action := "crashed"
		if c.runAgain {
			action = "crashed and was run again"
		}
		fmt.Fprintf(out, "%s %s: %s\n", c.folder, action, c.line)
	}
}

// evaluateCrashes returns the verdict on the entry race-runtime. It excuses no test: a crash in the last run of a
// package counts as a failure of its test or package.
func (r *results) evaluateCrashes() verdict {
	switch {
	case len(r.crashes) == 0:
		return verdict{outcome: "passed, intermittent"}
	case slices.ContainsFunc(r.crashes, func(c crash) bool { return !c.runAgain }):
		return verdict{outcome: "failed in the last run"}
	}
	return verdict{outcome: "failed as known"}
}

// listCrashed prints the packages that crashed according to a file of events, as arguments for go test. It prints none
// if the list of known failures lacks the entry race-runtime, which allows CI to run them again.
func listCrashed(list, name string, out, errors io.Writer) int {
	known, err := readKnown(list)
	var crashes []crash
	if err == nil && listsRaceRuntime(known) {
		crashes, err = crashesIn(name)
	}
	if err != nil {
		fmt.Fprintln(errors, "ciresult:", err)
		return exitFailure
	}
	for _, c := range crashes {
		fmt.Fprintln(out, "./"+c.folder)
	}
	return 0
}
