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

// Environment contains everything through which a program interacts with the operating system. Simulations run the
// unmodified programs with a different Environment.
type Environment struct {
	Clock     clock.Clock      // monotonic clock; the only clock that decisions depend on
	WallClock func() time.Time // wall clock time for people to read; no decision depends on it
	Listen    func(addr string) (net.Listener, error)
	Dial      func(ctx context.Context, network, addr string) (net.Conn, error)
	Disk      func(folder string) storage.Disk
	Journal   func(file string) (io.Writer, error) // opens a file for appending records that a simulator keeps across restarts
	Seed      func() uint64                        // returns seeds for random number generators
}

// RealEnvironment returns the environment of a process that runs on a machine and not in a simulation.
//
// Example: environment := daemon.RealEnvironment(processSettings)
func RealEnvironment(processSettings settings.Process) Environment {
	wallClock := time.Now
	if file := processSettings.Option("wall", ""); file != "" { // the option names a file with an offset that fault tests add to the wall clock
		wallClock = func() time.Time { return time.Now().Add(wallClockOffset(file)) }
	}
	dial := processSettings.Dialer().DialContext
	if processSettings.Site != nil {
		dial = siteDialer(processSettings).DialContext
	}
	return Environment{Clock: clock.BootTime(), WallClock: wallClock, Dial: dial, Disk: storage.Directory, Seed: rand.Uint64,
		Listen:  func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) },
		Journal: openJournal}
}

func openJournal(file string) (io.Writer, error) {
	return os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
}

// unacknowledgedRatio is the longest time that bytes sent over a TCP connection may stay unacknowledged before the
// kernel closes the connection, as a ratio of Bounds.LeaveMs.
const unacknowledgedRatio = 0.4

// siteDialer returns a dialer for TCP connections that is not bound to a local address. A peer that loses power sends no
// reset, so the dialer sets TCP_USER_TIMEOUT: the kernel then closes a connection if sent bytes stay unacknowledged for
// longer than unacknowledgedRatio allows.
func siteDialer(processSettings settings.Process) *net.Dialer {
	timeout := processSettings.Bounds.Leave(unacknowledgedRatio)
	return &net.Dialer{Timeout: processSettings.DialTimeout(), KeepAlive: -1, Control: func(_, _ string, conn syscall.RawConn) error {
		var optionErr error
		err := conn.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
}

// wallClockOffset reads from a file the number of milliseconds that is added to the wall clock. It returns zero if the
// file is missing or invalid.
func wallClockOffset(file string) time.Duration {
	raw, err := os.ReadFile(file)
	if err != nil {
		return 0
	}
	offset, err := strconv.Atoi(strings.TrimSpace(string(raw)))
	if err != nil {
		return 0
	}
	return time.Duration(offset) * time.Millisecond
}
