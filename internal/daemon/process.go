// Package daemon is the runtime that all programs share: settings, logs, signals, servers with health
// and metrics pages, clients of other processes, goroutines, and shutdown.
package daemon

import (
	"context"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"pebbleloom/internal/settings"
)

// Process is one running program. Its methods may be called from any goroutine.
type Process struct {
	Environment
	Ctx      context.Context // ends when the program stops
	Log      hclog.Logger
	Settings settings.Process
	Ready    atomic.Bool // what the readiness page responds
	Meter    *Meter
	// Draining is closed when a shutdown begins: finish what runs, accept nothing new.
	Draining chan struct{}

	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu                sync.Mutex // guards what follows
	servers           []*http.Server
	settingsListeners []func(settings.Process)
	shutdownHooks     []func(context.Context)
}

// New returns a process in the real environment, without signal handling.
//
// Example: process := daemon.New("runner", processSettings)
func New(program string, processSettings settings.Process) *Process {
	return NewIn(RealEnvironment(processSettings), program, processSettings)
}

// NewIn returns a process in an environment, without signal handling. The option "log" is the log level.
//
// Example: process := daemon.NewIn(environment, "runner", processSettings)
func NewIn(environment Environment, program string, processSettings settings.Process) *Process {
	p := &Process{Environment: environment, Settings: processSettings, Meter: newMeter(), Draining: make(chan struct{})}
	p.Log = hclog.New(&hclog.LoggerOptions{Name: program, JSONFormat: true, Output: os.Stderr,
		Level: hclog.LevelFromString(processSettings.Option("log", "info"))}).With("machine", processSettings.Name)
	p.Ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// OnSettingsChanged registers a callback for settings that change while the program runs.
//
// Example: process.OnSettingsChanged(func(changed settings.Process) { member.SetSeeds(changed.Seeds) })
func (p *Process) OnSettingsChanged(callback func(settings.Process)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settingsListeners = append(p.settingsListeners, callback)
}

// ApplySettings passes changed settings to all registered callbacks. Settings itself stays as it is.
//
// Example: process.ApplySettings(changed)
func (p *Process) ApplySettings(changed settings.Process) {
	p.mu.Lock()
	listeners := p.settingsListeners
	p.mu.Unlock()
	for _, callback := range listeners {
		callback(changed)
	}
}

// OnShutdown registers a hook that runs at the start of a shutdown: once Draining is closed, while
// everything else still works. Its context ends with the grace time.
//
// Example: process.OnShutdown(func(ctx context.Context) { finish(ctx) })
func (p *Process) OnShutdown(hook func(context.Context)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shutdownHooks = append(p.shutdownHooks, hook)
}

// OnStop calls stop once Ctx has ended: of an actor, of a pool of connections.
//
// Example: process.OnStop(actor.Stop)
func (p *Process) OnStop(stop func()) { context.AfterFunc(p.Ctx, stop) }

// Stop drains the process within the grace time: it runs the shutdown hooks, shuts the servers down in
// the order in which they were started, ends Ctx and waits for all goroutines.
//
// Example: process.Stop(3 * time.Second)
func (p *Process) Stop(grace time.Duration) {
	p.Ready.Store(false)
	close(p.Draining)
	p.Log.Info("draining")
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	p.mu.Lock()
	servers, hooks := p.servers, p.shutdownHooks
	p.mu.Unlock()
	runAll(ctx, hooks)
	// The first server is the one for clients.
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			server.Close()
		}
	}
	p.cancel()
	p.goroutines.Wait()
	p.Log.Info("stopped")
}

// runAll runs hooks concurrently and waits for all of them.
func runAll(ctx context.Context, hooks []func(context.Context)) {
	var running sync.WaitGroup
	for _, hook := range hooks {
		running.Go(func() { hook(ctx) })
	}
	running.Wait()
}

// Go runs a function on its own goroutine; Stop waits for it.
//
// Example: process.Go(func() { poll(process.Ctx) })
func (p *Process) Go(run func()) {
	p.goroutines.Add(1)
	go func() { defer p.goroutines.Done(); run() }()
}

// Every runs a function periodically until the program stops. The interval is a millisecond at least.
//
// Example: process.Every(time.Second, sendHeartbeat)
func (p *Process) Every(interval time.Duration, run func()) {
	p.Go(func() {
		ticker := time.NewTicker(max(interval, time.Millisecond))
		defer ticker.Stop()
		for {
			select {
			case <-p.Ctx.Done():
				return
			case <-ticker.C:
				run()
			}
		}
	})
}
