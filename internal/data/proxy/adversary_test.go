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

// step is a point in the exchange of a request and its response at which a test worker injects a fault.
type step int

const (
	connected        step = iota // the connection is established, but no byte of the request was read
	headReceived                 // the request's header was read
	halfBodyReceived             // half of the request's body was read
	bodyReceived                 // the complete request was read; from this step on it counts as executed
	firstByteSent                // one byte of the response was sent
	halfHeadSent                 // half of the response's header was sent
	halfBodySent                 // half of the response's body was sent
	responseSent                 // the complete response was sent, together with the surplus bytes if the fault sends any
	afterResponse                // the client has received the response
	stepCount
)

func (s step) String() string {
	return [stepCount]string{"connected", "request header received", "half of the request body received", "request body received", "first byte of the response sent", "half of the response header sent", "half of the response body sent", "response sent", "after the response was received"}[s]
}

// fault is a kind of misbehavior of a test worker.
type fault int

const (
	hang              fault = iota // the worker sends nothing more and keeps the connection open
	reset                          // the worker resets the TCP connection
	closeWrite                     // the worker sends a FIN in place of the rest of the response
	extraBytes                     // the worker sends bytes that aren't HTTP, and keeps the connection open
	duplicateResponse              // the worker sends its response twice
	staleResponse                  // the worker sends a response to an earlier request
	wrongID                        // the worker sends a response to another request, and then nothing more
	garbage                        // the worker sends bytes that aren't HTTP, and closes the connection
	faultCount
)

func (f fault) String() string {
	return [faultCount]string{"hang", "reset", "FIN", "extra bytes", "duplicate response", "stale response", "response to another request", "garbage"}[f]
}

// adversary is a worker on a real socket that injects faults as its plan says. It counts the requests that it
// executed, and those that came on connections on which it had sent unsolicited bytes.
type adversary struct {
	fleet.Worker
	t                *testing.T
	plan             func(id string, served int) (step, fault, bool) // function that returns the step and the fault to inject, given the request's ID ("" before a request has come) and the number of requests served on the connection
	faultDone        chan struct{}                                   // closed once the worker has injected a fault
	responseReceived chan struct{}                                   // closed by the test once the client has its response

	mu                       sync.Mutex
	once                     sync.Once
	runs                     map[string]int // number of executions by request ID
	requestsAfterUnsolicited int            // number of requests received on connections on which unsolicited bytes had been sent
}

func newAdversary(t *testing.T, id string, plan func(string, int) (step, fault, bool)) *adversary {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen on loopback as test worker %s: %v", id, err)
	}
	a := &adversary{Worker: fleet.Worker{ID: id, Service: "s", Addr: listener.Addr().String(), Slots: 8}, t: t, plan: plan,
		faultDone: make(chan struct{}), responseReceived: make(chan struct{}), runs: map[string]int{}}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go a.serve(&adversaryConn{Conn: c, adversary: a, br: bufio.NewReader(c)})
		}
	}()
	return a
}

func (a *adversary) executions(id string) int { a.mu.Lock(); defer a.mu.Unlock(); return a.runs[id] }

// adversaryConn is a connection that an adversary accepted.
type adversaryConn struct {
	net.Conn
	adversary       *adversary
	br              *bufio.Reader
	served          int
	faultInjected   bool
	sentUnsolicited bool // whether the worker has sent unsolicited bytes in the same write as a response
	ended           bool // whether the worker reads no more requests from this connection
}

// serve answers the requests of a connection one after another, and injects the planned fault at the planned step.
func (a *adversary) serve(conn *adversaryConn) {
	defer conn.Close()
	for !conn.ended {
		if conn.injectFaultAt(connected, "", nil); conn.ended {
			return
		}
		r, err := http.ReadRequest(conn.br)
		if err != nil {
			return
		}
		if conn.sentUnsolicited {
			a.mu.Lock()
			a.requestsAfterUnsolicited++
			a.mu.Unlock()
		}
		conn.serveRequest(r)
		if conn.faultInjected {
			a.once.Do(func() { close(a.faultDone) })
		}
		conn.served++
	}
}

// serveRequest reads the body of a request whose header was read, and responds.
func (c *adversaryConn) serveRequest(r *http.Request) {
	id := r.Header.Get("Go-Id")
	out := correctResponse(r, id)
	if c.injectFaultAt(headReceived, id, out); c.ended {
		return
	}
	half := make([]byte, max(0, r.ContentLength/2))
	if _, err := io.ReadFull(r.Body, half); err != nil {
		c.ended = true
		return
	}
	if c.injectFaultAt(halfBodyReceived, id, out); c.ended {
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		c.ended = true
		return
	}
	c.adversary.mu.Lock()
	c.adversary.runs[id]++
	c.adversary.mu.Unlock()
	if c.injectFaultAt(bodyReceived, id, out); c.ended {
		return
	}
	head := strings.Index(string(out), "Go-Seal")
	body := strings.Index(string(out), "\r\n\r\n") + 4
	sent := 0
	for _, part := range []struct {
		at step
		to int
	}{{firstByteSent, 1}, {halfHeadSent, head}, {halfBodySent, (body + len(out)) / 2}} {
		if _, err := c.Write(out[sent:part.to]); err != nil {
			c.ended = true
			return
		}
		sent = part.to
		if c.injectFaultAt(part.at, id, out); c.ended {
			return
		}
	}
	if s, f, ok := c.adversary.plan(id, c.served); ok && s == responseSent && (f == extraBytes || f == duplicateResponse || f == staleResponse || f == wrongID) {
		_, _ = c.Write(append(out[sent:len(out):len(out)], surplusBytes(f, out)...)) // one write for the response and the surplus bytes, so that the proxy reads both at once
		c.faultInjected, c.sentUnsolicited = true, true
		return
	}
	if _, err := c.Write(out[sent:]); err != nil {
		c.ended = true
		return
	}
	if c.injectFaultAt(responseSent, id, out); c.ended {
		return
	}
	if s, _, ok := c.adversary.plan(id, c.served); ok && s == afterResponse {
		<-c.adversary.responseReceived
		c.injectFaultAt(afterResponse, id, out)
	}
}

