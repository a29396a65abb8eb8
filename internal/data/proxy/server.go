// Package proxy is the reverse proxy of an edge node: it accepts HTTP requests from clients, forwards
// each to a worker of the service that its route selects, and relays the worker's response. Request bodies
// and paths are forwarded unchanged.
//
// A request passes through server.ServeHTTP: accept (admission, body), forward (select a worker, make an
// attempt, relay the response, retry on another worker) and, if no attempt completes, respondWithFailure.
//
// Two invariants hold throughout. First, a request that isn't idempotent is retried only with proof that no
// worker has executed it, and a client is answered "not executed" only with that proof. Second, bytes that a
// worker sent for another request, or that no request asked for, are never relayed as a response.
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

	"pebbleloom/internal/clientlimit"
	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/retrybudget"
	"pebbleloom/internal/data/selection"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
)

// Config holds the dependencies of the proxy that do not come from the process settings. All fields are required.
type Config struct {
	Headers   Headers
	ReadyPath string                 // URL path of the readiness check
	Snapshot  func() *fleet.Snapshot // function that returns the newest routing plan and workers; nil before the first update
	Selector  selection.Selector
}

// server accepts requests from clients and forwards them to workers.
type server struct {
	Config
	process           *daemon.Process
	siteSettings      *settings.Site
	conns             *connPool
	retryBudgets      *retrybudget.ByService
	misdirectedBudget *retrybudget.Budget // budget of retries after a 421 (Misdirected Request); shared by all services
	memory            *clientlimit.Budget // memory of the requests in flight
	inFlight          atomic.Int64        // number of requests in flight
	retries           atomic.Int64        // number of attempts sent to workers beyond the first attempt of each request
	resumedStreams    atomic.Int64        // number of event streams that were continued by another worker
	draining          atomic.Bool         // whether the shutdown has begun; never reset
	wasReady          atomic.Bool         // whether a worker of a service with a route was seen since the start; never reset
	bufferPool        sync.Pool           // buffers for relaying response bodies: *[]byte with a length of relayBufferBytes
}

// Parts of the process's memory limit that its clients may take. The rest is for the routing plan, the list of workers and
// the headroom of the garbage collector.
const (
	requestMemoryDivisor    = 3 // requests in flight together may take a third
	connectionMemoryDivisor = 4 // connections of clients together, without their requests, may take a fourth
)

const (
	// requestOverhead is the assumed memory use of a request without its header and body, in bytes.
	requestOverhead  = 32 << 10
	relayBufferBytes = 8 << 10
)

// Phases of graceful shutdown, as fractions of the platform's grace period (settings.Site.GraceMs). Their sum
// must stay below 1, so that the process exits before the platform kills it.
const (
	// lameDuckRatio is the fraction of the grace period during which new requests are still accepted after the shutdown
	// signal. It gives the platform's load balancer time to notice the failing readiness check.
	lameDuckRatio = 0.3
	// drainRatio is the fraction of the grace period during which requests in flight may continue once new requests
	// are no longer accepted.
	drainRatio = 0.55
)

// firstPlanRatio is the fraction of Bounds.ConfigMs (the time within which a new configuration takes effect) for
// which a starting node waits for its first routing plan before it accepts clients; firstPlanChecks is the number
// of checks in that time. A node that can't reach the control nodes shouldn't wait longer, but answer requests with
// an error.
const (
	firstPlanRatio  = 0.25
	firstPlanChecks = 25
)

// A retry after a 421 response (the worker's address now belongs to another worker) also needs a token from a
// second retry budget, which all services share. Such attempts load the service that now has the address, and that
// service's own retry budget doesn't limit them. The constants are the ratios of this budget's settings (retries per
// request, and allowance beside them) to those of a service's retry budget.
const (
	misdirectedRatio          = 0.1
	misdirectedAllowanceRatio = 0.5
)

// Start listens for clients and for readiness checks, and serves until the process stops. It fails with
// errs.BadInput if it can't listen on a configured address.
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
		memory:            clientlimit.NewBudget(process.Clock, site.MemoryLimitBytes()/requestMemoryDivisor),
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

// start opens the listeners for clients and for readiness checks, and serves in the background until the process
// stops.
func (s *server) start() error {
	clientListener, err := s.process.Listen(s.process.Settings.Public)
	if err != nil {
		return errs.WrapAs(err, errs.BadInput, "listen for clients on "+s.process.Settings.Public)
	}
	readinessListener, err := s.process.Listen(s.siteSettings.ReadinessListen)
	if err != nil {
		clientListener.Close()
		return errs.WrapAs(err, errs.BadInput, "listen for readiness checks on "+s.siteSettings.ReadinessListen)
	}
	s.serveReadinessOn(readinessListener)
	s.serveClientsOn(clientListener)
	return nil
}

