package routingconfig

import (
	"slices"
	"strings"
)

// host holds the routes of one host. A look-up asks once for each slash of a path, and no further
// than the longest prefix: what it costs doesn't depend on how many routes there are.
type host struct {
	longest int
	slashed map[string]*Route // by prefix, those that end with a slash
	others  []*Route          // longest first; commonly none
}

// Ready builds the look-up tables, unless they stand already. It has to be called before the
// plan is shared: nothing is found in one that isn't ready.
//
// Example: snap.Plan = p.Ready()
func (p *Plan) Ready() *Plan {
	if p.hosts != nil {
		return p
	}
	p.hosts = map[string]*host{}
	p.keys = make(map[string]*Tenant, 2*len(p.Tenants))
	p.names = make(map[string]*Service, len(p.Services))
	for i := range p.Routes {
		r := &p.Routes[i]
		name := hostname(r.Host)
		h := p.hosts[name]
		if h == nil {
			h = &host{slashed: map[string]*Route{}}
			p.hosts[name] = h
		}
		h.longest = max(h.longest, len(r.Prefix))
		if strings.HasSuffix(r.Prefix, "/") {
			h.slashed[r.Prefix] = r
		} else {
			h.others = append(h.others, r)
		}
	}
	for _, h := range p.hosts {
		slices.SortStableFunc(h.others, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range p.Tenants {
		for _, k := range p.Tenants[i].Keys {
			if k != "" {
				p.keys[k] = &p.Tenants[i]
			}
		}
	}
	for i := range p.Services {
		p.names[p.Services[i].Name] = &p.Services[i]
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

// Route finds the route of that host whose prefix begins the path and is longest.
//
// Example: r, ok := p.Route(req.Host, req.URL.EscapedPath())
func (p *Plan) Route(name, path string) (*Route, bool) {
	h := p.hosts[hostname(name)]
	if h == nil {
		return nil, false
	}
	var found *Route
	for rest := path[:min(len(path), h.longest)]; ; {
		i := strings.LastIndexByte(rest, '/')
		if i < 0 {
			break
		}
		if r := h.slashed[rest[:i+1]]; r != nil {
			found = r
			break
		}
		rest = rest[:i]
	}
	for _, r := range h.others {
		if found != nil && len(found.Prefix) > len(r.Prefix) {
			break
		}
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return found, found != nil
}

// Tenant finds who holds a key.
//
// Example: t, ok := p.Tenant(key)
func (p *Plan) Tenant(key string) (*Tenant, bool) {
	t, ok := p.keys[key]
	return t, ok
}

// Named finds a service; of two with the same name, the last.
//
// Example: s, ok := p.Named(route.Service(id))
func (p *Plan) Named(service string) (*Service, bool) {
	s, ok := p.names[service]
	return s, ok
}

// Service tells which of the route's services takes an attempt: a hash of its id falls among the
// weights, so that the same id leads to the same service on every machine. A service named twice
// has the sum of its weights.
//
// Example: name := r.Service(attemptID)
func (r *Route) Service(id string) string {
	sum := r.weight()
	if sum == 0 {
		return ""
	}
	at := int(spread(id) % uint64(sum))
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

// spread hashes a text evenly into 64 bits: FNV-1a, and the last step of MurmurHash3.
func spread(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