// surplusBytes returns the unsolicited bytes that a fault sends. own is the correct response to the current request;
// nil: no request has come yet.
func surplusBytes(f fault, own []byte) []byte {
	switch f {
	case extraBytes:
		return []byte("\x00extra")
	case duplicateResponse:
		if own != nil {
			return own
		}
		return plainResponse("old")
	case staleResponse:
		return plainResponse("old")
	}
	return plainResponse("stranger")
}

// injectFaultAt injects the planned fault if currentStep is its step and no fault was injected on the connection yet.
func (c *adversaryConn) injectFaultAt(currentStep step, id string, own []byte) {
	plannedStep, kind, ok := c.adversary.plan(id, c.served)
	if !ok || plannedStep != currentStep || c.faultInjected {
		return
	}
	c.faultInjected = true
	switch kind {
	case hang:
		c.adversary.once.Do(func() { close(c.adversary.faultDone) })
		_, _ = io.Copy(io.Discard, c.Conn)
		c.ended = true
	case reset:
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		c.ended = true
	case closeWrite:
		_ = c.Conn.(*net.TCPConn).CloseWrite()
		c.ended = true
	case garbage:
		_, _ = c.Write([]byte("\x00\x01garbage\r\n\r\n"))
		c.ended = true
	case wrongID:
		_, _ = c.Write(surplusBytes(kind, own))
		c.adversary.once.Do(func() { close(c.adversary.faultDone) })
		_, _ = io.Copy(io.Discard, c.Conn)
		c.ended = true
	default:
		_, _ = c.Write(surplusBytes(kind, own))
	}
	if c.ended {
		c.Close()
	}
	// Closing faultDone signals to the test that the fault was injected. If the worker still has to handle the rest of the
	// request, serve closes faultDone after that.
	if c.ended || currentStep == connected {
		c.adversary.once.Do(func() { close(c.adversary.faultDone) })
	}
}

func plainResponse(id string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nGo-Id: %s\r\nGo-Seal: seal\r\nContent-Length: %d\r\n\r\nof %s", id, len(id)+3, id)
}

// resumableEvents is the number of events of each test stream.
const resumableEvents = 4

func resumableEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, id) }

// correctResponse returns the correct response to a request: a short body, or the events after its Last-Event-Id.
func correctResponse(r *http.Request, id string) []byte {
	if !strings.HasPrefix(r.URL.Path, "/resume/") {
		return plainResponse(id)
	}
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	out := fmt.Sprintf("HTTP/1.1 200 OK\r\nGo-Id: %s\r\nGo-Seal: seal\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	for n := from + 1; n <= resumableEvents; n++ {
		out += chunk(resumableEvent(id, n))
	}
	return []byte(out + "0\r\n\r\n")
}

// completeBody returns the body that the client must receive for a request.
func completeBody(route, id string) (all string) {
	if route != "resume" {
		return "of " + id
	}
	for n := 1; n <= resumableEvents; n++ {
		all += resumableEvent(id, n)
	}
	return all
}

// loopbackSite is a proxy whose clients and workers are connected to it by loopback sockets.
type loopbackSite struct {
	t        *testing.T
	server   *server
	selector *fakeSelector
	front    string
}

func newLoopbackSite(t *testing.T, workers ...fleet.Worker) *loopbackSite {
	t.Helper()
	site := &loopbackSite{t: t, selector: &fakeSelector{}}
	bounds := settings.DefaultBounds()
	bounds.RetryPercent, bounds.RetryAllowance = 100, 1000
	processSettings := settings.Process{Name: "e1", Zone: "d", Public: "front", Bounds: bounds, Options: []string{"log=off"},
		Site: &settings.Site{ReadinessListen: "ready", MemoryLimitMB: 256, GraceMs: 8000, TransitMs: 20}}
	clk := clock.BootTime()
	listen := func(name string) (net.Listener, error) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err == nil && name == "front" {
			site.front = listener.Addr().String()
		}
		return listener, err
	}
	process := daemon.NewIn(daemon.Environment{Clock: clk, Listen: listen, Dial: (&net.Dialer{}).DialContext}, "edge", processSettings)
	snapshot := &fleet.Snapshot{Plan: testPlan(), ProofAt: clk.Now(), EdgeCount: 1, Workers: workers}
	site.server = newServer(process, Config{Headers: testHeaders(), ReadyPath: "/up", Snapshot: func() *fleet.Snapshot { return snapshot }, Selector: site.selector})
	if err := site.server.start(); err != nil {
		t.Fatalf("start the proxy on loopback sockets: %v", err)
	}
	t.Cleanup(func() { process.Stop(time.Millisecond) })
	return site
}

// send sends a request with the given time until its deadline on a new connection, and returns the response.
func (s *loopbackSite) send(route, id string, left time.Duration) reply {
	c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", s.front)
	if err != nil {
		return reply{err: err}
	}
	defer c.Close()
	text := strings.Replace(postRequest(route, id, "the body of "+id), "Go-Left: 4000", "Go-Left: "+strconv.FormatInt(left.Milliseconds(), 10), 1)
	return (&clientConn{c, bufio.NewReader(c)}).roundTrip(text)
}
