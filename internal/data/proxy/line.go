package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"pebbleloom/internal/daemon"
	"pebbleloom/internal/errs"
)

// lines are the connections from this machine to workers.
type lines struct {
	l    *daemon.Process
	t    *http.Transport
	mu   sync.Mutex
	open map[string]int // by worker's address
	idle idles
}

// dialing is what a new connection is held to; it goes with the context of the attempt.
type dialing struct {
	most   int           // connections to one worker
	within time.Duration // until the connection stands
}

type dialingKey struct{}

func newLines(l *daemon.Process) *lines {
	s := &lines{l: l, open: map[string]int{}}
	s.t = &http.Transport{DialContext: s.dial, DisableCompression: true, MaxIdleConnsPerHost: 1 << 10,
		MaxResponseHeaderBytes: 64 << 10, ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10}
	return s
}

// dial opens a connection, within this machine's share of what the worker takes.
func (s *lines) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d, _ := ctx.Value(dialingKey{}).(dialing)
	s.mu.Lock()
	full := d.most > 0 && s.open[addr] >= d.most
	if !full {
		s.open[addr]++
	}
	s.mu.Unlock()
	if full {
		return nil, errs.New(errs.Overloaded, "%s: %d connections stand, no more are this machine's share", addr, d.most)
	}
	if d.within > 0 {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, d.within)
		defer stop()
	}
	c, err := s.l.Dial(ctx, network, addr)
	if err != nil {
		s.shut(addr)
		return nil, err
	}
	s.tend(c)
	return &line{Conn: c, shut: func() { s.shut(addr) }}, nil
}

func (s *lines) shut(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[addr]--; s.open[addr] <= 0 {
		delete(s.open, addr)
	}
}

// tend sees to it that a machine that has gone dark is noticed while there is nothing to send, too;
// what was sent and isn't acknowledged ends a connection of this world by itself.
func (s *lines) tend(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		b := s.l.Place.Bounds // where it can't be set, the request's own time is the bound
		_ = t.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: b.Leave(2.0 / 3), Interval: b.Leave(1.0 / 3), Count: 2})
	}
}

// line is one connection to a worker, held by one attempt at a time. It knows whether anything of
// an attempt ever left this machine.
type line struct {
	net.Conn
	shut func()

	mu      sync.Mutex
	stopped bool
	writing int  // writes under way
	sent    bool // the holder's bytes were taken by the kernel
	holder  any  // nil: none
	timer   *time.Timer
	once    sync.Once
}

// Write hands bytes to the kernel, unless the line was stopped before.
func (c *line) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.stopped {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.writing--
	c.sent = c.sent || n > 0
	c.mu.Unlock()
	return n, err
}

// Read takes what the worker sends. What comes while nobody holds the line belongs to no request.
func (c *line) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		stray := c.holder == nil
		c.mu.Unlock()
		if stray {
			c.Close()
			return 0, io.EOF
		}
	}
	return n, err
}

// Close ends the line.
func (c *line) Close() error {
	c.mu.Lock()
	c.stopped = true
	if c.timer != nil {
		c.timer.Stop()
	}
	c.mu.Unlock()
	c.once.Do(c.shut)
	return c.Conn.Close()
}

// take makes the line an attempt's.
func (c *line) take(by any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder, c.sent = by, false
	if c.timer != nil {
		c.timer.Stop()
	}
}

// rest keeps the line for the next attempt, but no longer than the worker is sure to. The next may
// hold it already.
func (c *line) rest(by any, keep time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder != by {
		return
	}
	c.holder = nil
	if c.timer == nil {
		c.timer = time.AfterFunc(keep, c.lapse)
	} else {
		c.timer.Reset(keep)
	}
}

func (c *line) lapse() {
	c.mu.Lock()
	idle := c.holder == nil
	c.mu.Unlock()
	if idle { // taken this very moment: its holder can't send a byte, and takes another
		c.Close()
	}
}

// stop ends the line for good and tells whether the attempt that held it is proven not to have
// left this machine: no byte was taken by the kernel, and none will be. A line that another holds
// by now goes on.
func (c *line) stop(by any) (untouched bool) {
	c.mu.Lock()
	if c.holder != by {
		c.mu.Unlock()
		return false
	}
	c.stopped = true
	untouched = !c.sent && c.writing == 0
	c.mu.Unlock()
	c.Close()
	return untouched
}

// keeps reads how long a worker keeps an idle connection; or is what holds where it says nothing.
func keeps(h http.Header, or time.Duration) time.Duration {
	for _, line := range h["Keep-Alive"] {
		for word := range strings.SplitSeq(line, ",") {
			k, v, _ := strings.Cut(strings.TrimSpace(word), "=")
			if n, err := strconv.Atoi(strings.TrimSpace(v)); err == nil && strings.EqualFold(strings.TrimSpace(k), "timeout") && n >= 0 {
				return time.Duration(n) * time.Second * 4 / 5
			}
		}
	}
	return or
}
