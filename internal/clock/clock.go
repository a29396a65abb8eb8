// Package clock provides the monotonic clock on which all decisions are based, and waits that a context can end. The
// clock includes the time during which the machine is suspended and never jumps; no decision uses the wall clock.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since a fixed origin. Different clocks have different origins, so times of two clocks can't be
// compared.
type Clock interface{ Now() time.Duration }

type bootTime struct{}

// Now returns the time since the machine booted, including time in suspend.
func (bootTime) Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has CLOCK_BOOTTIME since version 2.6.39. Without that clock, pebbleloom can't guarantee any time limit.
		panic("clock: CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return time.Duration(now.Nano())
}

// BootTime returns a clock that shows the time since the machine booted, including time in suspend.
//
// Example: start := clock.BootTime().Now()
func BootTime() Clock { return bootTime{} }

// Manual is a Clock whose time tests and simulators set. It is not safe for concurrent use.
type Manual struct{ Time time.Duration }

// Now returns the time that was set.
//
// Example: (&clock.Manual{Time: time.Second}).Now() == time.Second
func (m *Manual) Now() time.Duration { return m.Time }

type synctestClock struct{ start time.Time }

// Now returns the fake time of the testing/synctest bubble since the clock was created, plus one hour.
func (c synctestClock) Now() time.Duration { return time.Hour + time.Since(c.start) }

// Synctest returns a clock that follows the fake time of a testing/synctest bubble. It starts at one hour, so that the
// zero time is in the past.
//
// Example: clk := clock.Synctest()
func Synctest() Clock { return synctestClock{time.Now()} }

// Sleep waits for a duration, or until the context ends if that is earlier.
//
// Example: clock.Sleep(ctx, 40*time.Millisecond)
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// NewTicker returns a ticker with an interval of at least one millisecond. time.NewTicker panics if an interval that is
// computed from the settings is zero.
//
// Example: ticker := clock.NewTicker(time.Second); defer ticker.Stop(); <-ticker.C
func NewTicker(interval time.Duration) *time.Ticker {
	return time.NewTicker(max(interval, time.Millisecond))
}

// Deadline returns the I/O deadline that is a duration from now. It doesn't depend on the wall clock, because the net package
// compares a time that has a monotonic reading by that reading.
//
// Example: err := conn.SetReadDeadline(clock.Deadline(time.Second))
func Deadline(duration time.Duration) time.Time { return time.Now().Add(duration) }
