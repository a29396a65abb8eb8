package daemon

import (
	"context"
	"net"
	"time"

	"pebbleloom/internal/settings"
)

// The kernel retransmits a SYN that was lost (a machine without power, a partition, a full queue) after
// a second or more. Between pebbleloom's own processes another connection is opened sooner.
const (
	firstDialRatio    = 1.0 / 60 // of the leave bound: when the second dial starts
	dialBackoffFactor = 1.5      // from one pause to the next
	maxDials          = 6
)

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

type dialResult struct {
	conn net.Conn
	err  error
}

// hedgedDial dials again while there is no result. The first result counts, also a refusal; connections
// that come later are closed.
func hedgedDial(dial dialFunc, bounds settings.Bounds) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithCancel(ctx)
		results := make(chan dialResult, maxDials)
		started, ended, pause := 0, 0, bounds.Leave(firstDialRatio)
		nextDial := time.NewTimer(pause)
		defer nextDial.Stop()
		start := func() {
			started++
			go func() {
				conn, err := dial(ctx, network, addr)
				results <- dialResult{conn, err}
			}()
		}
		defer func() {
			cancel()
			go closeLate(results, started-ended)
		}()
		start()
		for {
			select {
			case result := <-results:
				ended++
				return result.conn, result.err
			case <-nextDial.C:
				if started < maxDials {
					start()
					pause = time.Duration(float64(pause) * dialBackoffFactor)
					nextDial.Reset(pause)
				}
			}
		}
	}
}

// closeLate closes the connections of the dials that are still under way.
func closeLate(results <-chan dialResult, pending int) {
	for range pending {
		if late := <-results; late.conn != nil {
			late.conn.Close()
		}
	}
}
