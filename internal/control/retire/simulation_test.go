package retire

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
)

// Ticks of a simulation.
const (
	faultsEndAt   = 900
	requestsEndAt = 1800
	mayEndAt      = 1900 // a retirement that has ended ends the simulation from then on
	endAt         = 2400
)

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

// simulate plays one seed to its end. Without a retirement it is the same fleet under the same faults.
func simulate(t testing.TB, seed uint64, plantedFault invariant, retiring bool) *testFleet {
	t.Helper()
	fleet := newFleet(t, seed, plantedFault)
	random := rand.New(rand.NewPCG(seed, 9)) // of faults and requests: the same with and without
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
		if retiring && !fleet.retirement.Active() && fleet.now > mayEndAt {
			break
		}
	}
	fleet.checkRequests()
	if retiring && fleet.retirement.Active() {
		fleet.violation(noEnd, "it never ended: %s %s, held by %v", fleet.retirement.State, fleet.retirement.Progress(), fleet.retirement.Blockers)
	}
	return fleet
}

// startTick delivers what arrives in a tick and injects faults. Once they have ended, the platform replaces
// the nodes that are down or report falsely.
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

func (f *testFleet) deliverInbox() {
	for _, event := range f.inbox[f.now] {
		event()
	}
	delete(f.inbox, f.now)
}

// retireTick is a tick of the operators and of the lease holder.
func (f *testFleet) retireTick(operators *rand.Rand, abortAt int) {
	f.operate(operators, abortAt)
	if f.plantedFault == delayedRequests && f.now == 50 { // requests are moved before anything is loaded
		f.patchConfig([]byte(`{"ways":{"rare":{"use":"rare-2"}}}`), f.configVersion)
	}
	if f.now%3 == 0 {
		f.holderStep(f.random.IntN(3))
	}
	if f.retirement.State == StateAborted {
		f.checkReverted()
	}
}

func (f *testFleet) addRequest(random *rand.Rand) {
	routes := []string{"old", "rare", "fare"}
	request := &testRequest{id: fmt.Sprint("r", f.now), route: routes[random.IntN(len(routes))], deadline: f.now + requestTimeout}
	f.requests = append(f.requests, request)
	f.sendRequest(request)
}

// checkRequests counts the requests that were never answered, and checks that none has two answers.
func (f *testFleet) checkRequests() {
	for _, request := range f.requests {
		if request.answers == 0 {
			f.unanswered++
		}
		if request.answers > 1 {
			f.violation(lostRequest, "%s has %d answers", request.id, request.answers)
		}
	}
}

// injectFaults injects faults: nodes die, restart with the old set or empty, are replaced, join. At most two
// are unavailable or behind at once, which is what the capacity is planned for.
func (f *testFleet) injectFaults(random *rand.Rand) {
	unavailable := 0
	for _, node := range f.nodes {
		if !node.up || f.retirement.Phase != "" && f.retirement.Phase != PhaseLoadBase && len(node.loaded) < 2 && f.retirement.State == StateRunning && !f.retirement.PastBarrier() || len(node.loaded) == 0 {
			unavailable++
		}
	}
	node, event, empty, falseReports := f.nodes[random.IntN(len(f.nodes))], random.IntN(200), random.IntN(3) == 0, random.IntN(4) == 0
	switch {
	case event == 0 && unavailable < 2 && node.up: // it dies
		node.up, node.incarnation = false, node.incarnation+"x"
	case event <= 4 && !node.up && node.listed: // it restarts, perhaps empty
		node.restart(!empty)
		node.falseReports = falseReports
	case event == 5 && !node.up: // the platform takes it out of its list for a while
		node.listed = false
	case event <= 8 && !node.listed:
		node.listed = true
		node.restart(!empty)
	case event == 9 && unavailable < 2 && node.up: // replaced at once
		node.restart(!empty)
	case event == 10: // another change of the configuration
		f.patchConfig([]byte(fmt.Sprintf(`{"wait_max_ms":%d}`, 1000+random.IntN(1000))), f.configVersion)
	}
}

