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
	Name    string // unique in the site
	Program string
	Bin     string // the folder of its program, where it isn't the site's
	Place   settings.Process
}

// Site is a whole site: its processes, its first setup and its callers' traffic.
type Site struct {
	Name      string
	Processes []Process
	List      []contract.ListedWorker
	Setup     serviceconfig.Config
	Traffic   loadgen.Traffic
	Edges     []string // where callers ask
	Operators []string
	Cabs      map[string]string
}

// Sites names the sites that can be run.
//
// Example: for _, n := range testbed.Sites() { fmt.Println(n) }
func Sites() []string { return []string{"paramo", "daegu"} }

// Plan lays a site out. net is the second byte of its loopback addresses; extra words go
// to every cab.
//
// Example: s, err := testbed.Plan("paramo", "/tmp/run", 10, nil)
func Plan(name, dir string, net int, cabWords []string) (*Site, error) {
	return PlanTimes(name, dir, net, cabWords, 1)
}

// PlanTimes lays a site out at several times today's size: edge machines, workers and
// traffic grow, the four core machines stay.
//
// Example: s, err := testbed.PlanTimes("daegu", "/tmp/run", 10, nil, 4)
func PlanTimes(name, dir string, net int, cabWords []string, times int) (*Site, error) {
	if times < 1 || times > 4 {
		return nil, errs.New(errs.BadInput, "times %d: give 1 to 4", times)
	}
	s := &Site{Name: name, Cabs: map[string]string{}}
	b := settings.DefaultBounds()
	link, far, alpha := "link=40000", "far=25000", 0.3
	weights := uint64(1)
	switch name {
	case "paramo":
		s.Traffic = loadgen.Traffic{Site: name, Model: "lector", App: "caja", Rate: 45, WaitMs: 8000, Once: 0.3, Twins: 0.2, AppPart: 0.05, Kinds: []loadgen.Kind{
			{Name: "appraise", Share: 0.35, Openings: 60, Tokens: 3000, Skew: 1.0, Tail: 40, Pieces: 4},
			{Name: "catalogue", Share: 0.35, Openings: 160, Tokens: 900, Skew: 0.8, Session: 300, Sessions: 300, Tail: 60, Pieces: 6},
			{Name: "copies", Share: 0.30, Openings: 60, Tokens: 200, Skew: 0.9, Tail: 30, Pieces: 10}}}
	case "daegu":
		b.WeightsMs = 25000
		link, far, alpha = "link=300000", "far=200000", 0.05
		s.Traffic = loadgen.Traffic{Site: name, Model: "gisa", App: "jeonpyo", Rate: 30, WaitMs: 8000, Once: 0.4, Twins: 0.2, AppPart: 0.05, Kinds: []loadgen.Kind{
			{Name: "ruling", Share: 0.4, Openings: 40, Tokens: 2600, Skew: 1.1, Tail: 30, Pieces: 4},
			{Name: "route", Share: 0.3, Openings: 120, Tokens: 800, Skew: 0.8, Tail: 50, Pieces: 5},
			{Name: "booking", Share: 0.3, Openings: 40, Tokens: 180, Skew: 0.9, Session: 400, Sessions: 120, Tail: 40, Pieces: 10}}}
	default:
		return nil, errs.New(errs.BadInput, "site %q: give one of %v", name, Sites())
	}
	lm, app := s.Traffic.Model, s.Traffic.App
	s.Setup = serviceconfig.Config{Tenants: map[string]serviceconfig.Tenant{}, MaxWaitMs: 30000,
		Models:   map[string]serviceconfig.Model{lm: {Weights: weights}, app: {Weights: 1}},
		Services: map[string]serviceconfig.Service{lm + "-main": {Model: lm, FetchTolerance: alpha}, app + "-main": {Model: app}},
		Routes:   map[string]serviceconfig.Route{lm: {Service: lm + "-main"}, app: {Service: app + "-main"}}}
	s.Traffic.Rate *= float64(times)
	for i := range 8 {
		t := loadgen.Tenant{Name: fmt.Sprintf("tenant-%d", i+1), Key: fmt.Sprintf("key-of-%s-tenant-%d", name, i+1), Weight: 1, Walled: i == 7}
		if i < 2 {
			t.Weight = 5
		}
		s.Traffic.Tenants = append(s.Traffic.Tenants, t)
		s.Setup.Tenants[t.Name] = serviceconfig.Tenant{Keys: []string{t.Key}, Isolated: t.Walled}
	}
	ip := func(z, m int) string { return fmt.Sprintf("127.%d.%d.%d", net, z, m) }
	at := func(a string, p int) string { return fmt.Sprintf("%s:%d", a, p) }
	seeds := []string{at(ip(1, 1), 7003), at(ip(2, 1), 7003), at(ip(1, 11), 7000)}
	core := []string{"core-1", "core-2", "core-3", "core-4"}
	rank := at(ip(9, 1), 9100)
	add := func(n, prog string, p settings.Process) {
		p.Seeds = append([]string(nil), seeds...)
		p.Bounds, p.Core, p.WorkerList = b, core, rank
		s.Processes = append(s.Processes, Process{Name: n, Program: prog, Place: p})
	}
	for z := 1; z <= 4; z++ {
		a, n, d := ip(z, 1), core[z-1], fmt.Sprintf("district-%d", z)
		add("archive-"+n, programs.ControlNode, settings.Process{Name: n, Zone: d, Listen: at(a, 7003), Operator: at(a, 8090), Data: filepath.Join(dir, "data", n)})
		add("appraiser-"+n, programs.PlacementController, settings.Process{Name: n, Zone: d, Listen: at(a, 7004)})
		s.Operators = append(s.Operators, at(a, 8090))
	}
	for i := range 9 * times {
		z := i%4 + 1
		a, n, d := ip(z, 11+i/4), fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("district-%d", z)
		add("runner-"+n, programs.NodeAgent, settings.Process{Name: n, Zone: d, Listen: at(a, 7000), Operator: at(a, 8090)})
		add("catalogue-"+n, programs.PromptIndex, settings.Process{Name: n, Zone: d, Listen: at(a, 7002), NodeAgent: at(a, 7000)})
		add("dispatcher-"+n, programs.Proxy, settings.Process{Name: n, Zone: d, Listen: at(a, 7001), Public: at(a, 8080), NodeAgent: at(a, 7000)})
		s.Edges, s.Operators = append(s.Edges, at(a, 8080)), append(s.Operators, at(a, 8090))
	}
	for i := range 18 * times {
		z := i%4 + 1
		a, n, d := ip(z, 21+i/4), fmt.Sprintf("cab-%d", i+1), fmt.Sprintf("district-%d", z)
		s.List = append(s.List, contract.ListedWorker{Name: n, Addr: at(a, 9000), Kind: "lm", Service: lm + "-main", Zone: d})
		s.Cabs[n] = at(a, 9000)
		add(n, programs.WorkerSim, settings.Process{Name: n, Zone: d, Listen: at(a, 9001), Public: at(a, 9000),
			Options: append([]string{"service=" + lm + "-main", "model=" + lm, link, far, fmt.Sprintf("weights=%d", weights),
				"journal=" + filepath.Join(dir, n+".runs")}, cabWords...)})
	}
	s.List = append(s.List, contract.ListedWorker{Name: "app-1", Addr: at(ip(2, 40), 9000), Kind: "app", Service: app + "-main", Zone: "district-2"},
		contract.ListedWorker{Name: "depot-1", Addr: at(ip(3, 40), 9000), Kind: "store", Zone: "district-3"})
	add("app-1", programs.AppServiceSim, settings.Process{Name: "app-1", Zone: "district-2", Listen: at(ip(2, 40), 9001), Public: at(ip(2, 40), 9000), Options: []string{"service=" + app + "-main", "model=" + app}})
	add("depot-1", programs.StoreSim, settings.Process{Name: "depot-1", Zone: "district-3", Listen: at(ip(3, 40), 9001), Public: at(ip(3, 40), 9000)})
	add("rank-1", programs.PlatformSim, settings.Process{Name: "rank-1", Zone: "district-1", Listen: at(ip(9, 1), 9101), Public: rank, Options: []string{"list=" + filepath.Join(dir, "list.json")}})
	return s, nil
}

// Write puts the site's settings files into its folder.
//
// Example: err := s.Write("/tmp/run")
func (s *Site) Write(dir string) error {
	var b errs.Batch
	put := func(name string, v any) { b.Add("write "+name, put(dir, name, v)) }
	b.Add("make folder", os.MkdirAll(dir, 0o755))
	put("list.json", s.List)
	put("setup.json", s.Setup)
	return b.Err()
}

func put(dir, name string, v any) error {
	raw, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return errs.Wrap(err, "write "+name)
	}
	return errs.Wrap(os.WriteFile(filepath.Join(dir, name), append(raw, '\n'), 0o644), "write "+name)
}
