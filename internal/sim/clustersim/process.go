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

// proc is one incarnation of a simulated process. All calls of its environment (clock, network, disk, journal) start
// with awaitRunning: they block while the process is frozen by SIGSTOP, and have no effect once it was killed.
type proc struct {
	cluster   *Cluster
	process   testbed.Process
	machine   *machine
	daemon    *daemon.Process
	started   chan struct{}
	dead      chan struct{}
	stopOnce  sync.Once
	killOnce  sync.Once
	mu        sync.Mutex
	frozen    chan struct{} // channel that SIGCONT closes; nil: the process isn't stopped by SIGSTOP
	conns     map[*conn]bool
	listeners map[*listener]bool
	random    *rand.Rand
}

func newProc(cluster *Cluster, process testbed.Process, host *machine, seed uint64) *proc {
	return &proc{cluster: cluster, process: process, machine: host, started: make(chan struct{}), dead: make(chan struct{}), conns: map[*conn]bool{}, listeners: map[*listener]bool{},
		random: rand.New(rand.NewPCG(seed, 17))}
}

// awaitRunning blocks while the process is stopped by SIGSTOP. It returns false if the process was killed.
func (p *proc) awaitRunning() bool {
	for {
		p.mu.Lock()
		thawed := p.frozen
		p.mu.Unlock()
		if isClosed(p.dead) {
			return false
		}
		if thawed == nil {
			return true
		}
		select {
		case <-thawed:
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

// kill ends the process at once: its connections are reset, its listeners closed, and its calls have no further effect.
func (p *proc) kill() {
	p.killOnce.Do(func() {
		p.mu.Lock()
		close(p.dead)
		var conns []*conn
		for c := range p.conns {
			conns = append(conns, c)
		}
		var listeners []*listener
		for l := range p.listeners {
			listeners = append(listeners, l)
		}
		p.mu.Unlock()
		for _, l := range listeners {
			l.Close()
		}
		for _, c := range conns {
			c.closeWith(true)
		}
	})
}

func (p *proc) removeConn(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *proc) randomBelow(n int64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Int64N(n)
}

// environment returns the simulated clocks, network, disk, journal and random seed that the program is started with.
func (p *proc) environment() daemon.Environment {
	return daemon.Environment{Clock: p, WallClock: p.wall, Listen: p.listen, Dial: p.dial, Disk: p.disk, Journal: p.journal,
		Seed: func() uint64 { p.mu.Lock(); defer p.mu.Unlock(); return p.random.Uint64() }}
}

// Now implements clock.Clock: it returns the machine's boot clock. It blocks while the process is stopped by SIGSTOP.
//
// Example: process.Now()
func (p *proc) Now() time.Duration { p.awaitRunning(); return p.machine.now() }

func (p *proc) wall() time.Time { p.awaitRunning(); return p.machine.wall() }

func (p *proc) listen(addr string) (net.Listener, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	l := &listener{proc: p, addr: net.TCPAddrFromAddrPort(a), incoming: make(chan *conn, listenBacklog), closed: make(chan struct{})}
	if !p.awaitRunning() || !p.cluster.listen(addr, l) {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: l.addr, Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners[l] = true
	return l, nil
}

// dial connects to addr after one round trip. If the link is cut it waits for the link, and fails after the cluster's
// dialTimeout.
func (p *proc) dial(_ context.Context, _, addr string) (net.Conn, error) {
	target, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	remote := net.TCPAddrFromAddrPort(target)
	fail := func(err error) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: remote, Err: err}
	}
	machine := p.cluster.machineAt(target.Addr())
	delay := p.cluster.delay(p.machine, machine, addr)
	timeout := time.NewTimer(p.cluster.dialTimeout)
	defer timeout.Stop()
	for connectTimer := time.NewTimer(2 * delay); ; {
		if !p.awaitRunning() {
			return fail(net.ErrClosed)
		}
		outbound, changed := p.cluster.linkRule(p.machine.name, machine)
		inbound, _ := p.cluster.linkRule(machine, p.machine.name)
		connected := connectTimer.C
		if outbound.Partitioned || inbound.Partitioned {
			connected = nil
		}
		select {
		case <-timeout.C:
			connectTimer.Stop()
			return fail(os.ErrDeadlineExceeded)
		case <-p.dead:
			connectTimer.Stop()
			return fail(net.ErrClosed)
		case <-changed:
			continue
		case <-connected:
		}
		break
	}
	listener := p.cluster.listenerAt(addr)
	if listener == nil {
		return fail(os.NewSyscallError("connect", syscall.ECONNREFUSED))
	}
	request := &pipe{cluster: p.cluster, from: p.machine.name, to: machine, delay: delay, changed: make(chan struct{})}
	response := &pipe{cluster: p.cluster, from: machine, to: p.machine.name, delay: delay, changed: make(chan struct{})}
	local := net.TCPAddrFromAddrPort(netip.AddrPortFrom(p.machine.ip(p.process.Settings), uint16(30000+p.randomBelow(30000))))
	dialed := p.addConn(response, request, local, remote)
	accepted := listener.proc.addConn(request, response, remote, local)
	if dialed == nil || accepted == nil {
		return fail(net.ErrClosed)
	}
	select {
	case listener.incoming <- accepted:
		return dialed, nil
	default:
		accepted.closeWith(true)
		return fail(os.ErrDeadlineExceeded) // the listener's backlog is full
	}
}

func (p *proc) addConn(in, out *pipe, local, remote net.Addr) *conn {
	c := &conn{proc: p, in: in, out: out, local: local, remote: remote, closed: make(chan struct{})}
	c.readDeadline.passed, c.writeDeadline.passed = make(chan struct{}), make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if isClosed(p.dead) {
		return nil
	}
	p.conns[c] = true
	return c
}

// journal opens a worker's journal for appending. Its content is kept when the process ends.
func (p *proc) journal(file string) (io.Writer, error) {
	return &journalWriter{p, p.cluster.file(file)}, nil
}

// journalWriter appends to a worker's journal until the process is killed.
type journalWriter struct {
	proc *proc
	file *file
}

// Write implements io.Writer. It fails once the process was killed.
//
// Example: n, err := writer.Write(line)
func (w *journalWriter) Write(b []byte) (int, error) {
	if !w.proc.awaitRunning() {
		return 0, errProcessDead
	}
	w.file.mu.Lock()
	defer w.file.mu.Unlock()
	w.file.data = append(w.file.data, b...)
	return len(b), nil
}

const (
	listenBacklog = 512  // capacity of a listener's queue of connections that wait for Accept
	minWriteUs    = 200  // minimum latency of a disk write in microseconds
	writeRangeUs  = 1800 // range of the random latency that is added to minWriteUs
)

// errProcessDead is returned by disk and journal calls of a process that was killed.
var errProcessDead = errors.New("the simulated process was killed")

// disk returns access to a folder of the machine's disk for this process.
func (p *proc) disk(folder string) storage.Disk { return &disk{p, folder} }

// disk is a folder of a machine's disk, accessed by one incarnation of a process.
type disk struct {
	proc   *proc
	folder string
}

// Read implements storage.Disk.
//
// Example: content, exists, err := disk.Read("slot-0")
func (d *disk) Read(name string) ([]byte, bool, error) {
	if !d.proc.awaitRunning() {
		return nil, false, errProcessDead
	}
	b, ok := d.proc.machine.read(d.folder, name)
	return b, ok, nil
}

// change applies a write of b to a file after a random latency, or after the stall that the disk's fault sets. If the
// process is killed meanwhile, a random prefix of b is written, as with a power loss in the middle of a write.
func (d *disk) change(name string, b []byte, write func(old, b []byte) []byte) error {
	if !d.proc.awaitRunning() {
		return errProcessDead
	}
	stall, err := storage.ParseFault(d.proc.machine.fault())
	if err != nil {
		return err
	}
	timer := time.NewTimer(max(stall, time.Duration(minWriteUs+d.proc.randomBelow(writeRangeUs))*time.Microsecond))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.proc.dead:
	}
	if !d.proc.awaitRunning() {
		d.proc.machine.write(d.proc, d.folder, name, func(old []byte) []byte { return write(old, b[:d.proc.randomBelow(int64(len(b)+1))]) })
		return errProcessDead
	}
	d.proc.machine.write(d.proc, d.folder, name, func(old []byte) []byte { return write(old, b) })
	return nil
}

// Write implements storage.Disk: it replaces a file.
//
// Example: err := disk.Write("slot-0", b)
func (d *disk) Write(name string, b []byte) error {
	return d.change(name, b, func(_, b []byte) []byte { return append([]byte(nil), b...) })
}

// Append implements storage.Disk.
//
// Example: err := disk.Append("log-0", rec)
func (d *disk) Append(name string, b []byte) error {
	return d.change(name, b, func(old, b []byte) []byte { return append(append([]byte(nil), old...), b...) })
}

// Truncate implements storage.Disk.
//
// Example: err := disk.Truncate("log-0", 128)
func (d *disk) Truncate(name string, size int) error {
	return d.change(name, nil, func(old, _ []byte) []byte { return old[:min(size, len(old))] })
}
