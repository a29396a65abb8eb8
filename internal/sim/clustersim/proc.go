package clustersim

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"pebbleloom/internal/control/storage"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/sim/testbed"
)

// proc is one life of a process. All that it meets goes through pass: while it is frozen nothing
// gets on, and once it is dead nothing that it does has any effect.
type proc struct {
	t       *Table
	p       testbed.Process
	m       *machine
	life    *daemon.Process
	started chan struct{}
	dead    chan struct{}
	stop    sync.Once
	kill    sync.Once
	mu      sync.Mutex
	frozen  chan struct{} // closed when it is thawed; nil: it isn't frozen
	conns   map[*conn]bool
	lns     map[*listener]bool
	r       *rand.Rand
}

func newProc(t *Table, p testbed.Process, m *machine, seed uint64) *proc {
	return &proc{t: t, p: p, m: m, started: make(chan struct{}), dead: make(chan struct{}), conns: map[*conn]bool{}, lns: map[*listener]bool{},
		r: rand.New(rand.NewPCG(seed, 17))}
}

// pass waits while the process is frozen; false: it is dead.
func (p *proc) pass() bool {
	for {
		p.mu.Lock()
		f := p.frozen
		p.mu.Unlock()
		if done(p.dead) {
			return false
		}
		if f == nil {
			return true
		}
		select {
		case <-f:
		case <-p.dead:
		}
	}
}

func (p *proc) freeze(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on && p.frozen == nil {
		p.frozen = make(chan struct{})
	} else if !on && p.frozen != nil {
		close(p.frozen)
		p.frozen = nil
	}
}

// die ends the life at once: connections are reset, doors shut, disk and clock out of reach.
func (p *proc) die() {
	p.kill.Do(func() {
		p.mu.Lock()
		close(p.dead)
		var cs []*conn
		for c := range p.conns {
			cs = append(cs, c)
		}
		var ls []*listener
		for l := range p.lns {
			ls = append(ls, l)
		}
		p.mu.Unlock()
		for _, l := range ls {
			l.Close()
		}
		for _, c := range cs {
			c.shut(true)
		}
	})
}

func (p *proc) forget(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *proc) chance(n int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.r.Int64N(n)
}

// world is what the program meets outside itself.
func (p *proc) world() daemon.Environment {
	return daemon.Environment{Clock: p, WallClock: p.wall, Listen: p.listen, Dial: p.dial, Disk: p.disk, Journal: p.journal,
		Seed: func() uint64 { p.mu.Lock(); defer p.mu.Unlock(); return p.r.Uint64() }}
}

// Now is the machine's clock, which counts sleep; the process sees it once it runs.
//
// Example: p.Now()
func (p *proc) Now() time.Duration { p.pass(); return p.m.now() }

func (p *proc) wall() time.Time { p.pass(); return p.m.wall() }

func (p *proc) listen(addr string) (net.Listener, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	l := &listener{p: p, addr: net.TCPAddrFromAddrPort(a), come: make(chan *conn, 512), shut: make(chan struct{})}
	if !p.pass() || !p.t.listen(addr, l) {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: l.addr, Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lns[l] = true
	return l, nil
}

// dial connects: after a round trip, once the link lets it, or not within its time.
func (p *proc) dial(_ context.Context, _, addr string) (net.Conn, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	far := net.TCPAddrFromAddrPort(a)
	fail := func(err error) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: far, Err: err}
	}
	to := p.t.machineAt(a.Addr())
	delay := p.t.delay(p.m, to, addr)
	late := time.NewTimer(p.t.patience)
	defer late.Stop()
	for trip := time.NewTimer(2 * delay); ; {
		if !p.pass() {
			return fail(net.ErrClosed)
		}
		one, changed := p.t.rule(p.m.name, to)
		two, _ := p.t.rule(to, p.m.name)
		open := trip.C
		if one.Cut || two.Cut {
			open = nil
		}
		select {
		case <-late.C:
			trip.Stop()
			return fail(os.ErrDeadlineExceeded)
		case <-p.dead:
			trip.Stop()
			return fail(net.ErrClosed)
		case <-changed:
			continue
		case <-open:
		}
		break
	}
	l := p.t.door(addr)
	if l == nil {
		return fail(os.NewSyscallError("connect", syscall.ECONNREFUSED))
	}
	there := &pipe{t: p.t, from: p.m.name, to: to, delay: delay, bell: make(chan struct{})}
	back := &pipe{t: p.t, from: to, to: p.m.name, delay: delay, bell: make(chan struct{})}
	here := net.TCPAddrFromAddrPort(netip.AddrPortFrom(p.m.ip(p.p.Settings), uint16(30000+p.chance(30000))))
	mine := p.hold(back, there, here, far)
	its := l.p.hold(there, back, far, here)
	if mine == nil || its == nil {
		return fail(net.ErrClosed)
	}
	select {
	case l.come <- its:
		return mine, nil
	default:
		its.shut(true)
		return fail(os.ErrDeadlineExceeded) // too many stand before the door
	}
}

