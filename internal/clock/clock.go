// Package clock is the monotonic time that decisions are made by: it includes suspend and never jumps.
// The wall clock decides nothing in pebbleloom.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns instants as the time since an origin of its own.
type Clock interface{ Now() time.Duration }

type bootTime struct{}

func (bootTime) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has it since 2.6.39; without it no bound can be guaranteed.
		panic("clock: CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// BootTime is the time since the machine booted, suspend included.
//
// Example: t0 := clock.Boot().Now()
func BootTime() Clock { return bootTime{} }

// Manual is a clock that tests and simulators set by hand.
type Manual struct{ Time time.Duration }

// Now returns the time that was set.
//
// Example: (&clock.Manual{T: time.Second}).Now() == time.Second
func (m *Manual) Now() time.Duration { return m.Time }

type synctestClock struct{ start time.Time }

func (c synctestClock) Now() time.Duration { return time.Hour + time.Since(c.start) }

// Synctest follows the fake time of a synctest bubble, starting at one hour.
//
// Example: clk := clock.Ticking()
func Synctest() Clock { return synctestClock{time.Now()} }

// Sleep waits for a while, or until the context ends.
//
// Example: clock.Pause(ctx, 40*time.Millisecond)
func Sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// NewTicker is a ticker.
//
// Example: t := clock.Every(time.Second); defer t.Stop(); <-t.C
func NewTicker(interval time.Duration) *time.Ticker {
	return time.NewTicker(max(interval, time.Millisecond))
}
