package retire

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/maputil"
)

const (
	tick           = 100 * time.Millisecond
	maxConfigLag   = 10 // number of ticks for which a proxy may use an outdated configuration
	requestTimeout = 40 // number of ticks after which a request is no longer retried
)

// initialConfig has a service s on base model old with two adapters, and base model new with the builds
// that replace them.
var initialConfig = []byte(`{"models":{"old":{"weights":3,"room":50},"new":{"weights":1,"room":50}},
 "adapters":{"rare":{"base":"old","build":1,"room":5,"services":["s"]},"fare":{"base":"old","build":4,"room":5,"services":["s"]},
 "rare-2":{"base":"new","build":1,"room":5,"services":["s"]},"fare-2":{"base":"new","build":2,"room":5,"services":["s"]}},
 "services":{"s":{"model":"old","room":130}},"ways":{"old":{"service":"s"},"rare":{"service":"s"},"fare":{"service":"s","use":"fare"}}}`)

// newPlan returns a planned retirement of base model old in favor of new, which is valid for initialConfig.
func newPlan() *Retirement {
	return &Retirement{Name: "spring", Service: "s", OldBase: "old", NewBase: "new", Replacements: map[string]string{"rare": "rare-2", "fare": "fare-2"},
		TrafficPercents: []int{30, 100}, SoakSeconds: 1, MaxConcurrent: 2, State: StatePlanned}
}

// invariant identifies a rule that must hold in every simulation. As testFleet.plantedFault the same value
// makes the simulated fleet violate the rule, to check that the violation is detected.
type invariant int

const (
	neverEnds        invariant = iota // rule: every retirement ends
	earlyUnload                       // rule: the old base model is unloaded only after PhaseBarrier
	falseBarrier                      // rule: PhaseBarrier ends only when every node has answered the proof requests
	lostRequest                       // rule: a request gets at most one answer, and its model is not unloaded while it runs
	delayedRequests                   // rule: a retirement leaves no more requests unanswered than a run without one
	incompleteRevert                  // rule: an abort restores the routes and unloads the new base model
)

// invariantNames has a description of each invariant for messages, by its value.
var invariantNames = []string{
	neverEnds:        "every retirement ends",
	earlyUnload:      "the old base model is unloaded only after PhaseBarrier",
	falseBarrier:     "PhaseBarrier ends only when every node has answered the proof requests",
	lostRequest:      "a request gets at most one answer, and its model is not unloaded while it runs",
	delayedRequests:  "a retirement leaves no more requests unanswered than a run without one",
	incompleteRevert: "an abort restores the routes and unloads the new base model",
}

// noFault is the value of testFleet.plantedFault for a simulation without a planted fault.
const noFault = neverEnds

// testNode is the true state of a simulated worker, which may differ from what it reports.
type testNode struct {
	name, incarnation string
	up, listed        bool
	starts            int
	loaded            map[string]contract.LoadedModel
	loading           string
	fencingToken      uint64
	lastSteps         map[string]uint64 // contract.Order.Step of the last order that the node obeyed, by contract.Order.Plan
	falseReports      bool              // whether the node reports adapters as loaded that it did not load
	falselyReported   map[string]bool   // adapters that the node reports as loaded but did not load
	answered          map[string]bool   // answered proof requests, by incarnation, set fingerprint and adapter
}

// restart starts a new incarnation of the node, either with the old weight set or without weights.
func (n *testNode) restart(withOldSet bool) {
	n.starts++
	n.incarnation, n.up, n.loading, n.fencingToken = fmt.Sprint(n.name, "/", n.starts), true, "", 0
	n.lastSteps, n.falselyReported = map[string]uint64{}, map[string]bool{}
	n.loaded = map[string]contract.LoadedModel{}
	if withOldSet {
		n.loaded["old"] = contract.LoadedModel{Model: "old", Weights: 3, Adapters: map[string]uint64{"rare": 1, "fare": 4}}
	}
}

// canServe reports whether the node truly has a target loaded, so that it answers requests for it.
func (n *testNode) canServe(target serviceconfig.Target) bool {
	loaded, ok := n.loaded[target.Model]
	return ok && loaded.Weights == target.Weights && (target.Adapter == "" || loaded.Adapters[target.Adapter] == target.Build && !n.falselyReported[target.Adapter])
}

