package controllers

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/maputil"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

const (
	networkDelay = 4 * time.Millisecond   // delay of each request and of each response between simulated processes
	reportAge    = 200 * time.Millisecond // age of the state that a worker's report shows
	listAge      = 800 * time.Millisecond // age of the weights' versions that the platform's worker list shows
	drainTime    = 100 * time.Millisecond // time from an order to a worker until its requests in progress have ended and the load begins
	minOrderGap  = 3 * time.Second        // minimum time between orders to one worker from different lease holders
	pageSize     = 50                     // number of workers on a page of the platform's worker list
)

// callKind is a kind of call made by simulated core machines.
type callKind string

const (
	callPut    callKind = "put"    // write of a document in the control state
	callGrant  callKind = "grant"  // request, renewal or release of the site's lease
	callRead   callKind = "read"   // read of documents of the control state
	callList   callKind = "list"   // read of a page of the platform's worker list
	callReport callKind = "report" // request for a report of a worker's state
	callOrder  callKind = "order"  // order to a worker to load weights
)

// failureKind is the way in which a test stops the machine that holds the site's lease.
type failureKind string

const (
	crashBeforeEffect failureKind = "before" // the machine crashes before a call that it made has an effect
	crashAfterEffect  failureKind = "after"  // the machine crashes after a call has had its effect, before the response arrives
	gracefulStop      failureKind = "stop"   // the machine shuts down regularly and releases the lease
)

var errNoResponse = errors.New("simulated network: no response")

// testSite is a simulated site. It consists of the control state, the platform's worker list, workers and core
// machines.
type testSite struct {
	t               *testing.T
	clock           clock.Clock
	bounds          settings.Bounds
	mu              sync.Mutex
	documents       map[string]*wire.Document // documents of the control state, by key
	lease           *wire.Lease               // the site's lease; nil before the first grant
	grantedAt       time.Duration             // time at which the site's lease was last granted or renewed
	workers         map[string]*testWorker    // simulated workers, by ID
	targetVersions  map[string]uint64
	targetSetAt     map[string]time.Duration
	cordonedAt      map[string]time.Duration   // time since which the stored placement cordons a worker, by worker ID
	processes       map[string]*daemon.Process // processes of the core machines, by machine name
	crashedAt       map[string]time.Duration   // time at which a core machine crashed, by machine name
	listUnavailable bool                       // whether reads of the platform's worker list fail

	effects         int         // number of document writes, orders and report requests that have arrived so far
	failAtEffect    int         // number of the document write, order or report request at which the lease holder fails, counted from the creation of the site; 0 for never
	failureKind     failureKind // whether the lease holder crashes before or after the chosen document write, order or report request, or shuts down during it
	lossProbability float64     // probability that the response to a call is lost
	random          *rand.Rand
	failedMachine   string // name of the core machine that crashed or was shut down; empty if none
	stopping        sync.WaitGroup

	lastOrders     map[string]receivedOrder // last order that each worker received, by worker ID
	ordersReceived int                      // number of orders that workers received
	listReads      int                      // number of calls that read a page of the platform's worker list
	maxLoading     int                      // highest number of workers that loaded weights at the same time
	callCounts     map[callKind]int         // number of calls that arrived, by kind
	inFlight       map[string]int           // number of orders without a response, by lease holder
}

// receivedOrder describes an order that a worker received.
type receivedOrder struct {
	holder       string // name under which the sender held the site's lease
	fencingToken uint64
	at           time.Duration // time at which the worker received the order
}

// testWorker is a simulated worker with its past, current and future states.
type testWorker struct {
	worker       fleet.Worker
	fencingToken uint64         // fencing token of the last order that the worker accepted
	states       []workerState  // states of the worker, in the order of their start
	loads        map[uint64]int // number of times that the worker loaded a version, by version
	unresponsive bool           // whether the worker responds to no call
}

// workerState is the state of a testWorker from a certain time on.
type workerState struct {
	since    time.Duration // time from which the worker is in this state
	busy     bool          // whether the worker is executing an order
	version  uint64        // version of the weights that the worker serves
	sequence uint64        // number of orders that the worker has accepted
}

// stateAt returns the state of the worker at a given time.
func (w *testWorker) stateAt(instant time.Duration) workerState {
	current := w.states[0]
	for _, state := range w.states {
		if state.since <= instant {
			current = state
		}
	}
	return current
}

