package controlstate

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/control/tenanthistory"
	"pebbleloom/internal/wire"
)

// cacheDomains returns the cache domains of tenants under the service configuration that a shard has applied.
func cacheDomains(t *testing.T, replica *shard, tenants ...string) (domains []string) {
	t.Helper()
	document := replica.state.documents[controlclient.ConfigKey]
	config, err := serviceconfig.Decode(document.GetBody())
	if err != nil {
		t.Fatalf("decode the applied configuration: %v", err)
	}
	config.SetSharedDomain(tenanthistory.SharedDomain(document, len(config.Tenants) > 0))
	for _, tenant := range tenants {
		domains = append(domains, config.CacheDomain(tenant))
	}
	return domains
}

// restart replaces the state of a shard by the one that its snapshot encodes.
func restart(t *testing.T, replica *shard) {
	t.Helper()
	encoded, err := replica.state.save()
	if err != nil {
		t.Fatalf("encode the state: %v", err)
	}
	if err := replica.state.load(encoded, 0); err != nil {
		t.Fatalf("load the encoded state: %v", err)
	}
}

// A tenant shared its cached prefixes with others and was isolated then: its earlier prefixes stayed in the domain of
// the others. Under the product's own interface, as complete configurations and as patches, with and without a base
// version, and across a snapshot, each isolation gives the others a domain that was never used before.
func TestIsolationChangesTheSharedDomain(t *testing.T) {
	config := func(isolated bool, others string) string {
		return fmt.Sprintf(`{"tenants":{"a":{"keys":["key-of-a"],"walled":%v}%s}}`, isolated, others)
	}
	const others = `,"b":{"keys":["key-of-b"]},"c":{"keys":["key-of-c"]}`
	for _, patch := range []bool{false, true} {
		for _, anyVersion := range []bool{false, true} {
			t.Run(fmt.Sprintf("patch %v, any version %v", patch, anyVersion), func(t *testing.T) {
				replica := singleMemberShard(t)
				change := func(body string) {
					t.Helper()
					base := replica.state.documents[controlclient.ConfigKey].GetVersion()
					put := &wire.Put{Key: controlclient.ConfigKey, Body: []byte(body), IfVersion: base, AnyVersion: anyVersion,
						TenantHistory: &wire.TenantHistory{SharedDomain: "a client's"}}
					if response := makeChange(replica, put, patch && base > 0); response.Outcome != wire.OutcomeDone {
						t.Fatalf("change to %s: got %v, want it to be done", body, response)
					}
					restart(t, replica)
				}
				seen := map[string]bool{}
				expectNewDomain := func(isolated bool) {
					t.Helper()
					domains := cacheDomains(t, replica, "a", "b", "c", "removed")
					if domains[1] != domains[2] || (domains[0] == domains[1]) == isolated || domains[3] == domains[1] || seen[domains[1]] {
						t.Fatalf("cache domains of a (isolated: %v), b, c and a removed tenant: got %q, want b and c in one that was not used before (%v)", isolated, domains, seen)
					}
				}
				change(config(false, others))
				expectNewDomain(false)
				for range 3 {
					seen[cacheDomains(t, replica, "b")[0]] = true
					change(config(true, others))
					expectNewDomain(true)
					before := cacheDomains(t, replica, "b")[0]
					change(config(false, others))
					if after := cacheDomains(t, replica, "a", "b"); after[0] != before || after[1] != before {
						t.Fatalf("cache domains of a and b after a is no longer isolated: got %q, want %q", after, before)
					}
				}
			})
		}
	}
}

// Documents other than the configuration have no tenant history, whatever a client sends.
func TestOnlyTheConfigurationHasATenantHistory(t *testing.T) {
	replica := singleMemberShard(t)
	put := &wire.Put{Key: "other", Body: []byte("x"), TenantHistory: &wire.TenantHistory{SharedDomain: "a client's"}}
	if response := makeChange(replica, put, false); response.Outcome != wire.OutcomeDone {
		t.Fatalf("change of a document: got %v, want it to be done", response)
	}
	if history := replica.state.documents["other"].TenantHistory; history != nil {
		t.Errorf("tenant history of a document that is not the configuration: got %v, want none", history)
	}
}

// A configuration that never had tenants has no history, so nothing is stored for sites without tenants.
func TestSitesWithoutTenantsStoreNoHistory(t *testing.T) {
	replica := singleMemberShard(t)
	for range 3 {
		put := &wire.Put{Key: controlclient.ConfigKey, Body: []byte(`{"drains":{"w":true}}`), AnyVersion: true}
		if response := makeChange(replica, put, false); response.Outcome != wire.OutcomeDone {
			t.Fatalf("change of the configuration: got %v, want it to be done", response)
		}
	}
	document := replica.state.documents[controlclient.ConfigKey]
	if document.TenantHistory != nil || proto.Size(document) > len(document.Body)+len(document.Key)+8 {
		t.Errorf("document of a site without tenants: got %v, want no tenant history", document)
	}
}
