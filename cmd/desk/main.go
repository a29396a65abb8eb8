// Program desk is the operator's command line. It talks to any node.
package main

import (
	"os"

	"pebbleloom/internal/desk"
)

func main() { os.Exit(desk.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }
