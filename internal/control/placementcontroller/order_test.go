package placementcontroller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// Eighteen silent workers hold an order up no longer than one does, and every order has landed
// or been given up before another may hold the lease; once the lease is over none goes off.
func TestSilentWorkersDelayNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := settings.DefaultBounds()
		clk := clock.Synctest()
		sent := atomic.Int32{}
		w := daemon.Environment{Clock: clk, Dial: func(context.Context, string, string) (net.Conn, error) {
			sent.Add(1)
			<-time.After(b.Leave(1.0 / 3)) // a dial is given up by itself
			return nil, errors.New("silence")
		}}
		l := daemon.NewIn(w, "placement", settings.Process{Name: "core-1", Bounds: b, Options: []string{"log=off"}})
		defer l.Stop(0)
		c := &Controller{process: l, clock: clk, backends: contract.NewBackends(l.Dial)}
		ttl := b.Heal(settings.LeaseRatio)
		lease := controlclient.NewLease(nil, clk, "d", 1, "core-1/1", ttl)
		asked := clk.Now()
		lease.HandleResponse(asked, &wire.ChangeResponse{Outcome: wire.OutcomeDone, Fence: 4})
		var ws []*wire.Worker
		for i := range 18 {
			ws = append(ws, &wire.Worker{Name: fmt.Sprint("w", i), Addr: fmt.Sprintf("127.0.0.1:%d", i+1)})
		}
		t0 := time.Now()
		if err := c.sendOrders(lease, ws, 2); err == nil || time.Since(t0) != b.Heal(settings.OrderTimeoutRatio) || sent.Load() != 18 {
			t.Errorf("%v after %v, %d sent", err, time.Since(t0), sent.Load())
		}
		last := time.NewTimer(asked + ttl - time.Duration(float64(ttl)*settings.LeaseMarginRatio) - clk.Now() - 1)
		<-last.C // the last instant at which the lease is held
		sent.Store(0)
		if err := c.sendOrders(lease, ws, 2); err == nil || sent.Load() != 18 {
			t.Errorf("held still: %v, %d sent", err, sent.Load())
		}
		if next := asked + ttl + time.Duration(float64(ttl)*settings.LeaseMarginRatio); clk.Now() >= next {
			t.Errorf("the last order ended at %v, the next holder may order from %v on", clk.Now(), next)
		}
		sent.Store(0)
		if err := c.sendOrders(lease, ws, 2); err != nil || sent.Load() != 0 {
			t.Errorf("not held: %v, %d sent", err, sent.Load())
		}
		<-time.After(b.Leave(1)) // all dials are over
	})
}
