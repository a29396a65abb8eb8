package daemon

import (
	"context"
	"net"
	"time"

	"pebbleloom/internal/settings"
)

// A SYN that meets a machine without power, a partition or a full queue is lost silently,
// and the kernel retransmits it after a second or more. Between pebbleloom's own processes a new
// connection is opened beside the first one sooner: the pauses grow from firstDialRatio on, a ratio of the
// leave bound.
const (
	firstDialRatio    = 1.0 / 60
	dialBackoffFactor = 1.5
	maxDials          = 6
)

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// hedgedDial dials again while there is no result; the first result counts, a refusal included.
func hedgedDial(dial dialFunc, b settings.Bounds) dialFunc {
	type end struct {
		c   net.Conn
		err error
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, stop := context.WithCancel(ctx)
		ends := make(chan end, maxDials)
		begun, ended, pause := 0, 0, b.Leave(firstDialRatio)
		again := time.NewTimer(pause)
		defer again.Stop()
		begin := func() {
			begun++
			go func() {
				c, err := dial(ctx, network, addr)
				ends <- end{c, err}
			}()
		}
		defer func() {
			stop()
			go func(left int) { // close late connections
				for range left {
					if e := <-ends; e.c != nil {
						e.c.Close()
					}
				}
			}(begun - ended)
		}()
		begin()
		for {
			select {
			case e := <-ends:
				ended++
				return e.c, e.err
			case <-again.C:
				if begun < maxDials {
					begin()
					pause = time.Duration(float64(pause) * dialBackoffFactor)
					again.Reset(pause)
				}
			}
		}
	}
}
