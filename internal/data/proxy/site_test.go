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
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/selection"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// names are those of the tests: the product must not mind which ones they are.
func names() Headers {
	return Headers{ID: "Go-Id", Left: "Go-Left", Tenant: "Go-Tenant", Expected: "Go-Life", Version: "Go-Version",
		Urgency: "Go-Urgency", Salt: "Go-Salt", Fetch: "Go-Fetch", Save: "Go-Save", Model: "Go-Model", Usage: "Go-Usage",
		Parts: "Go-Parts", LastEvent: "Last-Event-Id", NotRun: "Go-Not-Run", Seal: "Go-Seal", Load: "Go-Load",
		Weights: "Go-Weights", Scheme: "Bearer",
		ReadLeft: func(v string) (time.Duration, bool) {
			n, err := strconv.Atoi(v)
			return time.Duration(n) * time.Millisecond, err == nil
		},
		WriteLeft: func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) },
		ReadUsage: func(v string) (in, out int) { _, _ = fmt.Sscanf(v, "%d/%d", &in, &out); return },
		ReadParts: func(v string) (l []selection.PromptPart) {
			for _, s := range strings.Fields(v) {
				l = append(l, selection.PromptPart{ID: s, Tokens: len(s)})
			}
			return l
		},
		ReadLoad: func(v string) (l selection.Load, ok bool) {
			n, _ := fmt.Sscanf(v, "%d/%d/%d", &l.Running, &l.Waiting, &l.Slots)
			return l, n == 3
		}}
}

// wires are a site's links without a network: pipes, in a bubble of time.
type wires struct {
	mu sync.Mutex
	at map[string]*socket
	to map[string]int
}

type socket struct {
	w    *wires
	addr string
	in   chan net.Conn
	end  chan struct{}
	once sync.Once
}

func (s *socket) Accept() (net.Conn, error) {
	select {
	case c := <-s.in:
		return c, nil
	case <-s.end:
		return nil, net.ErrClosed
	}
}

func (s *socket) Close() error {
	s.once.Do(func() {
		s.w.mu.Lock()
		delete(s.w.at, s.addr)
		s.w.mu.Unlock()
		close(s.end)
	})
	return nil
}

func (s *socket) Addr() net.Addr { return &net.TCPAddr{} }

func (w *wires) Listen(addr string) (net.Listener, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &socket{w: w, addr: addr, in: make(chan net.Conn), end: make(chan struct{})}
	w.at[addr] = s
	return s, nil
}

func (w *wires) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	w.mu.Lock()
	s := w.at[addr]
	w.to[addr]++
	w.mu.Unlock()
	if s == nil {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	select {
	case s.in <- far:
		return near, nil
	case <-s.end:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// script plays a worker's part in one request; false: the connection ends.
type script func(c net.Conn, r *http.Request, body string) bool

// worker is one life of a worker that keeps a journal of what it ran.
type worker struct {
	fleet.Worker
	mu   sync.Mutex
	ran  []*http.Request
	got  []string // bodies
	play script
}

func (w *worker) runs() int { w.mu.Lock(); defer w.mu.Unlock(); return len(w.ran) }

func (w *worker) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			br := bufio.NewReader(c)
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				all, err := io.ReadAll(r.Body)
				if err != nil {
					return
				}
				w.mu.Lock()
				w.ran, w.got = append(w.ran, r), append(w.got, string(all))
				play := w.play
				w.mu.Unlock()
				if !play(c, r, string(all)) {
					return
				}
			}
		}()
	}
}

// selector takes the first worker of the service that wasn't tried, and keeps a journal.
type selector struct {
	mu      sync.Mutex
	endings []selection.Outcome
	loads   []selection.Load
	open    int
	dress   func(*selection.Choice)
}

func (p *selector) Lookup(context.Context, *fleet.Snapshot, *selection.Request) map[prefix.Key]*wire.LookupResult {
	return nil
}

func (p *selector) Select(s *fleet.Snapshot, r *selection.Request, _ map[prefix.Key]*wire.LookupResult, tried map[string]bool) (selection.Choice, bool) {
	for _, w := range s.Workers {
		if w.Service == r.Service && !w.Draining && !tried[w.ID] {
			c := selection.Choice{Worker: w, Urgency: -1}
			if p.dress != nil {
				p.dress(&c)
			}
			return c, true
		}
	}
	return selection.Choice{}, false
}

func (p *selector) RecordSent(*selection.Request, selection.Choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open++
}

func (p *selector) RecordFirstEvent(*selection.Request, selection.Choice, *selection.Load, time.Duration) {
}

func (p *selector) RecordOutcome(_ *selection.Request, _ selection.Choice, e selection.Outcome, l *selection.Load, _ time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.endings = append(p.endings, e)
	if l != nil {
		p.loads = append(p.loads, *l)
	}
}

// site is one edge machine with its workers and clients.
type site struct {
	t    *testing.T
	w    *wires
	l    *daemon.Process
	d    *server
	p    *selector
	once sync.Once
	snap atomic.Pointer[fleet.Snapshot]
	ws   []*worker
}

const front, readyAt, host = "10.0.0.1:80", "10.0.0.1:81", "any.example"

