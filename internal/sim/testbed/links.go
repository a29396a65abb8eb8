package testbed

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"pebbleloom/internal/errs"
)

// Links stand in the path between all machines of a site: each process is reached through
// a relay on an address of its own, which knows who calls by the caller's address. A link
// can be cut one way or both, stalled, or slowed.
type Links struct {
	mu        sync.Mutex
	rules     map[[2]string]LinkRule
	wake      chan struct{}
	names     map[netip.Addr]string // machine by address
	listeners []net.Listener
	quit      chan struct{}
}

// LinkRule is what a link does to bytes from one machine to another.
type LinkRule struct {
	Cut            bool
	Delay          time.Duration
	BytesPerSecond float64 // a second; 0: no bound
}

// NewLinks makes links without rules.
//
// Example: l := testbed.NewLinks()
func NewLinks() *Links {
	return &Links{rules: map[[2]string]LinkRule{}, wake: make(chan struct{}), names: map[netip.Addr]string{}, quit: make(chan struct{})}
}

// NameAddress tells which machine an address belongs to.
//
// Example: l.Name("127.10.1.11", "edge-1")
func (l *Links) NameAddress(ip, machine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.names[netip.MustParseAddr(ip)] = machine
}

// Set puts a rule on the way from one machine to another; "*" is any.
//
// Example: l.Set("edge-1", "core-2", testbed.LinkRule{Cut: true})
func (l *Links) Set(from, to string, r LinkRule) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r == (LinkRule{}) {
		delete(l.rules, [2]string{from, to})
	} else {
		l.rules[[2]string{from, to}] = r
	}
	close(l.wake)
	l.wake = make(chan struct{})
}

// HealLinks takes all rules away.
//
// Example: l.Heal()
func (l *Links) HealLinks() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.rules)
	close(l.wake)
	l.wake = make(chan struct{})
}

// RuleBetween gives the rule on the way from one machine to another, and what is closed when rules change.
//
// Example: r, changed := l.At("edge-1", "core-2")
func (l *Links) RuleBetween(from, to string) (LinkRule, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var r LinkRule
	for _, k := range [][2]string{{from, to}, {"*", to}, {from, "*"}} {
		x := l.rules[k]
		r.Cut = r.Cut || x.Cut
		r.Delay = max(r.Delay, x.Delay)
		if x.BytesPerSecond > 0 && (r.BytesPerSecond == 0 || x.BytesPerSecond < r.BytesPerSecond) {
			r.BytesPerSecond = x.BytesPerSecond
		}
	}
	return r, l.wake
}

// Relay listens at one address for a machine's process, and passes all on to the other.
//
// Example: err := l.Relay("127.110.1.11:7000", "127.10.1.11:7000", "edge-1")
func (l *Links) Relay(at, to, machine string) error {
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return errs.WrapAs(err, errs.BadInput, "relay at "+at)
	}
	l.listeners = append(l.listeners, ln)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return // closed
			}
			go l.proxyConn(c, to, machine)
		}
	}()
	return nil
}

func (l *Links) proxyConn(c net.Conn, to, machine string) {
	from := "?"
	if a, err := netip.ParseAddrPort(c.RemoteAddr().String()); err == nil {
		l.mu.Lock()
		if n := l.names[a.Addr().Unmap()]; n != "" {
			from = n
		}
		l.mu.Unlock()
	}
	defer c.Close()
	if !l.awaitLink(from, machine, 0) { // the first packet waits with the rest
		return
	}
	d, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		// Nobody listens: the caller is to see a refusal, as from the machine itself.
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // a reset, not an end
		}
		return
	}
	defer d.Close()
	done := make(chan struct{}, 2)
	go func() { l.copy(d, c, from, machine); done <- struct{}{} }()
	go func() { l.copy(c, d, machine, from); done <- struct{}{} }()
	select {
	case <-done:
		<-done
	case <-l.quit:
	}
}

// copy moves bytes one way; a half that ends is ended on the other side as well.
func (l *Links) copy(dst, src net.Conn, from, to string) {
	b := make([]byte, 16<<10)
	for {
		n, err := src.Read(b)
		if n > 0 {
			if !l.awaitLink(from, to, n) {
				break
			}
			if _, e := dst.Write(b[:n]); e != nil {
				break
			}
		}
		if err != nil {
			if err != io.EOF {
				if t, ok := dst.(*net.TCPConn); ok {
					_ = t.SetLinger(0) // broken here is broken there
				}
				break
			}
			if t, ok := dst.(*net.TCPConn); ok {
				_ = t.CloseWrite() // an end that can't be passed on is seen as a reset
			}
			return
		}
	}
	dst.Close()
	src.Close()
}

// awaitLink waits as the link's rule says; false when the links are taken down.
func (l *Links) awaitLink(from, to string, n int) bool {
	for {
		r, wake := l.RuleBetween(from, to)
		if !r.Cut {
			d := r.Delay
			if r.BytesPerSecond > 0 {
				d += time.Duration(float64(n) / r.BytesPerSecond * float64(time.Second))
			}
			if d > 0 {
				time.Sleep(d)
			}
			return true
		}
		select {
		case <-wake:
		case <-l.quit:
			return false
		}
	}
}

// Close closes all relays.
//
// Example: defer l.Down()
func (l *Links) Close() {
	close(l.quit)
	for _, ln := range l.listeners {
		ln.Close()
	}
}