// report returns the models and adapters that the node reports as loaded, including those in
// falselyReported.
func (n *testNode) report() []contract.LoadedModel {
	var report []contract.LoadedModel
	for _, model := range maputil.SortedKeys(n.loaded) {
		loaded := n.loaded[model]
		loaded.Adapters = maps.Clone(loaded.Adapters)
		report = append(report, loaded)
	}
	return report
}

// observe returns the state of the node that a lease holder observes; an unreachable node reports nothing.
func (n *testNode) observe() Node {
	if !n.up {
		return Node{Name: n.name}
	}
	return Node{
		Name:        n.name,
		Incarnation: n.incarnation,
		Reachable:   true,
		Loaded:      n.report(),
		Loading:     n.loading,
		MemoryMB:    130,
		FreeMB:      130 - 60*len(n.loaded),
	}
}

// addBusy changes the number of requests that run on a model.
func (n *testNode) addBusy(model string, delta int) {
	loaded := n.loaded[model]
	loaded.Busy += delta
	n.loaded[model] = loaded
}

// testRequest is one client request of the simulation.
type testRequest struct {
	id       string
	route    string
	deadline int // tick at which the client gives up the request
	answers  int // number of answers that the client received
	retries  int // number of times that the planted fault lostRequest sent the request again after an answer
}

// testFleet simulates a service with its workers, clients, lease holders and stored documents. Time passes
// in ticks. Messages arrive at a later tick or are lost.
type testFleet struct {
	t               testing.TB
	random          *rand.Rand
	now             int              // current time of the simulation, in ticks
	inbox           map[int][]func() // scheduled events, by the tick at which they happen
	config          []byte           // service configuration in force
	configVersion   uint64
	configHistory   [][]byte    // service configuration at each tick so far, for proxies that use an outdated one
	retirement      *Retirement // retirement as stored in the control state
	documentVersion uint64      // version of the document that stores the retirement
	fencingToken    uint64      // fencing token of the current lease
	holder          int         // machine that holds the lease or held it last
	leasedUntil     int         // tick at which the lease expires
	planners        []*Planner  // planner of each machine, by machine index
	nodes           []*testNode
	requests        []*testRequest
	violations      []string // descriptions of the first violations of invariants
	plantedFault    invariant
	faultsEnded     bool // whether the time of random faults is over
	injecting       bool // whether random faults are injected
	unanswered      int  // number of requests that got no answer
	abortedAt       int  // tick at which the retirement was aborted; zero if it was not
}

// violation records that an invariant was violated; beyond the fifth violation it does nothing.
func (f *testFleet) violation(violated invariant, format string, args ...any) {
	if len(f.violations) < 5 {
		f.violations = append(f.violations, fmt.Sprintf("invariant %q violated at tick %d: ", invariantNames[violated], f.now)+fmt.Sprintf(format, args...))
	}
}

// at schedules an event of the simulation for a tick.
func (f *testFleet) at(tick int, event func()) { f.inbox[tick] = append(f.inbox[tick], event) }

// deliver schedules the arrival of a message within maxDelay ticks. While faults are injected, the message
// may arrive much later or be lost.
func (f *testFleet) deliver(maxDelay int, arrive func()) {
	if f.injecting && f.random.IntN(30) == 0 {
		return // the message is lost
	}
	arrival := f.now + 1 + f.random.IntN(maxDelay)
	if f.injecting && f.random.IntN(15) == 0 {
		arrival += f.random.IntN(60) // the message is delayed by up to 60 ticks
	}
	f.at(arrival, arrive)
}

// decodedConfig returns the service configuration in force.
func (f *testFleet) decodedConfig() *serviceconfig.Config {
	config, err := serviceconfig.Decode(f.config)
	if err != nil {
		f.t.Fatal(err)
	}
	return config
}

// patchConfig merges a patch into the service configuration if the configuration has the expected version.
// It reports whether it did.
func (f *testFleet) patchConfig(patch []byte, version uint64) bool {
	if version != f.configVersion {
		return false
	}
	merged, err := serviceconfig.Merge(f.config, patch)
	if err != nil {
		f.t.Fatalf("merge patch %s into the service configuration: %v", patch, err)
	}
	f.config, f.configVersion = merged, f.configVersion+1
	return true
}

