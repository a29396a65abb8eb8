// Command pebblectl is the operator's command line. It talks to any node.
package main

import (
	"os"

	"pebbleloom/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
