package daemon

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/settings"
)

// far answers dials: those before an instant are lost without a word, the others succeed after a
// while, or are refused.
func far(up, takes time.Duration, no error, dials, open *atomic.Int64) dialFunc {
	from := time.Now()
	return func(ctx context.Context, _, _ string) (net.Conn, error) {
		dials.Add(1)
		if time.Since(from) < up {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		end := time.NewTimer(takes)
		defer end.Stop()
		<-end.C
		if no != nil {
			return nil, no
		}
		open.Add(1)
		return counted{open}, nil
	}
}

type counted struct{ open *atomic.Int64 }

func (c counted) Read([]byte) (int, error)         { return 0, nil }
func (c counted) Write([]byte) (int, error)        { return 0, nil }
func (c counted) Close() error                     { c.open.Add(-1); return nil }
func (c counted) LocalAddr() net.Addr              { return nil }
func (c counted) RemoteAddr() net.Addr             { return nil }
func (c counted) SetDeadline(time.Time) error      { return nil }
func (c counted) SetReadDeadline(time.Time) error  { return nil }
func (c counted) SetWriteDeadline(time.Time) error { return nil }

// A machine that comes back is reached soon after, not when the lost first packet is sent again;
// one that says no is taken at its word; one that is slow gets one connection and no more.
func TestDialsAgainWhileNothingIsSaid(t *testing.T) {
	no := errors.New("connection refused")
	b := settings.DefaultBounds()
	for _, c := range []struct {
		name      string
		up, takes time.Duration
		no        error
		want      time.Duration // at most
		dials     int64
	}{
		{"it is up", 0, time.Millisecond, nil, time.Millisecond, 1},
		{"it comes back", 100 * time.Millisecond, time.Millisecond, nil, 130 * time.Millisecond, 3},
		{"it comes back late", 600 * time.Millisecond, time.Millisecond, nil, 700 * time.Millisecond, 6},
		{"it says no", 0, time.Millisecond, no, time.Millisecond, 1},
		{"it comes back and says no", 100 * time.Millisecond, time.Millisecond, no, 130 * time.Millisecond, 3},
		{"it is slow", 0, 300 * time.Millisecond, nil, 300 * time.Millisecond, 4},
		{"it is dark", time.Hour, 0, context.DeadlineExceeded, time.Second, maxDials},
	} {
		synctest.Test(t, func(t *testing.T) {
			var dials, open atomic.Int64
			ctx, end := context.WithTimeout(context.Background(), time.Second)
			defer end()
			from := time.Now()
			conn, err := hedgedDial(far(c.up, c.takes, c.no, &dials, &open), b)(ctx, "tcp", "far:1")
			took := time.Since(from)
			if !errors.Is(err, c.no) || took > c.want || dials.Load() != c.dials {
				t.Errorf("%s: %v after %v and %d dials", c.name, err, took, dials.Load())
			}
			far := time.NewTimer(time.Minute)
			<-far.C
			synctest.Wait()
			if want := map[bool]int64{true: 1}[conn != nil]; open.Load() != want {
				t.Errorf("%s: %d connections stay open", c.name, open.Load())
			}
		})
	}
}
