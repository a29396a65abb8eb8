package serviceconfig

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/maputil"
)

// Bounds of the values that operators may write.
const (
	maxNameBytes      = 64
	minKeyBytes       = 8
	maxKeyBytes       = 128
	maxFetchTolerance = 10
	maxWindowS        = 86400  // seconds: a day
	maxQueueWaitMs    = 600000 // milliseconds: ten minutes
	seedCount         = 3
	maxPercent        = 100
)

// Remedies that several faults share.
const (
	giveMemory   = "%d: give what it takes of a worker's memory in MB"
	nameAModel   = "%q is not among models: add it there or name another"
	nameAService = "%q is not among services: add it there or name another"
)

// faultRecorder collects the faults of a configuration, each with its path and remedy.
type faultRecorder struct{ batch *errs.Batch }

func (f faultRecorder) add(path, format string, args ...any) {
	f.batch.Addf(errs.BadInput, "%s: %s", path, fmt.Sprintf(format, args...))
}

// checkName reports a name that isn't a single word.
func (f faultRecorder) checkName(path, name string) {
	if name == "" || len(name) > maxNameBytes || strings.ContainsAny(name, " /\x00\n") {
		f.add(path, "%q: give a word of 1 to 64 letters without spaces or slashes", name)
	}
}

// check reports all faults of the configuration, in the order of its sections and sorted by name in
// each.
func (c *Config) check(batch *errs.Batch) {
	faults := faultRecorder{batch}
	c.checkTenants(faults)
	c.checkModels(faults)
	c.checkAdapters(faults)
	c.checkServices(faults)
	c.checkRoutes(faults)
	c.checkSeeds(faults)
	if c.MaxWaitMs < 0 || c.MaxWaitMs > maxQueueWaitMs {
		faults.add("wait_max_ms", "%d: give 0 (the default, 30000) to 600000", c.MaxWaitMs)
	}
}

func (c *Config) checkTenants(faults faultRecorder) {
	tenantOf := map[string]string{} // by key
	for _, name := range maputil.SortedKeys(c.Tenants) {
		tenant, path := c.Tenants[name], "tenants."+name
		faults.checkName(path, name)
		if tenant.RequestsPerSecond < 0 || tenant.MaxInFlight < 0 {
			faults.add(path, "rate and inflight: give 0 (no bound) or more")
		}
		for i, key := range tenant.Keys {
			if len(key) < minKeyBytes || len(key) > maxKeyBytes {
				faults.add(fmt.Sprintf("%s.keys[%d]", path, i), "%d letters: give 8 to 128", len(key))
			}
			if other, ok := tenantOf[key]; ok {
				faults.add(fmt.Sprintf("%s.keys[%d]", path, i), "tenant %s has the same key: give each its own", other)
			}
			tenantOf[key] = name
		}
	}
}

// checkModels reports the faults of all models' names and weights first, and then those of their
// memory, in the order of the first release.
func (c *Config) checkModels(faults faultRecorder) {
	for _, name := range maputil.SortedKeys(c.Models) {
		faults.checkName("models."+name, name)
		if c.Models[name].Weights == 0 {
			faults.add("models."+name+".weights", "missing: name the weights' version, from 1")
		}
	}
	for _, name := range maputil.SortedKeys(c.Models) {
		if memory := c.Models[name].MemoryMB; memory < 0 {
			faults.add("models."+name+".room", giveMemory, memory)
		}
	}
}

func (c *Config) checkAdapters(faults faultRecorder) {
	for _, name := range maputil.SortedKeys(c.Adapters) {
		adapter, path := c.Adapters[name], "adapters."+name
		faults.checkName(path, name)
		if _, ok := c.Models[name]; ok {
			faults.add(path, "a model has the same name: give each its own")
		}
		if _, ok := c.Models[adapter.BaseModel]; !ok {
			faults.add(path+".base", nameAModel, adapter.BaseModel)
		}
		if adapter.Build == 0 {
			faults.add(path+".build", "missing: name the build, from 1")
		}
		if adapter.MemoryMB < 0 {
			faults.add(path+".room", giveMemory, adapter.MemoryMB)
		}
		for i, service := range adapter.Services {
			if _, ok := c.Services[service]; !ok {
				faults.add(path+".services", nameAService, service)
			}
			if slices.Contains(adapter.Services[:i], service) {
				faults.add(path+".services", "%q is named twice", service)
			}
		}
		for _, tenant := range adapter.Tenants {
			if _, ok := c.Tenants[tenant]; !ok {
				faults.add(path+".tenants", "%q is not among tenants: add it there or name another", tenant)
			}
		}
	}
}

