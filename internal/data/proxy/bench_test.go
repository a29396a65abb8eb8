package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
)

// dialLoopbackSite starts a proxy with one worker on loopback sockets, and connects a client to it.
func dialLoopbackSite(b *testing.B, respond workerScript) *clientConn {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatalf("listen on loopback as the worker: %v", err)
	}
	worker := &testWorker{script: func(conn net.Conn, r *http.Request, s string) bool { return respond(conn, r, s) }}
	worker.Worker = fleet.Worker{ID: "w0", Service: "s", Addr: listener.Addr().String(), Slots: 8}
	go worker.serve(listener)
	frontListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatalf("listen on loopback for clients of the proxy: %v", err)
	}
	processSettings := settings.Process{Name: "e1", Zone: "d", Listen: "127.0.0.1:0", Public: "front", Bounds: settings.DefaultBounds(), Options: []string{"log=off"},
		Site: &settings.Site{ReadinessListen: "127.0.0.1:0", MemoryLimitMB: 256, GraceMs: 10, TransitMs: 120}}
	environment := daemon.RealEnvironment(processSettings)
	environment.Listen = func(addr string) (net.Listener, error) {
		if addr == "front" {
			return frontListener, nil
		}
		return net.Listen("tcp", addr)
	}
	process := daemon.NewIn(environment, "edge", processSettings)
	snap := &fleet.Snapshot{Plan: testPlan(), ProofAt: clock.BootTime().Now(), EdgeCount: 1, Workers: []fleet.Worker{worker.Worker}}
	if err := Start(process, Config{Headers: testHeaders(), ReadyPath: "/up", Snapshot: func() *fleet.Snapshot { return snap }, Selector: &fakeSelector{}}); err != nil {
		b.Fatalf("start the proxy: %v", err)
	}
	conn, err := net.Dial("tcp", frontListener.Addr().String())
	if err != nil {
		b.Fatalf("dial the proxy as a client: %v", err)
	}
	b.Cleanup(func() { conn.Close(); listener.Close(); process.Stop(time.Second) })
	return &clientConn{conn, bufio.NewReader(conn)}
}

// BenchmarkPlain measures a request with a body of 1000 bytes and a short response, on a persistent connection.
func BenchmarkPlain(b *testing.B) {
	client := dialLoopbackSite(b, respondWith(okResponse))
	text := postRequest("once", "a1", strings.Repeat("x", 1000))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := io.WriteString(client, text); err != nil {
			b.Fatalf("send benchmark request: %v", err)
		}
		if response := client.readReply("POST"); response.status != 200 {
			b.Fatalf("benchmark request: got response %+v, want status 200", response)
		}
	}
}

// BenchmarkEvents measures the relaying of one event of a long resumable stream.
func BenchmarkEvents(b *testing.B) {
	next := make(chan string)
	client := dialLoopbackSite(b, func(c net.Conn, r *http.Request, _ string) bool {
		respondWith(strings.Replace(streamHead, "SEAL", "s", 1))(c, r, "")
		for e := range next {
			_, _ = io.WriteString(c, e)
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	})
	if _, err := io.WriteString(client, strings.Replace(postRequest("resume", "a1", "b"), "4000", "9000000", 1)); err != nil {
		b.Fatalf("send request for an event stream: %v", err)
	}
	got := make([]byte, len(streamedEvent(1000000)))
	n := 1000000
	next <- chunk(streamedEvent(n))
	a, err := http.ReadResponse(client.br, nil)
	if err != nil {
		b.Fatalf("read header of the event stream: %v", err)
	}
	_, _ = io.ReadFull(a.Body, got)
	b.ReportAllocs()
	for b.Loop() {
		n++
		next <- chunk(streamedEvent(n))
		if _, err := io.ReadFull(a.Body, got); err != nil {
			b.Fatalf("read event %d of the event stream: %v", n, err)
		}
	}
	close(next)
}
