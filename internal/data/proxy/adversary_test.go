package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
)

// step is a moment of a call, as the worker sees it.
type step int

const (
	connected   step = iota // the connection stands, and the request's first byte hasn't come
	headCame                // the request's head was read
	halfBodyIn              // and half of its body
	bodyCame                // the whole request was read: from here on it has run
	firstByte               // one byte of the answer was sent
	halfHead                // half of the answer's head
	halfBodyOut             // half of the answer's body
	answered                // the whole answer, in one piece with what follows
	later                   // the answer is with the client
	steps
)

func (s step) String() string {
	return [steps]string{"connected", "head came", "half of the body came", "body came", "first byte", "half of the head", "half of the answer", "answered", "later"}[s]
}

// fault is what a worker does wrong.
type fault int

const (
	silence fault = iota
	reset
	finish // the connection is closed in order
	extra  // bytes that are nothing
	doubled
	lateAnswer  // of an earlier request, in the slot of this one
	wrongID     // in place of its own answer
	garbageOnly // and the end
	faults
)

func (f fault) String() string {
	return [faults]string{"silence", "reset", "FIN", "extra bytes", "the answer doubled", "an earlier answer", "another's answer", "garbage"}[f]
}

// adversary is a worker on a real socket that misbehaves at one step of one request, and keeps a
// journal of what it ran and of the connections that may not be used again.
type adversary struct {
	fleet.Worker
	t    *testing.T
	plan func(id string, served int) (step, fault, bool) // of a request; id is "" while none has come
	done chan struct{}                                   // closed once it has misbehaved
	got  chan struct{}                                   // closed once the client has its answer

	mu      sync.Mutex
	once    sync.Once
	runs    map[string]int
	tainted int // requests that came on a connection after bytes that had come with an answer
}

func newAdversary(t *testing.T, id string, plan func(string, int) (step, fault, bool)) *adversary {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &adversary{Worker: fleet.Worker{ID: id, Service: "s", Addr: ln.Addr().String(), Slots: 8}, t: t, plan: plan,
		done: make(chan struct{}), got: make(chan struct{}), runs: map[string]int{}}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go a.serve(&wrongdoer{Conn: c, a: a, br: bufio.NewReader(c)})
		}
	}()
	return a
}

func (a *adversary) ran(id string) int { a.mu.Lock(); defer a.mu.Unlock(); return a.runs[id] }

// wrongdoer is one connection of an adversary.
type wrongdoer struct {
	net.Conn
	a      *adversary
	br     *bufio.Reader
	served int
	acted  bool
	strays bool // bytes that belong to no request came together with an answer
	gone   bool
}

// serve answers requests one after another, each step by step.
func (a *adversary) serve(c *wrongdoer) {
	defer c.Close()
	for !c.gone {
		if c.at(connected, "", nil); c.gone {
			return
		}
		r, err := http.ReadRequest(c.br)
		if err != nil {
			return
		}
		if c.strays {
			a.mu.Lock()
			a.tainted++
			a.mu.Unlock()
		}
		c.answer(r)
		if c.acted {
			a.once.Do(func() { close(a.done) })
		}
		c.served++
	}
}

// answer plays one request from its head on.
func (c *wrongdoer) answer(r *http.Request) {
	id := r.Header.Get("Go-Id")
	out := ownAnswer(r, id)
	if c.at(headCame, id, out); c.gone {
		return
	}
	half := make([]byte, max(0, r.ContentLength/2))
	if _, err := io.ReadFull(r.Body, half); err != nil {
		c.gone = true
		return
	}
	if c.at(halfBodyIn, id, out); c.gone {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		c.gone = true
		return
	}
	c.a.mu.Lock()
	c.a.runs[id]++
	c.a.mu.Unlock()
	if c.at(bodyCame, id, out); c.gone {
		return
	}
	head := strings.Index(string(out), "Go-Seal")
	body := strings.Index(string(out), "\r\n\r\n") + 4
	from := 0
	for _, x := range []struct {
		at step
		to int
	}{{firstByte, 1}, {halfHead, head}, {halfBodyOut, (body + len(out)) / 2}} {
		if _, err := c.Write(out[from:x.to]); err != nil {
			c.gone = true
			return
		}
		from = x.to
		if c.at(x.at, id, out); c.gone {
			return
		}
	}
	if s, f, ok := c.a.plan(id, c.served); ok && s == answered && (f == extra || f == doubled || f == lateAnswer || f == wrongID) {
		_, _ = c.Write(append(out[from:len(out):len(out)], surplus(f, out)...)) // in one piece
		c.acted, c.strays = true, true
		return
	}
	if _, err := c.Write(out[from:]); err != nil {
		c.gone = true
		return
	}
	if c.at(answered, id, out); c.gone {
		return
	}
	if s, _, ok := c.a.plan(id, c.served); ok && s == later {
		<-c.a.got
		c.at(later, id, out)
	}
}

