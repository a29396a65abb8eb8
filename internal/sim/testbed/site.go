// Package testbed runs a whole site on one machine: every program as a process of its own, on
// loopback addresses.
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

// Process is one program of a site.
type Process struct {
	Name     string // unique in the site
	Program  string
	Bin      string // the folder of its program, where it isn't the site's
	Settings settings.Process
}

// Site is a whole site: its processes, its first setup and its callers' traffic.
type Site struct {
	Name       string
	Processes  []Process
	WorkerList []contract.ListedWorker
	Config     serviceconfig.Config
	Traffic    loadgen.Traffic
	Edges      []string // where callers ask
	Operators  []string
	Workers    map[string]string
}

// Sites names the sites that can be run.
//
// Example: for _, n := range testbed.Sites() { fmt.Println(n) }
func Sites() []string { return []string{"paramo", "daegu"} }

// Write puts the site's settings files into its folder.
//
// Example: err := s.Write("/tmp/run")
func (s *Site) Write(dir string) error {
	var b errs.Batch
	put := func(name string, v any) { b.Add("write "+name, writeJSON(dir, name, v)) }
	b.Add("make folder", os.MkdirAll(dir, 0o755))
	put("list.json", s.WorkerList)
	put("setup.json", s.Config)
	return b.Err()
}

func writeJSON(dir, name string, v any) error {
	raw, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return errs.Wrap(err, "write "+name)
	}
	return errs.Wrap(os.WriteFile(filepath.Join(dir, name), append(raw, '\n'), 0o644), "write "+name)
}
