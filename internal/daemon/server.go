package daemon

import (
	"errors"
	"fmt"
	"net/http"

	"pebbleloom/internal/errs"
)

// Limits that each HTTP server applies to the header of a request before it calls the handler.
const (
	headerTimeoutRatio = 0.5 // timeout for reading the header of a request, as a ratio of Bounds.RecoveryMs
	maxHeaderBytes     = 16 << 10
)

// Serve listens at an address and serves the handler there, in addition to the endpoints /healthz, /readyz and /metrics.
// If it can't listen at the address, it returns an error of kind errs.BadInput.
//
// Example: err := process.Serve(process.Settings.Listen, mux)
func (p *Process) Serve(addr string, handler http.Handler) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, `{"ok":true}`) })
	mux.HandleFunc("GET /readyz", p.serveReadiness)
	mux.Handle("GET /metrics", p.Meter.handler())
	mux.Handle("/", handler)
	listener, err := p.Listen(addr)
	if err != nil {
		return errs.WrapAs(err, errs.BadInput, "listen at "+addr)
	}
	server := &http.Server{Handler: mux, ReadHeaderTimeout: p.Settings.Bounds.Recovery(headerTimeoutRatio), MaxHeaderBytes: maxHeaderBytes}
	p.mu.Lock()
	p.servers = append(p.servers, server)
	p.mu.Unlock()
	p.Go(func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			p.Log.Error("HTTP server failed", "addr", addr, "error", err)
		}
	})
	return nil
}

func (p *Process) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !p.Ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	fmt.Fprintf(w, "{\"ready\":%v}\n", p.Ready.Load())
}
