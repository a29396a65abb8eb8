// Package programs names the programs of this repository. It is the one place that holds the first
// names, which releases before the renaming gave their programs and commands: sites that run, their
// scripts and earlier releases' folders still know them by these.
package programs

import (
	"os"
	"path/filepath"
)

// The programs, as cmd/ and bin/ name them.
const (
	ControlNode         = "control-node"
	Proxy               = "proxy"
	NodeAgent           = "node-agent"
	PromptIndex         = "prompt-index"
	PlacementController = "placement-controller"
	CommandLine         = "pebblectl"
	WorkerSim           = "worker-sim"
	StoreSim            = "store-sim"
	PlatformSim         = "platform-sim"
	AppServiceSim       = "appservice-sim"
	LoadGenerator       = "loadgen"
	TestBed             = "testbed"
)

// Renamed is a program's or command's name beside the one that it had first.
type Renamed struct{ Name, First string }

// Programs lists every program that was renamed. The Makefile leaves a link in bin/ under each first
// name. A node's role in the cluster membership keeps its first name on the wire: see the Role…
// constants of internal/control/clustermembership.
//
// Example: for _, p := range programs.Programs() { fmt.Println(p.First, "is now", p.Name) }
func Programs() []Renamed {
	return []Renamed{
		{ControlNode, "archive"},
		{Proxy, "dispatcher"},
		{NodeAgent, "runner"},
		{PromptIndex, "catalogue"},
		{PlacementController, "appraiser"},
		{CommandLine, "desk"},
		{WorkerSim, "cab"},
		{StoreSim, "depot"},
		{PlatformSim, "rank"},
		{AppServiceSim, "appservice"},
		{LoadGenerator, "fares"},
		{TestBed, "yard"},
	}
}

// Commands lists the command line's groups of commands that were renamed: the first names still
// answer as before.
//
// Example: for _, c := range programs.Commands() { fmt.Println(c.First, "is now", c.Name) }
func Commands() []Renamed { return []Renamed{{"config", "setup"}} }

// Flags lists the flags that were renamed, without their dashes: the first names still do the same.
//
// Example: for _, f := range programs.Flags() { fmt.Println("--"+f.First, "is now", "--"+f.Name) }
func Flags() []Renamed {
	return []Renamed{
		{"zone", "district"},
		{"node-agent", "runner"},
		{"worker-list", "rank"},
		{"options", "extra"},
		{"if-version", "if-epoch"},
	}
}

// FirstName is the name that a program had first; its own if it was never renamed.
//
// Example: programs.FirstName("control-node") == "archive"
func FirstName(name string) string {
	for _, p := range Programs() {
		if p.Name == name {
			return p.First
		}
	}
	return name
}

// Find returns the path of a program in a folder of programs. The folder of an earlier release holds
// it under its first name.
//
// Example: cmd := exec.Command(programs.Find("bin", programs.ControlNode))
func Find(folder, name string) string {
	path := filepath.Join(folder, name)
	if _, err := os.Stat(path); err != nil {
		if first := filepath.Join(folder, FirstName(name)); first != path {
			if _, err := os.Stat(first); err == nil {
				return first
			}
		}
	}
	return path
}
