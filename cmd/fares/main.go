// Program fares is the stand-in for a site's callers: it sends to a site that is up.
package main

import (
	"os"

	"pebbleloom/internal/sim/testbed"
)

func main() { os.Exit(testbed.Callers(os.Args[1:], os.Stdout, os.Stderr)) }