// surplus is what a worker sends that nobody waits for.
func surplus(f fault, own []byte) []byte {
	switch f {
	case extra:
		return []byte("\x00extra")
	case doubled:
		if own != nil {
			return own
		}
		return plainAnswer("old")
	case lateAnswer:
		return plainAnswer("old")
	}
	return plainAnswer("stranger")
}

// at misbehaves where the plan says so.
func (c *wrongdoer) at(s step, id string, own []byte) {
	ps, f, ok := c.a.plan(id, c.served)
	if !ok || ps != s || c.acted {
		return
	}
	c.acted = true
	switch f {
	case silence:
		c.a.once.Do(func() { close(c.a.done) })
		_, _ = io.Copy(io.Discard, c.Conn)
		c.gone = true
	case reset:
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		c.gone = true
	case finish:
		_ = c.Conn.(*net.TCPConn).CloseWrite()
		c.gone = true
	case garbageOnly:
		_, _ = c.Write([]byte("\x00\x01garbage\r\n\r\n"))
		c.gone = true
	case wrongID:
		_, _ = c.Write(surplus(f, own))
		c.a.once.Do(func() { close(c.a.done) })
		_, _ = io.Copy(io.Discard, c.Conn)
		c.gone = true
	default:
		_, _ = c.Write(surplus(f, own))
	}
	if c.gone {
		c.Close()
	}
	if c.gone || s == connected { // else the rest of the answer comes first
		c.a.once.Do(func() { close(c.a.done) })
	}
}

func plainAnswer(id string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nGo-Id: %s\r\nGo-Seal: seal\r\nContent-Length: %d\r\n\r\nof %s", id, len(id)+3, id)
}

// streamEvents are how many events a stream has.
const streamEvents = 4

func streamEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, id) }

// ownAnswer is the proper answer to a request: a body, or the events behind the last that it names.
func ownAnswer(r *http.Request, id string) []byte {
	if !strings.HasPrefix(r.URL.Path, "/resume/") {
		return plainAnswer(id)
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	out := fmt.Sprintf("HTTP/1.1 200 OK\r\nGo-Id: %s\r\nGo-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	for n := from + 1; n <= streamEvents; n++ {
		out += chunk(streamEvent(id, n))
	}
	return []byte(out + "0\r\n\r\n")
}

// wholeBody is what a client has to get.
func wholeBody(route, id string) (all string) {
	if route != "resume" {
		return "of " + id
	}
	for n := 1; n <= streamEvents; n++ {
		all += streamEvent(id, n)
	}
	return all
}

// realSite is one edge machine with workers, all on real sockets.
type realSite struct {
	t     *testing.T
	d     *server
	p     *selector
	front string
}

func newRealSite(t *testing.T, workers ...fleet.Worker) *realSite {
	t.Helper()
	s := &realSite{t: t, p: &selector{}}
	b := settings.Default()
	b.TryShare, b.TryAllow = 100, 1000
	place := settings.Place{Name: "e1", Zone: "d", Public: "front", Bounds: b, Extra: []string{"log=off"},
		Site: &settings.Site{Ready: "ready", MemoryMB: 256, GraceMs: 8000, TransitMs: 20}}
	clk := clock.BootTime()
	listen := func(name string) (net.Listener, error) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err == nil && name == "front" {
			s.front = ln.Addr().String()
		}
		return ln, err
	}
	l := daemon.NewIn(daemon.Environment{Clock: clk, Listen: listen, Dial: (&net.Dialer{}).DialContext}, "edge", place)
	snapshot := &fleet.Snapshot{Plan: routes(), ProofAt: clk.Now(), Edges: 1, Workers: workers}
	s.d = newServer(l, Config{Headers: names(), ReadyPath: "/up", Snapshot: func() *fleet.Snapshot { return snapshot }, Selector: s.p})
	if err := s.d.open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Stop(time.Millisecond) })
	return s
}

// send asks on a connection of its own, within a time.
func (s *realSite) send(route, id string, left time.Duration) reply {
	c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", s.front)
	if err != nil {
		return reply{err: err}
	}
	defer c.Close()
	text := strings.Replace(post(route, id, "the body of "+id), "Go-Left: 4000", "Go-Left: "+strconv.FormatInt(left.Milliseconds(), 10), 1)
	return (&caller{c, bufio.NewReader(c)}).ask(text)
}
