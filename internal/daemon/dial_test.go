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

// fakePeer returns a dial function for a simulated peer that becomes reachable after the duration reachableAfter. Calls
// that start earlier block until their context ends. Later calls return after the duration latency: the error refusal if
// it is not nil, else a connection. The function counts its calls in dials and the open connections in open.
func fakePeer(reachableAfter, latency time.Duration, refusal error, dials, open *atomic.Int64) dialFunc {
	startedAt := time.Now()
	return func(ctx context.Context, _, _ string) (net.Conn, error) {
		dials.Add(1)
		if time.Since(startedAt) < reachableAfter {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		response := time.NewTimer(latency)
		defer response.Stop()
		<-response.C
		if refusal != nil {
			return nil, refusal
		}
		open.Add(1)
		return countedConn{open}, nil
	}
}

// countedConn is a connection that decrements the number of open connections when it is closed.
type countedConn struct{ open *atomic.Int64 }

func (c countedConn) Read([]byte) (int, error)         { return 0, nil }
func (c countedConn) Write([]byte) (int, error)        { return 0, nil }
func (c countedConn) Close() error                     { c.open.Add(-1); return nil }
func (c countedConn) LocalAddr() net.Addr              { return nil }
func (c countedConn) RemoteAddr() net.Addr             { return nil }
func (c countedConn) SetDeadline(time.Time) error      { return nil }
func (c countedConn) SetReadDeadline(time.Time) error  { return nil }
func (c countedConn) SetWriteDeadline(time.Time) error { return nil }

// If a peer becomes reachable during a dial, the connection must be established shortly afterwards, and not only when the
// kernel retransmits the lost SYN. A refused connection ends the dial. If several connections to a slow peer are
// established, only one stays open.
func TestHedgedDialRepeatsUnansweredDials(t *testing.T) {
	refused := errors.New("connection refused")
	bounds := settings.DefaultBounds()
	for _, c := range []struct {
		name                    string
		reachableAfter, latency time.Duration
		refusal                 error
		maxDuration             time.Duration
		dials                   int64
	}{
		{"reachable peer", 0, time.Millisecond, nil, time.Millisecond, 1},
		{"reachable after 100 ms", 100 * time.Millisecond, time.Millisecond, nil, 130 * time.Millisecond, 3},
		{"reachable after 600 ms", 600 * time.Millisecond, time.Millisecond, nil, 700 * time.Millisecond, 6},
		{"refused connection", 0, time.Millisecond, refused, time.Millisecond, 1},
		{"refused after 100 ms", 100 * time.Millisecond, time.Millisecond, refused, 130 * time.Millisecond, 3},
		{"slow peer", 0, 300 * time.Millisecond, nil, 300 * time.Millisecond, 4},
		{"unreachable peer", time.Hour, 0, context.DeadlineExceeded, time.Second, maxDials},
	} {
		synctest.Test(t, func(t *testing.T) {
			var dials, open atomic.Int64
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			startedAt := time.Now()
			conn, err := hedgedDial(fakePeer(c.reachableAfter, c.latency, c.refusal, &dials, &open), bounds)(ctx, "tcp", "far:1")
			duration := time.Since(startedAt)
			if !errors.Is(err, c.refusal) || duration > c.maxDuration || dials.Load() != c.dials {
				t.Errorf("hedged dial (%s): error %v after %v and %d dials; want error %v within %v and %d dials", c.name, err, duration, dials.Load(), c.refusal, c.maxDuration, c.dials)
			}
			later := time.NewTimer(time.Minute)
			<-later.C
			synctest.Wait()
			if want := map[bool]int64{true: 1}[conn != nil]; open.Load() != want {
				t.Errorf("hedged dial (%s): %d connections are still open after one minute, want %d", c.name, open.Load(), want)
			}
		})
	}
}