// writeRetirement stores the retirement if the stored version and the fencing token match, and reports
// whether it did. An operator's write carries the token zero, which always matches.
func (f *testFleet) writeRetirement(next *Retirement, version, token uint64) bool {
	if version != f.documentVersion || token != 0 && token != f.fencingToken {
		return false
	}
	before := f.retirement
	f.retirement, f.documentVersion = next.clone(), f.documentVersion+1
	if !before.PastBarrier() && next.PastBarrier() {
		f.checkBarrier()
	}
	if before.State != StateAborted && next.State == StateAborted && before.State != StatePlanned {
		f.abortedAt = f.now
	}
	return true
}

// checkBarrier checks at the end of PhaseBarrier that every listed node has truly answered the proof requests,
// in the incarnation that its recorded proof names.
func (f *testFleet) checkBarrier() {
	set := NewWeightSet(f.decodedConfig(), "new", []string{"rare-2", "fare-2"})
	for _, node := range f.nodes {
		if !node.listed || node.up && node.starts > 1 && f.retirement.Proofs[node.name].Incarnation != node.incarnation && !f.faultsEnded {
			continue // the node restarted or joined after the lease holder observed it, and must load the new set first
		}
		for _, adapter := range append([]AdapterBuild{{}}, set.Adapters...) {
			if proof := f.retirement.Proofs[node.name]; !node.answered[proof.Incarnation+set.Fingerprint()+adapter.Name] {
				f.violation(falseBarrier, "the barrier was passed although node %s has not answered under adapter %q (empty: the base model alone) in incarnation %q", node.name, adapter.Name, proof.Incarnation)
			}
		}
	}
}

// receiveOrder delivers an order to a node and reports whether the node obeys it. The node rejects an order
// for another incarnation, with an older fencing token, or with an older step than one it has obeyed.
func (f *testFleet) receiveOrder(node *testNode, order contract.Order, token uint64) bool {
	if !node.up || order.Incarnation != node.incarnation || token < node.fencingToken {
		return false
	}
	node.fencingToken = token
	if order.Step < node.lastSteps[order.Plan] && f.plantedFault != incompleteRevert {
		return false
	}
	node.lastSteps[order.Plan] = order.Step
	loaded, isLoaded := node.loaded[order.Model]
	switch {
	case order.Kind == OrderUnload:
		if loaded.Busy > 0 {
			return false
		}
		if order.Model == "old" && isLoaded && !f.retirement.PastBarrier() {
			f.violation(earlyUnload, "node %s unloads the old base model in phase %s, before the barrier is passed", node.name, f.retirement.Phase)
		}
		delete(node.loaded, order.Model)
		node.loading = ""
	case node.loading != "":
		return false
	case order.Adapter == "" && loaded.Weights != order.Weights, order.Adapter != "" && isLoaded && loaded.Adapters[order.Adapter] != order.Build:
		f.startLoad(node, order)
	}
	return true
}

// startLoad starts loading a base model or an adapter, which takes five ticks.
func (f *testFleet) startLoad(node *testNode, order contract.Order) {
	incarnation, key := node.incarnation, order.Model+"/"+order.Adapter
	node.loading = key
	f.at(f.now+5, func() {
		if node.incarnation == incarnation && node.loading == key {
			node.endLoad(order)
		}
	})
}

// endLoad completes the load of a base model or an adapter. An adapter is not loaded if its base model has
// been unloaded in the meantime.
func (n *testNode) endLoad(order contract.Order) {
	n.loading = ""
	loaded, ok := n.loaded[order.Model]
	switch {
	case order.Adapter == "":
		loaded = contract.LoadedModel{Model: order.Model, Weights: order.Weights, Adapters: map[string]uint64{}}
	case !ok:
		return
	default:
		loaded.Adapters = maps.Clone(loaded.Adapters)
		loaded.Adapters[order.Adapter] = order.Build
		if n.falseReports {
			n.falselyReported[order.Adapter] = true
		}
	}
	n.loaded[order.Model] = loaded
}

// receiveProof delivers the proof requests for a weight set to a node and reports whether the node answered
// all of them.
func (f *testFleet) receiveProof(node *testNode, action Action) bool {
	set := action.ProofSet
	for _, adapter := range append([]AdapterBuild{{}}, set.Adapters...) {
		target := serviceconfig.Target{Model: set.Base, Weights: set.Weights, Adapter: adapter.Name, Build: adapter.Build}
		if node.up && node.incarnation == action.Incarnation && node.canServe(target) {
			node.answered[node.incarnation+set.Fingerprint()+adapter.Name] = true
		} else if f.plantedFault != falseBarrier { // the planted fault counts a proof without an answer
			return false
		}
	}
	return true
}
