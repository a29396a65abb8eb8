package routingconfig

import "pebbleloom/internal/errs"

// Check notes every fault of a plan, each with the item it lies in: a version of 0, a route that names
// an unknown service, or has weights that add up to 0, or no timeout, two routes with the same host
// and prefix, two tenants that share a key. Anything else is accepted.
//
// Example: if err := routingconfig.Check(p); err != nil { return err }
func Check(p *Plan) error {
	var b errs.Batch
	bad := func(format string, a ...any) { b.Addf(errs.BadInput, format, a...) }
	if p.Version == 0 {
		bad("version: missing or 0: give one above that of the plan in force")
	}
	known := make(map[string]bool, len(p.Services))
	for i := range p.Services {
		known[p.Services[i].Name] = true
	}
	type routeKey struct{ host, prefix string }
	taken := make(map[routeKey]string, len(p.Routes))
	for i := range p.Routes {
		r := &p.Routes[i]
		for _, s := range r.Split {
			if !known[s.Service] {
				bad("route %q: service %q: not among the services", r.Name, s.Service)
			}
		}
		if r.weight() == 0 {
			bad("route %q: its weights add up to 0", r.Name)
		}
		if r.Timeout <= 0 {
			bad("route %q: timeout: missing or 0", r.Name)
		}
		at := routeKey{hostname(r.Host), r.Prefix}
		if other, ok := taken[at]; ok {
			bad("route %q: host %q and prefix %q: those of route %q too", r.Name, r.Host, r.Prefix, other)
		}
		taken[at] = r.Name
	}
	holder := make(map[string]int, 2*len(p.Tenants))
	for i := range p.Tenants {
		for _, k := range p.Tenants[i].Keys {
			if j, ok := holder[k]; ok && j != i {
				bad("tenant %q: shares a key with tenant %q", p.Tenants[i].Name, p.Tenants[j].Name)
			}
			holder[k] = i
		}
	}
	return b.Err()
}

// CheckSuccessor reports whether a plan of version next may replace one of version old (0: there is
// none).
//
// Example: if err := routingconfig.CheckSuccessor(inForce.Version, p.Version); err != nil { return err }
func CheckSuccessor(old, next uint64) error {
	if next <= old {
		return errs.New(errs.BadInput, "version: %d is not above %d, which is in force", next, old)
	}
	return nil
}
