// Package testbed runs a whole site on one machine: every program as a process of its own, on
// loopback addresses.
package testbed

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/programs"
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

// LayOut lays a site out. net is the second byte of its loopback addresses; extra words go
// to every cab.
//
// Example: s, err := testbed.Plan("paramo", "/tmp/run", 10, nil)
func LayOut(name, dir string, net int, workerOptions []string) (*Site, error) {
	return LayOutTimes(name, dir, net, workerOptions, 1)
}

// LayOutTimes lays a site out at several times today's size: edge machines, workers and
// traffic grow, the four core machines stay.
//
// Example: s, err := testbed.LayOutTimes("daegu", "/tmp/run", 10, nil, 4)
func LayOutTimes(name, dir string, net int, workerOptions []string, times int) (*Site, error) {
	if times < 1 || times > 4 {
		return nil, errs.New(errs.BadInput, "times %d: give 1 to 4", times)
	}
	site := &Site{Name: name, Workers: map[string]string{}}
	bounds := settings.DefaultBounds()
	link, far, alpha := "link=40000", "far=25000", 0.3
	weights := uint64(1)
	switch name {
	case "paramo":
		site.Traffic = loadgen.Traffic{Site: name, Model: "lector", App: "caja", Rate: 45, WaitMs: 8000, OnceShare: 0.3, DuplicateShare: 0.2, AppShare: 0.05, Kinds: []loadgen.Kind{
			{Name: "appraise", Share: 0.35, Prefixes: 60, PrefixTokens: 3000, Skew: 1.0, QuestionTokens: 40, Chunks: 4},
			{Name: "catalogue", Share: 0.35, Prefixes: 160, PrefixTokens: 900, Skew: 0.8, SessionTokens: 300, Sessions: 300, QuestionTokens: 60, Chunks: 6},
			{Name: "copies", Share: 0.30, Prefixes: 60, PrefixTokens: 200, Skew: 0.9, QuestionTokens: 30, Chunks: 10}}}
	case "daegu":
		bounds.WeightsMs = 25000
		link, far, alpha = "link=300000", "far=200000", 0.05
		site.Traffic = loadgen.Traffic{Site: name, Model: "gisa", App: "jeonpyo", Rate: 30, WaitMs: 8000, OnceShare: 0.4, DuplicateShare: 0.2, AppShare: 0.05, Kinds: []loadgen.Kind{
			{Name: "ruling", Share: 0.4, Prefixes: 40, PrefixTokens: 2600, Skew: 1.1, QuestionTokens: 30, Chunks: 4},
			{Name: "route", Share: 0.3, Prefixes: 120, PrefixTokens: 800, Skew: 0.8, QuestionTokens: 50, Chunks: 5},
			{Name: "booking", Share: 0.3, Prefixes: 40, PrefixTokens: 180, Skew: 0.9, SessionTokens: 400, Sessions: 120, QuestionTokens: 40, Chunks: 10}}}
	default:
		return nil, errs.New(errs.BadInput, "site %q: give one of %v", name, Sites())
	}
	model, app := site.Traffic.Model, site.Traffic.App
	site.Config = serviceconfig.Config{Tenants: map[string]serviceconfig.Tenant{}, MaxWaitMs: 30000,
		Models:   map[string]serviceconfig.Model{model: {Weights: weights}, app: {Weights: 1}},
		Services: map[string]serviceconfig.Service{model + "-main": {Model: model, FetchTolerance: alpha}, app + "-main": {Model: app}},
		Routes:   map[string]serviceconfig.Route{model: {Service: model + "-main"}, app: {Service: app + "-main"}}}
	site.Traffic.Rate *= float64(times)
	for i := range 8 {
		tenant := loadgen.Tenant{Name: fmt.Sprintf("tenant-%d", i+1), Key: fmt.Sprintf("key-of-%s-tenant-%d", name, i+1), Weight: 1, Isolated: i == 7}
		if i < 2 {
			tenant.Weight = 5
		}
		site.Traffic.Tenants = append(site.Traffic.Tenants, tenant)
		site.Config.Tenants[tenant.Name] = serviceconfig.Tenant{Keys: []string{tenant.Key}, Isolated: tenant.Isolated}
	}
	address := func(zone, m int) string { return fmt.Sprintf("127.%d.%d.%d", net, zone, m) }
	withPort := func(addr string, process int) string { return fmt.Sprintf("%s:%d", addr, process) }
	seeds := []string{withPort(address(1, 1), 7003), withPort(address(2, 1), 7003), withPort(address(1, 11), 7000)}
	core := []string{"core-1", "core-2", "core-3", "core-4"}
	platformAddr := withPort(address(9, 1), 9100)
	add := func(machine, prog string, process settings.Process) {
		process.Seeds = append([]string(nil), seeds...)
		process.Bounds, process.Core, process.WorkerList = bounds, core, platformAddr
		site.Processes = append(site.Processes, Process{Name: machine, Program: prog, Settings: process})
	}
	for zone := 1; zone <= 4; zone++ {
		addr, machine, zoneName := address(zone, 1), core[zone-1], fmt.Sprintf("district-%d", zone)
		add("archive-"+machine, programs.ControlNode, settings.Process{Name: machine, Zone: zoneName, Listen: withPort(addr, 7003), Operator: withPort(addr, 8090), Data: filepath.Join(dir, "data", machine)})
		add("appraiser-"+machine, programs.PlacementController, settings.Process{Name: machine, Zone: zoneName, Listen: withPort(addr, 7004)})
		site.Operators = append(site.Operators, withPort(addr, 8090))
	}
	for i := range 9 * times {
		zone := i%4 + 1
		addr, machine, zoneName := address(zone, 11+i/4), fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("district-%d", zone)
		add("runner-"+machine, programs.NodeAgent, settings.Process{Name: machine, Zone: zoneName, Listen: withPort(addr, 7000), Operator: withPort(addr, 8090)})
		add("catalogue-"+machine, programs.PromptIndex, settings.Process{Name: machine, Zone: zoneName, Listen: withPort(addr, 7002), NodeAgent: withPort(addr, 7000)})
		add("dispatcher-"+machine, programs.Proxy, settings.Process{Name: machine, Zone: zoneName, Listen: withPort(addr, 7001), Public: withPort(addr, 8080), NodeAgent: withPort(addr, 7000)})
		site.Edges, site.Operators = append(site.Edges, withPort(addr, 8080)), append(site.Operators, withPort(addr, 8090))
	}
	for i := range 18 * times {
		zone := i%4 + 1
		addr, machine, zoneName := address(zone, 21+i/4), fmt.Sprintf("cab-%d", i+1), fmt.Sprintf("district-%d", zone)
		site.WorkerList = append(site.WorkerList, contract.ListedWorker{Name: machine, Addr: withPort(addr, 9000), Kind: "lm", Service: model + "-main", Zone: zoneName})
		site.Workers[machine] = withPort(addr, 9000)
		add(machine, programs.WorkerSim, settings.Process{Name: machine, Zone: zoneName, Listen: withPort(addr, 9001), Public: withPort(addr, 9000),
			Options: append([]string{"service=" + model + "-main", "model=" + model, link, far, fmt.Sprintf("weights=%d", weights),
				"journal=" + filepath.Join(dir, machine+".runs")}, workerOptions...)})
	}
	site.WorkerList = append(site.WorkerList, contract.ListedWorker{Name: "app-1", Addr: withPort(address(2, 40), 9000), Kind: "app", Service: app + "-main", Zone: "district-2"},
		contract.ListedWorker{Name: "depot-1", Addr: withPort(address(3, 40), 9000), Kind: "store", Zone: "district-3"})
	add("app-1", programs.AppServiceSim, settings.Process{Name: "app-1", Zone: "district-2", Listen: withPort(address(2, 40), 9001), Public: withPort(address(2, 40), 9000), Options: []string{"service=" + app + "-main", "model=" + app}})
	add("depot-1", programs.StoreSim, settings.Process{Name: "depot-1", Zone: "district-3", Listen: withPort(address(3, 40), 9001), Public: withPort(address(3, 40), 9000)})
	add("rank-1", programs.PlatformSim, settings.Process{Name: "rank-1", Zone: "district-1", Listen: withPort(address(9, 1), 9101), Public: platformAddr, Options: []string{"list=" + filepath.Join(dir, "list.json")}})
	return site, nil
}

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
