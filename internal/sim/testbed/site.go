// Package testbed runs a complete site, as processes of one machine on loopback addresses or in another Environment,
// plays scenarios of faults on it and checks the outcome.
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

// Process is a process of a site.
type Process struct {
	Name     string // unique in the site
	Program  string
	Bin      string // folder of its program; empty: that of the environment
	Settings settings.Process
}

// Site describes a site: its processes, its first configuration and the traffic of its clients.
type Site struct {
	Name       string
	Processes  []Process
	WorkerList []contract.ListedWorker
	Config     serviceconfig.Config
	Traffic    loadgen.Traffic
	Edges      []string          // addresses for clients
	Operators  []string          // addresses for operators
	Workers    map[string]string // addresses by name
}

// Sites returns the names of the sites that can be run.
//
// Example: for _, name := range testbed.Sites() { fmt.Println(name) }
func Sites() []string { return []string{"paramo", "daegu"} }

// Write writes the site's worker list and first configuration into a folder, which it creates if necessary.
//
// Example: err := site.Write("/tmp/run")
func (s *Site) Write(dir string) error {
	var batch errs.Batch
	write := func(name string, value any) { batch.Add("write "+name, writeJSON(dir, name, value)) }
	batch.Add("make folder", os.MkdirAll(dir, 0o755))
	write("list.json", s.WorkerList)
	write("setup.json", s.Config)
	return batch.Err()
}

func writeJSON(dir, name string, v any) error {
	raw, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return errs.Wrap(err, "write "+name)
	}
	return errs.Wrap(os.WriteFile(filepath.Join(dir, name), append(raw, '\n'), 0o644), "write "+name)
}
