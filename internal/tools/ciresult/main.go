// Program ciresult reads the events of `go test -json` and decides whether CI passes. Every test has to pass, except
// those that KNOWN-RED.txt lists: a listed test has to fail, or may pass or fail if its entry is intermittent. The
// program prints the time that each package took and every entry of KNOWN-RED.txt with the outcome of its test.
package main

import (
	"fmt"
	"io"
	"os"
	"strings"
)

// Exit codes other than 0, which means that CI passes.
const (
	exitFailure = 1 // CI fails, or an input file is unreadable or malformed
	exitUsage   = 2 // the number of arguments is wrong
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run decides whether CI passes and returns the exit code. The first argument is the file of known failures, the others
// are files of events of `go test -json`. With the flag -detector-failures, which takes the file of known failures and
// one file of events, run only lists the packages to run again after a crash.
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
	faults := collected.evaluate(known, out)
	if collected.printTotals(out) == 0 {
		faults = append(faults, "no test passed in any run of go test, at least one has to")
	}
	if len(faults) == 0 {
		return 0
	}
	printFaults(errors, faults)
	return exitFailure
}

// printFaults prints the reasons why CI fails, each with the output of its test or package. It then repeats the first
// line of each reason, because the log of CI may be truncated to its end.
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
