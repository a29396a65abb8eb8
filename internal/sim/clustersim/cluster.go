// Package clustersim simulates a complete site in one test process, in virtual time. The programs are the real ones;
// network, clocks, disks, journals and random numbers are replaced through the daemon.Environment that they get at
// their start. The test bed's scenarios and checks are used unchanged.
//
// A seed determines the site, its traffic, the scenario's times, the clocks with their drift, and the behaviour of the
// disks. It doesn't determine the order of goroutines that are ready at the same instant, which the Go scheduler
// chooses: runs of one seed are similar, not identical.
package clustersim

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"pebbleloom/internal/control/controlstate"
	"pebbleloom/internal/control/placementcontroller"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/callerproxy"
	"pebbleloom/internal/data/nodeagent"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/rendezvous"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/sim/appservicesim"
	"pebbleloom/internal/sim/loadgen"
	"pebbleloom/internal/sim/platformsim"
	"pebbleloom/internal/sim/storesim"
	"pebbleloom/internal/sim/testbed"
	"pebbleloom/internal/sim/workersim"
)

// programStarts are the entry points of the programs.
var programStarts = map[string]func(*daemon.Process) error{
	programs.ControlNode:         controlstate.Start,
	programs.PlacementController: placementcontroller.Start,
	programs.NodeAgent:           nodeagent.Start,
	programs.PromptIndex:         promptindex.Start,
	programs.Proxy:               callerproxy.Start,
	programs.WorkerSim:           workersim.Start,
	programs.AppServiceSim:       appservicesim.Start,
	programs.StoreSim:            storesim.Start,
	programs.PlatformSim:         platformsim.Start,
}

// Cluster is a testbed.Environment in virtual time.
type Cluster struct {
	*testbed.Links
	seed            uint64
	begin           time.Time
	dialTimeout     time.Duration
	wg              sync.WaitGroup
	mu              sync.Mutex
	processes       map[string]*proc
	starts          int
	machines        map[string]*machine
	hosts           map[netip.Addr]string // machine by address
	listeners       map[string]*listener
	files           map[string]*file
	outside         *proc               // clients and operators
	tamperWithReads func([]byte) []byte // planted fault: changes what clients and operators read; nil: none
}

// outsideMachine is the machine of clients and operators; link rules don't apply to it. The name seeds its clock.
const outsideMachine = "people"

// pendingTimersTimeout is how long abandoned timers may still be pending after all processes have ended, in virtual time.
const pendingTimersTimeout = time.Minute

// One-way delays of the simulated network.
const (
	loopbackDelay  = 20 * time.Microsecond
	sameZoneDelay  = 200 * time.Microsecond
	crossZoneDelay = time.Millisecond
)

// file is a journal, which outlives the processes that write it.
type file struct {
	mu   sync.Mutex
	data []byte
}

// New returns a cluster for a site.
//
// Example: cluster := clustersim.New(7, site); defer cluster.Stop()
func New(seed uint64, site *testbed.Site) *Cluster {
	cluster := &Cluster{
		Links:       testbed.NewLinks(),
		seed:        seed,
		begin:       time.Now(),
		dialTimeout: settings.DefaultBounds().Leave(1.0 / 3),
		processes:   map[string]*proc{},
		machines:    map[string]*machine{},
		hosts:       map[netip.Addr]string{},
		listeners:   map[string]*listener{},
		files:       map[string]*file{},
	}
	cluster.outside = newProc(cluster, testbed.Process{}, cluster.machine(outsideMachine), seed)
	for _, process := range site.Processes {
		cluster.machineOf(process)
	}
	return cluster
}

// machine returns the machine of a name, which it creates at first use. Its clocks depend on the seed and the name.
// The cluster's lock is held, except while it is being made.
func (c *Cluster) machine(name string) *machine {
	m := c.machines[name]
	if m == nil {
		random := rand.New(rand.NewPCG(c.seed, rendezvous.Hash(name)))
		m = &machine{name: name, begin: c.begin, bootOffset: time.Duration(1+random.Int64N(3600*100)) * time.Second, drift: (random.Float64() - 0.5) / 5000,
			disk: map[string][]byte{}, lastWriter: map[string]*proc{}}
		c.machines[name] = m
	}
	return m
}

// machineOf returns a process's machine and records the machine's addresses.
func (c *Cluster) machineOf(p testbed.Process) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, text := range []string{p.Settings.Listen, p.Settings.Public, p.Settings.Operator} {
		if addr, err := netip.ParseAddrPort(text); err == nil {
			c.hosts[addr.Addr()] = p.Settings.Name
		}
	}
	return c.machine(p.Settings.Name)
}

// linkRule returns the rule between two machines, and a channel that is closed when rules change.
func (c *Cluster) linkRule(from, to string) (testbed.LinkRule, <-chan struct{}) {
	rule, changed := c.RuleBetween(from, to)
	if from == to || from == outsideMachine || to == outsideMachine {
		rule = testbed.LinkRule{} // loopback, and connections from outside the site
	}
	return rule, changed
}

func (c *Cluster) machineAt(a netip.Addr) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts[a]
}

// delay returns the one-way delay from a machine to the machine named to, which has the address addr.
func (c *Cluster) delay(m *machine, to, addr string) time.Duration {
	if m.name == to {
		return loopbackDelay
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, n := range c.hosts {
		if n == m.name && strings.Split(a.String(), ".")[2] == strings.Split(addr, ".")[2] {
			return sameZoneDelay
		}
	}
	return crossZoneDelay
}

// listen registers a listener; it reports false if the address is in use.
func (c *Cluster) listen(addr string, l *listener) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listeners[addr] != nil {
		return false
	}
	c.listeners[addr] = l
	return true
}

