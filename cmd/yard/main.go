// Program yard runs a whole site on this machine.
package main

import (
	"os"

	"pebbleloom/internal/yard"
)

func main() { os.Exit(yard.Main(os.Args[1:], os.Stdout, os.Stderr)) }
