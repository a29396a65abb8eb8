// Package programs defines the names of the programs of this repository, and the former names of renamed programs,
// commands and flags. Scripts of running sites and the directories of earlier releases still use the former names.
package programs

import (
	"os"
	"path/filepath"
)

// Names of the programs in cmd/ and bin/.
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

// Renamed holds the current name (Name) and the former name (First) of a program, command or flag.
type Renamed struct{ Name, First string }

// Programs lists every program with its former name. The Makefile adds a link with the former name in bin/. Messages of
// the cluster membership still use former names for the roles of nodes: see the Role constants of
// internal/control/clustermembership.
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

// Commands lists the command groups of pebblectl that were renamed. Their former names are still accepted.
//
// Example: for _, c := range programs.Commands() { fmt.Println(c.First, "is now", c.Name) }
func Commands() []Renamed { return []Renamed{{"config", "setup"}} }

// Flags lists the flags that were renamed, without leading dashes. Their former names are still accepted.
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

// FormerName returns the former name of a program, or its current name if it was never renamed.
//
// Example: programs.FormerName("control-node") == "archive"
func FormerName(name string) string {
	for _, p := range Programs() {
		if p.Name == name {
			return p.First
		}
	}
	return name
}

// Find returns the path of a program in a directory. If the directory has the program only under its former name, as
// those of earlier releases do, Find returns that path.
//
// Example: cmd := exec.Command(programs.Find("bin", programs.ControlNode))
func Find(directory, name string) string {
	path := filepath.Join(directory, name)
	if _, err := os.Stat(path); err != nil {
		if former := filepath.Join(directory, FormerName(name)); former != path {
			if _, err := os.Stat(former); err == nil {
				return former
			}
		}
	}
	return path
}
