// Package proxy is a request's way: one front server that takes requests of any shape from
// clients and carries each to a worker and its answer back. What a client is answered about
// whether its request ran is always true: a promise that it didn't run needs proof.
package proxy

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/selection"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
)

// Config is what the server is given beside its place.
type Config struct {
	Headers   Headers
	ReadyPath string // where the platform asks whether this machine is ready
	Snapshot  func() *fleet.Snapshot
	Selector  selection.Selector
}

// server takes requests and carries them.
type server struct {
	Config
	process           *daemon.Process
	siteSettings      *settings.Site
	conns             *connPool
	retryBudgets      *budgets
	misdirectedBudget *budgets     // of attempts after a worker whose address is another's now
	memoryLimit       int64        // bytes that requests under way may hold
	reservedMemory    atomic.Int64 // of it
	inFlight          atomic.Int64 // requests under way
	retries           atomic.Int64 // attempts beyond the first of a request
	resumedStreams    atomic.Int64 // streams that another worker went on with
	draining          atomic.Bool
	wasReady          atomic.Bool // was ready before
	bufferPool        sync.Pool
}

// Ratios of bounds.
const (
	keyProofRatio        = 0.95 // of the key bound: proofs older than this vouch for no key
	lameDuckRatio        = 0.3  // of the grace: after the signal requests are still taken
	drainRatio           = 0.55 // of the grace: then what runs may end
	requestMemoryDivisor = 3    // a third of the memory is for requests
	requestOverhead      = 32 << 10
	firstPlanRatio       = 0.25 // of the configuration bound: how long listening waits for the first plan's limits
)

// Start opens the server and the page that reports whether it is ready.
//
// Example: err := forward.Start(life, forward.Config{Headers: platform.Headers(), ReadyPath: path, Snapshot: agent.Snapshot, Selector: selector})
func Start(l *daemon.Process, c Config) error { return newServer(l, c).start() }

// start listens, and serves until the program stops.
func (d *server) start() error {
	l := d.process
	front, err := l.Listen(l.Settings.Public)
	if err != nil {
		return errs.WrapAs(err, errs.BadInput, "listen at "+l.Settings.Public)
	}
	page, err := l.Listen(d.siteSettings.ReadinessListen)
	if err != nil {
		front.Close()
		return errs.WrapAs(err, errs.BadInput, "listen at "+d.siteSettings.ReadinessListen)
	}
	d.serveListeners(front, page)
	return nil
}

func newServer(l *daemon.Process, c Config) *server {
	b := l.Settings.Bounds
	d := &server{Config: c, process: l, siteSettings: l.Settings.Site, conns: newConnPool(l), memoryLimit: int64(l.Settings.Site.MemoryLimitMB) << 20 / requestMemoryDivisor}
	d.retryBudgets = newBudgets(float64(b.RetryPercent)/100, float64(b.RetryAllowance))
	d.misdirectedBudget = newBudgets(float64(b.RetryPercent)/100*misdirectedShare, float64(b.RetryAllowance)*misdirectedAllowance)
	d.bufferPool.New = func() any { p := make([]byte, 8<<10); return &p }
	l.Meter.Gauge("pebbleloom_requests", "requests under way", func() float64 { return float64(d.inFlight.Load()) })
	l.Meter.Counter("pebbleloom_extra_attempts_total", "attempts beyond the first of a request", func() float64 { return float64(d.retries.Load()) })
	l.Meter.Counter("pebbleloom_resumed_total", "streams that another worker went on with", func() float64 { return float64(d.resumedStreams.Load()) })
	return d
}

// serveListeners keeps the server open until the program stops, and then sees out what runs.
func (d *server) serveListeners(front, page net.Listener) {
	ready := &http.Server{Handler: http.HandlerFunc(d.serveReadiness), ReadHeaderTimeout: d.process.Settings.Bounds.Heal(0.25), ErrorLog: discardLogger()}
	d.process.Go(func() { d.serveHTTP(ready, page) })
	d.process.OnStop(func() { ready.Close() })
	opened := make(chan *http.Server, 1)
	d.process.Go(func() {
		lim := d.awaitLimits()
		s := &http.Server{Handler: d, ErrorLog: discardLogger(), MaxHeaderBytes: lim.HeaderBytes, ReadHeaderTimeout: lim.HeaderTimeout, IdleTimeout: lim.IdleTimeout}
		opened <- s
		d.serveHTTP(s, front)
	})
	d.process.OnShutdown(func(ctx context.Context) { d.drain(ctx, <-opened) })
}

