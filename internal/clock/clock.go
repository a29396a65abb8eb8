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

type boot struct{}

func (boot) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has it since 2.6.39; without it no bound can be guaranteed.
		panic("clock: CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Boot is the time since the machine booted, suspend included.
//
// Example: t0 := clock.Boot().Now()
func Boot() Clock { return boot{} }

// Hand is a clock that tests and simulators set by hand.
type Hand struct{ T time.Duration }

// Now returns the time that was set.
//
// Example: (&clock.Hand{T: time.Second}).Now() == time.Second
func (h *Hand) Now() time.Duration { return h.T }

type ticking struct{ from time.Time }

func (k ticking) Now() time.Duration { return time.Hour + time.Since(k.from) }

// Ticking follows the fake time of a synctest bubble, starting at one hour.
//
// Example: clk := clock.Ticking()
func Ticking() Clock { return ticking{time.Now()} }

// Pause waits for a while, or until the context ends.
//
// Example: clock.Pause(ctx, 40*time.Millisecond)
func Pause(ctx context.Context, d time.Duration) {
	e := time.NewTimer(d)
	defer e.Stop()
	select {
	case <-ctx.Done():
	case <-e.C:
	}
}

// Every is a ticker.
//
// Example: t := clock.Every(time.Second); defer t.Stop(); <-t.C
func Every(d time.Duration) *time.Ticker { return time.NewTicker(max(d, time.Millisecond)) }
