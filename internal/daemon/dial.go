package daemon

import (
	"context"
	"net"
	"time"

	"pebbleloom/internal/settings"
)

// The kernel retransmits a lost SYN (because of a power failure, a partition or a full accept queue) only after a second
// or more. Further attempts to connect to another pebbleloom process therefore start before the kernel retransmits.
const (
	secondDialRatio   = 1.0 / 60 // time between the first and the second connection attempt, as a ratio of Bounds.LeaveMs
	dialBackoffFactor = 1.5      // factor by which the time between connection attempts grows with each attempt
	maxDials          = 6
)

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

type dialResult struct {
	conn net.Conn
	err  error
}

// hedgedDial returns a dial function that calls dial up to maxDials times, concurrently and at growing intervals, until
// one of the calls returns. It returns the result of that call, even if it is an error, and closes the connections that
// the other calls establish later.
func hedgedDial(dial dialFunc, bounds settings.Bounds) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithCancel(ctx)
		results := make(chan dialResult, maxDials)
		started, ended, delay := 0, 0, bounds.Leave(secondDialRatio)
		nextDial := time.NewTimer(delay)
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
					delay = time.Duration(float64(delay) * dialBackoffFactor)
					nextDial.Reset(delay)
				}
			}
		}
	}
}

// closeLate waits for the results of the connection attempts that are still pending and closes their connections.
func closeLate(results <-chan dialResult, pending int) {
	for range pending {
		if late := <-results; late.conn != nil {
			late.conn.Close()
		}
	}
}
