package selection

import (
	"net/url"
	"strconv"

	"pebbleloom/internal/control/routingconfig"
)

// salt is the cache domain of a prompt's parts: version, model and isolation. Two of them are equal
// only if all three are.
func salt(model string, weights uint64, t *routingconfig.Tenant) string {
	m := url.QueryEscape(model)
	s := strconv.FormatUint(weights, 10) + "." + strconv.Itoa(len(m)) + "." + m
	if t != nil && t.Isolated {
		s += "." + url.QueryEscape(t.Name)
	}
	return s
}

// CacheSalt is the cache domain of a model's weights for a tenant, for callers that look up what workers
// cache.
//
// Example: key := promptindex.KeyOf(selection.Text("daka", 2, tenant), part)
func CacheSalt(model string, weights uint64, t *routingconfig.Tenant) string {
	return salt(model, weights, t)
}

// urgency is 0 to 9, 0 first: a tenant's priority overrides the route's.
func urgency(r *Request) int {
	u := 0
	if r.Route != nil {
		u = r.Route.Priority
	}
	if r.Tenant != nil && r.Tenant.Priority >= 0 {
		u = r.Tenant.Priority
	}
	return min(max(u, 0), 9)
}
