package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/settings"
)

func newTestProcess() *Process {
	environment := Environment{Clock: clock.BootTime(), WallClock: time.Now, Listen: func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }}
	return NewIn(environment, "test", settings.Process{Name: "m", Bounds: settings.DefaultBounds(), Options: []string{"log=off"}})
}

// Process.Stop must mark the process unready and close Draining before it runs the shutdown hooks, cancel Ctx only after
// the hooks have returned, and return after the last goroutine has ended.
func TestStopEndsInOrder(t *testing.T) {
	process := newTestProcess()
	process.Ready.Store(true)
	var mu sync.Mutex
	var events []string
	add := func(event string) {
		mu.Lock()
		defer mu.Unlock()
		events = append(events, event)
	}
	process.OnShutdown(func(context.Context) {
		<-process.Draining
		if process.Ready.Load() || process.Ctx.Err() != nil {
			t.Errorf("in a shutdown hook: ready is %t and the error of Ctx is %v, want false and nil", process.Ready.Load(), process.Ctx.Err())
		}
		add("hook")
	})
	process.Go(func() {
		<-process.Ctx.Done()
		add("goroutine")
	})
	process.Stop(time.Minute)
	add("stopped")
	if want := []string{"hook", "goroutine", "stopped"}; !slices.Equal(events, want) {
		t.Errorf("order of events in a shutdown: %q, want %q", events, want)
	}
}

func TestServerPages(t *testing.T) {
	process := newTestProcess()
	defer process.Stop(time.Minute)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen on a local port: %v", err)
	}
	process.Listen = func(string) (net.Listener, error) { return listener, nil }
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "handler") })
	if err := process.Serve("any", handler); err != nil {
		t.Fatalf("Serve: %v", err)
	}
	for _, test := range []struct {
		name, path string
		ready      bool
		status     int
		body       string
	}{
		{"health", "/healthz", false, 200, "{\"ok\":true}\n"},
		{"readiness of an unready process", "/readyz", false, 503, "{\"ready\":false}\n"},
		{"readiness of a ready process", "/readyz", true, 200, "{\"ready\":true}\n"},
		{"path of the handler", "/v1/any", true, 200, "handler"},
	} {
		t.Run(test.name, func(t *testing.T) {
			process.Ready.Store(test.ready)
			response, err := http.Get("http://" + listener.Addr().String() + test.path)
			if err != nil {
				t.Fatalf("GET %s from the server of the process: %v", test.path, err)
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			if err != nil || response.StatusCode != test.status || string(body) != test.body {
				t.Errorf("GET %s: status %d, body %q, error %v; want status %d, body %q", test.path, response.StatusCode, body, err, test.status, test.body)
			}
		})
	}
}

func TestChangedSettingsReachAllCallbacks(t *testing.T) {
	process := newTestProcess()
	var received []string
	for range 2 {
		process.OnSettingsChanged(func(changed settings.Process) { received = append(received, changed.Zone) })
	}
	process.ApplySettings(settings.Process{Zone: "north"})
	if !slices.Equal(received, []string{"north", "north"}) {
		t.Errorf("zones that the two callbacks for changed process settings received: %q, want \"north\" in each", received)
	}
}
