// Package testbed runs a complete site, either as processes on loopback addresses of one machine or in another
// Environment such as a simulated cluster. It runs fault scenarios on the site under client traffic and checks the
// results.
package testbed

import (
	"encoding/json"
	"os"
	"path/filepath"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/sim/loadgen"
)

// Process describes a process of a site.
type Process struct {
	Name     string // name of the process, unique within the site
	Program  string // name of the executable, one of the constants of package programs
	Bin      string // folder of the executable; empty: the environment's folder of executables
	Settings settings.Process
}

// Site describes a site, which is a complete deployment in one place: its processes, its first configuration and the
// traffic of its clients. Core machines run a control node and a placement controller; edge machines run a node agent,
// a prompt index and a proxy.
type Site struct {
	Name       string
	Processes  []Process
	WorkerList []contract.ListedWorker // workers and stores that the platform simulator lists
	Config     serviceconfig.Config    // configuration that the site starts with
	Traffic    loadgen.Traffic
	Edges      []string          // addresses of the proxies, for clients
	Operators  []string          // addresses of the operator API
	Workers    map[string]string // addresses of the worker simulators, by name
}

// Sites returns the names of the sites that NewSite can build.
//
// Example: for _, name := range testbed.Sites() { fmt.Println(name) }
func Sites() []string { return []string{"paramo", "daegu"} }

// Write writes the site's worker list and first configuration as JSON files into a folder, which it creates if
// necessary.
//
// Example: err := site.Write("/tmp/run")
func (s *Site) Write(dir string) error {
	var batch errs.Batch
	write := func(name string, value any) { batch.Add("write "+name, writeJSON(dir, name, value)) }
	batch.Add("create the folder "+dir, os.MkdirAll(dir, 0o755))
	write("list.json", s.WorkerList)
	write("setup.json", s.Config)
	return batch.Err()
}

func writeJSON(dir, name string, v any) error {
	raw, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return errs.Wrap(err, "encode "+name+" as JSON")
	}
	return errs.Wrap(os.WriteFile(filepath.Join(dir, name), append(raw, '\n'), 0o644), "write "+name)
}
