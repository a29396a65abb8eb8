package capacity

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
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/indexclient"
	"pebbleloom/internal/data/proxy"
	"pebbleloom/internal/data/selection"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/wire"
)

// trafficHeaders returns the header names of the hollow workers and clients.
func trafficHeaders() proxy.Headers {
	return proxy.Headers{ID: "Go-Id", TimeRemaining: "Go-Left", Tenant: "Go-Tenant", ExpectedInstance: "Go-Life", ExpectedVersion: "Go-Version",
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
				l = append(l, selection.PromptPart{ID: s, Tokens: 2500})
			}
			return l
		},
		ParseLoad: func(v string) (l selection.Load, ok bool) {
			n, _ := fmt.Sscanf(v, "%d/%d/%d", &l.Running, &l.Waiting, &l.Slots)
			return l, n == 3
		}}
}

const (
	eventInterval     = 5 * time.Millisecond // between two events of a hollow worker
	concurrentStreams = 48                   // of the hollow clients
)

// streamTraffic starts a hollow worker and returns its address, and a run of hollow clients that send to
// the proxy at the task's address.
func streamTraffic(ctx context.Context, task hollowTask) (string, func() (float64, float64, error), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: streamingWorker(task.Events)}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { server.Close() })
	clients := &hollowClients{addr: task.Addr, events: task.Events, body: strings.Repeat("b", 9200)}
	return listener.Addr().String(), func() (float64, float64, error) {
		err := clients.send(task.Calls)
		return float64(task.Calls), 0, err
	}, nil
}

// streamingWorker returns a handler that responds to every request with a number of events at an even pace.
func streamingWorker(events int) http.Handler {
	headers := trafficHeaders()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header()["Date"] = nil
		w.Header().Set("Content-Type", "text/event-stream")
		for name, value := range map[string]string{headers.ID: r.Header.Get(headers.ID), headers.Seal: "3e1b.07.5a2.600.0.c9f2a4d1", headers.Load: "40/0/128", headers.WeightVersions: "3"} {
			w.Header().Set(name, value)
		}
		controller := http.NewResponseController(w)
		tick := time.NewTicker(eventInterval)
		defer tick.Stop()
		for i := range events {
			<-tick.C
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", 55))
			_ = controller.Flush()
		}
	})
}

// hollowClients send requests over connections that they keep.
type hollowClients struct {
	addr   string
	events int // in a response
	body   string
	lastID atomic.Int64
	idle   sync.Pool // *bufio.ReadWriter
}

// send sends a number of requests, concurrentStreams at a time. It returns the error of one that failed.
func (c *hollowClients) send(calls int) error {
	var senders sync.WaitGroup
	var failed atomic.Pointer[error]
	for sender := range min(concurrentStreams, calls) {
		senders.Go(func() {
			for i := sender; i < calls; i += concurrentStreams {
				if err := c.sendOne(); err != nil {
					failed.Store(&err)
					return
				}
			}
		})
	}
	senders.Wait()
	if err := failed.Load(); err != nil {
		return *err
	}
	return nil
}

// sendOne sends one request and reads its response to the end.
func (c *hollowClients) sendOne() error {
	stream, _ := c.idle.Get().(*bufio.ReadWriter)
	if stream == nil {
		conn, err := net.Dial("tcp", c.addr)
		if err != nil {
			return err
		}
		stream = bufio.NewReadWriter(bufio.NewReader(conn), bufio.NewWriter(conn))
	}
	id := c.lastID.Add(1)
	fmt.Fprintf(stream, "POST /pre/some/path HTTP/1.1\r\nHost: host.example\r\nGo-Id: %016x\r\nGo-Model: %s\r\nGo-Usage: 17000/450\r\nGo-Parts: %08x %08x %08x\r\nGo-Left: 60000\r\nContent-Length: %d\r\n\r\n%s",
		id, modelName(0), id%8, 100+id%290, 1000+id, len(c.body), c.body)
	if err := stream.Flush(); err != nil {
		return err
	}
	response, err := http.ReadResponse(stream.Reader, nil)
	if err != nil {
		return err
	}
	received, err := io.ReadAll(response.Body)
	if err == nil && (response.StatusCode != http.StatusOK || strings.Count(string(received), "\n\n") != c.events) {
		err = errs.New(errs.Internal, "status %d, %d bytes", response.StatusCode, len(received))
	}
	c.idle.Put(stream)
	return err
}

// measureTraffic measures the proxy between hollow clients and a hollow worker: the base is the cost of a request, the
// slope the cost of an event of its response.
func measureTraffic(b *bench) error {
	calls := 480
	if b.quick {
		calls = 8
	}
	return b.vary("traffic", "events", b.sizes(8, 32, 128), []kind{
		{"request-cpu", "µs", "processor time of the proxy for one request with so many events, choice of a worker included"},
		{"request-heap", "B", "bytes that the proxy allocated for one request with so many events"},
	}, func(n float64) ([]float64, error) {
		front, err := newByteCounter()
		if err != nil {
			return nil, err
		}
		hollow, err := startHollow(hollowTask{Kind: "traffic", Addr: front.addr(), Events: int(n), Calls: calls})
		if err != nil {
			return nil, err
		}
		defer hollow.end()
		process := newProcess("edge-1", bounds(), front)
		process.Settings.Public = front.addr()
		defer process.Stop(time.Second)
		plan := &routingconfig.Plan{Version: 1, Services: []routingconfig.Service{{Name: serviceName(0), MaxConns: 630, Engine: engine()}},
			Routes: []routingconfig.Route{{Name: "r", Host: "host.example", Prefix: "/pre/", Kind: routingconfig.EventStream, Timeout: time.Minute, LatencyTarget: time.Minute, Public: true, CarriesPromptPartIDs: true, Resumable: true, MaxAttempts: 1, Split: []routingconfig.WeightedService{{Service: serviceName(0), Weight: 1}}}},
			Limits: routingconfig.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}}
		snapshot := &fleet.Snapshot{Plan: plan.BuildIndex(), ProofAt: process.Clock.Now(), EdgeCount: 1,
			Workers: []fleet.Worker{{ID: "i-0", Service: serviceName(0), Addr: hollow.address, Zone: zoneName(0), Slots: 128, Weights: map[string]uint64{modelName(0): 3}}}}
		selector := selection.New(process, indexclient.New(process, func() []*wire.Node { return nil }))
		if err := proxy.Start(process, proxy.Config{Headers: trafficHeaders(), ReadyPath: "/up", Snapshot: func() *fleet.Snapshot { return snapshot }, Selector: selector}); err != nil {
			return nil, err
		}
		if _, err := hollow.run(); err != nil { // it opens the connections
			return nil, err
		}
		cpuBefore, heapBefore := cpu(), allocated()
		result, err := hollow.run()
		if err != nil {
			return nil, err
		}
		return []float64{(cpu() - cpuBefore) / result.Calls, (allocated() - heapBefore) / result.Calls}, nil
	})
}
