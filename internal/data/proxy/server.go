// Package proxy is the reverse proxy of an edge node: it accepts HTTP requests of any shape from clients,
// forwards each to a worker of the service that its route selects, and relays the worker's response.
//
// A request passes through server.ServeHTTP: accept (admission, body), forward (select a worker, make an
// attempt, relay the response, retry elsewhere) and, if no attempt completes, respondWithFailure.
//
// Two invariants hold throughout. A request that isn't idempotent is sent again only with proof that no
// worker has executed it; "not executed" is answered to a client only with that proof. And no
// byte that a worker sent for another request, or unsolicited, is ever relayed as a response.
package proxy

import (
	"context"
	"errors"
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
	"pebbleloom/internal/data/retrybudget"
	"pebbleloom/internal/data/selection"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
)

// Config holds what Start needs beside the process's settings. Every field has to be set.
type Config struct {
	Headers   Headers
	ReadyPath string                 // URL path of the readiness check
	Snapshot  func() *fleet.Snapshot // the newest routing plan and workers; nil while none is known
	Selector  selection.Selector
}

// server accepts requests from clients and forwards them to workers.
type server struct {
	Config
	process           *daemon.Process
	siteSettings      *settings.Site
	conns             *connPool
	retryBudgets      *retrybudget.ByService
	misdirectedBudget *retrybudget.Budget // of attempts after a 421; for all services together
	memoryLimit       int64               // bytes that all requests in flight may reserve
	reservedMemory    atomic.Int64        // bytes
	inFlight          atomic.Int64        // requests
	retries           atomic.Int64        // attempts beyond the first of a request
	resumedStreams    atomic.Int64        // streams that another worker continued
	draining          atomic.Bool         // set on shutdown, never reset
	wasReady          atomic.Bool         // set once a routed worker was known, never reset
	bufferPool        sync.Pool           // of *[]byte, relayBufferBytes each
}

// Memory.
const (
	// requestMemoryDivisor gives requests a third of the node's memory: the rest is for buffers of
	// connections, the snapshot and the garbage collector's headroom.
	requestMemoryDivisor = 3
	// requestOverhead is what a request is taken to need beside its body, in bytes.
	requestOverhead  = 32 << 10
	relayBufferBytes = 8 << 10
)

// Graceful shutdown, as ratios of the platform's grace period (settings.Site.GraceMs). Their sum has to
// stay below 1: the process has to end by itself before it is killed.
const (
	// lameDuckRatio is how long requests are still accepted after the signal, until the platform's
	// load balancer has seen the failing readiness check.
	lameDuckRatio = 0.3
	// drainRatio is how long requests in flight may then run to their end.
	drainRatio = 0.55
)

// firstPlanRatio of the configuration bound is how long the front listener waits for the first plan;
// firstPlanChecks is how often it looks in that time. Longer would delay a node that can't reach the
// control nodes but could reject requests in order.
const (
	firstPlanRatio  = 0.25
	firstPlanChecks = 25
)

// Limits of HTTP connections where no plan gives any: time-outs are ratios of the healing bound.
const (
	defaultHeaderBytes      = 16 << 10
	headerTimeoutRatio      = 0.25
	idleConnTimeoutRatio    = 1.25
	readyHeaderTimeoutRatio = 0.25
)

// Retries after a misdirected response (421: the address belongs to another worker now) have a budget
// of their own beside the service's, for all services together. The next attempt may go to another
// reused address, and both arrive at a service that the request isn't for, beyond that service's own
// budget. Both are ratios of the retry budget's settings.
const (
	misdirectedRatio          = 0.1
	misdirectedAllowanceRatio = 0.5
)

// Start listens for clients and for readiness checks, and serves until the process stops. It fails with
// errs.BadInput if it can't listen at an address of the settings.
//
// Example: err := proxy.Start(process, proxy.Config{Headers: platform.Headers(), ReadyPath: path, Snapshot: agent.Snapshot, Selector: selector})
func Start(process *daemon.Process, config Config) error { return newServer(process, config).start() }

func newServer(process *daemon.Process, config Config) *server {
	bounds, site := process.Settings.Bounds, process.Settings.Site
	retryRatio, retryAllowance := float64(bounds.RetryPercent)/100, float64(bounds.RetryAllowance)
	s := &server{
		Config:            config,
		process:           process,
		siteSettings:      site,
		conns:             newConnPool(process),
		retryBudgets:      retrybudget.NewByService(retryRatio, retryAllowance),
		misdirectedBudget: retrybudget.New(retryRatio*misdirectedRatio, retryAllowance*misdirectedAllowanceRatio),
		memoryLimit:       int64(site.MemoryLimitMB) << 20 / requestMemoryDivisor,
	}
	s.bufferPool.New = func() any { buffer := make([]byte, relayBufferBytes); return &buffer }
	s.registerMetrics(process.Meter)
	return s
}

