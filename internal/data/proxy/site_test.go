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
	"pebbleloom/internal/data/retrybudget"
	"pebbleloom/internal/data/selection"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// testHeaders names header fields that no platform has: the proxy must not depend on the names.
func testHeaders() Headers {
	return Headers{ID: "Go-Id", TimeRemaining: "Go-Left", Tenant: "Go-Tenant", ExpectedInstance: "Go-Instance", ExpectedVersion: "Go-Version",
		Priority: "Go-Urgency", CacheSalt: "Go-Salt", FetchFrom: "Go-Fetch", SaveTo: "Go-Save", Model: "Go-Model", TokenUsage: "Go-Usage",
		PromptParts: "Go-Parts", LastEventID: "Last-Event-Id", NotExecuted: "Go-Not-Run", Seal: "Go-Seal", Load: "Go-Load",
		WeightVersions: "Go-Weights", AuthScheme: "Bearer",
		ParseTimeRemaining: func(v string) (time.Duration, bool) {
			n, err := strconv.Atoi(v)
			return time.Duration(n) * time.Millisecond, err == nil
		},
		FormatTimeRemaining: func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) },
		ParseTokenUsage:     func(v string) (in, out int) { _, _ = fmt.Sscanf(v, "%d/%d", &in, &out); return },
		ParsePromptParts: func(v string) (l []selection.PromptPart) {
			for _, s := range strings.Fields(v) {
				l = append(l, selection.PromptPart{ID: s, Tokens: len(s)})
			}
			return l
		},
		ParseLoad: func(v string) (l selection.Load, ok bool) {
			n, _ := fmt.Sscanf(v, "%d/%d/%d", &l.Running, &l.Waiting, &l.Slots)
			return l, n == 3
		}}
}

// pipeNetwork connects a site by in-memory pipes, which work in a synctest bubble.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	dials     map[string]int
}

type pipeListener struct {
	network *pipeNetwork
	addr    string
	accepts chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepts:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.addr)
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (n *pipeNetwork) Listen(addr string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := &pipeListener{network: n, addr: addr, accepts: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = s
	return s, nil
}

func (n *pipeNetwork) Dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	s := n.listeners[addr]
	n.dials[addr]++
	n.mu.Unlock()
	if s == nil {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	select {
	case s.accepts <- far:
		return near, nil
	case <-s.closed:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// workerScript answers one request as a worker; false closes the connection.
type workerScript func(c net.Conn, r *http.Request, body string) bool

// testWorker is one worker process; it records the requests that it received.
type testWorker struct {
	fleet.Worker
	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
	script   workerScript
}

func (worker *testWorker) runs() int {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	return len(worker.requests)
}

func (worker *testWorker) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			br := bufio.NewReader(conn)
			for {
				r, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				all, err := io.ReadAll(r.Body)
				if err != nil {
					return
				}
				worker.mu.Lock()
				worker.requests, worker.bodies = append(worker.requests, r), append(worker.bodies, string(all))
				play := worker.script
				worker.mu.Unlock()
				if !play(conn, r, string(all)) {
					return
				}
			}
		}()
	}
}

// fakeSelector selects the first worker of the service that wasn't tried, and records the outcomes.
type fakeSelector struct {
	mu         sync.Mutex
	endings    []selection.Outcome
	loads      []selection.Load
	open       int
	editChoice func(*selection.Choice)
}

func (p *fakeSelector) Lookup(context.Context, *fleet.Snapshot, *selection.Request) map[prefix.Key]*wire.LookupResult {
	return nil
}

func (p *fakeSelector) Select(s *fleet.Snapshot, r *selection.Request, _ map[prefix.Key]*wire.LookupResult, tried map[string]bool) (selection.Choice, bool) {
	for _, w := range s.Workers {
		if w.Service == r.Service && !w.Draining && !tried[w.ID] {
			c := selection.Choice{Worker: w, Urgency: -1}
			if p.editChoice != nil {
				p.editChoice(&c)
			}
			return c, true
		}
	}
	return selection.Choice{}, false
}

func (p *fakeSelector) RecordSent(*selection.Request, selection.Choice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open++
}

func (p *fakeSelector) RecordFirstEvent(*selection.Request, selection.Choice, *selection.Load, time.Duration) {
}

func (p *fakeSelector) RecordOutcome(_ *selection.Request, _ selection.Choice, e selection.Outcome, l *selection.Load, _ time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.endings = append(p.endings, e)
	if l != nil {
		p.loads = append(p.loads, *l)
	}
}

// testSite is one edge node with its workers and clients, in a synctest bubble.
type testSite struct {
	t        *testing.T
	network  *pipeNetwork
	process  *daemon.Process
	server   *server
	selector *fakeSelector
	once     sync.Once
	snapshot atomic.Pointer[fleet.Snapshot]
	workers  []*testWorker
}

const front, readyAt, host = "10.0.0.1:80", "10.0.0.1:81", "any.example"

func testPlan() *routingconfig.Plan {
	one := func(name string, k routingconfig.Kind, resumable bool) routingconfig.Route {
		return routingconfig.Route{Name: name, Host: host, Prefix: "/" + name + "/", Kind: k, Resumable: resumable, MaxAttempts: 3, Public: true,
			Timeout: 8 * time.Second, LatencyTarget: 400 * time.Millisecond, Split: []routingconfig.WeightedService{{Service: "s", Weight: 1}}}
	}
	private := one("private", routingconfig.AtMostOnce, false)
	private.Public = false
	return (&routingconfig.Plan{Version: 1, Services: []routingconfig.Service{{Name: "s", MaxConns: 100}},
		Routes:  []routingconfig.Route{one("repeat", routingconfig.Idempotent, false), one("once", routingconfig.AtMostOnce, false), one("stream", routingconfig.EventStream, false), one("resume", routingconfig.EventStream, true), private},
		Tenants: []routingconfig.Tenant{{Name: "ten", Keys: []string{"good"}, Priority: -1}},
		Limits:  routingconfig.Limits{HeaderBytes: 16 << 10, BodyBytes: 100 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}}).BuildIndex()
}

