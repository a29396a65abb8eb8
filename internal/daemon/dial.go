package daemon

import (
	"context"
	"net"
	"time"

	"pebbleloom/internal/settings"
)

// A first packet that meets a machine without power, a cut or a full queue is lost without a word,
// and the system sends it again after a second or more. Between pebbleloom's own processes a new
// connection is begun beside the first one sooner: the pauses grow from firstDial on, a ratio of the
// leave bound.
const (
	firstDial = 1.0 / 60
	growDial  = 1.5
	maxDials  = 6
)

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// insistent dials again while no answer has come; the first connection counts, and an answer that
// says no ends it.
func hedgedDial(dial dialFunc, b settings.Bounds) dialFunc {
	type end struct {
		c   net.Conn
		err error
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, stop := context.WithCancel(ctx)
		ends := make(chan end, maxDials)
		begun, ended, pause := 0, 0, b.Leave(firstDial)
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
			go func(left int) { // those that come too late
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
					pause = time.Duration(float64(pause) * growDial)
					again.Reset(pause)
				}
			}
		}
	}
}
