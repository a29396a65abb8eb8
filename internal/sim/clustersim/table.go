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

var starts = map[string]func(*daemon.Process) error{programs.ControlNode: controlstate.Start, programs.PlacementController: placementcontroller.Start, programs.NodeAgent: nodeagent.Start,
	programs.PromptIndex: promptindex.Start, programs.Proxy: callerproxy.Start, programs.WorkerSim: workersim.Start, programs.AppServiceSim: appservicesim.Start, programs.StoreSim: storesim.Start, programs.PlatformSim: platformsim.Start}

// Table is the ground of a site on virtual time.
type Table struct {
	*testbed.Links
	seed     uint64
	begin    time.Time
	patience time.Duration // of one that connects
	wg       sync.WaitGroup
	mu       sync.Mutex
	procs    map[string]*proc
	lives    int
	machines map[string]*machine
	hosts    map[netip.Addr]string // machine by address
	doors    map[string]*listener
	files    map[string]*file
	people   *proc               // callers and operators
	tamper   func([]byte) []byte // what people read is changed on its way: a planted fault
}

type file struct {
	mu sync.Mutex
	b  []byte
}

// machine has what its processes share: clocks and a disk.
type machine struct {
	name   string
	begin  time.Time
	base   time.Duration // since it booted
	drift  float64
	mu     sync.Mutex
	jump   time.Duration // of the wall
	bad    string        // what its disk suffers from
	disk   map[string][]byte
	writer map[string]*proc // whose life wrote a file last
}

// New lays a table for a site.
//
// Example: t := tabletop.New(7, site); defer t.Down()
func New(seed uint64, s *testbed.Site) *Table {
	t := &Table{Links: testbed.NewLinks(), seed: seed, begin: time.Now(), patience: settings.DefaultBounds().Leave(1.0 / 3), procs: map[string]*proc{},
		machines: map[string]*machine{}, hosts: map[netip.Addr]string{}, doors: map[string]*listener{}, files: map[string]*file{}}
	t.people = newProc(t, testbed.Process{}, t.machine("people"), seed)
	for _, p := range s.Processes {
		t.stands(p)
	}
	return t
}

func (t *Table) machine(name string) *machine {
	m := t.machines[name]
	if m == nil {
		r := rand.New(rand.NewPCG(t.seed, queue.Hash(name)))
		m = &machine{name: name, begin: t.begin, base: time.Duration(1+r.Int64N(3600*100)) * time.Second, drift: (r.Float64() - 0.5) / 5000,
			disk: map[string][]byte{}, writer: map[string]*proc{}}
		t.machines[name] = m
	}
	return m
}

// stands notes which addresses a machine has.
func (t *Table) stands(p testbed.Process) *machine {
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
	return m.base + d + time.Duration(float64(d)*m.drift)
}

func (m *machine) wall() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Add(m.jump)
}

func (m *machine) fault() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bad
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
	if w := m.writer[k]; w != nil && w != p && done(p.dead) {
		return
	}
	m.disk[k], m.writer[k] = change(m.disk[k]), p
}

func (m *machine) ip(p settings.Process) netip.Addr {
	if a, err := netip.ParseAddrPort(p.Listen); err == nil {
		return a.Addr()
	}
	return netip.MustParseAddr("127.0.0.1")
}

func (t *Table) rule(from, to string) (testbed.LinkRule, <-chan struct{}) {
	r, c := t.RuleBetween(from, to)
	if from == to || from == "people" || to == "people" {
		r = testbed.LinkRule{} // loopback, and those outside
	}
	return r, c
}

func (t *Table) machineAt(a netip.Addr) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hosts[a]
}

// delay is one way's: districts are a millisecond apart.
func (t *Table) delay(m *machine, to, addr string) time.Duration {
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

func (t *Table) listen(addr string, l *listener) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.doors[addr] != nil {
		return false
	}
	t.doors[addr] = l
	return true
}

func (t *Table) unlisten(l *listener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.doors[l.addr.String()] == l {
		delete(t.doors, l.addr.String())
	}
}

func (t *Table) door(addr string) *listener {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.doors[addr]
}

