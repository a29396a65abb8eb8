package selection

import (
	"net/url"
	"strconv"

	"pebbleloom/internal/control/routingconfig"
)

// salt is the text under which workers keep the parts of a prompt: version, model and wall. Two
// of them are the same only where all three are.
func salt(model string, weights uint64, t *routingconfig.Tenant) string {
	m := url.QueryEscape(model)
	s := strconv.FormatUint(weights, 10) + "." + strconv.Itoa(len(m)) + "." + m
	if t != nil && t.Isolated {
		s += "." + url.QueryEscape(t.Name)
	}
	return s
}

// Text is the cache text of a model's weights behind a tenant's wall, for whoever looks up what
// workers keep.
//
// Example: key := catalogue.KeyOf(pick.Text("daka", 2, tenant), part)
func Text(model string, weights uint64, t *routingconfig.Tenant) string {
	return salt(model, weights, t)
}

// urgency is 0 to 9, 0 first: a tenant's priority goes before the route's.
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
