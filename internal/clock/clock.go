// Package clock gives the instants that decisions are made by: a clock that counts sleep
// and never jumps. The wall clock decides nothing in pebbleloom.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells instants as the time since an origin of its own.
type Clock interface{ Now() time.Duration }

type boot struct{}

func (boot) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had it since 2.6.39; without it no bound can be kept.
		panic("clock: CLOCK_BOOTTIME can't be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Boot is the machine's clock since it booted, sleep included.
//
// Example: t0 := clock.Boot().Now()
func Boot() Clock { return boot{} }

// Hand is a clock moved by hand, for tests and simulators.
type Hand struct{ T time.Duration }

// Now tells where the hand stands.
//
// Example: (&clock.Hand{T: time.Second}).Now() == time.Second
func (h *Hand) Now() time.Duration { return h.T }

type ticking struct{ from time.Time }

func (k ticking) Now() time.Duration { return time.Hour + time.Since(k.from) }

// Ticking goes with the time of a test's bubble, from an hour on.
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

// Every is a clock event that comes again and again.
//
// Example: t := clock.Every(time.Second); defer t.Stop(); <-t.C
func Every(d time.Duration) *time.Ticker { return time.NewTicker(max(d, time.Millisecond)) }
