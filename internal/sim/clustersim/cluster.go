// Package clustersim is a whole site in one test process, on virtual time. The programs are the
// real ones; network, clocks, disks, journals and chance are swapped through the seam that they
// take at their start (daemon.World), and the test bed's scenarios and checks are used as they are.
//
// What repeats under a seed: the site, its traffic, the script and its instants, clocks, drift
// and what the disks do. Which of several threads that are ready at one instant goes first is
// Go's to choose; so a run is much the same again, not the same to the letter.
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
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/sim/appservicesim"
	"pebbleloom/internal/sim/loadgen"
	"pebbleloom/internal/sim/platformsim"
	"pebbleloom/internal/sim/storesim"
	"pebbleloom/internal/sim/testbed"
	"pebbleloom/internal/sim/workersim"
)

var programStarts = map[string]func(*daemon.Process) error{programs.ControlNode: controlstate.Start, programs.PlacementController: placementcontroller.Start, programs.NodeAgent: nodeagent.Start,
	programs.PromptIndex: promptindex.Start, programs.Proxy: callerproxy.Start, programs.WorkerSim: workersim.Start, programs.AppServiceSim: appservicesim.Start, programs.StoreSim: storesim.Start, programs.PlatformSim: platformsim.Start}

// Cluster is the ground of a site on virtual time.
type Cluster struct {
	*testbed.Links
	seed            uint64
	begin           time.Time
	dialTimeout     time.Duration // of one that connects
	wg              sync.WaitGroup
	mu              sync.Mutex
	processes       map[string]*proc
	starts          int
	machines        map[string]*machine
	hosts           map[netip.Addr]string // machine by address
	listeners       map[string]*listener
	files           map[string]*file
	outside         *proc               // callers and operators
	tamperWithReads func([]byte) []byte // what people read is changed on its way: a planted fault
}

type file struct {
	mu   sync.Mutex
	data []byte
}

// machine has what its processes share: clocks and a disk.
type machine struct {
	name          string
	begin         time.Time
	bootOffset    time.Duration // since it booted
	drift         float64
	mu            sync.Mutex
	wallClockJump time.Duration // of the wall
	diskFault     string        // what its disk suffers from
	disk          map[string][]byte
	lastWriter    map[string]*proc // whose life wrote a file last
}

// New lays a table for a site.
//
// Example: t := tabletop.New(7, site); defer t.Down()
func New(seed uint64, site *testbed.Site) *Cluster {
	cluster := &Cluster{Links: testbed.NewLinks(), seed: seed, begin: time.Now(), dialTimeout: settings.DefaultBounds().Leave(1.0 / 3), processes: map[string]*proc{},
		machines: map[string]*machine{}, hosts: map[netip.Addr]string{}, listeners: map[string]*listener{}, files: map[string]*file{}}
	cluster.outside = newProc(cluster, testbed.Process{}, cluster.machine("people"), seed)
	for _, p := range site.Processes {
		cluster.machineOf(p)
	}
	return cluster
}

func (c *Cluster) machine(name string) *machine {
	m := c.machines[name]
	if m == nil {
		r := rand.New(rand.NewPCG(c.seed, queue.Hash(name)))
		m = &machine{name: name, begin: c.begin, bootOffset: time.Duration(1+r.Int64N(3600*100)) * time.Second, drift: (r.Float64() - 0.5) / 5000,
			disk: map[string][]byte{}, lastWriter: map[string]*proc{}}
		c.machines[name] = m
	}
	return m
}

// machineOf notes which addresses a machine has.
func (c *Cluster) machineOf(p testbed.Process) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range []string{p.Settings.Listen, p.Settings.Public, p.Settings.Operator} {
		if x, err := netip.ParseAddrPort(a); err == nil {
			c.hosts[x.Addr()] = p.Settings.Name
		}
	}
	return c.machine(p.Settings.Name)
}

func (m *machine) now() time.Duration {
	d := time.Since(m.begin)
	return m.bootOffset + d + time.Duration(float64(d)*m.drift)
}

func (m *machine) wall() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Add(m.wallClockJump)
}

func (m *machine) fault() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.diskFault
}

func (m *machine) read(folder, name string) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b, ok := m.disk[folder+"/"+name]
	return append([]byte(nil), b...), ok
}

// write changes a file; a dead life's late rest doesn't touch what the next one has written.
func (m *machine) write(p *proc, folder, name string, change func([]byte) []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := folder + "/" + name
	if last := m.lastWriter[key]; last != nil && last != p && isClosed(p.dead) {
		return
	}
	m.disk[key], m.lastWriter[key] = change(m.disk[key]), p
}

