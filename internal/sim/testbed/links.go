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

// Links simulates the network between the machines of a site by TCP relays. Each process is reached through a relay at a
// separate address, and a relay identifies the machine that connects by its source address. A link can be cut in one or
// both directions, delayed, or limited in bandwidth.
type Links struct {
	mu        sync.Mutex             // protects rules, wake and names
	rules     map[[2]string]LinkRule // fault rules of the links by sending and receiving machine; "*" is any machine
	wake      chan struct{}          // channel that is closed and replaced when rules change
	names     map[netip.Addr]string  // name of the machine by its IP address
	listeners []net.Listener
	quit      chan struct{} // channel that Close closes to end the relayed connections
}

// LinkRule describes a network link from one machine to another; the zero value is a link that passes bytes on without
// delay.
type LinkRule struct {
	Partitioned    bool          // the link holds bytes back until the rule changes
	Delay          time.Duration // delay of each block of bytes that a relay reads
	BytesPerSecond float64       // bandwidth; 0: no limit
}

// NewLinks returns links without rules or relays.
//
// Example: links := testbed.NewLinks()
func NewLinks() *Links {
	return &Links{rules: map[[2]string]LinkRule{}, wake: make(chan struct{}), names: map[netip.Addr]string{}, quit: make(chan struct{})}
}

// NameAddress records which machine an IP address belongs to.
//
// Example: links.NameAddress("127.10.1.11", "edge-1")
func (l *Links) NameAddress(ip, machine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.names[netip.MustParseAddr(ip)] = machine
}

// Set sets the rule of the link from one machine to another; "*" is any machine. The zero rule removes it.
//
// Example: links.Set("edge-1", "core-2", testbed.LinkRule{Partitioned: true})
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

// HealLinks removes all link rules, so that every link passes bytes on without delay.
//
// Example: links.HealLinks()
func (l *Links) HealLinks() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.rules)
	close(l.wake)
	l.wake = make(chan struct{})
}

// RuleBetween returns the strictest combination of the rules that apply to the link from one machine to another, and a
// channel that is closed when any rule changes.
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

// Relay listens at relayAddr and relays connections to the address to, at which a process of the machine listens.
//
// Example: err := links.Relay("127.110.1.11:7000", "127.10.1.11:7000", "edge-1")
func (l *Links) Relay(relayAddr, to, machine string) error {
	listener, err := net.Listen("tcp", relayAddr)
	if err != nil {
		return errs.WrapAs(err, errs.BadInput, "listen at relay address "+relayAddr)
	}
	l.listeners = append(l.listeners, listener)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // Close has closed the listener
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
	if !l.awaitLink(from, machine, 0) { // a connection attempt waits for the link like data does
		return
	}
	server, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		// No process listens at the target: reset the connection, as the client would see a refused connection.
		if tcp, ok := client.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // makes Close send a TCP reset instead of a FIN
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

// copy relays bytes in one direction until the source ends its stream, and relays its FIN or reset as well.
func (l *Links) copy(dst, src net.Conn, from, to string) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			if !l.awaitLink(from, to, n) {
				break
			}
			if _, writeErr := dst.Write(buffer[:n]); writeErr != nil {
				break
			}
		}
		if err != nil {
			if err != io.EOF {
				if tcp, ok := dst.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0) // makes Close send a TCP reset, as the source did
				}
				break
			}
			if tcp, ok := dst.(*net.TCPConn); ok {
				_ = tcp.CloseWrite() // if sending the FIN fails, the peer sees a reset
			}
			return
		}
	}
	dst.Close()
	src.Close()
}

// awaitLink waits until the link's rule lets a block of the given number of bytes pass. It returns false if Close is
// called first.
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

// Close closes the listeners of all relays and ends their connections.
//
// Example: defer links.Close()
func (l *Links) Close() {
	close(l.quit)
	for _, listener := range l.listeners {
		listener.Close()
	}
}

// addRelays routes the connections between a site's processes through relays: each process advertises the address of its
// relay, which is its own address with net+100 instead of net as the second byte.
func (s *Site) addRelays(links *Links, net int) error {
	directPrefix, relayPrefix := fmt.Sprintf("127.%d.", net), fmt.Sprintf("127.%d.", net+100)
	relayed := func(a string) string { return strings.Replace(a, directPrefix, relayPrefix, 1) }
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
			process.Seeds[j] = strings.Replace(process.Seeds[j], directPrefix, relayPrefix, 1)
		}
		process.WorkerList = relayed(process.WorkerList)
	}
	for i := range s.WorkerList {
		s.WorkerList[i].Addr = relayed(s.WorkerList[i].Addr)
	}
	return batch.Err()
}
