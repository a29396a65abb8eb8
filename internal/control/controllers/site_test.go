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
	networkDelay = 4 * time.Millisecond   // delay of each request and of each response
	reportAge    = 200 * time.Millisecond // age of the state that a report shows
	listAge      = 800 * time.Millisecond // age of the weights in the platform's list
	drainTime    = 100 * time.Millisecond // time until a worker's requests in progress have ended
	minOrderGap  = 3 * time.Second        // minimum time between orders to a worker from different holders
	pageSize     = 50                     // workers per page of the platform's list
)

// callKind is a kind of call made by core machines.
type callKind string

const (
	callPut    callKind = "put"
	callGrant  callKind = "grant"
	callRead   callKind = "read"
	callList   callKind = "list"
	callReport callKind = "report"
	callOrder  callKind = "order"
)

// failureKind is the way in which a test takes down a lease holder.
type failureKind string

const (
	crashBeforeEffect failureKind = "before" // crash before the effect of a call
	crashAfterEffect  failureKind = "after"  // crash after the effect of a call, before its response
	gracefulStop      failureKind = "stop"   // regular shutdown, which releases the lease
)

var errNoResponse = errors.New("simulated network: no response")

// testSite is a simulated site: control state, the platform's worker list, workers and core machines.
type testSite struct {
	t               *testing.T
	clock           clock.Clock
	bounds          settings.Bounds
	mu              sync.Mutex
	documents       map[string]*wire.Document
	lease           *wire.Lease
	grantedAt       time.Duration // when the lease was last granted or renewed
	workers         map[string]*testWorker
	named           map[string]uint64
	namedAt         map[string]time.Duration
	cordonedAt      map[string]time.Duration // time since which the stored placement cordons a worker, by worker ID
	processes       map[string]*daemon.Process
	crashedAt       map[string]time.Duration
	listUnavailable bool // reads of the platform's list fail

	effects         int // puts, orders and report requests so far
	failAtEffect    int // value of effects at which the holder fails; 0: never
	failureKind     failureKind
	lossProbability float64 // probability that a response is lost
	random          *rand.Rand
	failedMachine   string // machine that crashed or was stopped; empty if none
	stopping        sync.WaitGroup

	lastOrders     map[string]receivedOrder // by worker ID
	ordersReceived int
	listReads      int
	maxLoading     int
	callCounts     map[callKind]int
	inFlight       map[string]int // unanswered orders, by holder
}

// receivedOrder is the last order that a worker received.
type receivedOrder struct {
	holder       string
	fencingToken uint64
	at           time.Duration
}

// testWorker is a simulated worker with its past and scheduled states.
type testWorker struct {
	worker       fleet.Worker
	fencingToken uint64
	states       []workerState  // oldest first
	loads        map[uint64]int // number of loads of each version
	unresponsive bool           // responds to no call
}

type workerState struct {
	since    time.Duration
	busy     bool
	version  uint64
	sequence uint64 // orders accepted
}

func (w *testWorker) stateAt(instant time.Duration) workerState {
	current := w.states[0]
	for _, state := range w.states {
		if state.since <= instant {
			current = state
		}
	}
	return current
}

func newTestSite(t *testing.T, workers int) *testSite {
	s := &testSite{t: t, clock: clock.Synctest(), bounds: bounds(), documents: map[string]*wire.Document{}, workers: map[string]*testWorker{}, named: map[string]uint64{"daka": 1},
		namedAt: map[string]time.Duration{}, cordonedAt: map[string]time.Duration{}, processes: map[string]*daemon.Process{}, crashedAt: map[string]time.Duration{},
		lastOrders: map[string]receivedOrder{}, random: rand.New(rand.NewPCG(1, 2)), callCounts: map[callKind]int{}, inFlight: map[string]int{}}
	for i := range workers {
		s.addWorker(fmt.Sprintf("w%02d", i), 1)
	}
	return s
}

func (s *testSite) addWorker(id string, version uint64) {
	s.workers[id] = &testWorker{worker: worker(id, version), states: []workerState{{version: version}}, loads: map[uint64]int{}}
}

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
	snapshot := &fleet.Snapshot{NamedVersions: map[string]uint64{}, NamedAt: map[string]time.Duration{}, Plan: &routingconfig.Plan{Services: []routingconfig.Service{
		{Name: "reading", Engine: &routingconfig.Engine{Slots: 8, CapacityTokens: 10000, TokenBytes: 18432, LinkMbps: 370000}}, {Name: "plain"}}}}
	for model, version := range s.named {
		snapshot.NamedVersions[model], snapshot.NamedAt[model] = version, s.namedAt[model]
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

func (s *testSite) nameVersion(model string, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.named[model], s.namedAt[model] = version, s.clock.Now()
}

// rolledOut reports whether all workers that can serve have at least the version, the stored worker list shows
// it, and no worker is cordoned.
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

// waitUntil waits until the condition holds, and returns how long that took. On timeout, it fails the test.
func (s *testSite) waitUntil(condition func() bool, timeout time.Duration) time.Duration {
	s.t.Helper()
	start := s.clock.Now()
	for !condition() {
		if s.clock.Now()-start > timeout {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.t.Errorf("expected state of the site was not reached within %v: published versions by worker %v, cordoned %v, lease %v, crashed machines %v", timeout, s.publishedVersions(), s.cordoned(), s.lease, s.crashedAt)
			return timeout
		}
		<-time.After(25 * time.Millisecond)
	}
	return s.clock.Now() - start
}
