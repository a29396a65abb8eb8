// Program ciresult reads the events of `go test -json` and decides whether CI passes: every test has to
// pass, except those that KNOWN-RED.txt lists, which have to fail. It prints the time of each package.
package main

import (
	"fmt"
	"io"
	"os"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run evaluates event files: the first argument names the list of known failures, the others the events.
func run(args []string, out, errors io.Writer) int {
	if len(args) < 2 {
		fmt.Fprintln(errors, "ciresult: give KNOWN-RED.txt and the files with the events of go test -json")
		return 2
	}
	known, err := readKnown(args[0])
	if err != nil {
		fmt.Fprintln(errors, "ciresult:", err)
		return 1
	}
	r := newResults()
	for _, name := range args[1:] {
		f, err := os.Open(name)
		if err != nil {
			fmt.Fprintln(errors, "ciresult:", err)
			return 1
		}
		err = r.read(f)
		f.Close()
		if err != nil {
			fmt.Fprintf(errors, "ciresult: %s: %v\n", name, err)
			return 1
		}
	}
	r.printTimes(out)
	faults := r.judge(known, out)
	if r.printTotals(out) == 0 {
		faults = append(faults, "no test passed: the runs of go test were empty")
	}
	for _, f := range faults {
		fmt.Fprintln(errors, "ciresult:", f)
	}
	if len(faults) > 0 {
		return 1
	}
	return 0
}
