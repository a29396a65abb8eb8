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

// World is all that a program meets outside itself. A simulated site swaps it and nothing
// else: the programs are the same.
type Environment struct {
	Clock   clock.Clock      // what decisions are made by
	Wall    func() time.Time // what people go by
	Listen  func(addr string) (net.Listener, error)
	Dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	Disk    func(folder string) storage.Disk
	Journal func(file string) (io.Writer, error) // a stand-in's, which outlives it
	Seed    func() uint64                        // of whatever is left to chance
}

// Real is the world of a process on a machine.
//
// Example: w := daemon.Real(place)
func RealEnvironment(p settings.Place) Environment {
	wall := time.Now
	if f := p.Word("wall", ""); f != "" { // a failure test makes the wall clock jump
		wall = func() time.Time { return time.Now().Add(wallClockOffset(f)) }
	}
	dial := p.Dialer().DialContext
	if p.Site != nil {
		dial = siteDialer(p).DialContext
	}
	return Environment{Clock: clock.Boot(), Wall: wall, Dial: dial, Disk: storage.Folder, Seed: rand.Uint64,
		Listen: func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) },
		Journal: func(file string) (io.Writer, error) {
			return os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		}}
}

// patient dials from any address of the machine. A colleague that went dark says nothing: what
// was sent and isn't acknowledged for a ratio of the leave bound ends the connection.
func siteDialer(p settings.Place) *net.Dialer {
	silent := p.Bounds.Leave(unackedRatio)
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

// silence is how long sent bytes may stay unacknowledged, as a ratio of the leave bound.
const unackedRatio = 0.4

// jump reads by how many milliseconds a machine's wall clock is off; no file, not at all.
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

// Until calls stop once the program ends: a table's owner, a pool of connections.
//
// Example: l.Until(desk.Stop)
func (l *Process) OnStop(stop func()) { context.AfterFunc(l.Ctx, stop) }
