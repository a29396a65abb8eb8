package routingconfig

import "pebbleloom/internal/errs"

// Check returns an error of kind errs.BadInput that lists every fault of a routing configuration with the item that
// has it. The faults are: a version of 0; a route that names an unknown service, whose weights add up to 0, or that
// has no positive timeout; two routes with the same host and prefix; two tenants that share an API key. Everything
// else is valid.
//
// Example: if err := routingconfig.Check(p); err != nil { return err }
func Check(p *Plan) error {
	var faults errs.Batch
	if p.Version == 0 {
		faults.Addf(errs.BadInput, "version: missing or 0; must be above the version of the routing configuration in force")
	}
	p.checkRoutes(&faults)
	p.checkTenants(&faults)
	return faults.Err()
}

func (p *Plan) checkRoutes(faults *errs.Batch) {
	known := make(map[string]bool, len(p.Services))
	for i := range p.Services {
		known[p.Services[i].Name] = true
	}
	type routeKey struct{ host, prefix string }
	nameOf := make(map[routeKey]string, len(p.Routes))
	for i := range p.Routes {
		route := &p.Routes[i]
		route.check(known, faults)
		key := routeKey{hostname(route.Host), route.Prefix}
		if other, ok := nameOf[key]; ok {
			faults.Addf(errs.BadInput, "route %q: host %q and prefix %q: already used by route %q", route.Name, route.Host, route.Prefix, other)
		}
		nameOf[key] = route.Name
	}
}

// check adds to faults the faults of a route that do not depend on other routes of the routing configuration.
func (r *Route) check(knownServices map[string]bool, faults *errs.Batch) {
	for _, weighted := range r.Split {
		if !knownServices[weighted.Service] {
			faults.Addf(errs.BadInput, "route %q: service %q: not defined among the services of the routing configuration", r.Name, weighted.Service)
		}
	}
	if r.totalWeight() == 0 {
		faults.Addf(errs.BadInput, "route %q: its weights add up to 0; at least one must be positive", r.Name)
	}
	if r.Timeout <= 0 {
		faults.Addf(errs.BadInput, "route %q: timeout: missing or not positive", r.Name)
	}
}

func (p *Plan) checkTenants(faults *errs.Batch) {
	indexByKey := make(map[string]int, 2*len(p.Tenants))
	for i := range p.Tenants {
		for _, key := range p.Tenants[i].Keys {
			if other, ok := indexByKey[key]; ok && other != i {
				faults.Addf(errs.BadInput, "tenant %q: shares a key with tenant %q; keys must be unique", p.Tenants[i].Name, p.Tenants[other].Name)
			}
			indexByKey[key] = i
		}
	}
}

// CheckSuccessor returns an error of kind errs.BadInput unless the version of a new routing configuration is above
// the version of the one in force. inForce is 0 if no routing configuration is in force.
//
// Example: if err := routingconfig.CheckSuccessor(inForce.Version, p.Version); err != nil { return err }
func CheckSuccessor(inForce, next uint64) error {
	if next <= inForce {
		return errs.New(errs.BadInput, "version: %d is not above %d, the version in force", next, inForce)
	}
	return nil
}
