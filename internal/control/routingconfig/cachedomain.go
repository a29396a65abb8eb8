package routingconfig

import "net/url"

// Prefixes of cache domains. A tenant's name can't contain either as a first character of its domain, because the
// domain of a tenant always begins with tenantDomainPrefix.
const (
	tenantDomainPrefix = "."
	sharedDomainPrefix = "~"
)

// keylessDomain is the cache domain of requests without a tenant that share no cached prompt parts with tenants.
const keylessDomain = sharedDomainPrefix + "keyless"

// CacheDomain returns the cache domain of a tenant's requests under this plan: only requests of the same domain may
// share cached prompt parts. An isolated tenant has a domain of its own, and so has one that the plan no longer lists,
// whose requests were admitted under an earlier plan. All others share one, also requests without a tenant (nil).
// The shared domain changes when a tenant is isolated whose parts may be in it, see package tenanthistory.
//
// Example: salt := selection.CacheSalt("daka", 2, plan.CacheDomain(tenant))
func (p *Plan) CacheDomain(tenant *Tenant) string {
	if tenant != nil {
		if isolated, listed := p.isolatedByName[tenant.Name]; isolated || !listed {
			return PrivateCacheDomain(tenant)
		}
	}
	if p.SharedDomain == "" {
		return ""
	}
	return sharedDomainPrefix + url.QueryEscape(p.SharedDomain)
}

// PrivateCacheDomain returns the cache domain that only a tenant's own requests use, whether or not it is isolated. Only
// requests without a tenant (nil) share theirs with each other.
//
// Example: domain := routingconfig.PrivateCacheDomain(tenant)
func PrivateCacheDomain(tenant *Tenant) string {
	if tenant == nil {
		return keylessDomain
	}
	return tenantDomainPrefix + url.QueryEscape(tenant.Name)
}