// serveReadinessOn answers readiness checks on a listener until the process stops, including while it drains.
func (s *server) serveReadinessOn(listener net.Listener) {
	budget := clientlimit.NewBudget(s.process.Clock, readinessMemoryBytes)
	limited := clientlimit.NewListener(listener, clientlimit.Config{
		Clock:          s.process.Clock,
		MaxConnections: readinessConnections,
		Header:         s.headerLimits,
		Budget:         budget,
		BodyTimeout:    s.process.Settings.Bounds.Recovery(headerTimeoutRatio),
	})
	s.process.Meter.Clients("readiness", limited, budget)
	readinessServer := &http.Server{Handler: clientlimit.TrackBodies(http.HandlerFunc(s.serveReadiness)), ErrorLog: discardLogger()}
	limited.Attach(readinessServer)
	s.process.Go(func() { s.serveHTTP(readinessServer, limited) })
	s.process.OnStop(func() { readinessServer.Close() })
}

// serveClientsOn accepts clients once the first routing plan is known (see awaitFirstPlan),
// and drains on shutdown.
func (s *server) serveClientsOn(listener net.Listener) {
	limited := clientlimit.NewListener(listener, clientlimit.Config{
		Clock:          s.process.Clock,
		MaxConnections: clientlimit.MaxConnections(s.siteSettings.MemoryLimitBytes()/connectionMemoryDivisor, s.siteSettings.Descriptors(clientDescriptorRatio)),
		Header:         s.headerLimits,
		Budget:         s.memory,
	})
	s.process.Meter.Clients("clients", limited, s.memory)
	clientServer := &http.Server{Handler: s, ErrorLog: discardLogger()}
	limited.Attach(clientServer)
	started := make(chan struct{})
	s.process.Go(func() {
		s.awaitFirstPlan()
		close(started)
		s.serveHTTP(clientServer, limited)
	})
	s.process.OnShutdown(func(ctx context.Context) {
		<-started
		s.drain(ctx, clientServer)
	})
}

func (s *server) serveHTTP(httpServer *http.Server, listener net.Listener) {
	if err := httpServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		s.process.Log.Error("proxy: HTTP server stopped unexpectedly", "addr", listener.Addr().String(), "error", err)
	}
}

// discardLogger returns a logger that drops net/http's messages: clients could flood the log by sending
// malformed requests.
func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }

// awaitFirstPlan waits for the first routing plan, for at most firstPlanRatio of Bounds.ConfigMs (longest time that a
// superseded configuration stays in use). If key revocation is enforced, the control nodes must also have attested that
// the plan is the newest. In the meantime client connections wait in the listen queue, so that early requests are delayed
// instead of rejected.
func (s *server) awaitFirstPlan() {
	pause := s.process.Settings.Bounds.Config(firstPlanRatio / firstPlanChecks)
	for range firstPlanChecks {
		if s.currentPlan() != nil && (!s.siteSettings.EnforceRevocation || s.Snapshot().ProofAt > 0) || s.isStopping() {
			return
		}
		clock.Sleep(s.process.Ctx, pause)
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

// currentPlan returns the newest routing plan, or nil before the first update.
func (s *server) currentPlan() *routingconfig.Plan {
	if snapshot := s.Snapshot(); snapshot != nil {
		return snapshot.Plan
	}
	return nil
}

// drain shuts the server down gracefully: readiness checks fail at once, new requests are accepted for lameDuckRatio
// of the grace period, and requests in flight may then finish within drainRatio of it.
func (s *server) drain(ctx context.Context, clientServer *http.Server) {
	s.draining.Store(true)
	clock.Sleep(ctx, settings.Fraction(s.siteSettings.GraceMs, lameDuckRatio))
	ctx, cancel := context.WithTimeout(ctx, settings.Fraction(s.siteSettings.GraceMs, drainRatio))
	defer cancel()
	if err := clientServer.Shutdown(ctx); err != nil {
		s.process.Log.Warn("proxy: aborting requests still in flight at the end of the drain period", "requests", s.inFlight.Load())
		clientServer.Close()
	}
	s.conns.transport.CloseIdleConnections()
}

// planRetryAfterRatio is the fraction of Bounds.ConfigMs (the time within which a new configuration takes effect)
// that is sent as Retry-After to a client whose request this node can't route or authenticate until it has a newer
// routing plan, or a newer proof that its plan is the newest.
const planRetryAfterRatio = 0.1

func (s *server) planRetryAfter() time.Duration {
	return s.process.Settings.Bounds.Config(planRetryAfterRatio)
}
