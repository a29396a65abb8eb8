// Command loadgen sends generated client traffic to a running site and verifies every byte of the responses.
package main

import (
	"os"

	"pebbleloom/internal/sim/testbed"
)

func main() { os.Exit(testbed.LoadGenerator(os.Args[1:], os.Stdout, os.Stderr)) }