// withSite starts a site with a worker for each script, and calls act in its synctest bubble.
func withSite(t *testing.T, scripts []workerScript, act func(s *testSite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		site := &testSite{t: t, network: &pipeNetwork{listeners: map[string]*pipeListener{}, dials: map[string]int{}}, selector: &fakeSelector{}}
		bounds := settings.DefaultBounds()
		bounds.RetryPercent, bounds.RetryAllowance = 100, 100
		processSettings := settings.Process{Name: "e1", Zone: "d", Listen: "10.0.0.1:7000", Public: front, Bounds: bounds, Options: []string{"log=off"},
			Site: &settings.Site{ReadinessListen: readyAt, MemoryLimitMB: 256, GraceMs: 8000, TransitMs: 120, EnforceRevocation: true}}
		clk := clock.Synctest()
		site.process = daemon.NewIn(daemon.Environment{Clock: clk, Listen: site.network.Listen, Dial: site.network.Dial}, "edge", processSettings)
		snap := &fleet.Snapshot{Plan: testPlan(), ProofAt: clk.Now(), EdgeCount: 1}
		for i, x := range scripts {
			worker := &testWorker{script: x}
			worker.Worker = fleet.Worker{ID: "w" + strconv.Itoa(i), Service: "s", Addr: "10.0.1." + strconv.Itoa(i) + ":8080", Slots: 8}
			snap.Workers = append(snap.Workers, worker.Worker)
			site.workers = append(site.workers, worker)
			if x != nil { // nil: nobody listens there
				listener, _ := site.network.Listen(worker.Addr)
				go worker.serve(listener)
				defer listener.Close()
			}
		}
		site.snapshot.Store(snap)
		site.server = newServer(site.process, Config{Headers: testHeaders(), ReadyPath: "/up", Snapshot: site.snapshot.Load, Selector: site.selector})
		if err := site.server.start(); err != nil {
			t.Fatal(err)
		}
		defer func() {
			site.stop()
			synctest.Wait()
			site.selector.mu.Lock()
			defer site.selector.mu.Unlock()
			if site.selector.open != 0 {
				t.Errorf("%d attempts were never reported as done", site.selector.open)
			}
		}()
		site.server.misdirectedBudget = retrybudget.NewShared(1, 100) // like the other budget: enough for one more attempt
		act(site)
	})
}

// set changes the snapshot.
func (s *testSite) set(f func(*fleet.Snapshot)) {
	n := *s.snapshot.Load()
	f(&n)
	s.snapshot.Store(&n)
}

// reply is a response as the client received it.
type reply struct {
	status int
	head   http.Header
	body   string
	err    error // the body is incomplete, or there was no response
	closes bool  // the connection ends with this response
}

// clientConn is one client's connection.
type clientConn struct {
	net.Conn
	br *bufio.Reader
}

func (s *testSite) dialClient() *clientConn {
	c, err := s.network.Dial(context.Background(), "tcp", front)
	if err != nil {
		s.t.Fatal(err)
	}
	return &clientConn{c, bufio.NewReader(c)}
}

// roundTrip sends one request and reads its response.
func (client *clientConn) roundTrip(text string) reply {
	go func() { _, _ = io.WriteString(client, text) }()
	return client.readReply(text)
}

func (client *clientConn) readReply(text string) reply {
	method, _, _ := strings.Cut(text, " ")
	a, err := http.ReadResponse(client.br, &http.Request{Method: method})
	if err == nil && a.StatusCode == http.StatusContinue {
		a, err = http.ReadResponse(client.br, &http.Request{Method: method})
	}
	if err != nil {
		return reply{err: err}
	}
	all, err := io.ReadAll(a.Body)
	return reply{a.StatusCode, a.Header, string(all), err, a.Close}
}

// send sends one request on a new connection.
func (s *testSite) send(text string) reply {
	client := s.dialClient()
	defer client.Close()
	return client.roundTrip(text)
}

// postRequest returns the text of a POST request.
func postRequest(route, id, body string, more ...string) string {
	return "POST /" + route + "/x HTTP/1.1\r\nHost: " + host + "\r\nGo-Id: " + id + "\r\nGo-Left: 4000\r\n" +
		strings.Join(append(more, ""), "\r\n") + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// respondWith writes these bytes, with ID replaced by the request's, and keeps the connection open.
func respondWith(text string) workerScript {
	return func(c net.Conn, r *http.Request, _ string) bool {
		_, err := io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("Go-Id")))
		return err == nil
	}
}

// respondThenClose writes these bytes and closes the connection.
func respondThenClose(text string) workerScript {
	return func(c net.Conn, r *http.Request, b string) bool { respondWith(text)(c, r, b); return false }
}

const okResponse = "HTTP/1.1 200 OK\r\nGo-Id: ID\r\nGo-Seal: seal\r\nContent-Length: 4\r\n\r\nfine"

// stop shuts the node down gracefully, once.
func (s *testSite) stop() { s.once.Do(func() { s.process.Stop(7200 * time.Millisecond) }) }

// getReadyPage makes a readiness check and returns its status.
func (s *testSite) getReadyPage(path string) int {
	c, err := s.network.Dial(context.Background(), "tcp", readyAt)
	if err != nil {
		s.t.Fatal(err)
	}
	defer c.Close()
	return (&clientConn{c, bufio.NewReader(c)}).roundTrip("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n").status
}
