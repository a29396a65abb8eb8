package daemon

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/storage"
	"pebbleloom/internal/settings"
)

// Environment is everything that a program meets outside itself. A simulated site replaces it and
// nothing else: the programs are the same.
type Environment struct {
	Clock     clock.Clock      // monotonic: the only clock that decisions use
	WallClock func() time.Time // for people only
	Listen    func(addr string) (net.Listener, error)
	Dial      func(ctx context.Context, network, addr string) (net.Conn, error)
	Disk      func(folder string) storage.Disk
	Journal   func(file string) (io.Writer, error) // of a simulator; it outlives the process
	Seed      func() uint64                        // of random choices
}

// RealEnvironment is the environment of a process on a machine.
//
// Example: environment := daemon.RealEnvironment(place)
func RealEnvironment(p settings.Process) Environment {
	wall := time.Now
	if f := p.Option("wall", ""); f != "" { // a failure test makes the wall clock jump
		wall = func() time.Time { return time.Now().Add(wallClockOffset(f)) }
	}
	dial := p.Dialer().DialContext
	if p.Site != nil {
		dial = siteDialer(p).DialContext
	}
	return Environment{Clock: clock.BootTime(), WallClock: wall, Dial: dial, Disk: storage.Directory, Seed: rand.Uint64,
		Listen: func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) },
		Journal: func(file string) (io.Writer, error) {
			return os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		}}
}

// siteDialer dials from any address of the machine. A peer that lost power sends nothing: a connection
// ends once bytes have been unacknowledged for a ratio of the leave bound.
func siteDialer(p settings.Process) *net.Dialer {
	silent := p.Bounds.Leave(unacknowledgedRatio)
	return &net.Dialer{Timeout: p.Bounds.Leave(1.0 / 3), KeepAlive: -1, Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silent.Milliseconds()))
		}); e != nil {
			return e
		}
		return err
	}}
}

// unacknowledgedRatio is how long sent bytes may stay unacknowledged, as a ratio of the leave bound.
const unacknowledgedRatio = 0.4

// wallClockOffset reads by how many milliseconds a machine's wall clock is off; zero without a file.
func wallClockOffset(file string) time.Duration {
	raw, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	ms, err := strconv.Atoi(strings.TrimSpace(string(raw)))
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// OnStop calls stop once the program ends: of an actor, of a pool of connections.
//
// Example: process.OnStop(actor.Stop)
func (p *Process) OnStop(stop func()) { context.AfterFunc(p.Ctx, stop) }
