// Program ciresult reads the events of `go test -json` and decides whether CI passes: every test has to
// pass, except those that KNOWN-RED.txt lists, which have to fail. It prints the time of each package.
package main

import (
	"fmt"
	"io"
	"os"
	"strings"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run evaluates event files: the first argument names the list of known failures, the others the events. With
// detectorFlag it only lists the packages that have to be run again.
func run(args []string, out, errors io.Writer) int {
	if len(args) == 2 && args[0] == detectorFlag {
		return listDetectorFailures(args[1], out, errors)
	}
	if len(args) < 2 {
		fmt.Fprintln(errors, "ciresult: give KNOWN-RED.txt and the files with the events of go test -json")
		return 2
	}
	known, err := readKnown(args[0])
	if err != nil {
		fmt.Fprintln(errors, "ciresult:", err)
		return 1
	}
	collected := newResults()
	for _, name := range args[1:] {
		repeated, err := failuresRunAgain(name, args[1:])
		if err == nil {
			err = collected.readFile(name, repeated)
		}
		if err != nil {
			fmt.Fprintf(errors, "ciresult: %s: %v\n", name, err)
			return 1
		}
		for _, folder := range repeated {
			fmt.Fprintf(out, "the race detector failed by itself in %s, which was run again\n", folder)
		}
	}
	collected.printTimes(out)
	faults := collected.judge(known, out)
	if collected.printTotals(out) == 0 {
		faults = append(faults, "no test passed: the runs of go test were empty")
	}
	if len(faults) == 0 {
		return 0
	}
	printFaults(errors, faults)
	return 1
}

// printFaults prints why CI fails: each fault with its output, and at the end the first line of each, for
// a record that keeps the end alone.
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
