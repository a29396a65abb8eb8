package testbed

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/programs"
)

// Links relay all connections between the machines of a site: each process is reached through a relay at an address
// of its own, which knows the client by its address. A link can be cut in one or both directions, delayed or slowed.
type Links struct {
	mu        sync.Mutex             // protects rules, wake and names
	rules     map[[2]string]LinkRule // by the machines from and to
	wake      chan struct{}          // closed when rules change
	names     map[netip.Addr]string  // machine by address
	listeners []net.Listener
	quit      chan struct{}
}

// LinkRule is how a link treats the bytes from one machine to another; the zero value passes them on at once.
type LinkRule struct {
	Partitioned    bool
	Delay          time.Duration
	BytesPerSecond float64 // 0: no limit
}

// NewLinks returns links without rules.
//
// Example: links := testbed.NewLinks()
func NewLinks() *Links {
	return &Links{rules: map[[2]string]LinkRule{}, wake: make(chan struct{}), names: map[netip.Addr]string{}, quit: make(chan struct{})}
}

// NameAddress records the machine that an address belongs to.
//
// Example: links.NameAddress("127.10.1.11", "edge-1")
func (l *Links) NameAddress(ip, machine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.names[netip.MustParseAddr(ip)] = machine
}

// Set sets the rule of the link from one machine to another; "*" is any machine. The zero rule removes it.
//
// Example: links.Set("edge-1", "core-2", testbed.LinkRule{Cut: true})
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

// HealLinks removes all rules.
//
// Example: links.HealLinks()
func (l *Links) HealLinks() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.rules)
	close(l.wake)
	l.wake = make(chan struct{})
}

// RuleBetween returns the strictest combination of the rules that apply from one machine to another, and a channel
// that is closed when rules change.
//
// Example: rule, changed := links.RuleBetween("edge-1", "core-2")
func (l *Links) RuleBetween(from, to string) (LinkRule, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var combined LinkRule
	for _, link := range [][2]string{{from, to}, {"*", to}, {from, "*"}} {
		rule := l.rules[link]
		combined.Partitioned = combined.Partitioned || rule.Partitioned
		combined.Delay = max(combined.Delay, rule.Delay)
		if rule.BytesPerSecond > 0 && (combined.BytesPerSecond == 0 || rule.BytesPerSecond < combined.BytesPerSecond) {
			combined.BytesPerSecond = rule.BytesPerSecond
		}
	}
	return combined, l.wake
}

// Relay listens at one address and relays connections to another, that of a machine's process.
//
// Example: err := links.Relay("127.110.1.11:7000", "127.10.1.11:7000", "edge-1")
func (l *Links) Relay(at, to, machine string) error {
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return errs.WrapAs(err, errs.BadInput, "relay at "+at)
	}
	l.listeners = append(l.listeners, listener)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // closed
			}
			go l.proxyConn(conn, to, machine)
		}
	}()
	return nil
}

func (l *Links) proxyConn(client net.Conn, to, machine string) {
	from := "?"
	if addr, err := netip.ParseAddrPort(client.RemoteAddr().String()); err == nil {
		l.mu.Lock()
		if name := l.names[addr.Addr().Unmap()]; name != "" {
			from = name
		}
		l.mu.Unlock()
	}
	defer client.Close()
	if !l.awaitLink(from, machine, 0) { // connecting waits like the bytes after it
		return
	}
	server, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		// Nobody listens: reset the connection, as the machine itself would refuse it.
		if tcp, ok := client.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // sends a reset instead of an orderly end
		}
		return
	}
	defer server.Close()
	done := make(chan struct{}, 2)
	go func() { l.copy(server, client, from, machine); done <- struct{}{} }()
	go func() { l.copy(client, server, machine, from); done <- struct{}{} }()
	select {
	case <-done:
		<-done
	case <-l.quit:
	}
}

// copy relays bytes in one direction, and an orderly end or a reset of it.
func (l *Links) copy(dst, src net.Conn, from, to string) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			if !l.awaitLink(from, to, n) {
				break
			}
			if _, e := dst.Write(buffer[:n]); e != nil {
				break
			}
		}
		if err != nil {
			if err != io.EOF {
				if tcp, ok := dst.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0) // a reset is relayed as a reset
				}
				break
			}
			if tcp, ok := dst.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // if it fails, the peer sees a reset
			}
			return
		}
	}
	dst.Close()
	src.Close()
}

// awaitLink waits until n bytes may pass by the link's rule; it reports false if the links are closed.
func (l *Links) awaitLink(from, to string, bytes int) bool {
	for {
		rule, wake := l.RuleBetween(from, to)
		if !rule.Partitioned {
			delay := rule.Delay
			if rule.BytesPerSecond > 0 {
				delay += time.Duration(float64(bytes) / rule.BytesPerSecond * float64(time.Second))
			}
			if delay > 0 {
				time.Sleep(delay)
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
// Example: defer links.Close()
func (l *Links) Close() {
	close(l.quit)
	for _, listener := range l.listeners {
		listener.Close()
	}
}

// addRelays routes a site's connections through links: each process advertises a relay's address, whose second
// byte is net+100.
func (s *Site) addRelays(links *Links, net int) error {
	old, via := fmt.Sprintf("127.%d.", net), fmt.Sprintf("127.%d.", net+100)
	relayed := func(a string) string { return strings.Replace(a, old, via, 1) }
	var batch errs.Batch
	for i := range s.Processes {
		process := &s.Processes[i].Settings
		links.NameAddress(strings.Split(process.Listen, ":")[0], process.Name)
		batch.Add("relay", links.Relay(relayed(process.Listen), process.Listen, process.Name))
		process.Advertise = relayed(process.Listen)
		switch s.Processes[i].Program {
		case programs.WorkerSim, programs.StoreSim, programs.AppServiceSim, programs.PlatformSim:
			batch.Add("relay", links.Relay(relayed(process.Public), process.Public, process.Name))
		}
		for j := range process.Seeds {
			process.Seeds[j] = strings.Replace(process.Seeds[j], old, via, 1)
		}
		process.WorkerList = relayed(process.WorkerList)
	}
	for i := range s.WorkerList {
		s.WorkerList[i].Addr = relayed(s.WorkerList[i].Addr)
	}
	return batch.Err()
}
