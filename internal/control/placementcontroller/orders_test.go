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

// Orders to eighteen workers that do not respond take no longer than one order. Every order ends before another
// machine may acquire the lease, and no order is sent once the lease has expired.
func TestSilentWorkersDelayNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bounds := settings.DefaultBounds()
		clk := clock.Synctest()
		sent := atomic.Int32{}
		environment := daemon.Environment{Clock: clk, Dial: func(context.Context, string, string) (net.Conn, error) {
			sent.Add(1)
			<-time.After(bounds.Leave(1.0 / 3)) // each dial fails after this timeout
			return nil, errors.New("timeout")
		}}
		process := daemon.NewIn(environment, "placement", settings.Process{Name: "core-1", Bounds: bounds, Options: []string{"log=off"}})
		defer process.Stop(0)
		controller := &Controller{process: process, clock: clk, backends: contract.NewBackends(process.Dial)}
		ttl := bounds.Recovery(settings.LeaseRatio)
		lease := controlclient.NewLease(nil, clk, "d", 1, "core-1/1", ttl)
		requestedAt := clk.Now()
		lease.HandleResponse(requestedAt, &wire.ChangeResponse{Outcome: wire.OutcomeDone, Fence: 4})
		var workers []*wire.Worker
		for i := range 18 {
			workers = append(workers, &wire.Worker{Name: fmt.Sprint("w", i), Addr: fmt.Sprintf("127.0.0.1:%d", i+1)})
		}
		start := time.Now()
		if err := controller.sendOrders(lease, workers, 2); err == nil || time.Since(start) != bounds.Recovery(settings.OrderTimeoutRatio) || sent.Load() != 18 {
			t.Errorf("orders to 18 silent workers: error %v after %v, %d sent, want all sent and a timeout of one order", err, time.Since(start), sent.Load())
		}
		last := time.NewTimer(requestedAt + ttl - time.Duration(float64(ttl)*settings.LeaseMarginRatio) - clk.Now() - 1)
		<-last.C // the last instant at which the lease is held
		sent.Store(0)
		if err := controller.sendOrders(lease, workers, 2); err == nil || sent.Load() != 18 {
			t.Errorf("orders at the last instant of the lease: error %v, %d sent, want a timeout and 18 sent", err, sent.Load())
		}
		if next := requestedAt + ttl + time.Duration(float64(ttl)*settings.LeaseMarginRatio); clk.Now() >= next {
			t.Errorf("the last order ended at %v, want it before %v, when the next holder may send orders", clk.Now(), next)
		}
		sent.Store(0)
		if err := controller.sendOrders(lease, workers, 2); err != nil || sent.Load() != 0 {
			t.Errorf("orders after the lease has expired: error %v, %d sent, want none sent and no error", err, sent.Load())
		}
		<-time.After(bounds.Leave(1)) // wait until all dials have ended
	})
}
