// Package daemon is the process runtime that all programs share: start, logs, listening, health,
// stopping.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// Process is one running program.
type Process struct {
	Environment
	Ctx      context.Context // ends when the program stops
	Log      hclog.Logger
	Settings settings.Process
	Ready    atomic.Bool
	Meter    *Meter
	// Draining is closed on SIGTERM: finish what runs, accept nothing new.
	Draining          chan struct{}
	cancel            context.CancelFunc
	wg                sync.WaitGroup
	servers           []*http.Server
	settingsListeners []func(settings.Process)
	shutdownHooks     []func(context.Context)
	mu                sync.Mutex
}

// OnSettingsChanged registers a callback for settings that change while the program runs.
//
// Example: process.OnSettingsChanged(func(p settings.Process) { member.SetSeeds(p.Seeds) })
func (p *Process) OnSettingsChanged(f func(settings.Process)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settingsListeners = append(p.settingsListeners, f)
}

// OnShutdown registers a hook that runs before the program stops: once Draining is closed, while
// everything else still works; its context ends with the grace time.
//
// Example: process.OnShutdown(func(ctx context.Context) { finish(ctx) })
func (p *Process) OnShutdown(f func(context.Context)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shutdownHooks = append(p.shutdownHooks, f)
}

// ApplySettings passes changed settings to all registered callbacks.
//
// Example: process.ApplySettings(place)
func (p *Process) ApplySettings(changed settings.Process) {
	p.mu.Lock()
	fs := p.settingsListeners
	p.mu.Unlock()
	for _, f := range fs {
		f(changed)
	}
}

// Main reads the settings, starts the program and waits for its end. Faults in the settings are listed
// at once, and the exit code is 2.
//
// Example: daemon.Main("runner", "the agent on a machine", settings.Required{Seeds: true}, nodeagent.Start)
func Main(prog, about string, need settings.Required, start func(*Process) error) {
	p, err := settings.Read(prog, about, os.Args[1:], need)
	if err != nil {
		fmt.Fprintln(os.Stderr, prog+": "+errs.Text(err))
		os.Exit(errs.BadInput.ExitCode)
	}
	l := New(prog, p)
	sig := make(chan os.Signal, 2)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT)
	if err := start(l); err != nil {
		l.Log.Error("start failed", "error", errs.Text(err))
		os.Exit(errs.KindOf(err).ExitCode)
	}
	<-sig
	l.Stop(p.Bounds.Leave(1))
}

// New makes a process without signal handling in the real environment.
//
// Example: process := daemon.New("runner", place)
func New(prog string, p settings.Process) *Process { return NewIn(RealEnvironment(p), prog, p) }

// NewIn makes a process without signal handling in an environment.
//
// Example: process := daemon.NewIn(environment, "runner", place)
func NewIn(w Environment, prog string, p settings.Process) *Process {
	l := &Process{Environment: w, Settings: p, Meter: newMeter(), Draining: make(chan struct{})}
	l.Log = hclog.New(&hclog.LoggerOptions{Name: prog, JSONFormat: true, Output: os.Stderr, Level: hclog.LevelFromString(p.Option("log", "info"))}).With("machine", p.Name)
	l.Ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// Stop drains, then ends.
//
// Example: process.Stop(3 * time.Second)
func (p *Process) Stop(grace time.Duration) {
	p.Ready.Store(false)
	close(p.Draining)
	p.Log.Info("draining")
	ctx, c := context.WithTimeout(context.Background(), grace)
	defer c()
	p.mu.Lock()
	ss, fs := p.servers, p.shutdownHooks
	p.mu.Unlock()
	var all sync.WaitGroup
	for _, f := range fs {
		all.Go(func() { f(ctx) })
	}
	all.Wait()
	// The first server is the one towards clients: it stops first.
	for _, s := range ss {
		if err := s.Shutdown(ctx); err != nil {
			s.Close()
		}
	}
	p.cancel()
	p.wg.Wait()
	p.Log.Info("stopped")
}

// Go runs a function on its own goroutine; Stop waits for it.
//
// Example: process.Go(func() { poll(process.Ctx) })
func (p *Process) Go(f func()) {
	p.wg.Add(1)
	go func() { defer p.wg.Done(); f() }()
}

// Every runs a function periodically until the program stops.
//
// Example: process.Every(time.Second, sendHeartbeat)
func (p *Process) Every(d time.Duration, f func()) {
	p.Go(func() {
		t := time.NewTicker(max(d, time.Millisecond))
		defer t.Stop()
		for {
			select {
			case <-p.Ctx.Done():
				return
			case <-t.C:
				f()
			}
		}
	})
}

// Serve listens at an address and serves the handler, with health pages beside it.
//
// Example: err := process.Serve(place.Listen, mux)
func (p *Process) Serve(addr string, h http.Handler) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, `{"ok":true}`) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !p.Ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		fmt.Fprintf(w, "{\"ready\":%v}\n", p.Ready.Load())
	})
	mux.Handle("GET /metrics", p.Meter.handler())
	mux.Handle("/", h)
	ln, err := p.Listen(addr)
	if err != nil {
		return errs.WrapAs(err, errs.BadInput, "listen at "+addr)
	}
	s := &http.Server{Handler: mux, ReadHeaderTimeout: p.Settings.Bounds.Heal(0.5), MaxHeaderBytes: 16 << 10}
	p.mu.Lock()
	p.servers = append(p.servers, s)
	p.mu.Unlock()
	p.Go(func() {
		if err := s.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			p.Log.Error("server ended", "addr", addr, "error", err)
		}
	})
	return nil
}

// Clients make the twirp clients of other processes on one shared pool of connections.
type Clients struct {
	http *http.Client
}

// NewClients makes the pool.
//
// Example: clients := daemon.NewClients(process)
func NewClients(l *Process) *Clients {
	dial := l.Dial
	if l.Settings.Site != nil {
		dial = hedgedDial(dial, l.Settings.Bounds)
	}
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8, MaxConnsPerHost: 64, IdleConnTimeout: time.Minute, DialContext: dial}}
	l.OnStop(h.CloseIdleConnections)
	return &Clients{h}
}

// ControlNode is the client of a control node.
//
// Example: clients.ControlNode("127.10.1.1:7000").Read(ctx, request)
func (c *Clients) ControlNode(addr string) wire.ControlNode {
	return wire.NewControlNodeClient("http://"+addr, c.http)
}

// Membership is the client of a node's cluster membership.
//
// Example: clients.Membership(addr).Hear(ctx, heartbeat)
func (c *Clients) Membership(addr string) wire.Membership {
	return wire.NewMembershipClient("http://"+addr, c.http)
}

// PromptIndex is the client of an index node.
//
// Example: clients.PromptIndex(addr).Seek(ctx, request)
func (c *Clients) PromptIndex(addr string) wire.PromptIndex {
	return wire.NewPromptIndexClient("http://"+addr, c.http)
}

// NodeAgent is the client of a node agent; a proxy's stands on the same machine.
//
// Example: clients.NodeAgent("127.0.0.1:7001").Feed(ctx, request)
func (c *Clients) NodeAgent(addr string) wire.NodeAgent {
	return wire.NewNodeAgentClient("http://"+addr, c.http)
}
