package serviceconfig

import (
	"slices"

	"pebbleloom/internal/rendezvous"
)

// Target identifies the weights that serve a request: those of a base model, with or without an adapter.
type Target struct {
	Model   string // name of the base model that serves the request
	Weights uint64 // version of the base model's weights
	Adapter string // name of the adapter; empty if the base model serves the request alone
	Build   uint64 // build number of the adapter; 0 without an adapter
}

// hashPercent maps a key to a number from 0 to 99 by a hash, so that all machines get the same number.
func hashPercent(key string) int { return int(rendezvous.Hash(key) % 100) }

// ServiceFor returns the name of the service that serves a request of the route. While the route is handed over to
// another service, a hash of the request ID selects one of the two, so a request ID always gets the same service
// under the same configuration.
//
// Example: service := config.Routes["lector"].ServiceFor("r-17")
func (r Route) ServiceFor(requestID string) string {
	if r.HandoverTo != "" && hashPercent(requestID) < r.HandoverPercent {
		return r.HandoverTo
	}
	return r.Service
}

// DefaultTarget returns the name of the model or adapter that serves the route's requests, except those that are
// moved to Route.MoveTo. name is the name of the route.
//
// Example: config.Routes["rare"].DefaultTarget("rare")
func (r Route) DefaultTarget(name string) string {
	if r.ServedBy != "" {
		return r.ServedBy
	}
	return name
}

// Target returns the model or adapter, with its version, that serves a request of the route with a name. A request
// ID always gets the same target under the same configuration. Target returns false if the route or its model or
// adapter does not exist.
//
// Example: target, ok := config.Target("rare", "r-17")
func (c *Config) Target(routeName, requestID string) (Target, bool) {
	route, ok := c.Routes[routeName]
	if !ok {
		return Target{}, false
	}
	name := route.DefaultTarget(routeName)
	if route.MoveTo != "" && hashPercent("move/"+requestID) < route.MovedPercent {
		name = route.MoveTo
	}
	return c.Resolve(name)
}

// Resolve returns the model or adapter with a name as a Target, and false if there is none.
//
// Example: target, ok := config.Resolve("rare")
func (c *Config) Resolve(name string) (Target, bool) {
	if model, ok := c.Models[name]; ok {
		return Target{Model: name, Weights: model.Weights}, true
	}
	adapter, ok := c.Adapters[name]
	return Target{Model: adapter.BaseModel, Weights: c.Models[adapter.BaseModel].Weights, Adapter: name, Build: adapter.Build}, ok
}

// Allows reports whether a tenant may name a model or adapter in its requests. All tenants may name any model, and
// any adapter that lists no tenants.
//
// Example: if !config.Allows("rare", tenant) { reject() }
func (c *Config) Allows(name, tenant string) bool {
	adapter, ok := c.Adapters[name]
	return !ok || len(adapter.Tenants) == 0 || slices.Contains(adapter.Tenants, tenant)
}

// BuildIndex builds the lookup table of tenants by API key and returns the service configuration. It must be called
// once, before the configuration is shared between goroutines.
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

// Tenant returns the name and the configuration of the tenant that an API key belongs to, and false if there is
// none.
//
// Example: name, tenant, ok := config.Tenant(key)
func (c *Config) Tenant(key string) (string, Tenant, bool) {
	name, ok := c.tenantByKey[key]
	return name, c.Tenants[name], ok
}

// KeyBelongsTo reports whether an API key belongs to the tenant with a name.
//
// Example: if !config.KeyBelongsTo(key, tenant) { reject() }
func (c *Config) KeyBelongsTo(key, tenant string) bool {
	name, ok := c.tenantByKey[key]
	return ok && name == tenant
}

// SetSharedDomain sets the identifier of the cache domain that all tenants share that are not isolated. It is part of
// the tenant history, which is stored with the configuration. It must be called before the configuration is shared
// between goroutines.
//
// Example: config.SetSharedDomain(tenanthistory.SharedDomain(document, len(config.Tenants) > 0))
func (c *Config) SetSharedDomain(id string) { c.sharedDomain = id }

// Prefixes of cache domains.
const (
	tenantDomainPrefix = "t:"
	sharedDomainPrefix = "shared"
)

// CacheDomain returns the name of the domain within which a tenant's requests share cached prompt prefixes: a domain
// of its own if the tenant is isolated or not defined, otherwise the domain that all other tenants share. The shared
// domain changes when a tenant is isolated whose prefixes may be in it, see package tenanthistory.
//
// Example: config.CacheDomain("hospital-norte")
func (c *Config) CacheDomain(tenant string) string {
	if known, ok := c.Tenants[tenant]; known.Isolated || !ok {
		return tenantDomainPrefix + tenant
	}
	if c.sharedDomain == "" {
		return sharedDomainPrefix
	}
	return sharedDomainPrefix + ":" + c.sharedDomain
}
