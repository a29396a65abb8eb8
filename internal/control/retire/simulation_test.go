package retire

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
)

// Timeline of a simulation, in ticks.
const (
	faultsEndAt   = 900
	requestsEndAt = 1800
	earliestEndAt = 1900 // from this tick on the simulation ends as soon as the retirement has ended
	endAt         = 2400
)

// newFleet returns a fleet of six nodes with the old weight set, and three machines that may hold the lease.
func newFleet(t testing.TB, seed uint64, plantedFault invariant) *testFleet {
	t.Helper()
	fleet := &testFleet{
		t:               t,
		random:          rand.New(rand.NewPCG(seed, 5)),
		inbox:           map[int][]func(){},
		config:          initialConfig,
		configVersion:   1,
		retirement:      newPlan(),
		documentVersion: 1,
		planners:        []*Planner{NewPlanner(), NewPlanner(), NewPlanner()},
		plantedFault:    plantedFault,
		injecting:       plantedFault == noFault || plantedFault == incompleteRevert,
		holder:          -1,
	}
	for i := range 6 {
		node := &testNode{name: fmt.Sprint("w", i), listed: true, answered: map[string]bool{}, falseReports: plantedFault == falseBarrier}
		node.restart(true)
		fleet.nodes = append(fleet.nodes, node)
	}
	return fleet
}

// simulate runs the simulation of one seed. If retiring is false, the fleet gets the same requests and the
// same faults but carries out no retirement.
func simulate(t testing.TB, seed uint64, plantedFault invariant, retiring bool) *testFleet {
	t.Helper()
	fleet := newFleet(t, seed, plantedFault)
	random := rand.New(rand.NewPCG(seed, 9)) // source of faults and requests only, so that they are the same with and without a retirement
	operators := rand.New(rand.NewPCG(seed, 11))
	abortAt := 0
	if random.IntN(3) == 0 || plantedFault == incompleteRevert {
		abortAt = 60 + random.IntN(600)
	}
	for fleet.now = 0; fleet.now < endAt; fleet.now++ {
		fleet.startTick(random)
		fleet.grantLease(fleet.random)
		if retiring {
			fleet.retireTick(operators, abortAt)
		}
		if fleet.now < requestsEndAt && fleet.now%2 == 0 {
			fleet.addRequest(random)
		}
		if retiring && !fleet.retirement.Active() && fleet.now > earliestEndAt {
			break
		}
	}
	fleet.checkRequests()
	if retiring && fleet.retirement.Active() {
		fleet.violation(neverEnds, "the retirement has not ended: state %s, %s, blockers %v", fleet.retirement.State, fleet.retirement.Progress(), fleet.retirement.Blockers)
	}
	return fleet
}

// startTick delivers the messages of a tick and injects faults. Once the time of faults is over, the platform
// replaces nodes that are down or report adapters that they did not load.
func (f *testFleet) startTick(random *rand.Rand) {
	f.faultsEnded = f.now > faultsEndAt
	f.injecting = f.injecting && !f.faultsEnded
	f.configHistory = append(f.configHistory, f.config)
	f.deliverInbox()
	if f.injecting {
		f.injectFaults(random)
		return
	}
	for _, node := range f.nodes {
		if node.listed && (!node.up || len(node.falselyReported) > 0) && f.plantedFault != falseBarrier {
			node.restart(true)
			node.falseReports = false
		}
	}
}

// deliverInbox runs the events that are scheduled for the current tick.
func (f *testFleet) deliverInbox() {
	for _, event := range f.inbox[f.now] {
		event()
	}
	delete(f.inbox, f.now)
}

// retireTick runs the operators and the lease holder for one tick.
func (f *testFleet) retireTick(operators *rand.Rand, abortAt int) {
	f.operate(operators, abortAt)
	if f.plantedFault == delayedRequests && f.now == 50 { // the planted fault: a route is moved before its target is loaded
		f.patchConfig([]byte(`{"ways":{"rare":{"use":"rare-2"}}}`), f.configVersion)
	}
	if f.now%3 == 0 {
		f.startHolderPass(f.random.IntN(3))
	}
	if f.retirement.State == StateAborted {
		f.checkReverted()
	}
}

