package serviceconfig

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/maputil"
)

// Limits that check applies to the values of a service configuration.
const (
	maxNameBytes      = 64
	minKeyBytes       = 8
	maxKeyBytes       = 128
	maxFetchTolerance = 10
	maxWindowS        = 86400  // maximum of Service.HotnessWindowS: one day in seconds
	maxQueueWaitMs    = 600000 // maximum of Config.MaxWaitMs: ten minutes in milliseconds
	seedCount         = 3
	maxPercent        = 100
)

// Format strings of messages that several checks of the service configuration use.
const (
	negativeMemoryFormat = "memory of %d MB must not be negative: give the worker memory in MB that the weights take"
	unknownModelFormat   = "model %q is not defined: add it to models or name another"
	unknownServiceFormat = "service %q is not defined: add it to services or name another"
)

// faultRecorder collects the faults of a service configuration, each with the path of the invalid value.
type faultRecorder struct{ batch *errs.Batch }

func (f faultRecorder) add(path, format string, args ...any) {
	f.batch.Addf(errs.BadInput, "%s: %s", path, fmt.Sprintf(format, args...))
}

// checkName reports a fault if a name is empty, too long, or contains a space, slash, newline or NUL byte.
func (f faultRecorder) checkName(path, name string) {
	if name == "" || len(name) > maxNameBytes || strings.ContainsAny(name, " /\x00\n") {
		f.add(path, "name %q: must be 1 to 64 bytes long, without spaces, slashes, newlines or NUL bytes", name)
	}
}

// check reports all faults of the service configuration, section by section and sorted by name within each section.
func (c *Config) check(batch *errs.Batch) {
	faults := faultRecorder{batch}
	c.checkTenants(faults)
	c.checkModels(faults)
	c.checkAdapters(faults)
	c.checkServices(faults)
	c.checkRoutes(faults)
	c.checkSeeds(faults)
	if c.MaxWaitMs < 0 || c.MaxWaitMs > maxQueueWaitMs {
		faults.add("wait_max_ms", "waiting time of %d ms is out of range: must be 0 (for the default of 30000) to 600000", c.MaxWaitMs)
	}
}

func (c *Config) checkTenants(faults faultRecorder) {
	tenantOf := map[string]string{} // names of tenants by API key
	for _, name := range maputil.SortedKeys(c.Tenants) {
		tenant, path := c.Tenants[name], "tenants."+name
		faults.checkName(path, name)
		if tenant.RequestsPerSecond < 0 || tenant.MaxInFlight < 0 {
			faults.add(path, "rate and inflight must not be negative (0 means no limit)")
		}
		for i, key := range tenant.Keys {
			if len(key) < minKeyBytes || len(key) > maxKeyBytes {
				faults.add(fmt.Sprintf("%s.keys[%d]", path, i), "the key has %d bytes, must have 8 to 128", len(key))
			}
			if other, ok := tenantOf[key]; ok {
				faults.add(fmt.Sprintf("%s.keys[%d]", path, i), "tenant %s has the same key: keys must be unique", other)
			}
			tenantOf[key] = name
		}
	}
}

// checkModels first reports the faults in the names and weights of all models, and then those in their memory sizes.
// This order is the same as in the first release.
func (c *Config) checkModels(faults faultRecorder) {
	for _, name := range maputil.SortedKeys(c.Models) {
		faults.checkName("models."+name, name)
		if c.Models[name].Weights == 0 {
			faults.add("models."+name+".weights", "version of the weights missing: must be 1 or higher")
		}
	}
	for _, name := range maputil.SortedKeys(c.Models) {
		if memory := c.Models[name].MemoryMB; memory < 0 {
			faults.add("models."+name+".room", negativeMemoryFormat, memory)
		}
	}
}

func (c *Config) checkAdapters(faults faultRecorder) {
	for _, name := range maputil.SortedKeys(c.Adapters) {
		adapter, path := c.Adapters[name], "adapters."+name
		faults.checkName(path, name)
		if _, ok := c.Models[name]; ok {
			faults.add(path, "a model has the same name as this adapter: models and adapters must have different names")
		}
		if _, ok := c.Models[adapter.BaseModel]; !ok {
			faults.add(path+".base", unknownModelFormat, adapter.BaseModel)
		}
		if adapter.Build == 0 {
			faults.add(path+".build", "build of the adapter missing: must be 1 or higher")
		}
		if adapter.MemoryMB < 0 {
			faults.add(path+".room", negativeMemoryFormat, adapter.MemoryMB)
		}
		for i, service := range adapter.Services {
			if _, ok := c.Services[service]; !ok {
				faults.add(path+".services", unknownServiceFormat, service)
			}
			if slices.Contains(adapter.Services[:i], service) {
				faults.add(path+".services", "service %q is listed twice", service)
			}
		}
		for _, tenant := range adapter.Tenants {
			if _, ok := c.Tenants[tenant]; !ok {
				faults.add(path+".tenants", "tenant %q is not defined: add it to tenants or name another", tenant)
			}
		}
	}
}