func (c *Config) checkServices(faults faultRecorder) {
	for _, name := range maputil.SortedKeys(c.Services) {
		service, path := c.Services[name], "services."+name
		faults.checkName(path, name)
		if _, ok := c.Models[service.Model]; !ok {
			faults.add(path+".model", nameAModel, service.Model)
		}
		if service.FetchTolerance < 0 || service.FetchTolerance > maxFetchTolerance {
			faults.add(path+".alpha", "%g: give 0 (the default, 1) to 10", service.FetchTolerance)
		}
		if service.WorkerMemoryMB < 0 {
			faults.add(path+".room", "%d: give each worker's memory for weights in MB, or leave it out", service.WorkerMemoryMB)
		}
		if service.HotnessWindowS < 0 || service.HotnessWindowS > maxWindowS {
			faults.add(path+".window_s", "%d: give 0 (the default, 30) to 86400", service.HotnessWindowS)
		}
		switch service.Rollout {
		case "", RolloutPaced, RolloutAtOnce:
		default:
			faults.add(path+".roll_out", "%q: give paced or at-once", service.Rollout)
		}
		switch service.Placement {
		case "", PlacementHRCS, PlacementAllReplicated, PlacementAllSharded, PlacementNoIndex:
		default:
			faults.add(path+".placement", "%q: give hrcs, all-replicated, all-sharded or no-index", service.Placement)
		}
	}
}

func (c *Config) checkRoutes(faults faultRecorder) {
	for _, name := range maputil.SortedKeys(c.Routes) {
		route, path := c.Routes[name], "ways."+name
		if _, ok := c.Services[route.Service]; !ok {
			faults.add(path+".service", nameAService, route.Service)
		}
		if route.HandoverTo != "" {
			if service, ok := c.Services[route.HandoverTo]; !ok || service.Model != name {
				faults.add(path+".next", "%q is no service of model %s: name one that is", route.HandoverTo, name)
			}
		}
		if route.HandoverPercent < 0 || route.HandoverPercent > maxPercent {
			faults.add(path+".share", "%d: give a percent", route.HandoverPercent)
		}
		c.checkTargets(name, path, faults)
	}
}

// checkTargets reports a route whose target doesn't exist or isn't loaded on the route's workers.
func (c *Config) checkTargets(name, path string, faults faultRecorder) {
	route := c.Routes[name]
	if _, ok := c.Resolve(name); !ok && route.ServedBy == "" {
		faults.add(path, "no such model: a route is named by the model it serves")
	}
	c.checkTargetExists(path+".use", route.ServedBy, faults)
	c.checkTargetExists(path+".move", route.MoveTo, faults)
	for _, target := range []string{route.DefaultTarget(name), route.MoveTo} {
		if adapter, ok := c.Adapters[target]; ok && !slices.Contains(adapter.Services, route.Service) {
			faults.add(path, "adapter %s isn't held by service %s: add the service to adapters.%s.services", target, route.Service, target)
		}
	}
	if route.MovedPercent < 0 || route.MovedPercent > maxPercent || route.MovedPercent > 0 && route.MoveTo == "" {
		faults.add(path+".moved", "%d: give a percent, and in move where to", route.MovedPercent)
	}
	if route.MoveTo != "" && route.HandoverTo != "" {
		faults.add(path, "it is handed over and moved at once: end one first")
	}
}

func (c *Config) checkTargetExists(path, target string, faults faultRecorder) {
	if _, ok := c.Resolve(target); target != "" && !ok {
		faults.add(path, "%q is neither among models nor among adapters: add it there or name another", target)
	}
}

func (c *Config) checkSeeds(faults faultRecorder) {
	if n := len(c.Seeds); n != 0 && n != seedCount {
		faults.add("seeds", "%d given: give three, or none to follow each machine's settings", n)
	}
	for i, seed := range c.Seeds {
		if addr, err := netip.ParseAddrPort(seed); err != nil || addr.Port() == 0 {
			faults.add(fmt.Sprintf("seeds[%d]", i), "%q: give IP:port, by number", seed)
		}
	}
}
