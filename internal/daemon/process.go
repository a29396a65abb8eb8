// Package daemon is the runtime that all server programs share: settings, logging, signal handling, HTTP servers with
// health and metrics endpoints, clients for other processes, goroutines and graceful shutdown.
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

// Process is a running program. Its methods are safe for concurrent use.
type Process struct {
	Environment
	Ctx      context.Context // context of the program, canceled when it stops
	Log      hclog.Logger
	Settings settings.Process
	Ready    atomic.Bool // whether the program reports itself as ready at /readyz
	Meter    *Meter
	// Draining is closed when a shutdown of the process begins. From then on, servers complete the requests in progress
	// and reject new ones.
	Draining chan struct{}

	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu                sync.Mutex // guards servers, settingsListeners and shutdownHooks
	servers           []*http.Server
	settingsListeners []func(settings.Process)
	shutdownHooks     []func(context.Context)
}

// New returns a process that uses the network, disks and clocks of its machine. It does not handle signals; Main and Run
// do.
//
// Example: process := daemon.New("runner", processSettings)
func New(program string, processSettings settings.Process) *Process {
	return NewIn(RealEnvironment(processSettings), program, processSettings)
}

// NewIn returns a process that uses the network, disks and clocks of an environment. It does not handle signals. The
// option "log" of the settings sets the log level.
//
// Example: process := daemon.NewIn(environment, "runner", processSettings)
func NewIn(environment Environment, program string, processSettings settings.Process) *Process {
	p := &Process{Environment: environment, Settings: processSettings, Meter: newMeter(), Draining: make(chan struct{})}
	p.Log = hclog.New(&hclog.LoggerOptions{Name: program, JSONFormat: true, Output: os.Stderr,
		Level: hclog.LevelFromString(processSettings.Option("log", "info"))}).With("machine", processSettings.Name)
	p.Ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// OnSettingsChanged registers a callback that receives the new settings when they change at run time.
//
// Example: process.OnSettingsChanged(func(changed settings.Process) { member.SetSeeds(changed.Seeds) })
func (p *Process) OnSettingsChanged(callback func(settings.Process)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settingsListeners = append(p.settingsListeners, callback)
}

// ApplySettings passes changed settings to all registered callbacks. Process.Settings keeps the settings that the
// process was started with.
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

// OnShutdown registers a hook that runs at the start of a shutdown, after Draining has been closed and while servers
// and goroutines still run. The context that the hook receives ends when the grace period of the shutdown has passed.
//
// Example: process.OnShutdown(func(ctx context.Context) { finish(ctx) })
func (p *Process) OnShutdown(hook func(context.Context)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shutdownHooks = append(p.shutdownHooks, hook)
}

// OnStop registers a function that is called when Process.Ctx is canceled, to release a resource like a connection pool.
//
// Example: process.OnStop(actor.Stop)
func (p *Process) OnStop(stop func()) { context.AfterFunc(p.Ctx, stop) }

// Stop shuts the process down within the grace period: it runs the shutdown hooks, shuts the servers down in the order
// in which they were started, cancels Ctx and waits for all goroutines.
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
	// The server for clients was started first and is shut down first, while the servers for other processes still run.
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			server.Close()
		}
	}
	p.cancel()
	p.goroutines.Wait()
	p.Log.Info("stopped")
}

// runAll runs shutdown hooks concurrently and waits until all of them have returned.
func runAll(ctx context.Context, hooks []func(context.Context)) {
	var running sync.WaitGroup
	for _, hook := range hooks {
		running.Go(func() { hook(ctx) })
	}
	running.Wait()
}

// Go runs a function in a new goroutine that Stop waits for.
//
// Example: process.Go(func() { poll(process.Ctx) })
func (p *Process) Go(run func()) {
	p.goroutines.Add(1)
	go func() { defer p.goroutines.Done(); run() }()
}

// Every runs a function periodically until Process.Ctx is canceled. An interval below 1 ms is raised to 1 ms.
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