func (c *Config) checkServices(faults faultRecorder) {
	for _, name := range maputil.SortedKeys(c.Services) {
		service, path := c.Services[name], "services."+name
		faults.checkName(path, name)
		if _, ok := c.Models[service.Model]; !ok {
			faults.add(path+".model", unknownModelFormat, service.Model)
		}
		if service.FetchTolerance < 0 || service.FetchTolerance > maxFetchTolerance {
			faults.add(path+".alpha", "fetch tolerance %g is out of range: must be 0 (for the default of 1) to 10", service.FetchTolerance)
		}
		if service.WorkerMemoryMB < 0 {
			faults.add(path+".room", "worker memory of %d MB must not be negative: give the memory in MB that each worker has for weights, or leave it out", service.WorkerMemoryMB)
		}
		if service.HotnessWindowS < 0 || service.HotnessWindowS > maxWindowS {
			faults.add(path+".window_s", "window of %d s is out of range: must be 0 (for the default of 30) to 86400", service.HotnessWindowS)
		}
		switch service.Rollout {
		case "", RolloutPaced, RolloutAtOnce:
		default:
			faults.add(path+".roll_out", "unknown rollout %q: must be paced or at-once", service.Rollout)
		}
		switch service.Placement {
		case "", PlacementHRCS, PlacementAllReplicated, PlacementAllSharded, PlacementNoIndex:
		default:
			faults.add(path+".placement", "unknown placement %q: must be hrcs, all-replicated, all-sharded or no-index", service.Placement)
		}
	}
}

func (c *Config) checkRoutes(faults faultRecorder) {
	for _, name := range maputil.SortedKeys(c.Routes) {
		route, path := c.Routes[name], "ways."+name
		if _, ok := c.Services[route.Service]; !ok {
			faults.add(path+".service", unknownServiceFormat, route.Service)
		}
		if route.HandoverTo != "" {
			if service, ok := c.Services[route.HandoverTo]; !ok || service.Model != name {
				faults.add(path+".next", "handover target %q is not a service of model %s: name a service that has this model", route.HandoverTo, name)
			}
		}
		if route.HandoverPercent < 0 || route.HandoverPercent > maxPercent {
			faults.add(path+".share", "handover percentage %d is out of range: must be 0 to 100", route.HandoverPercent)
		}
		c.checkTargets(name, path, faults)
	}
}

// checkTargets reports a fault if a target of a route does not exist or is not loaded by the route's service, or if
// the route's move to another target is invalid. A target is a model or adapter that serves the route's requests.
func (c *Config) checkTargets(name, path string, faults faultRecorder) {
	route := c.Routes[name]
	if _, ok := c.Resolve(name); !ok && route.ServedBy == "" {
		faults.add(path, "no model or adapter has the name of this route: rename the route, or set its field use to a model or adapter")
	}
	c.checkTargetExists(path+".use", route.ServedBy, faults)
	c.checkTargetExists(path+".move", route.MoveTo, faults)
	for _, target := range []string{route.DefaultTarget(name), route.MoveTo} {
		if adapter, ok := c.Adapters[target]; ok && !slices.Contains(adapter.Services, route.Service) {
			faults.add(path, "adapter %s is not loaded by service %s: add the service to adapters.%s.services", target, route.Service, target)
		}
	}
	if route.MovedPercent < 0 || route.MovedPercent > maxPercent || route.MovedPercent > 0 && route.MoveTo == "" {
		faults.add(path+".moved", "moved percentage %d: must be 0 to 100, and 0 unless move names a target", route.MovedPercent)
	}
	if route.MoveTo != "" && route.HandoverTo != "" {
		faults.add(path, "a handover to another service (next) and a move to another model or adapter (move) are both in progress: end one first")
	}
}

// checkTargetExists reports a fault if a route's target is neither empty nor the name of a model or adapter.
func (c *Config) checkTargetExists(path, target string, faults faultRecorder) {
	if _, ok := c.Resolve(target); target != "" && !ok {
		faults.add(path, "target %q is neither a model nor an adapter: define it or name another", target)
	}
}

func (c *Config) checkSeeds(faults faultRecorder) {
	if n := len(c.Seeds); n != 0 && n != seedCount {
		faults.add("seeds", "%d seed addresses given: must be three, or none to use the seeds of each machine's settings", n)
	}
	for i, seed := range c.Seeds {
		if addr, err := netip.ParseAddrPort(seed); err != nil || addr.Port() == 0 {
			faults.add(fmt.Sprintf("seeds[%d]", i), "seed %q: must be a numeric IP address and port, such as 10.0.0.1:7000", seed)
		}
	}
}