func (p *proc) hold(in, out *pipe, at, far net.Addr) *conn {
	c := &conn{p: p, in: in, out: out, at: at, far: far, closed: make(chan struct{})}
	c.rd.c, c.wr.c = make(chan struct{}), make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if done(p.dead) {
		return nil
	}
	p.conns[c] = true
	return c
}

// journal keeps a stand-in's journal beyond its life.
func (p *proc) journal(file string) (io.Writer, error) { return &writer{p, p.t.file(file)}, nil }

type writer struct {
	p *proc
	f *file
}

// Write adds a line, as long as the process lives.
//
// Example: n, err := w.Write(line)
func (w *writer) Write(b []byte) (int, error) {
	if !w.p.pass() {
		return 0, errDead
	}
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	w.f.b = append(w.f.b, b...)
	return len(b), nil
}

var errDead = errors.New("the process is dead")

// disk is a folder of the machine's disk, as this life sees it.
func (p *proc) disk(folder string) storage.Disk { return &disk{p, folder} }

type disk struct {
	p      *proc
	folder string
}

// Read reads a whole file.
//
// Example: b, there, err := d.Read("slot-0")
func (d *disk) Read(name string) ([]byte, bool, error) {
	if !d.p.pass() {
		return nil, false, errDead
	}
	b, ok := d.p.m.read(d.folder, name)
	return b, ok, nil
}

// change carries out a write that takes its time. A life that ends meanwhile leaves any part of
// it behind: the power goes at any byte.
func (d *disk) change(name string, b []byte, write func(old, b []byte) []byte) error {
	if !d.p.pass() {
		return errDead
	}
	stall, err := storage.ParseFault(d.p.m.fault())
	if err != nil {
		return err
	}
	t := time.NewTimer(max(stall, time.Duration(200+d.p.chance(1800))*time.Microsecond))
	defer t.Stop()
	select {
	case <-t.C:
	case <-d.p.dead:
	}
	if !d.p.pass() {
		d.p.m.write(d.p, d.folder, name, func(old []byte) []byte { return write(old, b[:d.p.chance(int64(len(b)+1))]) })
		return errDead
	}
	d.p.m.write(d.p, d.folder, name, func(old []byte) []byte { return write(old, b) })
	return nil
}

// Write replaces a file.
//
// Example: err := d.Write("slot-0", b)
func (d *disk) Write(name string, b []byte) error {
	return d.change(name, b, func(_, b []byte) []byte { return append([]byte(nil), b...) })
}

// Append adds to a file.
//
// Example: err := d.Append("log-0", rec)
func (d *disk) Append(name string, b []byte) error {
	return d.change(name, b, func(old, b []byte) []byte { return append(append([]byte(nil), old...), b...) })
}

// Truncate shortens a file.
//
// Example: err := d.Cut("log-0", 128)
func (d *disk) Truncate(name string, size int) error {
	return d.change(name, nil, func(old, _ []byte) []byte { return old[:min(size, len(old))] })
}
