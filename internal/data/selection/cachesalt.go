package selection

import (
	"net/url"
	"strconv"

	"pebbleloom/internal/control/routingconfig"
)

// CacheSalt is the cache domain of a prompt's parts: version of the weights, model and isolated tenant.
// Two of them are equal only if all three are. A tenant that isn't isolated, or none (nil), has no part
// in it.
//
// Example: key := promptindex.PartKey(selection.CacheSalt("daka", 2, tenant), part)
func CacheSalt(model string, version uint64, tenant *routingconfig.Tenant) string {
	escapedModel := url.QueryEscape(model)
	salt := strconv.FormatUint(version, 10) + "." + strconv.Itoa(len(escapedModel)) + "." + escapedModel
	if tenant != nil && tenant.Isolated {
		salt += "." + url.QueryEscape(tenant.Name)
	}
	return salt
}
