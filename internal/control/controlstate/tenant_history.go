package controlstate

import (
	"fmt"

	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/control/tenanthistory"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/maputil"
	"pebbleloom/internal/wire"
)

// nextTenantHistory returns the history of the tenants up to the version that a change of the document old produces.
// The random part of a new cache domain keeps it apart from those of versions that were lost, if the group was restored
// from one member or a data folder from a backup.
func (s *shard) nextTenantHistory(old *wire.Document, config *mergedConfig) (*wire.TenantHistory, error) {
	before, err := s.tenants(old.GetBody())
	if err != nil {
		return nil, errs.Wrap(err, "read the tenants of the configuration in force")
	}
	after, err := s.tenants(config.body)
	if err != nil {
		return nil, errs.Wrap(err, "read the tenants of the new configuration")
	}
	newDomain := fmt.Sprintf("%d-%08x", max(config.version, old.GetVersion()+1), uint32(s.random()))
	return tenanthistory.Next(old, before, after, newDomain), nil
}

// tenants returns the tenants of an encoded configuration; an empty body has none.
func (s *shard) tenants(body []byte) ([]tenanthistory.Tenant, error) {
	if len(body) == 0 {
		return nil, nil
	}
	if s.group != nil {
		return s.routingTenants(body)
	}
	config, err := serviceconfig.Decode(body)
	if err != nil {
		return nil, err
	}
	tenants := make([]tenanthistory.Tenant, 0, len(config.Tenants))
	for _, name := range maputil.SortedKeys(config.Tenants) {
		tenants = append(tenants, tenanthistory.Tenant{Name: name, Isolated: config.Tenants[name].Isolated})
	}
	return tenants, nil
}

// routingTenants returns the tenants of an encoded routing configuration.
func (s *shard) routingTenants(body []byte) ([]tenanthistory.Tenant, error) {
	decoded, err := s.codec.Tenants(body)
	if err != nil {
		return nil, err
	}
	tenants := make([]tenanthistory.Tenant, len(decoded))
	for i := range decoded {
		tenants[i] = tenanthistory.Tenant{Name: decoded[i].Name, Isolated: decoded[i].Isolated}
	}
	return tenants, nil
}
