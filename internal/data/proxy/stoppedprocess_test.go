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

// TestProxyProcess is the process that TestProcessStoppedAndContinued stops: an edge that serves until its
// input ends.
func TestProxyProcess(t *testing.T) {
	addr := os.Getenv(workerVariable)
	if addr == "" {
		return
	}
	s := newLoopbackSite(t, fleet.Worker{ID: "w0", Service: "s", Addr: addr, Slots: 64})
	fmt.Printf("front=%s\n", s.front)
	_, _ = io.Copy(io.Discard, os.Stdin)
}

// holdingWorker answers at once, but a request named "held" only when it is told to.
type holdingWorker struct {
	mu      sync.Mutex
	runs    map[string]int
	strays  map[net.Conn]bool // surplus bytes were sent on it
	reused  int               // requests that came on one of these
	conns   []net.Conn
	held    chan struct{} // closed when the held request has come
	release chan struct{}
}

func (w *holdingWorker) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns = append(w.conns, c)
		w.mu.Unlock()
		go w.answer(c)
	}
}

func (w *holdingWorker) answer(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Go-Id")
		w.mu.Lock()
		w.runs[id]++
		if w.strays[c] {
			w.reused++
		}
		w.mu.Unlock()
		if id == "held" {
			close(w.held)
			<-w.release
		}
		if _, err := c.Write(plainResponse(id)); err != nil {
			return
		}
	}
}

// spoil leaves something on each connection: an answer of an earlier request, garbage, an end, a reset.
func (w *holdingWorker) spoil() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, c := range w.conns {
		w.strays[c] = true
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

// startProxy runs an edge as a process of its own.
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

// A process stands still while answers, garbage, ends and resets come on its connections, and new
// requests come to it; the time of one that was under way goes by. When it goes on, each new request
// gets its own answer, once, on a connection on which nothing was left; the one whose time went by ran
// once, and no other got its answer.
func TestProcessStoppedAndContinued(t *testing.T) {
	const conns, fresh, heldTime = 8, 8, 2 * time.Second
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	w := &holdingWorker{runs: map[string]int{}, strays: map[net.Conn]bool{}, held: make(chan struct{}), release: make(chan struct{})}
	go w.serve(ln)
	process, front := startProxy(t, ln.Addr().String())
	s := &loopbackSite{t: t, front: front}
	var all sync.WaitGroup
	for i := range conns { // so that there are idle connections
		all.Go(func() { s.send("once", "warm"+strconv.Itoa(i), longWait) })
	}
	all.Wait()
	held := make(chan reply, 1)
	go func() { held <- s.send("once", "held", heldTime) }()
	select {
	case <-w.held:
	case a := <-held:
		t.Fatalf("the held request didn't reach the worker: %+v", a)
	}
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(process.Pid, &status, syscall.WUNTRACED, nil); err != nil || !status.Stopped() {
		t.Fatalf("not stopped: %v %v", status, err)
	}
	over := time.NewTimer(heldTime + heldTime/4)
	close(w.release)
	w.spoil()
	replies := make([]reply, fresh)
	for i := range fresh {
		all.Go(func() { replies[i] = s.send("once", "fresh"+strconv.Itoa(i), longWait) })
	}
	<-over.C
	if err := process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	all.Wait()
	a := <-held
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, r := range replies {
		id := "fresh" + strconv.Itoa(i)
		checkReply(t, "once", id, r, w.runs[id])
		if r.status != 200 || r.err != nil || w.runs[id] != 1 {
			t.Errorf("%s: %+v, ran %d times", id, r, w.runs[id])
		}
	}
	checkReply(t, "once", "held", a, w.runs["held"])
	if w.runs["held"] != 1 || w.reused > 0 {
		t.Errorf("the held one ran %d times, %d requests came where something was left", w.runs["held"], w.reused)
	}
}
