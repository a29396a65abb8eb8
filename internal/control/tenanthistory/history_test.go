package tenanthistory

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/wire"
)

// step is a version of the configuration with the two tenants a and b.
type step struct {
	states        [2]byte // state of each tenant: ' ' not listed, 's' sharing, 'i' isolated
	withoutRecord bool    // whether an earlier release stored the version, without a history
}

var tenantNames = [2]string{"a", "b"}

func (s step) tenants() (tenants []Tenant) {
	for i, state := range s.states {
		if state != ' ' {
			tenants = append(tenants, Tenant{tenantNames[i], state == 'i'})
		}
	}
	return tenants
}

// cacheModel is a model of the caches of all workers: for each shared cache domain, the tenants whose requests may have
// computed parts in it. Edge machines may use any version up to the newest, so all versions count.
type cacheModel struct {
	document     *wire.Document
	version      uint64
	previous     []Tenant
	sharing      map[string]map[string]bool // names of the tenants that may have used a domain, by the domain
	lacksRecords bool                       // whether a version was stored without a history
	hadTenants   bool                       // whether some version has had tenants
	lastIsolated map[string]bool            // whether a tenant was isolated under the newest version that listed it
}

func newCacheModel() *cacheModel {
	return &cacheModel{sharing: map[string]map[string]bool{}, lastIsolated: map[string]bool{}}
}

// apply makes the next version and returns a description of a violation; empty if there is none.
func (m *cacheModel) apply(next step) string {
	tenants := next.tenants()
	newDomain := fmt.Sprint("new-", m.version+1)
	history := Next(m.document, m.previous, tenants, newDomain)
	before := SharedDomain(m.document, len(m.previous) > 0)
	if next.withoutRecord {
		history, m.lacksRecords = nil, true
	}
	m.version++
	m.document = &wire.Document{Key: "config", Version: m.version, TenantHistory: history}
	domain := SharedDomain(m.document, len(tenants) > 0)
	needless := domain == newDomain && !m.isolatesUserOf(before, tenants)
	m.previous = tenants
	m.hadTenants = m.hadTenants || len(tenants) > 0
	if known := HadTenants(m.document, len(tenants) > 0); known != m.hadTenants && !m.lacksRecords {
		return fmt.Sprintf("HadTenants returned %v, want %v", known, m.hadTenants)
	}
	for _, tenant := range tenants {
		m.lastIsolated[tenant.Name] = tenant.Isolated
	}
	if needless && !next.withoutRecord {
		return "the shared domain changed although no tenant that used it was isolated"
	}
	return m.use(domain, tenants)
}

// isolatesUserOf reports whether a tenant is isolated that may have used a domain.
func (m *cacheModel) isolatesUserOf(domain string, tenants []Tenant) bool {
	for _, tenant := range tenants {
		if tenant.Isolated && m.sharing[domain][tenant.Name] {
			return true
		}
	}
	return false
}

// use has all tenants that aren't isolated use the domain, and returns a violation if an isolated tenant may have parts
// in it.
func (m *cacheModel) use(domain string, tenants []Tenant) string {
	for _, tenant := range tenants {
		if tenant.Isolated {
			continue
		}
		if m.sharing[domain] == nil {
			m.sharing[domain] = map[string]bool{}
		}
		m.sharing[domain][tenant.Name] = true
		for maker := range m.sharing[domain] {
			if maker != tenant.Name && m.lastIsolated[maker] {
				return fmt.Sprintf("tenant %s may use parts of the isolated tenant %s in domain %q", tenant.Name, maker, domain)
			}
		}
	}
	return ""
}

// checkAll applies all sequences of steps up to a length and fails the test at the first violation.
func checkAll(t *testing.T, steps []step, length int) {
	t.Helper()
	count := 0
	var extend func(sequence []step)
	extend = func(sequence []step) {
		if len(sequence) == length {
			count++
			model := newCacheModel()
			for i, next := range sequence {
				if violation := model.apply(next); violation != "" {
					t.Fatalf("versions %+q: %s", sequence[:i+1], violation)
				}
			}
			return
		}
		for _, next := range steps {
			extend(append(sequence[:len(sequence):len(sequence)], next))
		}
	}
	extend(nil)
	t.Logf("%d sequences of %d versions", count, length)
}

func (s step) String() string {
	if s.withoutRecord {
		return string(s.states[:]) + " without a record"
	}
	return string(s.states[:])
}

