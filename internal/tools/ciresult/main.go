// Program ciresult reads the events of `go test -json` and decides whether CI passes. Every test has to pass, except
// those that KNOWN-RED.txt lists: these have to fail, or may do either if their entry is intermittent. It prints the time
// of each package and every entry of the list with its outcome.
package main

import (
	"fmt"
	"io"
	"os"
	"strings"
)

// Exit codes of the program.
const (
	exitFailure = 1 // CI fails, or a file can't be read
	exitUsage   = 2 // the arguments are wrong
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run evaluates files of events. The first argument is the list of known failures, the others are the files. After
// detectorFlag, which takes the list and one file, it only lists the packages to run again.
func run(args []string, out, errors io.Writer) int {
	if len(args) > 0 && args[0] == detectorFlag {
		if len(args) != 3 {
			fmt.Fprintln(errors, "usage: ciresult", detectorFlag, "KNOWN-RED.txt EVENTS")
			return exitUsage
		}
		return listCrashed(args[1], args[2], out, errors)
	}
	if len(args) < 2 {
		fmt.Fprintln(errors, "usage: ciresult KNOWN-RED.txt EVENTS...")
		return exitUsage
	}
	known, err := readKnown(args[0])
	if err != nil {
		fmt.Fprintln(errors, "ciresult:", err)
		return exitFailure
	}
	collected := newResults()
	for _, name := range args[1:] {
		if err := collected.readRun(name, args[1:], listsRaceRuntime(known)); err != nil {
			fmt.Fprintf(errors, "ciresult: %s: %v\n", name, err)
			return exitFailure
		}
	}
	collected.printTimes(out)
	collected.printCrashes(out)
	faults := collected.judge(known, out)
	if collected.printTotals(out) == 0 {
		faults = append(faults, "no test passed: the runs of go test were empty")
	}
	if len(faults) == 0 {
		return 0
	}
	printFaults(errors, faults)
	return exitFailure
}

// printFaults prints why CI fails: each fault with its output, then the first line of each fault again, because CI's
// record may show only the end.
func printFaults(out io.Writer, faults []string) {
	for _, fault := range faults {
		fmt.Fprintln(out, "ciresult:", fault)
	}
	fmt.Fprintf(out, "ciresult: CI fails for %d reasons:\n", len(faults))
	for _, fault := range faults {
		summary, _, _ := strings.Cut(fault, "\n")
		fmt.Fprintln(out, "ciresult:", strings.TrimSuffix(summary, ":"))
	}
}
