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

// workerVariable names the worker's address to the process that is stopped.
const workerVariable = "PROXY_TEST_WORKER"

// TestProxyProcess is the process that TestProcessStoppedAndContinued stops: an edge node that serves until
// its standard input ends.
func TestProxyProcess(t *testing.T) {
	addr := os.Getenv(workerVariable)
	if addr == "" {
		return
	}
	s := newLoopbackSite(t, fleet.Worker{ID: "w0", Service: "s", Addr: addr, Slots: 64})
	fmt.Printf("front=%s\n", s.front)
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// blockingWorker responds at once, but to the request "held" only after release.
type blockingWorker struct {
	mu      sync.Mutex
	runs    map[string]int
	strays  map[net.Conn]bool // unsolicited bytes were sent on it
	reused  int               // requests that came on one of these
	conns   []net.Conn
	blocked chan struct{} // closed when the request "held" has come
	release chan struct{}
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
		if worker.strays[conn] {
			worker.reused++
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

// spoil leaves something on each connection: a response to an earlier request, garbage, a FIN, or a reset.
func (worker *blockingWorker) spoil() {
	worker.mu.Lock()
	defer worker.mu.Unlock()
	for i, c := range worker.conns {
		worker.strays[c] = true
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

// startProxy runs an edge node as a process of its own.
func startProxy(t *testing.T, worker string) (p *os.Process, front string) {
	t.Helper()
	cmd := exec.Command(os.Args[0], "-test.run=^TestProxyProcess$")
	cmd.Env = append(os.Environ(), workerVariable+"="+worker)
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
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
	t.Fatal("the process ended before it listened")
	return nil, ""
}

// A process is stopped (SIGSTOP) while responses, garbage, FINs and resets come on its connections, new
// requests come to it, and the deadline of one in flight passes. After it is continued, each new request is
// executed once and gets its own response, on a connection without leftover bytes; the one in flight was
// executed once, and no other request got its response.
func TestProcessStoppedAndContinued(t *testing.T) {
	const conns, fresh, blockedDeadline = 8, 8, 2 * time.Second
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	worker := &blockingWorker{runs: map[string]int{}, strays: map[net.Conn]bool{}, blocked: make(chan struct{}), release: make(chan struct{})}
	go worker.serve(listener)
	process, front := startProxy(t, listener.Addr().String())
	site := &loopbackSite{t: t, front: front}
	var all sync.WaitGroup
	for i := range conns { // so that there are idle connections
		all.Go(func() { site.send("once", "warm"+strconv.Itoa(i), longWait) })
	}
	all.Wait()
	blocked := make(chan reply, 1)
	go func() { blocked <- site.send("once", "held", blockedDeadline) }()
	select {
	case <-worker.blocked:
	case response := <-blocked:
		t.Fatalf("the held request didn't reach the worker: %+v", response)
	}
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(process.Pid, &status, syscall.WUNTRACED, nil); err != nil || !status.Stopped() {
		t.Fatalf("not stopped: %v %v", status, err)
	}
	over := time.NewTimer(blockedDeadline + blockedDeadline/4)
	close(worker.release)
	worker.spoil()
	replies := make([]reply, fresh)
	for i := range fresh {
		all.Go(func() { replies[i] = site.send("once", "fresh"+strconv.Itoa(i), longWait) })
	}
	<-over.C
	if err := process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	all.Wait()
	response := <-blocked
	worker.mu.Lock()
	defer worker.mu.Unlock()
	for i, r := range replies {
		id := "fresh" + strconv.Itoa(i)
		checkReply(t, "once", id, r, worker.runs[id])
		if r.status != 200 || r.err != nil || worker.runs[id] != 1 {
			t.Errorf("%s: %+v, ran %d times", id, r, worker.runs[id])
		}
	}
	checkReply(t, "once", "held", response, worker.runs["held"])
	if worker.runs["held"] != 1 || worker.reused > 0 {
		t.Errorf("the held one ran %d times, %d requests came where something was left", worker.runs["held"], worker.reused)
	}
}
