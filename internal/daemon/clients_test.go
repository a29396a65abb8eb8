package daemon

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pebbleloom/internal/clientlimit"
	"pebbleloom/internal/settings"
)

// startClientServer serves a handler for clients on a loopback address with a small memory limit, and returns the address.
func startClientServer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	process := newTestProcess()
	process.Settings.Site = &settings.Site{MemoryLimitMB: 8}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	process.Listen = func(string) (net.Listener, error) { return inner, nil }
	if err := process.ServeClients("test", "any", handler); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { process.Stop(time.Minute) })
	return inner.Addr().String()
}

func readAndRespond(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err == nil {
		_, _ = io.WriteString(w, "ok")
	}
}

// A body whose memory doesn't fit into the listener's budget gets status 503, with a length and in chunks; one that fits is
// served.
func TestBodiesOfClientsAreLimited(t *testing.T) {
	addr := startClientServer(t, readAndRespond)
	large := strings.Repeat("b", 1<<20)
	for name, test := range map[string]struct {
		body   io.Reader
		status int
	}{
		"small, with a length": {strings.NewReader("body"), http.StatusOK},
		"large, with a length": {strings.NewReader(large), http.StatusServiceUnavailable},
		"small, in chunks":     {io.MultiReader(strings.NewReader("body")), http.StatusOK},
		"large, in chunks":     {io.MultiReader(strings.NewReader(large)), http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			request, err := http.NewRequest(http.MethodPost, "http://"+addr+"/", test.body)
			if err != nil {
				t.Fatal(err)
			}
			go func() { _ = request.Write(conn) }()
			status, err := readStatus(conn)
			if err != nil || status != test.status {
				t.Errorf("status %d, error %v; want %d", status, err, test.status)
			}
		})
	}
}

// More connections than the limit don't keep a client from being served.
func TestConnectionsOfClientsAreLimited(t *testing.T) {
	addr := startClientServer(t, readAndRespond)
	limit := clientlimit.MaxConnections(8<<20/connectionMemoryDivisor, 0)
	for range 2 * limit {
		silent, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer silent.Close()
	}
	response, err := http.Post("http://"+addr+"/", "text/plain", strings.NewReader("body"))
	if err != nil {
		t.Fatalf("request beside %d silent connections: %v", 2*limit, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("request beside %d silent connections: status %d, want 200", 2*limit, response.StatusCode)
	}
}

// readStatus reads a response and returns its status.
func readStatus(conn net.Conn) (int, error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode, nil
}