func (t *Table) file(name string) *file {
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
func (t *Table) Start(q testbed.Process) error {
	m := t.stands(q)
	t.mu.Lock()
	if o := t.procs[q.Name]; o != nil && !done(o.dead) {
		t.mu.Unlock()
		return errs.New(errs.Internal, "%s runs already", q.Name)
	}
	t.lives++
	p := newProc(t, q, m, t.seed^queue.Hash(fmt.Sprint(q.Name, t.lives)))
	t.procs[q.Name] = p
	t.mu.Unlock()
	place := q.Settings
	level := "off"
	if v := os.Getenv("TABLE_LOG"); v != "" {
		level = v
	}
	place.Options = append([]string{"log=" + level}, place.Options...)
	p.life = daemon.NewIn(p.world(), q.Program, place)
	t.wg.Go(func() {
		defer close(p.started)
		if err := starts[q.Program](p.life); err != nil {
			p.life.Log.Error("start failed", "error", errs.Text(err))
		}
	})
	return nil
}

// Signal does to a process what its machine would.
//
// Example: err := t.Signal("cab-3", syscall.SIGKILL)
func (t *Table) Signal(name string, s syscall.Signal) error {
	t.mu.Lock()
	p := t.procs[name]
	t.mu.Unlock()
	if p == nil {
		return errs.New(errs.NotFound, "process %q", name)
	}
	if done(p.dead) {
		return errs.New(errs.Internal, "%s has ended", name)
	}
	switch s {
	case syscall.SIGSTOP, syscall.SIGCONT:
		p.freeze(s == syscall.SIGSTOP)
	case syscall.SIGTERM:
		t.end(p, p.p.Settings.Bounds.Leave(1))
	case syscall.SIGKILL:
		p.die()
		t.end(p, 0)
	}
	return nil
}

// end lets a life's threads wind up; once they have, the process is gone.
func (t *Table) end(p *proc, grace time.Duration) {
	p.stop.Do(func() {
		t.wg.Go(func() {
			<-p.started
			p.life.Stop(grace)
			p.die()
		})
	})
}

// WriteSettings notes where a process stands from its next start on.
//
// Example: err := t.Put(process)
func (t *Table) WriteSettings(p testbed.Process) error { t.stands(p); return nil }

// WipeDisk loses a machine's disk.
//
// Example: err := t.Wipe(process)
func (t *Table) WipeDisk(p testbed.Process) error {
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
func (t *Table) SetFault(p testbed.Process, what, word string) error {
	t.mu.Lock()
	m := t.machine(p.Settings.Name)
	t.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	if what == "disk" {
		m.bad = word
		return nil
	}
	ms, err := strconv.Atoi("0" + strings.TrimPrefix(word, "-"))
	if m.jump = time.Duration(ms) * time.Millisecond; strings.HasPrefix(word, "-") {
		m.jump = -m.jump
	}
	return errs.WrapAs(err, errs.BadInput, "wall")
}

// Journal reads what a worker wrote down, in all its lives.
//
// Example: runs, err := t.Journal(process)
func (t *Table) Journal(p testbed.Process) ([]workersim.Run, error) {
	f := t.file(p.Settings.Option("journal", ""))
	f.mu.Lock()
	defer f.mu.Unlock()
	return loadgen.ReadJournal(bytes.NewReader(f.b))
}

// SetLink puts a rule on a way.
//
// Example: err := t.Link("edge-1", "core-2", testbed.LinkRule{Cut: true})
func (t *Table) SetLink(from, to string, r testbed.LinkRule) error { t.Set(from, to, r); return nil }

// Dial connects as people and callers do.
//
// Example: c, err := t.Dial(ctx, "tcp", "127.10.1.11:8080")
func (t *Table) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return t.people.dial(ctx, network, addr)
}

// Stop ends every life and waits until all threads have wound up.
//
// Example: defer t.Down()
func (t *Table) Stop() {
	t.mu.Lock()
	var l []*proc
	for _, p := range t.procs {
		l = append(l, p)
	}
	t.mu.Unlock()
	for _, p := range l {
		p.die()
		t.end(p, 0)
	}
	t.wg.Wait()
	t.people.die()
	<-time.After(time.Minute) // timers of what was given up run out
}
