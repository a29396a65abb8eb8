package selection

import (
	"net/url"
	"strconv"

	"pebbleloom/internal/control/routingconfig"
)

// CacheSalt returns the salt of the cache keys of a prompt's parts, which separates weights versions, models
// and isolated tenants: two salts are equal only if version, model and isolated tenant are equal. A tenant that
// is nil or not isolated doesn't contribute to the salt.
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
