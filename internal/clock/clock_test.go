package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestBootTimeDoesNotGoBack(t *testing.T) {
	boot := BootTime()
	for last, n := time.Duration(0), 0; n < 1000; n++ {
		now := boot.Now()
		if now < last {
			t.Fatalf("the boot time clock went back from %v to %v", last, now)
		}
		last = now
	}
}

func TestSleepEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clk := Synctest()
		start := clk.Now()
		Sleep(context.Background(), time.Minute)
		if slept := clk.Now() - start; slept != time.Minute {
			t.Errorf("Sleep of one minute took %v, want exactly one minute", slept)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Sleep(ctx, time.Minute)
		if slept := clk.Now() - start; slept != time.Minute {
			t.Errorf("Sleep with a canceled context took %v, want 0", slept-time.Minute)
		}
	})
}

func TestTickerAcceptsAnIntervalOfZero(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ticker := NewTicker(0)
		defer ticker.Stop()
		<-ticker.C
	})
}