// newTestSite returns a site without core machines, whose workers serve version 1 of the model daka.
func newTestSite(t *testing.T, workers int) *testSite {
	s := &testSite{t: t, clock: clock.Synctest(), bounds: bounds(), documents: map[string]*wire.Document{}, workers: map[string]*testWorker{}, targetVersions: map[string]uint64{"daka": 1},
		targetSetAt: map[string]time.Duration{}, cordonedAt: map[string]time.Duration{}, processes: map[string]*daemon.Process{}, crashedAt: map[string]time.Duration{},
		lastOrders: map[string]receivedOrder{}, random: rand.New(rand.NewPCG(1, 2)), callCounts: map[callKind]int{}, inFlight: map[string]int{}}
	for i := range workers {
		s.addWorker(fmt.Sprintf("w%02d", i), 1)
	}
	return s
}

func (s *testSite) addWorker(id string, version uint64) {
	s.workers[id] = &testWorker{worker: worker(id, version), states: []workerState{{version: version}}, loads: map[uint64]int{}}
}

// startCore starts a Controller on a new core machine of the site.
func (s *testSite) startCore(name string) *Controller {
	processSettings := settings.Process{Name: name, Bounds: s.bounds, Options: []string{"log=off"}, Site: &settings.Site{LeaseMs: 3000, WorkerListRate: 47}}
	process := daemon.NewIn(daemon.Environment{Clock: s.clock}, "controllers", processSettings)
	s.mu.Lock()
	s.processes[name] = process
	s.mu.Unlock()
	machine := &coreMachine{s, name}
	return Start(process, machine, machine, s.snapshot, s.view, func(context.Context, string) []*wire.HotPrefix {
		return []*wire.HotPrefix{{Key: []byte("k1"), Hotness: 9, Tokens: 300, Holders: 1}, {Key: []byte("k2"), Hotness: 5, Tokens: 300}}
	})
}

// stop ends all core machines of the site, as if they had crashed.
func (s *testSite) stop() {
	s.mu.Lock()
	for name := range s.processes {
		if _, ok := s.crashedAt[name]; !ok {
			s.crashedAt[name] = s.clock.Now()
		}
	}
	processes := s.processes
	s.mu.Unlock()
	s.stopping.Wait()
	for _, name := range maputil.SortedKeys(processes) {
		if processes[name].Ctx.Err() == nil {
			processes[name].Stop(0)
		}
	}
}

func (s *testSite) snapshot() *fleet.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := &fleet.Snapshot{TargetVersions: map[string]uint64{}, TargetSetAt: map[string]time.Duration{}, Plan: &routingconfig.Plan{Services: []routingconfig.Service{
		{Name: "reading", Engine: &routingconfig.Engine{Slots: 8, CapacityTokens: 10000, TokenBytes: 18432, LinkMbps: 370000}}, {Name: "plain"}}}}
	for model, version := range s.targetVersions {
		snapshot.TargetVersions[model], snapshot.TargetSetAt[model] = version, s.targetSetAt[model]
	}
	return snapshot
}

func (s *testSite) view() clustermembership.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	var view clustermembership.View
	for _, name := range maputil.SortedKeys(s.processes) {
		node := &wire.Node{Name: clustermembership.RolePromptIndex + "/" + name, Role: clustermembership.RolePromptIndex}
		if at, ok := s.crashedAt[name]; ok && s.clock.Now()-at > 4*time.Second {
			node.State = clustermembership.Dead
		}
		view.Nodes = append(view.Nodes, node)
	}
	return view
}

// setTarget sets the version of a model's weights that workers should serve.
func (s *testSite) setTarget(model string, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targetVersions[model], s.targetSetAt[model] = version, s.clock.Now()
}

// rolledOut reports whether a rollout is complete: all workers that respond and are not draining serve at least the
// given version, the stored worker list shows that, and the stored placement cordons no worker.
func (s *testSite) rolledOut(version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	published, serving := s.publishedVersions(), 0
	for id, worker := range s.workers {
		if worker.worker.Draining || worker.unresponsive {
			continue
		}
		if serving++; published[id] < version || worker.stateAt(s.clock.Now()).version < version {
			return false
		}
	}
	return serving > 0 && len(s.cordoned()) == 0
}

// waitUntil waits until a condition of the site holds, and returns how long that took. If the condition does not hold
// within the timeout, the test fails.
func (s *testSite) waitUntil(condition func() bool, timeout time.Duration) time.Duration {
	s.t.Helper()
	start := s.clock.Now()
	for !condition() {
		if s.clock.Now()-start > timeout {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.t.Errorf("the condition that the test waits for did not hold within %v: published versions by worker %v, cordoned workers %v, site lease %v, crash times by machine %v", timeout, s.publishedVersions(), s.cordoned(), s.lease, s.crashedAt)
			return timeout
		}
		<-time.After(25 * time.Millisecond)
	}
	return s.clock.Now() - start
}
