package testbed

import (
	"fmt"
	"path/filepath"
	"slices"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/sim/loadgen"
)

// Numbers of machines and tenants of a site of regular size, and how far NewScaledSite can multiply it.
const (
	zones           = 4
	coreMachines    = zones // one core machine in each zone
	edgeMachines    = 9
	workers         = 18
	tenants         = 8
	heavyTenants    = 2     // number of tenants, the first in the list, that send more traffic
	heavyWeight     = 5     // traffic of a heavy tenant relative to that of any other tenant
	maxTimes        = 4     // largest factor by which NewScaledSite multiplies a site
	simulatorsZone  = 9     // zone number, the third byte of the address, of the platform simulator; no real zone has it
	initialWeights  = 1     // version of the model's weights in the first configuration
	maxClientWaitMs = 30000 // longest time that a client may ask to wait for a response, in the first configuration
)

// Ports on which the programs listen.
const (
	agentPort            = 7000
	proxyPort            = 7001
	indexPort            = 7002
	controlPort          = 7003
	placementPort        = 7004
	clientPort           = 8080
	operatorPort         = 8090
	workerPort           = 9000
	workerInternalPort   = 9001
	platformPort         = 9100
	platformInternalPort = 9101
)

// Names and name prefixes of process instances. They derive from former names of the programs and can't change, since
// scenarios, runbooks and logs of running sites contain them.
const (
	controlNodePrefix = "archive-"    // name prefix of a control node; the name of its core machine follows
	placementPrefix   = "appraiser-"  // name prefix of a placement controller; the name of its core machine follows
	agentPrefix       = "runner-"     // name prefix of a node agent; the name of its edge machine follows
	indexPrefix       = "catalogue-"  // name prefix of a prompt index; the name of its edge machine follows
	proxyPrefix       = "dispatcher-" // name prefix of a proxy; the name of its edge machine follows
	workerPrefix      = "cab-"        // name prefix of a worker; a number from 1 follows
	edgePrefix        = "edge-"       // name prefix of an edge machine; a number from 1 follows
	corePrefix        = "core-"       // name prefix of a core machine; a number from 1 follows
	storeName         = "depot-1"     // name of the prompt store simulator
	appName           = "app-1"       // name of the application service simulator
	platformName      = "rank-1"      // name of the platform simulator
)

// layout builds a Site: it assigns names, addresses and settings to the processes.
type layout struct {
	site          *Site
	dir           string          // folder of the data and journals
	addressByte   int             // second byte of the site's loopback addresses
	bounds        settings.Bounds // time and retry bounds in the settings of all processes
	linkOptions   []string        // options of every worker simulator for the speed of its links
	workerOptions []string        // further options of every worker simulator
	seeds, core   []string        // addresses of the processes to contact first; names of the core machines
	platformAddr  string          // address of the platform simulator
}

// NewSite returns a site of regular size: 4 core machines, 9 edge machines and 18 workers. net is the second byte of its
// loopback addresses; workerOptions are options of every worker simulator. It fails with errs.BadInput for an unknown
// site.
//
// Example: site, err := testbed.NewSite("paramo", "/tmp/run", 10, nil)
func NewSite(name, dir string, net int, workerOptions []string) (*Site, error) {
	return NewScaledSite(name, dir, net, workerOptions, 1)
}

// NewScaledSite returns a site of 1 to 4 times the regular size: it multiplies the edge machines, the workers and the
// traffic by times; there are always four core machines.
//
// Example: site, err := testbed.NewScaledSite("daegu", "/tmp/run", 10, nil, 4)
func NewScaledSite(name, dir string, net int, workerOptions []string, times int) (*Site, error) {
	if times < 1 || times > maxTimes {
		return nil, errs.New(errs.BadInput, "factor of the site's size is %d: give 1 to %d", times, maxTimes)
	}
	l := &layout{site: &Site{Name: name, Workers: map[string]string{}}, dir: dir, addressByte: net, bounds: settings.DefaultBounds(), workerOptions: workerOptions}
	fetchTolerance, err := l.setTraffic(name)
	if err != nil {
		return nil, err
	}
	l.setConfig(fetchTolerance)
	l.site.Traffic.Rate *= float64(times)
	l.addTenants()
	l.seeds = []string{l.addr(1, 1, controlPort), l.addr(2, 1, controlPort), l.addr(1, 11, agentPort)}
	l.core = []string{"core-1", "core-2", "core-3", "core-4"}
	l.platformAddr = l.addr(simulatorsZone, 1, platformPort)
	l.addCoreMachines()
	l.addEdgeMachines(edgeMachines * times)
	l.addWorkers(workers * times)
	l.addSimulators()
	return l.site, nil
}

