package serviceconfig

import (
	"slices"

	"pebbleloom/internal/rendezvous"
)

// Target is the set of weights that answers one request.
type Target struct {
	Model   string // the base model
	Weights uint64 // their version in force
	Adapter string // empty: the base alone
	Build   uint64 // of the adapter
}

// percentOf maps a key to 0..99, the same on all machines.
func percentOf(key string) int { return int(rendezvous.Hash(key) % 100) }

// ServiceFor returns the service of one request: a request ID always gets the same service under one
// configuration.
//
// Example: service := config.Routes["lector"].ServiceFor("r-17")
func (r Route) ServiceFor(requestID string) string {
	if r.HandoverTo != "" && percentOf(requestID) < r.HandoverPercent {
		return r.HandoverTo
	}
	return r.Service
}

// DefaultTarget is the model or adapter that answers the requests of the route of a name, except those
// that were moved.
//
// Example: config.Routes["rare"].DefaultTarget("rare")
func (r Route) DefaultTarget(name string) string {
	if r.ServedBy != "" {
		return r.ServedBy
	}
	return name
}

// Target returns the set of weights for one request by the name of its route. A request ID always gets
// the same one under one configuration.
//
// Example: target, ok := config.Target("rare", "r-17")
func (c *Config) Target(routeName, requestID string) (Target, bool) {
	route, ok := c.Routes[routeName]
	if !ok {
		return Target{}, false
	}
	name := route.DefaultTarget(routeName)
	if route.MoveTo != "" && percentOf("move/"+requestID) < route.MovedPercent {
		name = route.MoveTo
	}
	return c.Resolve(name)
}

// Resolve returns the set of weights that a model or an adapter of a name has in force.
//
// Example: target, ok := config.Resolve("rare")
func (c *Config) Resolve(name string) (Target, bool) {
	if model, ok := c.Models[name]; ok {
		return Target{Model: name, Weights: model.Weights}, true
	}
	adapter, ok := c.Adapters[name]
	return Target{Model: adapter.BaseModel, Weights: c.Models[adapter.BaseModel].Weights, Adapter: name, Build: adapter.Build}, ok
}

// Allows reports whether a tenant may name an adapter; models are open to all.
//
// Example: if !config.Allows("rare", tenant) { reject() }
func (c *Config) Allows(name, tenant string) bool {
	adapter, ok := c.Adapters[name]
	return !ok || len(adapter.Tenants) == 0 || slices.Contains(adapter.Tenants, tenant)
}

// BuildIndex builds the lookup tables; call it once, before the configuration is shared.
//
// Example: config.BuildIndex()
func (c *Config) BuildIndex() *Config {
	c.tenantByKey = map[string]string{}
	for name, tenant := range c.Tenants {
		for _, key := range tenant.Keys {
			c.tenantByKey[key] = name
		}
	}
	return c
}

// Tenant returns the tenant of a key.
//
// Example: name, tenant, ok := config.Tenant(key)
func (c *Config) Tenant(key string) (string, Tenant, bool) {
	name, ok := c.tenantByKey[key]
	return name, c.Tenants[name], ok
}

// KeyBelongsTo reports whether a key still belongs to a tenant.
//
// Example: if !config.KeyBelongsTo(key, tenant) { reject() }
func (c *Config) KeyBelongsTo(key, tenant string) bool {
	name, ok := c.tenantByKey[key]
	return ok && name == tenant
}

// CacheDomain is the domain within which a tenant's requests share cached prefixes: its own if the
// tenant is isolated, the shared one otherwise.
//
// Example: config.CacheDomain("hospital-norte")
func (c *Config) CacheDomain(tenant string) string {
	if c.Tenants[tenant].Isolated {
		return "t:" + tenant
	}
	return "shared"
}
