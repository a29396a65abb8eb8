package routingconfig

import (
	"slices"
	"strings"
)

// hostRoutes holds the routes of one host. A lookup probes once per slash of a path, and no further
// than the longest prefix: its cost doesn't depend on the number of routes.
type hostRoutes struct {
	longestPrefix int
	withSlash     map[string]*Route // by prefix, those that end with a slash
	withoutSlash  []*Route          // longest first; usually none
}

// BuildIndex builds the lookup tables, unless they exist. It has to be called before the plan is
// shared: lookups in a plan without them find nothing.
//
// Example: snapshot.Plan = p.BuildIndex()
func (p *Plan) BuildIndex() *Plan {
	if p.routesByHost != nil {
		return p
	}
	p.routesByHost = map[string]*hostRoutes{}
	p.tenantsByKey = make(map[string]*Tenant, 2*len(p.Tenants))
	p.servicesByName = make(map[string]*Service, len(p.Services))
	for i := range p.Routes {
		r := &p.Routes[i]
		name := hostname(r.Host)
		h := p.routesByHost[name]
		if h == nil {
			h = &hostRoutes{withSlash: map[string]*Route{}}
			p.routesByHost[name] = h
		}
		h.longestPrefix = max(h.longestPrefix, len(r.Prefix))
		if strings.HasSuffix(r.Prefix, "/") {
			h.withSlash[r.Prefix] = r
		} else {
			h.withoutSlash = append(h.withoutSlash, r)
		}
	}
	for _, h := range p.routesByHost {
		slices.SortStableFunc(h.withoutSlash, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range p.Tenants {
		for _, k := range p.Tenants[i].Keys {
			if k != "" {
				p.tenantsByKey[k] = &p.Tenants[i]
			}
		}
	}
	for i := range p.Services {
		p.servicesByName[p.Services[i].Name] = &p.Services[i]
	}
	return p
}

// hostname is a host without its port, in lower case.
func hostname(s string) string {
	if i := strings.LastIndexByte(s, ':'); i >= 0 && !strings.HasSuffix(s, "]") {
		s = s[:i]
	}
	return strings.ToLower(s)
}

// MatchRoute finds the route of that host whose prefix begins the path and is longest.
//
// Example: r, ok := p.Route(req.Host, req.URL.EscapedPath())
func (p *Plan) MatchRoute(name, path string) (*Route, bool) {
	h := p.routesByHost[hostname(name)]
	if h == nil {
		return nil, false
	}
	var found *Route
	for rest := path[:min(len(path), h.longestPrefix)]; ; {
		i := strings.LastIndexByte(rest, '/')
		if i < 0 {
			break
		}
		if r := h.withSlash[rest[:i+1]]; r != nil {
			found = r
			break
		}
		rest = rest[:i]
	}
	for _, r := range h.withoutSlash {
		if found != nil && len(found.Prefix) > len(r.Prefix) {
			break
		}
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return found, found != nil
}

// TenantByKey returns the tenant of a key.
//
// Example: t, ok := p.Tenant(key)
func (p *Plan) TenantByKey(key string) (*Tenant, bool) {
	t, ok := p.tenantsByKey[key]
	return t, ok
}

// ServiceByName returns a service; of two with the same name, the last.
//
// Example: s, ok := p.ServiceByName(route.Service(id))
func (p *Plan) ServiceByName(service string) (*Service, bool) {
	s, ok := p.servicesByName[service]
	return s, ok
}

// SelectService returns which of the route's services takes an attempt: a hash of its ID selects among the
// weights, so the same ID leads to the same service on every machine. A service named twice has the
// sum of its weights.
//
// Example: name := r.Service(attemptID)
func (r *Route) SelectService(id string) string {
	sum := r.weight()
	if sum == 0 {
		return ""
	}
	at := int(hash(id) % uint64(sum))
	for _, s := range r.Split {
		if at -= max(s.Weight, 0); at < 0 {
			return s.Service
		}
	}
	return ""
}

// weight is the sum of the route's weights.
func (r *Route) weight() int {
	n := 0
	for _, s := range r.Split {
		n += max(s.Weight, 0)
	}
	return n
}

// hash spreads a string evenly over 64 bits: FNV-1a, and the final step of MurmurHash3.
func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
