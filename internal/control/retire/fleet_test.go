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
	maxConfigLag   = 10 // ticks that a proxy may follow an older configuration
	requestTimeout = 40 // ticks that a request waits at most
)

var initialConfig = []byte(`{"models":{"old":{"weights":3,"room":50},"new":{"weights":1,"room":50}},
 "adapters":{"rare":{"base":"old","build":1,"room":5,"services":["s"]},"fare":{"base":"old","build":4,"room":5,"services":["s"]},
 "rare-2":{"base":"new","build":1,"room":5,"services":["s"]},"fare-2":{"base":"new","build":2,"room":5,"services":["s"]}},
 "services":{"s":{"model":"old","room":130}},"ways":{"old":{"service":"s"},"rare":{"service":"s"},"fare":{"service":"s","use":"fare"}}}`)

func newPlan() *Retirement {
	return &Retirement{Name: "spring", Service: "s", OldBase: "old", NewBase: "new", Replacements: map[string]string{"rare": "rare-2", "fare": "fare-2"},
		TrafficPercents: []int{30, 100}, SoakSeconds: 1, MaxConcurrent: 2, State: StatePlanned}
}

// invariant is a rule that holds in every simulation. Each can be broken on purpose by a planted fault.
type invariant int

const (
	noEnd            invariant = iota // the retirement ends; as a planted fault: none
	earlyDrop                         // the old base is unloaded only after the barrier
	falseBarrier                      // the barrier is passed only when every node has answered
	lostRequest                       // a request has one answer, and none is lost while it runs
	delayedRequests                   // no more requests stay unanswered than without a retirement
	incompleteRevert                  // an abort reverts everything
)

const noFault = noEnd

// testNode is the true state of a worker.
type testNode struct {
	name, incarnation string
	up, listed        bool
	starts            int
	loaded            map[string]contract.LoadedModel
	loading           string
	fencingToken      uint64
	lastSteps         map[string]uint64 // by plan: the step of the last order that it obeyed
	falseReports      bool              // it reports adapters that it was ordered to load, and doesn't have them
	falselyReported   map[string]bool   // adapters
	answered          map[string]bool   // by incarnation, set and adapter: it has answered a proof
}

// restart starts a new incarnation, empty or with the old set.
func (n *testNode) restart(withOldSet bool) {
	n.starts++
	n.incarnation, n.up, n.loading, n.fencingToken = fmt.Sprint(n.name, "/", n.starts), true, "", 0
	n.lastSteps, n.falselyReported = map[string]uint64{}, map[string]bool{}
	n.loaded = map[string]contract.LoadedModel{}
	if withOldSet {
		n.loaded["old"] = contract.LoadedModel{Model: "old", Weights: 3, Adapters: map[string]uint64{"rare": 1, "fare": 4}}
	}
}

// hasTarget reports whether a request under a target is answered: the target is truly loaded.
func (n *testNode) hasTarget(target serviceconfig.Target) bool {
	loaded, ok := n.loaded[target.Model]
	return ok && loaded.Weights == target.Weights && (target.Adapter == "" || loaded.Adapters[target.Adapter] == target.Build && !n.falselyReported[target.Adapter])
}

// report is what the node reports to have loaded; falselyReported says which of it isn't true.
func (n *testNode) report() []contract.LoadedModel {
	var report []contract.LoadedModel
	for _, model := range maputil.SortedKeys(n.loaded) {
		loaded := n.loaded[model]
		loaded.Adapters = maps.Clone(loaded.Adapters)
		report = append(report, loaded)
	}
	return report
}

// observe is the node as a lease holder observes it.
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

func (n *testNode) addBusy(model string, delta int) {
	loaded := n.loaded[model]
	loaded.Busy += delta
	n.loaded[model] = loaded
}

// testRequest is one request of a client.
type testRequest struct {
	id       string
	route    string
	deadline int // tick
	answers  int
	retries  int
}

