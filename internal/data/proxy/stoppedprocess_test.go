package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pebbleloom/internal/fleet"
)

// workerAddrVariable is the environment variable that passes the worker's address to the proxy process.
const workerAddrVariable = "PROXY_TEST_WORKER"

// TestProxyProcess isn't a test of its own: it runs the proxy process that TestProcessStoppedAndContinued starts
// and suspends. It serves until its standard input is closed.
func TestProxyProcess(t *testing.T) {
	addr := os.Getenv(workerAddrVariable)
	if addr == "" {
		return
	}
	s := newLoopbackSite(t, fleet.Worker{ID: "w0", Service: "s", Addr: addr, Slots: 64})
	fmt.Printf("front=%s\n", s.front)
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// blockingWorker responds to each request at once, except to the request "held", which waits for release.
type blockingWorker struct {
	mu                       sync.Mutex
	runs                     map[string]int
	sentUnsolicited          map[net.Conn]bool // connections on which sendUnsolicitedData has sent unsolicited bytes, a FIN or a reset
	requestsAfterUnsolicited int               // number of requests received on connections in sentUnsolicited
	conns                    []net.Conn
	blocked                  chan struct{} // closed when the request "held" has been received
	release                  chan struct{} // closed by the test to let the worker respond to "held"
}

func (worker *blockingWorker) serve(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		worker.mu.Lock()
		worker.conns = append(worker.conns, c)
		worker.mu.Unlock()
		go worker.serveConn(c)
	}
}

func (worker *blockingWorker) serveConn(conn net.Conn) {
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Go-Id")
		worker.mu.Lock()
		worker.runs[id]++
		if worker.sentUnsolicited[conn] {
			worker.requestsAfterUnsolicited++
		}
		worker.mu.Unlock()
		if id == "held" {
			close(worker.blocked)
			<-worker.release
		}
		if _, err := conn.Write(plainResponse(id)); err != nil {
			return
		}
	}
}

// sendUnsolicitedData sends on each connection something that the proxy must not take for a response: a response to an
// earlier request, garbage, a FIN or a reset.
func (worker *blockingWorker) sendUnsolicitedData() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	for i, c := range worker.conns {
		worker.sentUnsolicited[c] = true
		switch i % 4 {
		case 0:
			_, _ = c.Write(plainResponse("warm0"))
		case 1:
			_, _ = c.Write([]byte("\x00garbage"))
		case 2:
			_ = c.(*net.TCPConn).CloseWrite()
		case 3:
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
}

// startProxy starts an edge node as a separate process, and returns that process and its client address.
func startProxy(t *testing.T, worker string) (p *os.Process, front string) {
	t.Helper()
	cmd := exec.Command(os.Args[0], "-test.run=^TestProxyProcess$")
	cmd.Env = append(os.Environ(), workerAddrVariable+"="+worker)
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatalf("open a pipe to the proxy process's standard input: %v", err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatalf("open a pipe from the proxy process's standard output: %v", err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatalf("start the proxy process: %v", err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		in.Close()
		_ = cmd.Wait()
	})
	for lines := bufio.NewScanner(out); lines.Scan(); {
		if addr, ok := strings.CutPrefix(lines.Text(), "front="); ok {
			go func() { _, _ = io.Copy(io.Discard, out) }()
			return cmd.Process, addr
		}
	}
	t.Fatal("proxy process ended before it printed the address for clients")
	return nil, ""
}

// Guards against a proxy that, after a suspension (SIGSTOP and SIGCONT), takes stale bytes for a response. While
// the proxy is suspended, responses, garbage, FINs and resets come on its idle connections, new requests come
// from clients, and the deadline of a request in flight passes. Afterwards each new request must be executed once
// and get its own response on a connection without such bytes, and the request in flight must have been executed
// once.
func TestProcessStoppedAndContinued(t *testing.T) {
	const conns, fresh, blockedDeadline = 8, 8, 2 * time.Second
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen on loopback as the worker: %v", err)
	}
	defer listener.Close()
	worker := &blockingWorker{runs: map[string]int{}, sentUnsolicited: map[net.Conn]bool{}, blocked: make(chan struct{}), release: make(chan struct{})}
	go worker.serve(listener)
	process, front := startProxy(t, listener.Addr().String())
	site := &loopbackSite{t: t, front: front}
	var senders sync.WaitGroup
	for i := range conns { // opens connections that are idle during the suspension
		senders.Go(func() { site.send("once", "warm"+strconv.Itoa(i), longDeadline) })
	}
	senders.Wait()
	blocked := make(chan reply, 1)
	go func() { blocked <- site.send("once", "held", blockedDeadline) }()
	select {
	case <-worker.blocked:
	case response := <-blocked:
		t.Fatalf("request that should be in flight while the proxy is suspended: got response %+v before the worker received it", response)
	}
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatalf("send SIGSTOP to the proxy process: %v", err)
	}
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(process.Pid, &status, syscall.WUNTRACED, nil); err != nil || !status.Stopped() {
		t.Fatalf("proxy process isn't stopped after SIGSTOP: wait status %v, error %v", status, err)
	}
	over := time.NewTimer(blockedDeadline + blockedDeadline/4)
	close(worker.release)
	worker.sendUnsolicitedData()
	replies := make([]reply, fresh)
	for i := range fresh {
		senders.Go(func() { replies[i] = site.send("once", "fresh"+strconv.Itoa(i), longDeadline) })
	}
	<-over.C
	if err := process.Signal(syscall.SIGCONT); err != nil {
		t.Fatalf("send SIGCONT to the proxy process: %v", err)
	}
	senders.Wait()
	response := <-blocked
	worker.mu.Lock()
	defer worker.mu.Unlock()
	for i, r := range replies {
		id := "fresh" + strconv.Itoa(i)
		checkReply(t, "once", id, r, worker.runs[id])
		if r.status != 200 || r.err != nil || worker.runs[id] != 1 {
			t.Errorf("request %q, sent while the proxy was suspended: got %+v, executed %d times; want status 200, executed once", id, r, worker.runs[id])
		}
	}
	checkReply(t, "once", "held", response, worker.runs["held"])
	if worker.runs["held"] != 1 || worker.requestsAfterUnsolicited > 0 {
		t.Errorf("request in flight while the proxy was suspended: executed %d times, want 1; %d requests came on connections on which the worker had sent unsolicited bytes, want 0", worker.runs["held"], worker.requestsAfterUnsolicited)
	}
}