func (d *server) serveHTTP(s *http.Server, ln net.Listener) {
	if err := s.Serve(ln); err != http.ErrServerClosed {
		d.process.Log.Error("server ended", "addr", ln.Addr().String(), "error", err)
	}
}

func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }

// awaitLimits are the first plan's, if it and its proof come soon; until then connections wait at the
// listener: what would have to be rejected is served a moment later.
func (d *server) awaitLimits() routingconfig.Limits {
	b := d.process.Settings.Bounds
	step := b.Config(firstPlanRatio / 25)
	for range 25 {
		if p := d.currentPlan(); p != nil && (!d.siteSettings.EnforceRevocation || d.Snapshot().ProofAt > 0) {
			l := p.Limits
			if l.HeaderBytes > 0 && l.HeaderTimeout > 0 && l.IdleTimeout > 0 {
				return l
			}
			break
		}
		select {
		case <-d.process.Draining:
		case <-d.process.Ctx.Done():
		default:
			clock.Sleep(d.process.Ctx, step)
			continue
		}
		break
	}
	return routingconfig.Limits{HeaderBytes: 16 << 10, HeaderTimeout: b.Heal(0.25), IdleTimeout: b.Heal(1.25)}
}

func (d *server) currentPlan() *routingconfig.Plan {
	if s := d.Snapshot(); s != nil {
		return s.Plan
	}
	return nil
}

// drain leaves in order: not ready from now on, but taking requests until the platform has seen
// it, then none, and what runs may end while the grace lasts.
func (d *server) drain(ctx context.Context, s *http.Server) {
	d.draining.Store(true)
	clock.Sleep(ctx, settings.Fraction(d.siteSettings.GraceMs, lameDuckRatio))
	ctx, stop := context.WithTimeout(ctx, settings.Fraction(d.siteSettings.GraceMs, drainRatio))
	defer stop()
	if err := s.Shutdown(ctx); err != nil {
		d.process.Log.Warn("cut at the end of the grace", "requests", d.inFlight.Load())
		s.Close()
	}
	d.conns.transport.CloseIdleConnections()
}

// proofIsFresh reports whether nothing newer than this plan had been acknowledged shortly before a
// request was read.
func proofIsFresh(s *fleet.Snapshot, at, bound time.Duration) bool {
	return s.ProofAt > 0 && at-s.ProofAt < bound
}

// maxKeyProofAge is how old the proof may be by which a key is taken for good.
func (d *server) maxKeyProofAge() time.Duration {
	return settings.Fraction(d.process.Settings.Bounds.KeyRevocationMs, keyProofRatio)
}

// serveReadiness answers whether this machine can serve.
func (d *server) serveReadiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != d.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !d.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (d *server) isReady() bool {
	s := d.Snapshot()
	if s == nil || s.Plan == nil || d.draining.Load() {
		return false
	}
	if d.siteSettings.EnforceRevocation && !proofIsFresh(s, d.process.Clock.Now(), d.maxKeyProofAge()) {
		return false
	}
	if !d.wasReady.Load() && hasRoutedWorker(s) { // once: workers that go are no reason to send clients away
		d.wasReady.Store(true)
	}
	return d.wasReady.Load()
}

// hasRoutedWorker reports whether a worker of a routed service is known.
func hasRoutedWorker(s *fleet.Snapshot) bool {
	has := map[string]bool{}
	for i := range s.Workers {
		has[s.Workers[i].Service] = true
	}
	for i := range s.Plan.Routes {
		for _, x := range s.Plan.Routes[i].Split {
			if x.Weight > 0 && has[x.Service] {
				return true
			}
		}
	}
	return false
}
