// Package tenanthistory maintains what the control state remembers of the tenants of earlier versions of the
// configuration. Workers keep cached prompt parts longer than a configuration stays in force, and clients their API keys,
// so the newest version alone does not determine which cached parts a tenant may use, or whether requests need a key.
//
// The leader computes the history of a new version from the version before it and its history, and proposes both in
// one log entry. A history is stored with the configuration and never depends on anything else, so it survives
// restarts, snapshots and changes of the leader.
package tenanthistory

import (
	"slices"
	"strconv"

	"pebbleloom/internal/rendezvous"
	"pebbleloom/internal/wire"
)

// maxDeparted is the maximum number of removed tenants that a history lists, which bounds its size to 4 KB.
const maxDeparted = 512

// Tenant is a tenant of one version of the configuration, as far as the history depends on it.
type Tenant struct {
	Name     string
	Isolated bool // whether the tenant shares no cached prompt parts with other tenants
}

// SharedDomain returns the identifier of the cache domain that all tenants share that are not isolated, under the
// version of the configuration that a document holds. It is empty for the first one. A version with tenants whose
// document has no history was stored by an earlier release. It gets a domain of its own, because those used before may
// contain parts of a tenant that is isolated now.
//
// Example: plan.SharedDomain = tenanthistory.SharedDomain(document, len(plan.Tenants) > 0)
func SharedDomain(document *wire.Document, hasTenants bool) string {
	if document.GetTenantHistory() == nil && !hasTenants {
		return ""
	}
	return historyOf(document).SharedDomain
}

// HadTenants reports whether the version of the configuration that a document holds, or an earlier one, has tenants.
// hasTenants is whether that version has some. If an earlier release stored the version, the ones before aren't known.
//
// Example: plan.HadTenants = tenanthistory.HadTenants(document, len(plan.Tenants) > 0)
func HadTenants(document *wire.Document, hasTenants bool) bool {
	return hasTenants || document.GetTenantHistory().GetHadTenants()
}

// historyOf returns the history of the version of the configuration that a document holds. document is nil if there is
// no configuration yet.
func historyOf(document *wire.Document) *wire.TenantHistory {
	switch {
	case document.GetTenantHistory() != nil:
		return document.TenantHistory
	case document.GetVersion() == 0:
		return &wire.TenantHistory{}
	}
	return &wire.TenantHistory{SharedDomain: "v" + strconv.FormatUint(document.Version, 10)}
}

// Next returns the history of the version of the configuration that follows the one in a document. old and next are the
// tenants of the two versions. newDomain identifies a cache domain that was never used before; it becomes the shared
// domain if parts of a tenant that is isolated from now on may be in the present one. The history is nil as long as no
// version has had tenants.
//
// Example: put.TenantHistory = tenanthistory.Next(document, oldTenants, newTenants, newDomain)
func Next(document *wire.Document, old, next []Tenant, newDomain string) *wire.TenantHistory {
	if document.GetTenantHistory() == nil && len(old)+len(next) == 0 {
		return nil
	}
	history, before, after := historyOf(document), isolationByName(old), isolationByName(next)
	if isolatesSharingTenant(history, before, after) {
		return &wire.TenantHistory{SharedDomain: newDomain, HadTenants: true}
	}
	following := &wire.TenantHistory{
		HadTenants:         true,
		SharedDomain:       history.SharedDomain,
		Departed:           departed(history.Departed, before, after),
		DepartedIncomplete: history.DepartedIncomplete,
	}
	if len(following.Departed) > maxDeparted {
		following.Departed, following.DepartedIncomplete = nil, true
	}
	return following
}

// isolationByName returns whether each tenant is isolated. A name that is listed twice is isolated if one of its
// tenants is.
func isolationByName(tenants []Tenant) map[string]bool {
	isolated := make(map[string]bool, len(tenants))
	for _, tenant := range tenants {
		isolated[tenant.Name] = isolated[tenant.Name] || tenant.Isolated
	}
	return isolated
}

// isolatesSharingTenant reports whether a tenant is isolated after the change that wasn't before, and whose requests
// may have used the shared cache domain.
func isolatesSharingTenant(history *wire.TenantHistory, before, after map[string]bool) bool {
	for name, isolated := range after {
		wasIsolated, wasListed := before[name]
		switch {
		case !isolated || wasIsolated:
		case wasListed, history.DepartedIncomplete, slices.Contains(history.Departed, rendezvous.Hash(name)):
			return true
		}
	}
	return false
}

// departed returns the hashes of the names of tenants that the change leaves removed and that may have used the shared
// cache domain, in ascending order.
func departed(earlier []uint64, before, after map[string]bool) []uint64 {
	present := make(map[uint64]bool, len(after))
	for name := range after {
		present[rendezvous.Hash(name)] = true
	}
	hashes := slices.Clone(earlier)
	for name, wasIsolated := range before {
		if !wasIsolated {
			hashes = append(hashes, rendezvous.Hash(name))
		}
	}
	hashes = slices.DeleteFunc(hashes, func(hash uint64) bool { return present[hash] })
	slices.Sort(hashes)
	return slices.Compact(hashes)
}
