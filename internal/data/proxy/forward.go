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
	l           *daemon.Process
	site        *settings.Site
	conns       *connPool
	budgets     *budgets
	misdirected *budgets     // of attempts after a worker whose address is another's now
	room        int64        // bytes that requests under way may hold
	held        atomic.Int64 // of it
	running     atomic.Int64 // requests under way
	extras      atomic.Int64 // attempts beyond the first of a request
	resumed     atomic.Int64 // streams that another worker went on with
	leaving     atomic.Bool
	served      atomic.Bool // was ready before
	buffers     sync.Pool
}

// Ratios of bounds.
const (
	keyPart    = 0.95 // of the key bound: proofs older than this vouch for no key
	windowPart = 0.3  // of the grace: after the signal requests are still taken
	drainPart  = 0.55 // of the grace: then what runs may end
	holdPart   = 3    // a third of the memory is for requests
	overhead   = 32 << 10
	firstPlan  = 0.25 // of the configuration bound: how long listening waits for the first plan's limits
)

// Start opens the server and the page that reports whether it is ready.
//
// Example: err := forward.Start(life, forward.Config{Headers: platform.Headers(), ReadyPath: path, Snapshot: agent.Snapshot, Selector: selector})
func Start(l *daemon.Process, c Config) error { return newServer(l, c).open() }

// open listens, and serves until the program stops.
func (d *server) open() error {
	l := d.l
	front, err := l.Listen(l.Place.Public)
	if err != nil {
		return errs.As(err, errs.BadInput, "listen at "+l.Place.Public)
	}
	page, err := l.Listen(d.site.Ready)
	if err != nil {
		front.Close()
		return errs.As(err, errs.BadInput, "listen at "+d.site.Ready)
	}
	d.serve(front, page)
	return nil
}

func newServer(l *daemon.Process, c Config) *server {
	b := l.Place.Bounds
	d := &server{Config: c, l: l, site: l.Place.Site, conns: newConnPool(l), room: int64(l.Place.Site.MemoryMB) << 20 / holdPart}
	d.budgets = newBudgets(float64(b.TryShare)/100, float64(b.TryAllow))
	d.misdirected = newBudgets(float64(b.TryShare)/100*misdirectedShare, float64(b.TryAllow)*misdirectedAllowance)
	d.buffers.New = func() any { p := make([]byte, 8<<10); return &p }
	l.Meter.Gauge("pebbleloom_requests", "requests under way", func() float64 { return float64(d.running.Load()) })
	l.Meter.Count("pebbleloom_extra_attempts_total", "attempts beyond the first of a request", func() float64 { return float64(d.extras.Load()) })
	l.Meter.Count("pebbleloom_resumed_total", "streams that another worker went on with", func() float64 { return float64(d.resumed.Load()) })
	return d
}

// serve keeps the server open until the program stops, and then sees out what runs.
func (d *server) serve(front, page net.Listener) {
	ready := &http.Server{Handler: http.HandlerFunc(d.ready), ReadHeaderTimeout: d.l.Place.Bounds.Heal(0.25), ErrorLog: quiet()}
	d.l.Go(func() { d.run(ready, page) })
	d.l.OnStop(func() { ready.Close() })
	opened := make(chan *http.Server, 1)
	d.l.Go(func() {
		lim := d.limits()
		s := &http.Server{Handler: d, ErrorLog: quiet(), MaxHeaderBytes: lim.HeaderBytes, ReadHeaderTimeout: lim.HeaderTime, IdleTimeout: lim.IdleTime}
		opened <- s
		d.run(s, front)
	})
	d.l.OnShutdown(func(ctx context.Context) { d.drain(ctx, <-opened) })
}

func (d *server) run(s *http.Server, ln net.Listener) {
	if err := s.Serve(ln); err != http.ErrServerClosed {
		d.l.Log.Error("server ended", "addr", ln.Addr().String(), "error", err)
	}
}

func quiet() *log.Logger { return log.New(io.Discard, "", 0) }

// limits are the first plan's, if it and its proof come soon; until then connections wait at the
// listener: what would have to be rejected is served a moment later.
func (d *server) limits() routingconfig.Limits {
	b := d.l.Place.Bounds
	step := b.Config(firstPlan / 25)
	for range 25 {
		if p := d.plan(); p != nil && (!d.site.Revokes || d.Snapshot().ProofAt > 0) {
			l := p.Limits
			if l.HeaderBytes > 0 && l.HeaderTime > 0 && l.IdleTime > 0 {
				return l
			}
			break
		}
		select {
		case <-d.l.Draining:
		case <-d.l.Ctx.Done():
		default:
			clock.Sleep(d.l.Ctx, step)
			continue
		}
		break
	}
	return routingconfig.Limits{HeaderBytes: 16 << 10, HeaderTime: b.Heal(0.25), IdleTime: b.Heal(1.25)}
}

func (d *server) plan() *routingconfig.Plan {
	if s := d.Snapshot(); s != nil {
		return s.Plan
	}
	return nil
}

// drain leaves in order: not ready from now on, but taking requests until the platform has seen
// it, then none, and what runs may end while the grace lasts.
func (d *server) drain(ctx context.Context, s *http.Server) {
	d.leaving.Store(true)
	clock.Sleep(ctx, settings.Of(d.site.GraceMs, windowPart))
	ctx, stop := context.WithTimeout(ctx, settings.Of(d.site.GraceMs, drainPart))
	defer stop()
	if err := s.Shutdown(ctx); err != nil {
		d.l.Log.Warn("cut at the end of the grace", "requests", d.running.Load())
		s.Close()
	}
	d.conns.t.CloseIdleConnections()
}

// vouched reports whether nothing newer than this plan had been acknowledged shortly before a
// request was read.
func vouched(s *fleet.Snapshot, at, bound time.Duration) bool {
	return s.ProofAt > 0 && at-s.ProofAt < bound
}

// keyBound is how old the proof may be by which a key is taken for good.
func (d *server) keyBound() time.Duration { return settings.Of(d.l.Place.Bounds.KeyMs, keyPart) }

// ready answers whether this machine can serve.
func (d *server) ready(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != d.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !d.able() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (d *server) able() bool {
	s := d.Snapshot()
	if s == nil || s.Plan == nil || d.leaving.Load() {
		return false
	}
	if d.site.Revokes && !vouched(s, d.l.Clock.Now(), d.keyBound()) {
		return false
	}
	if !d.served.Load() && routed(s) { // once: workers that go are no reason to send clients away
		d.served.Store(true)
	}
	return d.served.Load()
}

// routed reports whether a worker of a routed service is known.
func routed(s *fleet.Snapshot) bool {
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