// setTraffic sets the client traffic and the link speeds of the named site. It returns the fetch tolerance of the main
// service: how long fetching cached prompt data from another worker may take, as a share of the prefill time.
func (l *layout) setTraffic(name string) (fetchTolerance float64, err error) {
	switch name {
	case "paramo":
		l.linkOptions = []string{"link=40000", "far=25000"}
		l.site.Traffic = loadgen.Traffic{Site: name, Model: "lector", App: "caja", Rate: 45, WaitMs: 8000, OnceShare: 0.3, DuplicateShare: 0.2, AppShare: 0.05, Kinds: []loadgen.Kind{
			{Name: "appraise", Share: 0.35, Prefixes: 60, PrefixTokens: 3000, Skew: 1.0, QuestionTokens: 40, Chunks: 4},
			{Name: "catalogue", Share: 0.35, Prefixes: 160, PrefixTokens: 900, Skew: 0.8, SessionTokens: 300, Sessions: 300, QuestionTokens: 60, Chunks: 6},
			{Name: "copies", Share: 0.30, Prefixes: 60, PrefixTokens: 200, Skew: 0.9, QuestionTokens: 30, Chunks: 10}}}
		return 0.3, nil
	case "daegu":
		l.bounds.WeightsMs = 25000
		l.linkOptions = []string{"link=300000", "far=200000"}
		l.site.Traffic = loadgen.Traffic{Site: name, Model: "gisa", App: "jeonpyo", Rate: 30, WaitMs: 8000, OnceShare: 0.4, DuplicateShare: 0.2, AppShare: 0.05, Kinds: []loadgen.Kind{
			{Name: "ruling", Share: 0.4, Prefixes: 40, PrefixTokens: 2600, Skew: 1.1, QuestionTokens: 30, Chunks: 4},
			{Name: "route", Share: 0.3, Prefixes: 120, PrefixTokens: 800, Skew: 0.8, QuestionTokens: 50, Chunks: 5},
			{Name: "booking", Share: 0.3, Prefixes: 40, PrefixTokens: 180, Skew: 0.9, SessionTokens: 400, Sessions: 120, QuestionTokens: 40, Chunks: 10}}}
		return 0.05, nil
	}
	return 0, errs.New(errs.BadInput, "unknown site %q: give one of %v", name, Sites())
}

// setConfig sets the site's first configuration, with one service for the model and one for the application.
func (l *layout) setConfig(fetchTolerance float64) {
	model, app := l.site.Traffic.Model, l.site.Traffic.App
	l.site.Config = serviceconfig.Config{Tenants: map[string]serviceconfig.Tenant{}, MaxWaitMs: maxClientWaitMs,
		Models:   map[string]serviceconfig.Model{model: {Weights: initialWeights}, app: {Weights: 1}},
		Services: map[string]serviceconfig.Service{mainService(model): {Model: model, FetchTolerance: fetchTolerance}, mainService(app): {Model: app}},
		Routes:   map[string]serviceconfig.Route{model: {Service: mainService(model)}, app: {Service: mainService(app)}}}
}

// mainService returns the name of the service that serves a model in the first configuration.
func mainService(model string) string { return model + "-main" }

// addTenants adds the site's tenants. The first heavyTenants send more traffic, and the last one is isolated: it shares
// no cached prompts with other tenants.
func (l *layout) addTenants() {
	for i := range tenants {
		tenant := loadgen.Tenant{Name: fmt.Sprintf("tenant-%d", i+1), Key: fmt.Sprintf("key-of-%s-tenant-%d", l.site.Name, i+1), Weight: 1, Isolated: i == tenants-1}
		if i < heavyTenants {
			tenant.Weight = heavyWeight
		}
		l.site.Traffic.Tenants = append(l.site.Traffic.Tenants, tenant)
		l.site.Config.Tenants[tenant.Name] = serviceconfig.Tenant{Keys: []string{tenant.Key}, Isolated: tenant.Isolated}
	}
}

// addr returns an address of a machine in the form 127.ADDRESSBYTE.ZONE.MACHINE:PORT.
func (l *layout) addr(zone, machine, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", l.addressByte, zone, machine, port)
}

func zoneName(zone int) string { return fmt.Sprintf("district-%d", zone) }

