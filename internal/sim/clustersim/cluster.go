// Package clustersim simulates a complete site in one test process, in virtual time. It runs the code of the real
// programs; the network, clocks, disks, journals and random numbers are replaced through the daemon.Environment that
// each program gets at its start. The test bed's scenarios and checks are used unchanged.
//
// The seed of a run determines the site, its traffic, the times of the scenario's steps, the machines' clocks and
// their drift, and the latency of disk writes. It doesn't determine the order in which the Go scheduler runs
// goroutines that are ready at the same instant, so two runs with the same seed are similar but not identical.
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

// programStarts maps the name of each program of a site to its start function.
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

// Cluster runs the processes of a site in virtual time. It implements testbed.Environment.
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
	machineNames    map[netip.Addr]string // machine name by IP address
	listeners       map[string]*listener
	files           map[string]*file
	outsideProcess  *proc               // stands for the clients and operators outside the site
	tamperWithReads func([]byte) []byte // injected fault: rewrites bytes that clients and operators receive; nil: none
}

// outsideMachine is the name of the machine of clients and operators. Link rules don't apply to its connections. The
// name must not change: the machine's clock is seeded with it.
const outsideMachine = "people"

// pendingTimersTimeout is the virtual time that Stop waits after all processes have ended, so that timers that nobody
// waits for have expired.
const pendingTimersTimeout = time.Minute

// One-way delays of the simulated network: within a machine, and between machines of the same or of different zones.
const (
	loopbackDelay  = 20 * time.Microsecond
	sameZoneDelay  = 200 * time.Microsecond
	crossZoneDelay = time.Millisecond
)

// file is the content of a worker's journal. It is kept when the process that writes it ends.
type file struct {
	mu   sync.Mutex
	data []byte
}

// New returns a cluster with the machines of a site, without running processes.
//
// Example: cluster := clustersim.New(7, site); defer cluster.Stop()
func New(seed uint64, site *testbed.Site) *Cluster {
	cluster := &Cluster{
		Links:        testbed.NewLinks(),
		seed:         seed,
		begin:        time.Now(),
		dialTimeout:  settings.DefaultBounds().Leave(1.0 / 3),
		processes:    map[string]*proc{},
		machines:     map[string]*machine{},
		machineNames: map[netip.Addr]string{},
		listeners:    map[string]*listener{},
		files:        map[string]*file{},
	}
	cluster.outsideProcess = newProc(cluster, testbed.Process{}, cluster.machine(outsideMachine), seed)
	for _, process := range site.Processes {
		cluster.machineOf(process)
	}
	return cluster
}

// machine returns the machine with the given name and creates it at the first call. Its clocks depend on the cluster's
// seed and the name. The caller holds c.mu, except in New.
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

// machineOf returns the machine that a process runs on, and records the process's listen addresses as the machine's.
func (c *Cluster) machineOf(p testbed.Process) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, text := range []string{p.Settings.Listen, p.Settings.Public, p.Settings.Operator} {
		if addr, err := netip.ParseAddrPort(text); err == nil {
			c.machineNames[addr.Addr()] = p.Settings.Name
		}
	}
	return c.machine(p.Settings.Name)
}

// linkRule returns the fault rule of the link between two machines, and a channel that is closed when any link rule
// changes.
func (c *Cluster) linkRule(from, to string) (testbed.LinkRule, <-chan struct{}) {
	rule, changed := c.RuleBetween(from, to)
	if from == to || from == outsideMachine || to == outsideMachine {
		rule = testbed.LinkRule{} // no faults on loopback or on connections from outside the site
	}
	return rule, changed
}

func (c *Cluster) machineAt(a netip.Addr) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machineNames[a]
}

// delay returns the one-way network delay from machine m to the machine named to, whose address is addr.
func (c *Cluster) delay(m *machine, to, addr string) time.Duration {
	if m.name == to {
		return loopbackDelay
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, n := range c.machineNames {
		if n == m.name && strings.Split(a.String(), ".")[2] == strings.Split(addr, ".")[2] {
			return sameZoneDelay
		}
	}
	return crossZoneDelay
}

// listen registers a listener for an address. It returns false if the address is in use.
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

// Start starts a process. It fails if an earlier incarnation of the process is still running.
//
// Example: err := cluster.Start(process)
func (c *Cluster) Start(process testbed.Process) error {
	machine := c.machineOf(process)
	c.mu.Lock()
	if running := c.processes[process.Name]; running != nil && !isClosed(running.dead) {
		c.mu.Unlock()
		return errs.New(errs.Internal, "process %s is already running", process.Name)
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

// Signal has the effect of SIGSTOP, SIGCONT, SIGTERM or SIGKILL on a process.
//
// Example: err := cluster.Signal("runner-edge-1", syscall.SIGKILL)
func (c *Cluster) Signal(name string, s syscall.Signal) error {
	c.mu.Lock()
	p := c.processes[name]
	c.mu.Unlock()
	if p == nil {
		return errs.New(errs.NotFound, "process %q was never started", name)
	}
	if isClosed(p.dead) {
		return errs.New(errs.Internal, "process %s has ended and can't be signalled", name)
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

// stopGracefully stops a process in the background with grace as the time limit, then kills it.
func (c *Cluster) stopGracefully(p *proc, grace time.Duration) {
	p.stopOnce.Do(func() {
		c.wg.Go(func() {
			<-p.started
			p.daemon.Stop(grace)
			p.kill()
		})
	})
}

// WriteSettings records the listen addresses of a process. It writes no settings file: Start is given the settings.
//
// Example: err := cluster.WriteSettings(process)
func (c *Cluster) WriteSettings(p testbed.Process) error { c.machineOf(p); return nil }

// WipeDisk deletes the files in a process's data folder.
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

// SetFault sets the fault of the disk ("disk") or the wall clock offset in milliseconds ("wall") of a process's
// machine; an empty value ends the fault.
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

// Journal returns the entries that all incarnations of a worker wrote to its journal.
//
// Example: runs, err := cluster.Journal(process)
func (c *Cluster) Journal(p testbed.Process) ([]workersim.Run, error) {
	f := c.file(p.Settings.Option("journal", ""))
	f.mu.Lock()
	defer f.mu.Unlock()
	return loadgen.ReadJournal(bytes.NewReader(f.data))
}

// SetLink sets the fault rule of the network link from one machine to another.
//
// Example: err := cluster.SetLink("edge-1", "core-2", testbed.LinkRule{Partitioned: true})
func (c *Cluster) SetLink(from, to string, r testbed.LinkRule) error { c.Set(from, to, r); return nil }

// Dial connects to an address of the site from the machine of clients and operators.
//
// Example: conn, err := cluster.Dial(ctx, "tcp", "127.10.1.11:8080")
func (c *Cluster) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return c.outsideProcess.dial(ctx, network, addr)
}

// Stop kills every process of the cluster and waits until their goroutines have ended.
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
	c.outsideProcess.kill()
	<-time.After(pendingTimersTimeout)
}
