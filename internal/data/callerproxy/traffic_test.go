package callerproxy

import (
	"math/rand/v2"
	"testing"
	"time"

	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/settings"
)

const (
	simulatedEdgeNodes = 9
	tenantRate         = 30.0 // rate limit of the tenant for the whole site, in requests per second
	tenantMaxInFlight  = 45   // limit of the tenant's concurrent requests for the whole site
)

// tenantSimulation simulates a site whose edge nodes admit requests of one tenant, and fail and recover at random.
type tenantSimulation struct {
	t          *testing.T
	seed       uint64
	random     *rand.Rand
	tables     [simulatedEdgeNodes]*trafficTable
	isUp       [simulatedEdgeNodes]bool
	inFlight   [simulatedEdgeNodes]int // number of the tenant's requests in flight, by edge node
	live       int                     // number of edge nodes that are up
	knownLive  int                     // number of live edge nodes that the nodes assume; it lags behind the field live
	staleUntil time.Duration           // time until which the nodes may assume an outdated number of live nodes
	admittedAt []time.Duration         // when each of the tenant's requests was admitted, at any node
}

func newTenantSimulation(t *testing.T, seed uint64) *tenantSimulation {
	sim := &tenantSimulation{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 3)), live: simulatedEdgeNodes, knownLive: simulatedEdgeNodes}
	for i := range sim.tables {
		sim.tables[i], sim.isUp[i] = newTrafficTable(settings.DefaultBounds()), true
	}
	return sim
}

// toggleNode makes a random node fail or recover. The node's requests end, and the other nodes learn of the change one
// second later.
func (sim *tenantSimulation) toggleNode(now time.Duration) {
	i := sim.random.IntN(simulatedEdgeNodes)
	sim.isUp[i] = !sim.isUp[i]
	sim.tables[i], sim.inFlight[i] = newTrafficTable(settings.DefaultBounds()), 0
	sim.live = 0
	for _, up := range sim.isUp {
		if up {
			sim.live++
		}
	}
	sim.staleUntil = now + time.Second
}

// step lets a random node try to admit a request and, with probability 1/2, end one.
func (sim *tenantSimulation) step(now time.Duration) {
	if sim.random.IntN(300) == 0 {
		sim.toggleNode(now)
	}
	if now >= sim.staleUntil {
		sim.knownLive = sim.live
	}
	i := sim.random.IntN(simulatedEdgeNodes)
	if !sim.isUp[i] || sim.live == 0 {
		return
	}
	limits := serviceconfig.Tenant{RequestsPerSecond: tenantRate, MaxInFlight: tenantMaxInFlight}
	rejected := sim.tables[i].admit("t", limits, 256, max(1, sim.knownLive), now)
	if rejected == nil {
		sim.admittedAt = append(sim.admittedAt, now)
		sim.inFlight[i]++
	} else if rejected.retryAfter <= 0 {
		sim.t.Fatalf("seed %d at %v: tenant's request was rejected with Retry-After %v, want more than 0", sim.seed, now, rejected.retryAfter)
	}
	if sim.random.IntN(2) == 0 && sim.inFlight[i] > 0 {
		sim.tables[i].endRequest("t")
		sim.inFlight[i]--
	}
	if share := tenantMaxInFlight / max(1, sim.knownLive); sim.inFlight[i] > share && rejected == nil {
		sim.t.Fatalf("seed %d at %v: node admitted its concurrent request number %d, its share of the tenant's limit is %d", sim.seed, now, sim.inFlight[i], share)
	}
	sim.checkInFlight(now)
}

// checkInFlight checks the tenant's limit of concurrent requests for the whole site. The check pauses after a node
// change until requests admitted under an outdated number of nodes have ended.
func (sim *tenantSimulation) checkInFlight(now time.Duration) {
	total := 0
	for _, count := range sim.inFlight {
		total += count
	}
	if now > sim.staleUntil+5*time.Second && total > tenantMaxInFlight {
		sim.t.Fatalf("seed %d at %v: tenant has %d requests in flight at the whole site, its limit is %d", sim.seed, now, total, tenantMaxInFlight)
	}
}

// checkRate checks that no interval of ten seconds admits more than the tenant's rate allows, plus the tokens saved up
// before, plus the excess of nodes that assume too few live nodes for a while.
func (sim *tenantSimulation) checkRate() {
	for i, from := range sim.admittedAt {
		count := 0
		for _, at := range sim.admittedAt[i:] {
			if at < from+10*time.Second {
				count++
			}
		}
		if limit := 1.4*(10*tenantRate) + tenantRate + simulatedEdgeNodes; float64(count) > limit {
			sim.t.Fatalf("seed %d: %d of the tenant's requests admitted within ten seconds from %v, want at most %.0f", sim.seed, count, from, limit)
		}
	}
}

// A tenant's limits apply to the whole site, not to each edge node: nine nodes together must not admit more than the
// tenant's rate, even while nodes fail and recover and the others learn of it late. Each node may have saved up one
// second's share of the rate, and at least one request.
func TestTenantsBudgetsAreShared(t *testing.T) {
	for seed := range uint64(30) {
		sim := newTenantSimulation(t, seed)
		for now := time.Second; now < 60*time.Second; now += 10 * time.Millisecond {
			sim.step(now)
		}
		sim.checkRate()
		if len(sim.admittedAt) < 500 {
			t.Fatalf("seed %d: only %d requests admitted in a simulation of 59 s, want at least 500", seed, len(sim.admittedAt))
		}
	}
	singleNode := newTrafficTable(settings.DefaultBounds()) // the only node of a site gets the tenant's full rate
	count := 0
	for now := time.Second; now < 11*time.Second; now += 10 * time.Millisecond {
		if rejected := singleNode.admit("t", serviceconfig.Tenant{RequestsPerSecond: tenantRate}, 1000, 1, now); rejected == nil {
			count++
		}
	}
	if count < 295 || count > 331 {
		t.Errorf("single edge node: %d requests admitted within ten seconds, want 295 to 331", count)
	}
}
