package routingconfig

import (
	"slices"
	"strings"

	"pebbleloom/internal/rendezvous"
)

// hostRoutes holds the routes of one host. Looking up a path probes the map withSlash once per slash among the first
// longestPrefix bytes of the path, so the cost does not depend on the number of routes in the map.
type hostRoutes struct {
	longestPrefix int               // length in bytes of the longest prefix among the host's routes
	withSlash     map[string]*Route // routes of the host whose prefix ends with a slash, by prefix
	withoutSlash  []*Route          // routes of the host whose prefix does not end with a slash, longest prefix first; usually none
}

// BuildIndex builds the lookup tables of a plan, unless they exist already, and returns the plan. It must be called
// before the plan is shared between goroutines. Lookups in a plan without these tables find nothing.
//
// Example: snapshot.Plan = p.BuildIndex()
func (p *Plan) BuildIndex() *Plan {
	if p.routesByHost != nil {
		return p
	}
	p.indexRoutes()
	p.tenantsByKey = make(map[string]*Tenant, 2*len(p.Tenants))
	p.isolatedByName = make(map[string]bool, len(p.Tenants))
	for i := range p.Tenants {
		name := p.Tenants[i].Name
		p.isolatedByName[name] = p.isolatedByName[name] || p.Tenants[i].Isolated
		for _, key := range p.Tenants[i].Keys {
			if key != "" {
				p.tenantsByKey[key] = &p.Tenants[i]
			}
		}
	}
	p.servicesByName = make(map[string]*Service, len(p.Services))
	for i := range p.Services {
		p.servicesByName[p.Services[i].Name] = &p.Services[i]
	}
	return p
}

// indexRoutes builds the lookup table of routes by host and prefix.
func (p *Plan) indexRoutes() {
	p.routesByHost = map[string]*hostRoutes{}
	for i := range p.Routes {
		route := &p.Routes[i]
		host := hostname(route.Host)
		routes := p.routesByHost[host]
		if routes == nil {
			routes = &hostRoutes{withSlash: map[string]*Route{}}
			p.routesByHost[host] = routes
		}
		routes.longestPrefix = max(routes.longestPrefix, len(route.Prefix))
		if strings.HasSuffix(route.Prefix, "/") {
			routes.withSlash[route.Prefix] = route
		} else {
			routes.withoutSlash = append(routes.withoutSlash, route)
		}
	}
	for _, routes := range p.routesByHost {
		slices.SortStableFunc(routes.withoutSlash, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// hostname returns the host name of a host with an optional port, in lower case.
func hostname(hostport string) string {
	if i := strings.LastIndexByte(hostport, ':'); i >= 0 && !strings.HasSuffix(hostport, "]") {
		hostport = hostport[:i]
	}
	return strings.ToLower(hostport)
}

// MatchRoute returns the route of a host with the longest prefix that the path begins with. It does not allocate,
// because it runs for every request.
//
// Example: route, ok := p.MatchRoute(req.Host, req.URL.EscapedPath())
func (p *Plan) MatchRoute(hostport, path string) (*Route, bool) {
	routes := p.routesByHost[hostname(hostport)]
	if routes == nil {
		return nil, false
	}
	found := routes.matchWithSlash(path)
	for _, route := range routes.withoutSlash {
		if found != nil && len(found.Prefix) > len(route.Prefix) {
			break
		}
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return found, found != nil
}

// matchWithSlash returns the route with the longest prefix of the path that ends with a slash, or nil if there is
// none.
func (h *hostRoutes) matchWithSlash(path string) *Route {
	rest := path[:min(len(path), h.longestPrefix)]
	for {
		i := strings.LastIndexByte(rest, '/')
		if i < 0 {
			return nil
		}
		if route := h.withSlash[rest[:i+1]]; route != nil {
			return route
		}
		rest = rest[:i]
	}
}

// TenantByKey returns the tenant that an API key belongs to.
//
// Example: tenant, ok := p.TenantByKey(key)
func (p *Plan) TenantByKey(key string) (*Tenant, bool) {
	tenant, ok := p.tenantsByKey[key]
	return tenant, ok
}

// RequiresKey reports whether a request on a route that isn't public needs the API key of a tenant. hasKey is whether the
// request has a key. A plan without tenants requires none if there never were any. After the last tenants were removed,
// their keys stay revoked: a request with a key is not accepted, and one without a key only if the plan has no list of
// tenants at all.
//
// Example: if plan.RequiresKey(key != "") { authenticate(key) }
func (p *Plan) RequiresKey(hasKey bool) bool {
	if len(p.Tenants) > 0 || !p.HadTenants {
		return len(p.Tenants) > 0
	}
	return hasKey || p.ListsTenants
}

// ServiceByName returns the service of the plan that has a name. If several services have that name, it returns the
// last one.
//
// Example: service, ok := p.ServiceByName(route.SelectService(id))
func (p *Plan) ServiceByName(name string) (*Service, bool) {
	service, ok := p.servicesByName[name]
	return service, ok
}

// SelectService returns the name of the service that an attempt of a request is sent to, or "" if the route's
// weights add up to 0. A hash of the attempt's ID selects a service in proportion to the weights, so the same
// ID selects the same service on every machine. The weights of a service that is listed twice are added.
//
// Example: name := route.SelectService(attemptID)
func (r *Route) SelectService(attemptID string) string {
	total := r.totalWeight()
	if total == 0 {
		return ""
	}
	remaining := int(rendezvous.Hash(attemptID) % uint64(total))
	for _, weighted := range r.Split {
		if remaining -= max(weighted.Weight, 0); remaining < 0 {
			return weighted.Service
		}
	}
	return ""
}

// totalWeight returns the sum of the route's weights; negative weights count as 0.
func (r *Route) totalWeight() int {
	total := 0
	for _, weighted := range r.Split {
		total += max(weighted.Weight, 0)
	}
	return total
}