func (m *machine) ip(p settings.Process) netip.Addr {
	if a, err := netip.ParseAddrPort(p.Listen); err == nil {
		return a.Addr()
	}
	return netip.MustParseAddr("127.0.0.1")
}

func (c *Cluster) linkRule(from, to string) (testbed.LinkRule, <-chan struct{}) {
	rule, changed := c.RuleBetween(from, to)
	if from == to || from == "people" || to == "people" {
		rule = testbed.LinkRule{} // loopback, and those outside
	}
	return rule, changed
}

func (c *Cluster) machineAt(a netip.Addr) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts[a]
}

// delay is one way's: districts are a millisecond apart.
func (c *Cluster) delay(m *machine, to, addr string) time.Duration {
	if m.name == to {
		return 20 * time.Microsecond
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, n := range c.hosts {
		if n == m.name && strings.Split(a.String(), ".")[2] == strings.Split(addr, ".")[2] {
			return 200 * time.Microsecond
		}
	}
	return time.Millisecond
}

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

// Start begins a life of a process.
//
// Example: err := t.Start(process)
func (c *Cluster) Start(process testbed.Process) error {
	machine := c.machineOf(process)
	c.mu.Lock()
	if running := c.processes[process.Name]; running != nil && !isClosed(running.dead) {
		c.mu.Unlock()
		return errs.New(errs.Internal, "%s runs already", process.Name)
	}
	c.starts++
	proc := newProc(c, process, machine, c.seed^queue.Hash(fmt.Sprint(process.Name, c.starts)))
	c.processes[process.Name] = proc
	c.mu.Unlock()
	place := process.Settings
	level := "off"
	if v := os.Getenv("TABLE_LOG"); v != "" {
		level = v
	}
	place.Options = append([]string{"log=" + level}, place.Options...)
	proc.daemon = daemon.NewIn(proc.environment(), process.Program, place)
	c.wg.Go(func() {
		defer close(proc.started)
		if err := programStarts[process.Program](proc.daemon); err != nil {
			proc.daemon.Log.Error("start failed", "error", errs.Text(err))
		}
	})
	return nil
}

// Signal does to a process what its machine would.
//
// Example: err := t.Signal("cab-3", syscall.SIGKILL)
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

// stopGracefully lets a life's threads wind up; once they have, the process is gone.
func (c *Cluster) stopGracefully(p *proc, grace time.Duration) {
	p.stopOnce.Do(func() {
		c.wg.Go(func() {
			<-p.started
			p.daemon.Stop(grace)
			p.kill()
		})
	})
}

// WriteSettings notes where a process stands from its next start on.
//
// Example: err := t.Put(process)
func (c *Cluster) WriteSettings(p testbed.Process) error { c.machineOf(p); return nil }

// WipeDisk loses a machine's disk.
//
// Example: err := t.Wipe(process)
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

// SetFault makes a machine's disk or wall clock misbehave, or well again.
//
// Example: err := t.Switch(process, "disk", "stall 800")
func (c *Cluster) SetFault(p testbed.Process, what, word string) error {
	c.mu.Lock()
	m := c.machine(p.Settings.Name)
	c.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	if what == "disk" {
		m.diskFault = word
		return nil
	}
	ms, err := strconv.Atoi("0" + strings.TrimPrefix(word, "-"))
	if m.wallClockJump = time.Duration(ms) * time.Millisecond; strings.HasPrefix(word, "-") {
		m.wallClockJump = -m.wallClockJump
	}
	return errs.WrapAs(err, errs.BadInput, "wall")
}

// Journal reads what a worker wrote down, in all its lives.
//
// Example: runs, err := t.Journal(process)
func (c *Cluster) Journal(p testbed.Process) ([]workersim.Run, error) {
	f := c.file(p.Settings.Option("journal", ""))
	f.mu.Lock()
	defer f.mu.Unlock()
	return loadgen.ReadJournal(bytes.NewReader(f.data))
}

// SetLink puts a rule on a way.
//
// Example: err := t.Link("edge-1", "core-2", testbed.LinkRule{Cut: true})
func (c *Cluster) SetLink(from, to string, r testbed.LinkRule) error { c.Set(from, to, r); return nil }

// Dial connects as people and callers do.
//
// Example: c, err := t.Dial(ctx, "tcp", "127.10.1.11:8080")
func (c *Cluster) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return c.outside.dial(ctx, network, addr)
}

// Stop ends every life and waits until all threads have wound up.
//
// Example: defer t.Down()
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
	<-time.After(time.Minute) // timers of what was given up run out
}
