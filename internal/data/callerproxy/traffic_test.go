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
	tenantRate         = 30.0 // requests per second
	tenantMaxInFlight  = 45
)

// tenantSimulation is a site whose edge nodes admit one tenant's requests, fail and return.
type tenantSimulation struct {
	t          *testing.T
	seed       uint64
	random     *rand.Rand
	tables     [simulatedEdgeNodes]*trafficTable
	isUp       [simulatedEdgeNodes]bool
	inFlight   [simulatedEdgeNodes]int
	live       int           // nodes that are up
	knownLive  int           // live nodes that the nodes know of
	staleUntil time.Duration // until then known may be stale
	admittedAt []time.Duration
}

func newTenantSimulation(t *testing.T, seed uint64) *tenantSimulation {
	sim := &tenantSimulation{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 3)), live: simulatedEdgeNodes, knownLive: simulatedEdgeNodes}
	for i := range sim.tables {
		sim.tables[i], sim.isUp[i] = newTrafficTable(settings.DefaultBounds()), true
	}
	return sim
}

// failOrReturn changes whether a node is up: its requests end, and the others learn of it a second late.
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

// step has a node admit a request, and perhaps end one.
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
		sim.t.Fatal("rejected without a Retry-After")
	}
	if sim.random.IntN(2) == 0 && sim.inFlight[i] > 0 {
		sim.tables[i].endRequest("t")
		sim.inFlight[i]--
	}
	if share := tenantMaxInFlight / max(1, sim.knownLive); sim.inFlight[i] > share && rejected == nil {
		sim.t.Fatalf("seed %d at %v: admitted as number %d of a node's %d", sim.seed, now, sim.inFlight[i], share)
	}
	sim.checkInFlight(now)
}

// checkInFlight checks the site's limit once what was admitted under a stale number of nodes has ended.
func (sim *tenantSimulation) checkInFlight(now time.Duration) {
	total := 0
	for _, count := range sim.inFlight {
		total += count
	}
	if now > sim.staleUntil+5*time.Second && total > tenantMaxInFlight {
		sim.t.Fatalf("seed %d at %v: %d in flight at the site, at most %d", sim.seed, now, total, tenantMaxInFlight)
	}
}

// checkRate checks that any ten seconds admit at most ten seconds' rate, what was saved up, and what nodes that
// learn late of one more can add.
func (sim *tenantSimulation) checkRate() {
	for i, from := range sim.admittedAt {
		count := 0
		for _, at := range sim.admittedAt[i:] {
			if at < from+10*time.Second {
				count++
			}
		}
		if float64(count) > 1.4*(10*tenantRate)+tenantRate+simulatedEdgeNodes {
			sim.t.Fatalf("seed %d: %d admitted within ten seconds from %v", sim.seed, count, from)
		}
	}
}

// A tenant's limits are the site's, not each node's: nine nodes together admit its rate, also while nodes fail
// and return and the others learn of it late. Each node may have saved up one second's share, and one request
// at least.
func TestTenantsBudgetsAreShared(t *testing.T) {
	for seed := range uint64(30) {
		sim := newTenantSimulation(t, seed)
		for now := time.Second; now < 60*time.Second; now += 10 * time.Millisecond {
			sim.step(now)
		}
		sim.checkRate()
		if len(sim.admittedAt) < 500 {
			t.Fatalf("seed %d: only %d admitted", seed, len(sim.admittedAt))
		}
	}
	singleNode := newTrafficTable(settings.DefaultBounds()) // a single node has the full rate
	count := 0
	for now := time.Second; now < 11*time.Second; now += 10 * time.Millisecond {
		if rejected := singleNode.admit("t", serviceconfig.Tenant{RequestsPerSecond: tenantRate}, 1000, 1, now); rejected == nil {
			count++
		}
	}
	if count < 295 || count > 331 {
		t.Errorf("alone: %d admitted within ten seconds", count)
	}
}