// add adds a process to the site, with the settings that all processes share.
func (l *layout) add(name, program string, process settings.Process) {
	process.Seeds = slices.Clone(l.seeds)
	process.Bounds, process.Core, process.WorkerList = l.bounds, l.core, l.platformAddr
	l.site.Processes = append(l.site.Processes, Process{Name: name, Program: program, Settings: process})
}

// addCoreMachines adds one core machine in each zone, with a control node and a placement controller.
func (l *layout) addCoreMachines() {
	for zone := 1; zone <= zones; zone++ {
		machine := l.core[zone-1]
		base := settings.Process{Name: machine, Zone: zoneName(zone)}
		control := base
		control.Listen, control.Operator = l.addr(zone, 1, controlPort), l.addr(zone, 1, operatorPort)
		control.Data = filepath.Join(l.dir, "data", machine)
		l.add(controlNodePrefix+machine, programs.ControlNode, control)
		placement := base
		placement.Listen = l.addr(zone, 1, placementPort)
		l.add(placementPrefix+machine, programs.PlacementController, placement)
		l.site.Operators = append(l.site.Operators, control.Operator)
	}
}

// addEdgeMachines adds edge machines, in the zones in turn, each with a node agent, a prompt index and a proxy.
func (l *layout) addEdgeMachines(count int) {
	for i := range count {
		zone, host := i%zones+1, 11+i/zones
		machine := fmt.Sprint(edgePrefix, i+1)
		base := settings.Process{Name: machine, Zone: zoneName(zone)}
		agent := base
		agent.Listen, agent.Operator = l.addr(zone, host, agentPort), l.addr(zone, host, operatorPort)
		l.add(agentPrefix+machine, programs.NodeAgent, agent)
		index := base
		index.Listen, index.NodeAgent = l.addr(zone, host, indexPort), agent.Listen
		l.add(indexPrefix+machine, programs.PromptIndex, index)
		proxy := base
		proxy.Listen, proxy.Public, proxy.NodeAgent = l.addr(zone, host, proxyPort), l.addr(zone, host, clientPort), agent.Listen
		l.add(proxyPrefix+machine, programs.Proxy, proxy)
		l.site.Edges = append(l.site.Edges, proxy.Public)
		l.site.Operators = append(l.site.Operators, agent.Operator)
	}
}

// addWorkers adds worker simulators, in the zones in turn.
func (l *layout) addWorkers(count int) {
	model := l.site.Traffic.Model
	for i := range count {
		zone, host := i%zones+1, 21+i/zones
		name, addr := fmt.Sprint(workerPrefix, i+1), l.addr(zone, host, workerPort)
		l.site.WorkerList = append(l.site.WorkerList, contract.ListedWorker{Name: name, Addr: addr, Kind: "lm", Service: mainService(model), Zone: zoneName(zone)})
		l.site.Workers[name] = addr
		options := append([]string{"service=" + mainService(model), "model=" + model}, l.linkOptions...)
		options = append(options, fmt.Sprintf("weights=%d", initialWeights), "journal="+filepath.Join(l.dir, name+".runs"))
		l.add(name, programs.WorkerSim, settings.Process{Name: name, Zone: zoneName(zone), Listen: l.addr(zone, host, workerInternalPort), Public: addr,
			Options: append(options, l.workerOptions...)})
	}
}

// addSimulators adds the simulators of the application service, the prompt store and the platform.
func (l *layout) addSimulators() {
	app := l.site.Traffic.App
	appAddr, storeAddr := l.addr(2, 40, workerPort), l.addr(3, 40, workerPort)
	l.site.WorkerList = append(l.site.WorkerList,
		contract.ListedWorker{Name: appName, Addr: appAddr, Kind: "app", Service: mainService(app), Zone: zoneName(2)},
		contract.ListedWorker{Name: storeName, Addr: storeAddr, Kind: "store", Zone: zoneName(3)})
	l.add(appName, programs.AppServiceSim, settings.Process{Name: appName, Zone: zoneName(2), Listen: l.addr(2, 40, workerInternalPort), Public: appAddr,
		Options: []string{"service=" + mainService(app), "model=" + app}})
	l.add(storeName, programs.StoreSim, settings.Process{Name: storeName, Zone: zoneName(3), Listen: l.addr(3, 40, workerInternalPort), Public: storeAddr})
	l.add(platformName, programs.PlatformSim, settings.Process{Name: platformName, Zone: zoneName(1), Listen: l.addr(simulatorsZone, 1, platformInternalPort), Public: l.platformAddr,
		Options: []string{"list=" + filepath.Join(l.dir, "list.json")}})
}
