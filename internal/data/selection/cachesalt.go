package selection

import (
	"net/url"
	"strconv"

	"pebbleloom/internal/control/routingconfig"
)

// CacheSalt returns the salt of the cache keys of a prompt's parts, which separates weights versions, models and cache
// domains: two salts are equal only if version, model and cache domain are equal. domain is a result of
// routingconfig.Plan.CacheDomain or routingconfig.PrivateCacheDomain.
//
// Example: key := promptindex.PartKey(selection.CacheSalt("daka", 2, plan.CacheDomain(tenant)), part)
func CacheSalt(model string, version uint64, domain string) string {
	escapedModel := url.QueryEscape(model)
	return strconv.FormatUint(version, 10) + "." + strconv.Itoa(len(escapedModel)) + "." + escapedModel + domain
}

// cacheDomain returns the cache domain of the request. It is determined for each attempt from the newest plan, since a
// tenant may have been isolated after the request was admitted. While this edge machine can't prove that its plan is the
// newest, each tenant has a domain of its own, since a newer plan may isolate it.
func (s *scorer) cacheDomain() string {
	if !s.snapshot.HasFreshProof(s.now, s.table.bounds.KeyProof()) {
		return routingconfig.PrivateCacheDomain(s.request.Tenant)
	}
	return s.snapshot.Plan.CacheDomain(s.request.Tenant)
}
