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
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

const (
	callDelay = 4 * time.Millisecond   // of every call
	reportAge = 200 * time.Millisecond // reports are as old
	listLag   = 800 * time.Millisecond // the list shows weights as they were then
	drainTime = 100 * time.Millisecond // what runs at a worker ends within this
)

var errLost = errors.New("no answer")

// testSite is a site made of test doubles: control state, list, workers and four core machines.
type testSite struct {
	t          *testing.T
	clock      clock.Clock
	bounds     settings.Bounds
	mu         sync.Mutex
	docs       map[string]*wire.Document
	lease      *wire.Lease
	grantedAt  time.Duration // when the lease was granted
	workers    map[string]*testWorker
	named      map[string]uint64
	since      map[string]time.Duration
	setAsideAt map[string]time.Duration // by worker: since when the placement in force sets it aside
	processes  map[string]*daemon.Process
	dead       map[string]time.Duration
	listDown   bool // the list answers nobody

	effects   int    // so far
	deathAt   int    // the holder dies at this one
	deathKind string // before, after, stop
	lossy     float64
	random    *rand.Rand
	victim    string
	stopping  sync.WaitGroup

	last       map[string]sentOrder // by worker
	orders     int
	reads      int
	maxLoading int
	calls      map[string]int
	inFlight   map[string]int // by holder
}

type sentOrder struct {
	holder string
	fence  uint64
	at     time.Duration
}

// testWorker is one worker.
type testWorker struct {
	w      fleet.Worker
	fence  uint64
	states []state // oldest first
	loads  map[uint64]int
	silent bool
}

type state struct {
	from     time.Duration
	busy     bool
	has      uint64
	sequence uint64 // orders taken
}

func (h *testWorker) at(t time.Duration) state {
	s := h.states[0]
	for _, x := range h.states {
		if x.from <= t {
			s = x
		}
	}
	return s
}

func newTestSite(t *testing.T, n int) *testSite {
	s := &testSite{t: t, clock: clock.Synctest(), bounds: bounds(), docs: map[string]*wire.Document{}, workers: map[string]*testWorker{}, named: map[string]uint64{"daka": 1},
		since: map[string]time.Duration{}, setAsideAt: map[string]time.Duration{}, processes: map[string]*daemon.Process{}, dead: map[string]time.Duration{},
		last: map[string]sentOrder{}, random: rand.New(rand.NewPCG(1, 2)), calls: map[string]int{}, inFlight: map[string]int{}}
	for i := range n {
		s.add(fmt.Sprintf("w%02d", i), 1)
	}
	return s
}

func (s *testSite) add(id string, has uint64) {
	s.workers[id] = &testWorker{w: worker(id, has), states: []state{{has: has}}, loads: map[uint64]int{}}
}

func (s *testSite) core(name string) *Controller {
	p := settings.Process{Name: name, Bounds: s.bounds, Options: []string{"log=off"}, Site: &settings.Site{LeaseMs: 3000, WorkerListRate: 47}}
	l := daemon.NewIn(daemon.Environment{Clock: s.clock}, "controllers", p)
	s.mu.Lock()
	s.processes[name] = l
	s.mu.Unlock()
	me := &machine{s, name}
	return Start(l, me, me, s.snapshot, s.view, func(context.Context, string) []*wire.HotPrefix {
		return []*wire.HotPrefix{{Key: []byte("k1"), Hotness: 9, Tokens: 300, Holders: 1}, {Key: []byte("k2"), Hotness: 5, Tokens: 300}}
	})
}

func (s *testSite) stop() {
	s.mu.Lock()
	for n := range s.processes {
		if _, ok := s.dead[n]; !ok {
			s.dead[n] = s.clock.Now()
		}
	}
	ls := s.processes
	s.mu.Unlock()
	s.stopping.Wait()
	for _, n := range queue.Keys(ls) {
		if ls[n].Ctx.Err() == nil {
			ls[n].Stop(0)
		}
	}
}

func (s *testSite) snapshot() *fleet.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := &fleet.Snapshot{Named: map[string]uint64{}, NamedAt: map[string]time.Duration{}, Plan: &routingconfig.Plan{Services: []routingconfig.Service{
		{Name: "reading", Engine: &routingconfig.Engine{Slots: 8, CapacityTokens: 10000, TokenBytes: 18432, LinkMbps: 370000}}, {Name: "plain"}}}}
	for m, v := range s.named {
		x.Named[m], x.NamedAt[m] = v, s.since[m]
	}
	return x
}

func (s *testSite) view() clustermembership.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	var v clustermembership.View
	for _, n := range queue.Keys(s.processes) {
		x := &wire.Node{Name: clustermembership.RolePromptIndex + "/" + n, Role: clustermembership.RolePromptIndex}
		if at, ok := s.dead[n]; ok && s.clock.Now()-at > 4*time.Second {
			x.State = clustermembership.Dead
		}
		v.Nodes = append(v.Nodes, x)
	}
	return v
}

func (s *testSite) name(model string, v uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.named[model], s.since[model] = v, s.clock.Now()
}

// settled reports whether the documents say that all have a version and nobody is set aside.
func (s *testSite) settled(version uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, n := s.table(), 0
	for id, h := range s.workers {
		if h.w.Draining || h.silent {
			continue
		}
		if n++; m[id] < version || h.at(s.clock.Now()).has < version {
			return false
		}
	}
	return n > 0 && len(s.rolling()) == 0
}

// wait lets time go on until it is so; it gives how long that took.
func (s *testSite) wait(so func() bool, most time.Duration) time.Duration {
	s.t.Helper()
	from := s.clock.Now()
	for !so() {
		if s.clock.Now()-from > most {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.t.Errorf("not so after %v: table %v, rolling %v, lease %v, dead %v", most, s.table(), s.rolling(), s.lease, s.dead)
			return most
		}
		<-time.After(25 * time.Millisecond)
	}
	return s.clock.Now() - from
}
