// Command pebblectl is the command-line client for operators. It can connect to any node.
package main

import (
	"os"

	"pebbleloom/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
