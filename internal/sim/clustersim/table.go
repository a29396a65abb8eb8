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
func New(seed uint64, s *testbed.Site) *Cluster {
	t := &Cluster{Links: testbed.NewLinks(), seed: seed, begin: time.Now(), dialTimeout: settings.DefaultBounds().Leave(1.0 / 3), processes: map[string]*proc{},
		machines: map[string]*machine{}, hosts: map[netip.Addr]string{}, listeners: map[string]*listener{}, files: map[string]*file{}}
	t.outside = newProc(t, testbed.Process{}, t.machine("people"), seed)
	for _, p := range s.Processes {
		t.machineOf(p)
	}
	return t
}

func (t *Cluster) machine(name string) *machine {
	m := t.machines[name]
	if m == nil {
		r := rand.New(rand.NewPCG(t.seed, queue.Hash(name)))
		m = &machine{name: name, begin: t.begin, bootOffset: time.Duration(1+r.Int64N(3600*100)) * time.Second, drift: (r.Float64() - 0.5) / 5000,
			disk: map[string][]byte{}, lastWriter: map[string]*proc{}}
		t.machines[name] = m
	}
	return m
}

// machineOf notes which addresses a machine has.
func (t *Cluster) machineOf(p testbed.Process) *machine {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range []string{p.Settings.Listen, p.Settings.Public, p.Settings.Operator} {
		if x, err := netip.ParseAddrPort(a); err == nil {
			t.hosts[x.Addr()] = p.Settings.Name
		}
	}
	return t.machine(p.Settings.Name)
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
	k := folder + "/" + name
	if w := m.lastWriter[k]; w != nil && w != p && isClosed(p.dead) {
		return
	}
	m.disk[k], m.lastWriter[k] = change(m.disk[k]), p
}

func (m *machine) ip(p settings.Process) netip.Addr {
	if a, err := netip.ParseAddrPort(p.Listen); err == nil {
		return a.Addr()
	}
	return netip.MustParseAddr("127.0.0.1")
}

func (t *Cluster) linkRule(from, to string) (testbed.LinkRule, <-chan struct{}) {
	r, c := t.RuleBetween(from, to)
	if from == to || from == "people" || to == "people" {
		r = testbed.LinkRule{} // loopback, and those outside
	}
	return r, c
}

func (t *Cluster) machineAt(a netip.Addr) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hosts[a]
}

// delay is one way's: districts are a millisecond apart.
func (t *Cluster) delay(m *machine, to, addr string) time.Duration {
	if m.name == to {
		return 20 * time.Microsecond
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for a, n := range t.hosts {
		if n == m.name && strings.Split(a.String(), ".")[2] == strings.Split(addr, ".")[2] {
			return 200 * time.Microsecond
		}
	}
	return time.Millisecond
}

func (t *Cluster) listen(addr string, l *listener) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listeners[addr] != nil {
		return false
	}
	t.listeners[addr] = l
	return true
}

func (t *Cluster) unlisten(l *listener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listeners[l.addr.String()] == l {
		delete(t.listeners, l.addr.String())
	}
}

func (t *Cluster) listenerAt(addr string) *listener {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listeners[addr]
}

func (t *Cluster) file(name string) *file {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.files[name] == nil {
		t.files[name] = &file{}
	}
	return t.files[name]
}

// Start begins a life of a process.
//
// Example: err := t.Start(process)
func (t *Cluster) Start(q testbed.Process) error {
	m := t.machineOf(q)
	t.mu.Lock()
	if o := t.processes[q.Name]; o != nil && !isClosed(o.dead) {
		t.mu.Unlock()
		return errs.New(errs.Internal, "%s runs already", q.Name)
	}
	t.starts++
	p := newProc(t, q, m, t.seed^queue.Hash(fmt.Sprint(q.Name, t.starts)))
	t.processes[q.Name] = p
	t.mu.Unlock()
	place := q.Settings
	level := "off"
	if v := os.Getenv("TABLE_LOG"); v != "" {
		level = v
	}
	place.Options = append([]string{"log=" + level}, place.Options...)
	p.daemon = daemon.NewIn(p.environment(), q.Program, place)
	t.wg.Go(func() {
		defer close(p.started)
		if err := programStarts[q.Program](p.daemon); err != nil {
			p.daemon.Log.Error("start failed", "error", errs.Text(err))
		}
	})
	return nil
}

// Signal does to a process what its machine would.
//
// Example: err := t.Signal("cab-3", syscall.SIGKILL)
func (t *Cluster) Signal(name string, s syscall.Signal) error {
	t.mu.Lock()
	p := t.processes[name]
	t.mu.Unlock()
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
		t.stopGracefully(p, p.process.Settings.Bounds.Leave(1))
	case syscall.SIGKILL:
		p.kill()
		t.stopGracefully(p, 0)
	}
	return nil
}

// stopGracefully lets a life's threads wind up; once they have, the process is gone.
func (t *Cluster) stopGracefully(p *proc, grace time.Duration) {
	p.stopOnce.Do(func() {
		t.wg.Go(func() {
			<-p.started
			p.daemon.Stop(grace)
			p.kill()
		})
	})
}

// WriteSettings notes where a process stands from its next start on.
//
// Example: err := t.Put(process)
func (t *Cluster) WriteSettings(p testbed.Process) error { t.machineOf(p); return nil }

// WipeDisk loses a machine's disk.
//
// Example: err := t.Wipe(process)
func (t *Cluster) WipeDisk(p testbed.Process) error {
	t.mu.Lock()
	m := t.machine(p.Settings.Name)
	t.mu.Unlock()
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
func (t *Cluster) SetFault(p testbed.Process, what, word string) error {
	t.mu.Lock()
	m := t.machine(p.Settings.Name)
	t.mu.Unlock()
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
func (t *Cluster) Journal(p testbed.Process) ([]workersim.Run, error) {
	f := t.file(p.Settings.Option("journal", ""))
	f.mu.Lock()
	defer f.mu.Unlock()
	return loadgen.ReadJournal(bytes.NewReader(f.data))
}

// SetLink puts a rule on a way.
//
// Example: err := t.Link("edge-1", "core-2", testbed.LinkRule{Cut: true})
func (t *Cluster) SetLink(from, to string, r testbed.LinkRule) error { t.Set(from, to, r); return nil }

// Dial connects as people and callers do.
//
// Example: c, err := t.Dial(ctx, "tcp", "127.10.1.11:8080")
func (t *Cluster) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return t.outside.dial(ctx, network, addr)
}

// Stop ends every life and waits until all threads have wound up.
//
// Example: defer t.Down()
func (t *Cluster) Stop() {
	t.mu.Lock()
	var l []*proc
	for _, p := range t.processes {
		l = append(l, p)
	}
	t.mu.Unlock()
	for _, p := range l {
		p.kill()
		t.stopGracefully(p, 0)
	}
	t.wg.Wait()
	t.outside.kill()
	<-time.After(time.Minute) // timers of what was given up run out
}