func (s *server) registerMetrics(meter *daemon.Meter) {
	meter.Gauge("pebbleloom_requests", "requests in flight", func() float64 { return float64(s.inFlight.Load()) })
	meter.Counter("pebbleloom_extra_attempts_total", "attempts beyond the first of a request", func() float64 { return float64(s.retries.Load()) })
	meter.Counter("pebbleloom_resumed_total", "streams that another worker continued", func() float64 { return float64(s.resumedStreams.Load()) })
}

// start opens both listeners and serves in the background until the process stops.
func (s *server) start() error {
	front, err := s.process.Listen(s.process.Settings.Public)
	if err != nil {
		return errs.WrapAs(err, errs.BadInput, "listen at "+s.process.Settings.Public)
	}
	ready, err := s.process.Listen(s.siteSettings.ReadinessListen)
	if err != nil {
		front.Close()
		return errs.WrapAs(err, errs.BadInput, "listen at "+s.siteSettings.ReadinessListen)
	}
	s.serveReadinessAt(ready)
	s.serveClientsAt(front)
	return nil
}

// serveReadinessAt answers readiness checks until the process ends, also while it drains.
func (s *server) serveReadinessAt(listener net.Listener) {
	ready := &http.Server{
		Handler:           http.HandlerFunc(s.serveReadiness),
		ReadHeaderTimeout: s.process.Settings.Bounds.Heal(readyHeaderTimeoutRatio),
		ErrorLog:          discardLogger(),
	}
	s.process.Go(func() { s.serveHTTP(ready, listener) })
	s.process.OnStop(func() { ready.Close() })
}

// serveClientsAt accepts clients once the first plan has given their limits, and drains on shutdown.
func (s *server) serveClientsAt(listener net.Listener) {
	started := make(chan *http.Server, 1)
	s.process.Go(func() {
		limits := s.awaitLimits()
		front := &http.Server{
			Handler:           s,
			ErrorLog:          discardLogger(),
			MaxHeaderBytes:    limits.HeaderBytes,
			ReadHeaderTimeout: limits.HeaderTimeout,
			IdleTimeout:       limits.IdleTimeout,
		}
		started <- front
		s.serveHTTP(front, listener)
	})
	s.process.OnShutdown(func(ctx context.Context) { s.drain(ctx, <-started) })
}

func (s *server) serveHTTP(httpServer *http.Server, listener net.Listener) {
	if err := httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.process.Log.Error("proxy: HTTP server ended", "addr", listener.Addr().String(), "error", err)
	}
}

// discardLogger drops what net/http logs: clients could fill the log with malformed requests.
func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }

// awaitLimits returns the limits of the first plan, if it is known soon, and proven newest where keys are
// revoked. Until then connections wait at the listener: a request that would have to be rejected now is
// served a moment later.
func (s *server) awaitLimits() routingconfig.Limits {
	bounds := s.process.Settings.Bounds
	pause := bounds.Config(firstPlanRatio / firstPlanChecks)
	for range firstPlanChecks {
		if plan := s.currentPlan(); plan != nil && (!s.siteSettings.EnforceRevocation || s.Snapshot().ProofAt > 0) {
			limits := plan.Limits
			if limits.HeaderBytes > 0 && limits.HeaderTimeout > 0 && limits.IdleTimeout > 0 {
				return limits
			}
			break
		}
		if s.isStopping() {
			break
		}
		clock.Sleep(s.process.Ctx, pause)
	}
	return routingconfig.Limits{
		HeaderBytes:   defaultHeaderBytes,
		HeaderTimeout: bounds.Heal(headerTimeoutRatio),
		IdleTimeout:   bounds.Heal(idleConnTimeoutRatio),
	}
}

func (s *server) isStopping() bool {
	select {
	case <-s.process.Draining:
		return true
	case <-s.process.Ctx.Done():
		return true
	default:
		return false
	}
}

// currentPlan returns the newest routing plan; nil while none is known.
func (s *server) currentPlan() *routingconfig.Plan {
	if snapshot := s.Snapshot(); snapshot != nil {
		return snapshot.Plan
	}
	return nil
}

// drain shuts the server down gracefully: readiness checks fail from now on, requests are accepted for
// the lame-duck period and then no more, and those in flight may end within the drain period.
func (s *server) drain(ctx context.Context, front *http.Server) {
	s.draining.Store(true)
	clock.Sleep(ctx, settings.Fraction(s.siteSettings.GraceMs, lameDuckRatio))
	ctx, cancel := context.WithTimeout(ctx, settings.Fraction(s.siteSettings.GraceMs, drainRatio))
	defer cancel()
	if err := front.Shutdown(ctx); err != nil {
		s.process.Log.Warn("proxy: requests aborted at the end of the grace period", "requests", s.inFlight.Load())
		front.Close()
	}
	s.conns.transport.CloseIdleConnections()
}

// planRetryAfterRatio of the configuration bound is the Retry-After of a request that this node can't
// judge before it has a newer plan or proof.
const planRetryAfterRatio = 0.1

func (s *server) planRetryAfter() time.Duration {
	return s.process.Settings.Bounds.Config(planRetryAfterRatio)
}
