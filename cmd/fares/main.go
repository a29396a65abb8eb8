// Program fares is the stand-in for a site's callers: it sends to a site that is up.
package main

import (
	"os"

	"pebbleloom/internal/yard"
)

func main() { os.Exit(yard.Callers(os.Args[1:], os.Stdout, os.Stderr)) }