// addRequest sends a new client request on a random route.
func (f *testFleet) addRequest(random *rand.Rand) {
	routes := []string{"old", "rare", "fare"}
	request := &testRequest{id: fmt.Sprint("r", f.now), route: routes[random.IntN(len(routes))], deadline: f.now + requestTimeout}
	f.requests = append(f.requests, request)
	f.sendRequest(request)
}

// checkRequests counts the requests that got no answer and checks that no request got more than one answer.
func (f *testFleet) checkRequests() {
	for _, request := range f.requests {
		if request.answers == 0 {
			f.unanswered++
		}
		if request.answers > 1 {
			f.violation(lostRequest, "request %s got %d answers, want at most 1", request.id, request.answers)
		}
	}
}

// injectFaults injects at most one random fault: a node crashes, restarts with the old weight set or without
// weights, is replaced, leaves the list or joins it, or the configuration changes. At most two nodes are
// unavailable or not yet caught up at once, which is the loss that the capacity is planned for.
func (f *testFleet) injectFaults(random *rand.Rand) {
	unavailable := 0
	for _, node := range f.nodes {
		if !node.up || f.retirement.Phase != "" && f.retirement.Phase != PhaseLoadBase && len(node.loaded) < 2 && f.retirement.State == StateRunning && !f.retirement.PastBarrier() || len(node.loaded) == 0 {
			unavailable++
		}
	}
	node, event, empty, falseReports := f.nodes[random.IntN(len(f.nodes))], random.IntN(200), random.IntN(3) == 0, random.IntN(4) == 0
	switch {
	case event == 0 && unavailable < 2 && node.up: // the node crashes
		node.up, node.incarnation = false, node.incarnation+"x"
	case event <= 4 && !node.up && node.listed: // the node restarts, perhaps without weights
		node.restart(!empty)
		node.falseReports = falseReports
	case event == 5 && !node.up: // the platform removes the node from its list for some time
		node.listed = false
	case event <= 8 && !node.listed:
		node.listed = true
		node.restart(!empty)
	case event == 9 && unavailable < 2 && node.up: // the node is replaced without downtime
		node.restart(!empty)
	case event == 10: // an unrelated change raises the configuration's version
		f.patchConfig([]byte(fmt.Sprintf(`{"wait_max_ms":%d}`, 1000+random.IntN(1000))), f.configVersion)
	}
}

// grantLease grants the lease to one machine at a time. The next one gets it more than five ticks after it has
// expired on the previous holder's machine.
func (f *testFleet) grantLease(random *rand.Rand) {
	if f.now < f.leasedUntil {
		if f.injecting && random.IntN(80) == 0 {
			f.leasedUntil = f.now // the holder releases the lease
		}
		return
	}
	if f.now > f.leasedUntil+5 {
		if holder := random.IntN(3); holder != f.holder {
			f.holder, f.fencingToken = holder, f.fencingToken+1
			f.planners[holder] = NewPlanner()
		}
		f.leasedUntil = f.now + 60
	}
}

// operate applies the verbs of two operators at random: start, pause, resume and abort. Each verb is applied
// to the document that is read now and written some ticks later.
func (f *testFleet) operate(random *rand.Rand, abortAt int) {
	verb := ""
	switch draw := random.IntN(120); {
	case f.now == 20 || f.now == 22 || f.faultsEnded && f.retirement.State == StatePlanned:
		verb = verbStart
	case abortAt > 0 && (f.now == abortAt || f.now == abortAt+3):
		verb = verbAbort
	case draw == 0 && f.injecting:
		verb = verbPause
	case draw <= 4 || f.faultsEnded && draw < 20:
		verb = verbResume
	}
	if verb == "" {
		return
	}
	retirement, version := f.retirement.clone(), f.documentVersion
	if retirement.ApplyVerb(verb) != nil {
		return
	}
	f.deliver(3, func() {
		if !f.writeRetirement(retirement, version, 0) && (verb == verbAbort || verb == verbStart) {
			// A lease holder wrote the document in between: retry on the new version.
			if retirement, version := f.retirement.clone(), f.documentVersion; retirement.ApplyVerb(verb) == nil {
				f.writeRetirement(retirement, version, 0)
			}
		}
	})
}