func (c *Cluster) unlisten(l *listener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listeners[l.addr.String()] == l {
		delete(c.listeners, l.addr.String())
	}
}

func (c *Cluster) listenerAt(addr string) *listener {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listeners[addr]
}

func (c *Cluster) file(name string) *file {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.files[name] == nil {
		c.files[name] = &file{}
	}
	return c.files[name]
}

// Start starts a new incarnation of a process.
//
// Example: err := cluster.Start(process)
func (c *Cluster) Start(process testbed.Process) error {
	machine := c.machineOf(process)
	c.mu.Lock()
	if running := c.processes[process.Name]; running != nil && !isClosed(running.dead) {
		c.mu.Unlock()
		return errs.New(errs.Internal, "%s runs already", process.Name)
	}
	c.starts++
	proc := newProc(c, process, machine, c.seed^rendezvous.Hash(fmt.Sprint(process.Name, c.starts)))
	c.processes[process.Name] = proc
	c.mu.Unlock()
	configuration := process.Settings
	level := "off"
	if v := os.Getenv("TABLE_LOG"); v != "" {
		level = v
	}
	configuration.Options = append([]string{"log=" + level}, configuration.Options...)
	proc.daemon = daemon.NewIn(proc.environment(), process.Program, configuration)
	c.wg.Go(func() {
		defer close(proc.started)
		if err := programStarts[process.Program](proc.daemon); err != nil {
			proc.daemon.Log.Error("start failed", "error", errs.Text(err))
		}
	})
	return nil
}

// Signal freezes, thaws, stops or kills a process, as the signal would.
//
// Example: err := cluster.Signal("runner-edge-1", syscall.SIGKILL)
func (c *Cluster) Signal(name string, s syscall.Signal) error {
	c.mu.Lock()
	p := c.processes[name]
	c.mu.Unlock()
	if p == nil {
		return errs.New(errs.NotFound, "process %q", name)
	}
	if isClosed(p.dead) {
		return errs.New(errs.Internal, "%s has ended", name)
	}
	switch s {
	case syscall.SIGSTOP, syscall.SIGCONT:
		p.freeze(s == syscall.SIGSTOP)
	case syscall.SIGTERM:
		c.stopGracefully(p, p.process.Settings.Bounds.Leave(1))
	case syscall.SIGKILL:
		p.kill()
		c.stopGracefully(p, 0)
	}
	return nil
}

// stopGracefully stops a process within grace, in the background, and kills it once its goroutines have ended.
func (c *Cluster) stopGracefully(p *proc, grace time.Duration) {
	p.stopOnce.Do(func() {
		c.wg.Go(func() {
			<-p.started
			p.daemon.Stop(grace)
			p.kill()
		})
	})
}

// WriteSettings records a process's addresses; Start gets the settings themselves.
//
// Example: err := cluster.WriteSettings(process)
func (c *Cluster) WriteSettings(p testbed.Process) error { c.machineOf(p); return nil }

// WipeDisk removes a process's data from its machine's disk.
//
// Example: err := cluster.WipeDisk(process)
func (c *Cluster) WipeDisk(p testbed.Process) error {
	c.mu.Lock()
	m := c.machine(p.Settings.Name)
	c.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	for k := range m.disk {
		if strings.HasPrefix(k, p.Settings.Data+"/") {
			delete(m.disk, k)
		}
	}
	return nil
}

// SetFault sets or ends a fault of the disk or the wall clock of a process's machine.
//
// Example: err := cluster.SetFault(process, "disk", "stall 800")
func (c *Cluster) SetFault(p testbed.Process, what, value string) error {
	c.mu.Lock()
	m := c.machine(p.Settings.Name)
	c.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	if what == "disk" {
		m.diskFault = value
		return nil
	}
	ms, err := strconv.Atoi("0" + strings.TrimPrefix(value, "-"))
	if m.wallClockJump = time.Duration(ms) * time.Millisecond; strings.HasPrefix(value, "-") {
		m.wallClockJump = -m.wallClockJump
	}
	return errs.WrapAs(err, errs.BadInput, "wall")
}

// Journal reads a worker's journal of all its incarnations.
//
// Example: runs, err := cluster.Journal(process)
func (c *Cluster) Journal(p testbed.Process) ([]workersim.Run, error) {
	f := c.file(p.Settings.Option("journal", ""))
	f.mu.Lock()
	defer f.mu.Unlock()
	return loadgen.ReadJournal(bytes.NewReader(f.data))
}

// SetLink sets the rule of the link from one machine to another.
//
// Example: err := cluster.SetLink("edge-1", "core-2", testbed.LinkRule{Cut: true})
func (c *Cluster) SetLink(from, to string, r testbed.LinkRule) error { c.Set(from, to, r); return nil }

// Dial connects as clients and operators outside the site do.
//
// Example: conn, err := cluster.Dial(ctx, "tcp", "127.10.1.11:8080")
func (c *Cluster) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return c.outside.dial(ctx, network, addr)
}

// Stop kills every process and waits until all goroutines have ended.
//
// Example: defer cluster.Stop()
func (c *Cluster) Stop() {
	c.mu.Lock()
	var all []*proc
	for _, p := range c.processes {
		all = append(all, p)
	}
	c.mu.Unlock()
	for _, p := range all {
		p.kill()
		c.stopGracefully(p, 0)
	}
	c.wg.Wait()
	c.outside.kill()
	<-time.After(pendingTimersTimeout)
}