func allSteps(withoutRecord ...bool) (steps []step) {
	for _, a := range []byte(" si") {
		for _, b := range []byte(" si") {
			for _, without := range withoutRecord {
				steps = append(steps, step{[2]byte{a, b}, without})
			}
		}
	}
	return steps
}

// A tenant that isn't isolated could use parts of one that was isolated after it had computed them. In every order of
// adding, isolating and removing tenants, no shared domain has parts of a tenant that is isolated, and the domain
// changes only if it has to.
func TestNoSharedDomainHasPartsOfIsolatedTenants(t *testing.T) {
	checkAll(t, allSteps(false), 5)
}

// The same holds if some versions were stored by an earlier release, which stored no history.
func TestVersionsOfEarlierReleasesAreSafe(t *testing.T) {
	checkAll(t, allSteps(false, true), 4)
}

// The size of a history is bounded however many tenants were removed, and a tenant that was removed long ago still
// changes the domain when it is added again as isolated.
func TestManyRemovedTenants(t *testing.T) {
	var tenants []Tenant
	for i := range 3 * maxDeparted {
		tenants = append(tenants, Tenant{fmt.Sprint("tenant-", i), false})
	}
	document := &wire.Document{Version: 1, TenantHistory: &wire.TenantHistory{}}
	for i := range tenants {
		history := Next(document, tenants[i:], tenants[i+1:], "unused")
		document = &wire.Document{Version: document.Version + 1, TenantHistory: history}
		if size := proto.Size(history); size > 8*maxDeparted+16 {
			t.Fatalf("history after %d removed tenants has %d bytes, want at most %d", i+1, size, 8*maxDeparted+16)
		}
	}
	if domain := Next(document, nil, []Tenant{{"tenant-0", true}}, "new").SharedDomain; domain != "new" {
		t.Errorf("domain after the first removed tenant was added again as isolated: got %q, want a new one", domain)
	}
	if domain := Next(document, nil, []Tenant{{"tenant-0", false}}, "new").SharedDomain; domain != "" {
		t.Errorf("domain after the first removed tenant was added again: got %q, want the present one", domain)
	}
}

// A name that is listed twice counts as isolated if one of its tenants is.
func TestNamesListedTwice(t *testing.T) {
	shared, both := []Tenant{{"a", false}}, []Tenant{{"a", false}, {"a", true}}
	document := &wire.Document{Version: 1, TenantHistory: &wire.TenantHistory{}}
	if domain := Next(document, shared, both, "new").SharedDomain; domain != "new" {
		t.Errorf("domain after a second tenant of the same name was added as isolated: got %q, want a new one", domain)
	}
	if domain := Next(document, both, both, "new").SharedDomain; domain != "" {
		t.Errorf("domain after a change that isolates nobody: got %q, want the present one", domain)
	}
}

// The cost of changes: at 2,900 tenants of which a tenth is isolated, a day of 1,200 changes that add, remove and
// change tenants replaces the shared domain only when a sharing tenant is isolated.
func TestSharedDomainChangesRarely(t *testing.T) {
	const tenantCount, changeCount = 2900, 1200
	tenants := make([]Tenant, tenantCount)
	for i := range tenants {
		tenants[i] = Tenant{fmt.Sprint("tenant-", i), i%10 == 0}
	}
	document, domains, largest := &wire.Document{Version: 1, TenantHistory: &wire.TenantHistory{}}, 0, 0
	for i := range changeCount {
		next := append([]Tenant(nil), tenants...)
		switch at := (i * 7919) % len(next); {
		case i%300 == 299: // a sharing tenant is isolated
			next[at|1].Isolated = true
		case i%3 == 0:
			next = append(next[:at], next[at+1:]...)
		case i%3 == 1:
			next = append(next, Tenant{fmt.Sprint("added-", i), i%6 == 1})
		}
		history := Next(document, tenants, next, fmt.Sprint(i))
		if history.SharedDomain != document.TenantHistory.SharedDomain {
			domains++
		}
		tenants, largest = next, max(largest, proto.Size(history))
		document = &wire.Document{Version: document.Version + 1, TenantHistory: history}
	}
	t.Logf("%d changes of %d tenants: %d new domains, largest history %d bytes", changeCount, tenantCount, domains, largest)
	if domains > 4 || largest > 8*maxDeparted+16 {
		t.Errorf("got %d new domains and a history of up to %d bytes, want at most 4 and %d", domains, largest, 8*maxDeparted+16)
	}
	if strings.Contains(document.TenantHistory.SharedDomain, "v") {
		t.Errorf("domain %q is that of a version without a history", document.TenantHistory.SharedDomain)
	}
}