func routes() *routingconfig.Plan {
	one := func(name string, k routingconfig.Kind, resumable bool) routingconfig.Route {
		return routingconfig.Route{Name: name, Host: host, Prefix: "/" + name + "/", Kind: k, Resumable: resumable, Attempts: 3, Public: true,
			Timeout: 8 * time.Second, Target: 400 * time.Millisecond, Split: []routingconfig.Share{{Service: "s", Weight: 1}}}
	}
	private := one("private", routingconfig.Once, false)
	private.Public = false
	return (&routingconfig.Plan{Version: 1, Services: []routingconfig.Service{{Name: "s", MaxConns: 100}},
		Routes:  []routingconfig.Route{one("repeat", routingconfig.Repeatable, false), one("once", routingconfig.Once, false), one("stream", routingconfig.Stream, false), one("resume", routingconfig.Stream, true), private},
		Tenants: []routingconfig.Tenant{{Name: "ten", Keys: []string{"good"}, Priority: -1}},
		Limits:  routingconfig.Limits{HeaderBytes: 16 << 10, BodyBytes: 100 << 10, HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second}}).BuildIndex()
}

// open starts a site in a bubble and lets f act in it.
func open(t *testing.T, scripts []script, f func(s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &site{t: t, w: &wires{at: map[string]*socket{}, to: map[string]int{}}, p: &selector{}}
		b := settings.Default()
		b.TryShare, b.TryAllow = 100, 100
		place := settings.Place{Name: "e1", Zone: "d", Listen: "10.0.0.1:7000", Public: front, Bounds: b, Extra: []string{"log=off"},
			Site: &settings.Site{Ready: readyAt, MemoryMB: 256, GraceMs: 8000, TransitMs: 120, Revokes: true}}
		clk := clock.Synctest()
		s.l = daemon.NewIn(daemon.Environment{Clock: clk, Listen: s.w.Listen, Dial: s.w.Dial}, "edge", place)
		snap := &fleet.Snapshot{Plan: routes(), ProofAt: clk.Now(), Edges: 1}
		for i, x := range scripts {
			w := &worker{play: x}
			w.Worker = fleet.Worker{ID: "w" + strconv.Itoa(i), Service: "s", Addr: "10.0.1." + strconv.Itoa(i) + ":8080", Slots: 8}
			snap.Workers = append(snap.Workers, w.Worker)
			s.ws = append(s.ws, w)
			if x != nil { // nil: nobody listens there
				ln, _ := s.w.Listen(w.Addr)
				go w.serve(ln)
				defer ln.Close()
			}
		}
		s.snap.Store(snap)
		s.d = newServer(s.l, Config{Headers: names(), ReadyPath: "/up", Snapshot: s.snap.Load, Selector: s.p})
		if err := s.d.open(); err != nil {
			t.Fatal(err)
		}
		defer func() {
			s.stop()
			synctest.Wait()
			s.p.mu.Lock()
			defer s.p.mu.Unlock()
			if s.p.open != 0 {
				t.Errorf("%d attempts were never reported as done", s.p.open)
			}
		}()
		s.d.misdirected = newBudgets(1, 100) // as the other budget: enough for one attempt more
		f(s)
	})
}

// set changes the snapshot.
func (s *site) set(f func(*fleet.Snapshot)) {
	n := *s.snap.Load()
	f(&n)
	s.snap.Store(&n)
}

// reply is what a client has seen.
type reply struct {
	status int
	head   http.Header
	body   string
	err    error // the body broke off, or there was no answer
	closes bool  // the connection ends with it
}

// caller is one client's connection.
type caller struct {
	net.Conn
	br *bufio.Reader
}

func (s *site) caller() *caller {
	c, err := s.w.Dial(context.Background(), "tcp", front)
	if err != nil {
		s.t.Fatal(err)
	}
	return &caller{c, bufio.NewReader(c)}
}

// ask sends one request and reads its answer.
func (c *caller) ask(text string) reply {
	go func() { _, _ = io.WriteString(c, text) }()
	return c.answer(text)
}

func (c *caller) answer(text string) reply {
	method, _, _ := strings.Cut(text, " ")
	a, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err == nil && a.StatusCode == http.StatusContinue {
		a, err = http.ReadResponse(c.br, &http.Request{Method: method})
	}
	if err != nil {
		return reply{err: err}
	}
	all, err := io.ReadAll(a.Body)
	return reply{a.StatusCode, a.Header, string(all), err, a.Close}
}

// call is one request on a connection of its own.
func (s *site) call(text string) reply {
	c := s.caller()
	defer c.Close()
	return c.ask(text)
}

// post is a plain request.
func post(route, id, body string, more ...string) string {
	return "POST /" + route + "/x HTTP/1.1\r\nHost: " + host + "\r\nGo-Id: " + id + "\r\nGo-Left: 4000\r\n" +
		strings.Join(append(more, ""), "\r\n") + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// says answers with these bytes, in which ID stands for the attempt's, and keeps the connection.
func says(text string) script {
	return func(c net.Conn, r *http.Request, _ string) bool {
		_, err := io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("Go-Id")))
		return err == nil
	}
}

// cuts answers with these bytes and ends the connection.
func cuts(text string) script {
	return func(c net.Conn, r *http.Request, b string) bool { says(text)(c, r, b); return false }
}

const okay = "HTTP/1.1 200 OK\r\nGo-Id: ID\r\nGo-Seal: seal\r\nContent-Length: 4\r\n\r\nfine"

// stop ends the machine in order, once.
func (s *site) stop() { s.once.Do(func() { s.l.Stop(7200 * time.Millisecond) }) }

// page asks whether the machine is ready.
func (s *site) page(path string) int {
	c, err := s.w.Dial(context.Background(), "tcp", readyAt)
	if err != nil {
		s.t.Fatal(err)
	}
	defer c.Close()
	return (&caller{c, bufio.NewReader(c)}).ask("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n").status
}