// checkReverted checks, at every tick after an abort, that each route has its initial target and that no
// running node has the new base model loaded.
func (f *testFleet) checkReverted() {
	if f.abortedAt == 0 {
		return
	}
	config, initial := f.decodedConfig(), initialConfig
	config.MaxWaitMs = 0
	for name, route := range config.Routes {
		servedBy := ""
		if name == "fare" {
			servedBy = "fare"
		}
		if route.MoveTo != "" || route.MovedPercent != 0 || route.ServedBy != servedBy {
			f.violation(incompleteRevert, "route %s is %+v after the abort, want its target in the initial configuration %s", name, route, initial)
		}
	}
	for _, node := range f.nodes {
		if _, ok := node.loaded["new"]; ok && node.up {
			f.violation(incompleteRevert, "node %s has the new base model loaded %d ticks after the abort", node.name, f.now-f.abortedAt)
		}
	}
}

// seeds returns the number of seeds set by the environment variable RETIRE_SEEDS, or else the default.
func seeds(t *testing.T, byDefault uint64) uint64 {
	t.Helper()
	n, err := strconv.ParseUint(os.Getenv("RETIRE_SEEDS"), 10, 64)
	if err != nil {
		return byDefault
	}
	t.Logf("RETIRE_SEEDS: simulating %d seeds", n)
	return n
}

// Simulates retirements of fleets with random faults: workers that crash, restart without weights, are
// replaced, join late or report adapters that they did not load; late and lost messages; lease holders that
// crash; two operators at once; aborts that race with the end of PhaseBarrier. No invariant may be violated.
// Each fleet is also simulated without a retirement: the retirement must not leave more requests unanswered,
// beyond 10 percent and 0.1 percent of all requests. For a wide search use
// `RETIRE_SEEDS=5000 go test ./internal/control/retire -run TestSimulatedFleets`.
func TestSimulatedFleets(t *testing.T) {
	ends, unansweredWith, unansweredWithout, total := map[State]int{}, 0, 0, 0
	for seed := range seeds(t, 40) {
		fleet, control := simulate(t, seed, noFault, true), simulate(t, seed, noFault, false)
		ends[fleet.retirement.State]++
		unansweredWith += fleet.unanswered
		unansweredWithout += control.unanswered
		total += len(fleet.requests)
		if len(fleet.violations) > 0 {
			t.Fatalf("seed %d: invariants violated:\n%s\nhistory of the retirement:\n%s", seed, strings.Join(fleet.violations, "\n"), strings.Join(fleet.retirement.History, "\n"))
		}
	}
	t.Logf("final states of the retirements %v; %d requests unanswered with a retirement and %d without, of %d", ends, unansweredWith, unansweredWithout, total)
	if ends[StateDone] == 0 || ends[StateAborted] == 0 {
		t.Errorf("final states of the simulated retirements %v: want some retirements done and some aborted", ends)
	}
	if float64(unansweredWith) > float64(unansweredWithout)*1.1+0.001*float64(total) {
		t.Errorf("invariant violated that a retirement leaves no more requests unanswered than a run without one: %d of %d requests unanswered with a retirement, %d without, want at most 10 percent more plus 0.1 percent of all", unansweredWith, total, unansweredWithout)
	}
}

// For each invariant except the end of the retirement, a planted fault violates it, and the simulation must
// detect the violation.
func TestPlantedFaultsAreDetected(t *testing.T) {
	for fault := earlyUnload; fault <= incompleteRevert; fault++ {
		detected := ""
		for seed := range uint64(300) {
			fleet := simulate(t, seed, fault, true)
			if fault == delayedRequests && fleet.unanswered > simulate(t, seed, noFault, false).unanswered+len(fleet.requests)/100 {
				detected = "invariant violated that a retirement leaves no more requests unanswered than a run without one"
			}
			for _, violation := range fleet.violations {
				if strings.HasPrefix(violation, fmt.Sprintf("invariant %q violated", invariantNames[fault])) {
					detected = violation
				}
			}
			if detected != "" {
				break
			}
		}
		if t.Log(detected); detected == "" {
			t.Errorf("simulations with 300 seeds did not detect the planted violation of the invariant %q", invariantNames[fault])
		}
	}
}
