package daemon

import (
	"errors"
	"fmt"
	"net"
	"net/http"

	"pebbleloom/internal/clientlimit"
	"pebbleloom/internal/errs"
)

// Limits that each HTTP server applies to the header of a request before it calls the handler.
const (
	headerTimeoutRatio = 0.5 // timeout for reading the header of a request, as a ratio of Bounds.RecoveryMs
	maxHeaderBytes     = 16 << 10
)

// Limits on the clients of ServeClients.
const (
	bodyTimeoutRatio = 1.0 // longest time in which the body of a request may come, as a ratio of Bounds.RecoveryMs
	idleTimeoutRatio = 5.0 // longest time between two requests of a connection, as a ratio of Bounds.RecoveryMs

	// On a site with a memory limit, the requests of one listener may take a fourth of it and their connections an eighth,
	// and the connections a fourth of the descriptors.
	requestMemoryDivisor    = 4
	connectionMemoryDivisor = 8
	descriptorRatio         = 0.25

	// connectionsPerRequest gives the limit on connections elsewhere, for each of Bounds.MaxConcurrentRequests: clients keep
	// idle connections.
	connectionsPerRequest = 4
)

// Serve listens at an address for other pebbleloom processes and serves the handler there, in addition to the endpoints
// /healthz, /readyz and /metrics. If it can't listen at the address, it returns an error of kind errs.BadInput.
//
// Example: err := process.Serve(process.Settings.Listen, mux)
func (p *Process) Serve(addr string, handler http.Handler) error {
	listener, err := p.listen(addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: p.withEndpoints(handler), ReadHeaderTimeout: p.Settings.Bounds.Recovery(headerTimeoutRatio), MaxHeaderBytes: maxHeaderBytes}
	p.startServer(server, listener)
	return nil
}

// ServeClients is like Serve for an address that clients reach which pebbleloom doesn't control: it limits their connections,
// the memory of their requests, and the time that these take. The name of the listener is a label of its metrics; each name
// may be used once.
//
// Example: err := process.ServeClients("clients", process.Settings.Public, api)
func (p *Process) ServeClients(name, addr string, handler http.Handler) error {
	listener, err := p.listen(addr)
	if err != nil {
		return err
	}
	limited := p.limitClients(name, listener)
	server := &http.Server{Handler: clientlimit.TrackBodies(p.withEndpoints(handler))}
	limited.Attach(server)
	p.startServer(server, limited)
	return nil
}

// limitClients returns a listener that limits the clients of another one by the settings of the process.
func (p *Process) limitClients(name string, listener net.Listener) *clientlimit.Listener {
	bounds := p.Settings.Bounds
	connections := bounds.MaxConcurrentRequests * connectionsPerRequest
	memory := clientlimit.BudgetFor(bounds.MaxConcurrentRequests, int64(bounds.MaxBodyKB)<<10)
	if site := p.Settings.Site; site != nil {
		connections = clientlimit.MaxConnections(site.MemoryLimitBytes()/connectionMemoryDivisor, site.Descriptors(descriptorRatio))
		memory = site.MemoryLimitBytes() / requestMemoryDivisor
	}
	limits := clientlimit.HeaderLimits{Bytes: maxHeaderBytes, Timeout: bounds.Recovery(headerTimeoutRatio), IdleTimeout: bounds.Recovery(idleTimeoutRatio)}
	budget := clientlimit.NewBudget(p.Clock, memory)
	limited := clientlimit.NewListener(listener, clientlimit.Config{
		Clock:          p.Clock,
		MaxConnections: connections,
		Header:         func() clientlimit.HeaderLimits { return limits },
		Budget:         budget,
		BodyTimeout:    bounds.Recovery(bodyTimeoutRatio),
	})
	p.Meter.Clients(name, limited, budget)
	return limited
}

func (p *Process) listen(addr string) (net.Listener, error) {
	listener, err := p.Listen(addr)
	return listener, errs.WrapAs(err, errs.BadInput, "listen at "+addr)
}

// withEndpoints adds the endpoints that every server has to a handler.
func (p *Process) withEndpoints(handler http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, `{"ok":true}`) })
	mux.HandleFunc("GET /readyz", p.serveReadiness)
	mux.Handle("GET /metrics", p.Meter.handler())
	mux.Handle("/", handler)
	return mux
}

// startServer serves a listener until the process stops.
func (p *Process) startServer(server *http.Server, listener net.Listener) {
	p.mu.Lock()
	p.servers = append(p.servers, server)
	p.mu.Unlock()
	p.Go(func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			p.Log.Error("HTTP server failed", "addr", listener.Addr().String(), "error", err)
		}
	})
}

func (p *Process) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !p.Ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fmt.Fprintf(w, "{\"ready\":%v}\n", p.Ready.Load())
}
