package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	"pebbleloom/internal/fleet"
)

// workerScript writes a worker's response to one request. If it returns false, the worker closes the connection.
type workerScript func(c net.Conn, r *http.Request, body string) bool

// testWorker is a simulated worker that records the requests it receives and responds as its script says.
type testWorker struct {
	fleet.Worker
	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
	script   workerScript
}

func (worker *testWorker) requestCount() int {
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
				respond := worker.script
				worker.mu.Unlock()
				if !respond(conn, r, string(all)) {
					return
				}
			}
		}()
	}
}

// respondWith returns a script that writes the text, with "ID" replaced by the request's ID, and keeps the
// connection open.
func respondWith(text string) workerScript {
	return func(c net.Conn, r *http.Request, _ string) bool {
		_, err := io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("Go-Id")))
		return err == nil
	}
}

// respondThenClose returns a script that writes the text like respondWith and then closes the connection.
func respondThenClose(text string) workerScript {
	return func(c net.Conn, r *http.Request, b string) bool { respondWith(text)(c, r, b); return false }
}

const okResponse = "HTTP/1.1 200 OK\r\nGo-Id: ID\r\nGo-Seal: seal\r\nContent-Length: 4\r\n\r\nfine"
