// Package clock provides the monotonic time that all decisions are made by, and waits that a context ends. Monotonic
// time includes suspend and never jumps; no decision depends on the wall clock.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time as the time since a fixed origin, which differs between clocks: times of two
// clocks can't be compared.
type Clock interface{ Now() time.Duration }

type bootTime struct{}

// Now implements Clock.
func (bootTime) Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Linux has this clock since 2.6.39. Without it no bound of time can be guaranteed.
		panic("clock: CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return time.Duration(now.Nano())
}

// BootTime returns the clock of the time since the machine booted, including suspend.
//
// Example: start := clock.BootTime().Now()
func BootTime() Clock { return bootTime{} }

// Manual is a Clock that tests and simulators set. It isn't safe for concurrent use.
type Manual struct{ Time time.Duration }

// Now returns Time.
//
// Example: (&clock.Manual{Time: time.Second}).Now() == time.Second
func (m *Manual) Now() time.Duration { return m.Time }

type synctestClock struct{ start time.Time }

// Now implements Clock.
func (c synctestClock) Now() time.Duration { return time.Hour + time.Since(c.start) }

// Synctest returns a clock that follows the fake time of a testing/synctest bubble. It starts at one hour, so
// that a zero time is in the past.
//
// Example: clk := clock.Synctest()
func Synctest() Clock { return synctestClock{time.Now()} }

// Sleep waits for a duration, or until the context ends.
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

// NewTicker returns a ticker with an interval of at least one millisecond, so that an interval that was scaled
// down to nothing doesn't panic.
//
// Example: ticker := clock.NewTicker(time.Second); defer ticker.Stop(); <-ticker.C
func NewTicker(interval time.Duration) *time.Ticker {
	return time.NewTicker(max(interval, time.Millisecond))
}
