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

// Environment is all that a program uses of the outside world. A simulated site replaces it and nothing
// else: the programs are the same.
type Environment struct {
	Clock     clock.Clock      // monotonic: the only clock that decisions use
	WallClock func() time.Time // for people only
	Listen    func(addr string) (net.Listener, error)
	Dial      func(ctx context.Context, network, addr string) (net.Conn, error)
	Disk      func(folder string) storage.Disk
	Journal   func(file string) (io.Writer, error) // of a simulator; it survives the process
	Seed      func() uint64                        // of random choices
}

// RealEnvironment returns the environment of a process on a machine.
//
// Example: environment := daemon.RealEnvironment(processSettings)
func RealEnvironment(processSettings settings.Process) Environment {
	wallClock := time.Now
	if file := processSettings.Option("wall", ""); file != "" { // a fault test makes the wall clock jump
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

// unacknowledgedRatio is how long sent bytes may stay unacknowledged, as a ratio of the leave bound.
const unacknowledgedRatio = 0.4

// siteDialer returns a dialer that connects from any address of the machine. A peer that lost power sends
// nothing, not even a reset, so the kernel ends connections whose bytes stay unacknowledged.
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

// wallClockOffset reads by how many milliseconds a machine's wall clock is off; zero without a file.
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