// testFleet is everything that is simulated. Time passes in ticks, and whatever is sent arrives later, or
// never.
type testFleet struct {
	t               testing.TB
	random          *rand.Rand
	now             int              // tick
	inbox           map[int][]func() // by tick: what arrives
	config          []byte
	configVersion   uint64
	configHistory   [][]byte // the configuration by tick, for proxies that are behind
	retirement      *Retirement
	documentVersion uint64
	fencingToken    uint64
	holder          int        // machine that holds the lease, or held it last
	leasedUntil     int        // tick
	planners        []*Planner // by machine
	nodes           []*testNode
	requests        []*testRequest
	violations      []string
	plantedFault    invariant
	faultsEnded     bool
	injecting       bool // faults are still injected
	unanswered      int  // requests
	abortedAt       int  // tick; zero: not aborted
}

// violation records that an invariant was violated.
func (f *testFleet) violation(violated invariant, format string, args ...any) {
	if len(f.violations) < 5 {
		f.violations = append(f.violations, fmt.Sprintf("(%d) tick %d: ", violated, f.now)+fmt.Sprintf(format, args...))
	}
}

// at makes something happen at a tick.
func (f *testFleet) at(tick int, event func()) { f.inbox[tick] = append(f.inbox[tick], event) }

// deliver makes a message arrive within so many ticks. While faults are injected it may arrive much later,
// or never.
func (f *testFleet) deliver(maxDelay int, arrive func()) {
	if f.injecting && f.random.IntN(30) == 0 {
		return // lost
	}
	arrival := f.now + 1 + f.random.IntN(maxDelay)
	if f.injecting && f.random.IntN(15) == 0 {
		arrival += f.random.IntN(60) // very late
	}
	f.at(arrival, arrive)
}

func (f *testFleet) decodedConfig() *serviceconfig.Config {
	config, err := serviceconfig.Decode(f.config)
	if err != nil {
		f.t.Fatal(err)
	}
	return config
}

// patchConfig merges a patch into the configuration, if that has the version.
func (f *testFleet) patchConfig(patch []byte, version uint64) bool {
	if version != f.configVersion {
		return false
	}
	merged, err := serviceconfig.Merge(f.config, patch)
	if err != nil {
		f.t.Fatalf("%s: %v", patch, err)
	}
	f.config, f.configVersion = merged, f.configVersion+1
	return true
}

// writeRetirement writes the retirement onto the version that was read: a holder's write carries its fencing
// token, an operator's carries zero.
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

// checkBarrier checks that every listed node has truly answered in the incarnation that is recorded.
func (f *testFleet) checkBarrier() {
	set := NewWeightSet(f.decodedConfig(), "new", []string{"rare-2", "fare-2"})
	for _, node := range f.nodes {
		if !node.listed || node.up && node.starts > 1 && f.retirement.Proofs[node.name].Incarnation != node.incarnation && !f.faultsEnded {
			continue // it came back, or came in, after the holder looked: it is caught up first
		}
		for _, adapter := range append([]AdapterBuild{{}}, set.Adapters...) {
			if proof := f.retirement.Proofs[node.name]; !node.answered[proof.Incarnation+set.Fingerprint()+adapter.Name] {
				f.violation(falseBarrier, "the barrier is passed, and %s hasn't answered under %q in incarnation %q", node.name, adapter.Name, proof.Incarnation)
			}
		}
	}
}

// receiveOrder is how a node responds to an order. It reports whether the node obeys.
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
			f.violation(earlyDrop, "%s drops the old base, the retirement is in %s", node.name, f.retirement.Phase)
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

func (f *testFleet) startLoad(node *testNode, order contract.Order) {
	incarnation, key := node.incarnation, order.Model+"/"+order.Adapter
	node.loading = key
	f.at(f.now+5, func() {
		if node.incarnation == incarnation && node.loading == key {
			node.endLoad(order)
		}
	})
}

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

// receiveProof is how a node responds to the requests of a proof. It reports whether all were answered.
func (f *testFleet) receiveProof(node *testNode, action Action) bool {
	set := action.ProofSet
	for _, adapter := range append([]AdapterBuild{{}}, set.Adapters...) {
		target := serviceconfig.Target{Model: set.Base, Weights: set.Weights, Adapter: adapter.Name, Build: adapter.Build}
		if node.up && node.incarnation == action.Incarnation && node.hasTarget(target) {
			node.answered[node.incarnation+set.Fingerprint()+adapter.Name] = true
		} else if f.plantedFault != falseBarrier { // under that fault its report alone counts
			return false
		}
	}
	return true
}