// grantLease grants the lease to one holder at a time: the next gets it a while after the last holder's has
// expired on that holder's machine.
func (f *testFleet) grantLease(random *rand.Rand) {
	if f.now < f.leasedUntil {
		if f.injecting && random.IntN(80) == 0 {
			f.leasedUntil = f.now // the holder releases it
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

// operate makes two operators start, pause, resume and abort, each on a document that was read a while ago.
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
			// It raced with a holder's write: retry on the new version.
			if retirement, version := f.retirement.clone(), f.documentVersion; retirement.ApplyVerb(verb) == nil {
				f.writeRetirement(retirement, version, 0)
			}
		}
	})
}

// checkReverted checks that after an abort the configuration is what it was, and that no reachable node has
// the new base, or gets it later.
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
			f.violation(incompleteRevert, "route %s is %+v after the abort, the configuration was %s", name, route, initial)
		}
	}
	for _, node := range f.nodes {
		if _, ok := node.loaded["new"]; ok && node.up {
			f.violation(incompleteRevert, "%s holds the new base %d ticks after the abort", node.name, f.now-f.abortedAt)
		}
	}
}

// seeds is the number of seeds that the environment sets, or else the default.
func seeds(t *testing.T, byDefault uint64) uint64 {
	t.Helper()
	n, err := strconv.ParseUint(os.Getenv("RETIRE_SEEDS"), 10, 64)
	if err != nil {
		return byDefault
	}
	t.Logf("%d seeds", n)
	return n
}

// Fleets by seed, under kills, lost disks, late and lost messages, replaced workers, joining ones, workers that
// report falsely, lease holders that die, two operators, and aborts that race with the barrier. Each is
// compared with the same fleet without a retirement: no more requests may stay unanswered because of it.
// `RETIRE_SEEDS=5000 go test ./internal/control/retire -run TestSimulatedFleets` searches widely.
func TestSimulatedFleets(t *testing.T) {
	ends, unansweredWith, unansweredWithout, total := map[State]int{}, 0, 0, 0
	for seed := range seeds(t, 40) {
		fleet, control := simulate(t, seed, noFault, true), simulate(t, seed, noFault, false)
		ends[fleet.retirement.State]++
		unansweredWith += fleet.unanswered
		unansweredWithout += control.unanswered
		total += len(fleet.requests)
		if len(fleet.violations) > 0 {
			t.Fatalf("seed %d:\n%s\n%s", seed, strings.Join(fleet.violations, "\n"), strings.Join(fleet.retirement.History, "\n"))
		}
	}
	t.Logf("%v, unanswered %d with and %d without of %d", ends, unansweredWith, unansweredWithout, total)
	if ends[StateDone] == 0 || ends[StateAborted] == 0 {
		t.Errorf("the seeds show too little: %v", ends)
	}
	if float64(unansweredWith) > float64(unansweredWithout)*1.1+0.001*float64(total) {
		t.Errorf("(4) %d of %d unanswered with a retirement, %d without", unansweredWith, total, unansweredWithout)
	}
}

// For each invariant a fault is planted that violates it, and the simulation detects it.
func TestPlantedFaultsAreDetected(t *testing.T) {
	for fault := earlyDrop; fault <= incompleteRevert; fault++ {
		detected := ""
		for seed := range uint64(300) {
			fleet := simulate(t, seed, fault, true)
			if fault == delayedRequests && fleet.unanswered > simulate(t, seed, noFault, false).unanswered+len(fleet.requests)/100 {
				detected = "(4)"
			}
			for _, violation := range fleet.violations {
				if strings.HasPrefix(violation, fmt.Sprintf("(%d)", fault)) {
					detected = violation
				}
			}
			if detected != "" {
				break
			}
		}
		if t.Log(detected); detected == "" {
			t.Errorf("planted fault %d isn't detected", fault)
		}
	}
}
