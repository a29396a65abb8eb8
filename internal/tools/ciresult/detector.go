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

// Under the race detector a test program is at times ended by the detector's runtime, by a failed check of its own, or by a
// fault inside Go's runtime (runtime.(*timer).maybeRunChan, in a bubble of virtual time); both were seen with Go 1.26 in the
// package with the most goroutines. Neither says anything about the program. CI runs such a package again under the
// race detector, twice at most, and what counts is the last run: it has to be complete, and to pass.

const (
	// detectorFailure is what the runtime prints then.
	detectorFailure = "ThreadSanitizer: CHECK failed"

	// runtimeFault begins the line that Go's runtime prints of a fault in its own code. A fault in a program's Go code
	// is a panic, which prints another line.
	runtimeFault = "SIGSEGV: segmentation violation"

	// detectorFlag has the program list the packages in which that happened.
	detectorFlag = "-detector-failures"

	// againSuffix ends the name of the file with the second run's events.
	againSuffix = "-again"
)

// detectorFailures returns the folders of the packages in which the race detector's runtime failed.
func detectorFailures(in io.Reader) (folders []string, err error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil || !strings.Contains(e.Output, detectorFailure) && !strings.HasPrefix(e.Output, runtimeFault) {
			continue
		}
		if folder := folderOf(e.Package); !slices.Contains(folders, folder) {
			folders = append(folders, folder)
		}
	}
	return folders, lines.Err()
}

// failuresIn is detectorFailures of a file.
func failuresIn(name string) ([]string, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return detectorFailures(file)
}

// failuresRunAgain returns the folders of a file whose events don't count: the detector failed in them, and another of
// the files holds a second run of each.
func failuresRunAgain(name string, files []string) ([]string, error) {
	if !slices.Contains(files, name+againSuffix) {
		return nil, nil
	}
	failed, err := failuresIn(name)
	if err != nil || len(failed) == 0 {
		return nil, err
	}
	again := newResults()
	if err := again.readFile(name+againSuffix, nil); err != nil {
		return nil, err
	}
	for _, folder := range failed {
		if again.packages[folder] == nil {
			return nil, fmt.Errorf("the race detector failed in %s, which wasn't run again", folder)
		}
	}
	return failed, nil
}

// listDetectorFailures prints the packages to run again, as arguments for go test.
func listDetectorFailures(name string, out, errors io.Writer) int {
	folders, err := failuresIn(name)
	if err != nil {
		fmt.Fprintln(errors, "ciresult:", err)
		return 1
	}
	for _, folder := range folders {
		fmt.Fprintln(out, "./"+folder)
	}
	return 0
}
