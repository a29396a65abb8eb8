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

// names are the header names of the hollow workers and callers.
func names() proxy.Headers {
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
	gap    = 5 * time.Millisecond // between two events of a hollow worker
	atOnce = 48                   // streams
)

// streams are a hollow worker and hollow callers; a line names the door, once it is known.
func streams(ctx context.Context, t task) (string, func() (float64, float64, error), error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	h := names()
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header()["Date"] = nil
		w.Header().Set("Content-Type", "text/event-stream")
		for k, v := range map[string]string{h.ID: r.Header.Get(h.ID), h.Seal: "3e1b.07.5a2.600.0.c9f2a4d1", h.Load: "40/0/128", h.WeightVersions: "3"} {
			w.Header().Set(k, v)
		}
		out := http.NewResponseController(w)
		tick := time.NewTicker(gap)
		defer tick.Stop()
		for i := range t.Events {
			<-tick.C
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", 55))
			_ = out.Flush()
		}
	})}
	go func() { _ = s.Serve(ln) }()
	context.AfterFunc(ctx, func() { s.Close() })
	var lines sync.Pool
	var id atomic.Int64
	body := strings.Repeat("b", 9200)
	one := func() error {
		c, _ := lines.Get().(*bufio.ReadWriter)
		if c == nil {
			conn, err := net.Dial("tcp", t.Addr)
			if err != nil {
				return err
			}
			c = bufio.NewReadWriter(bufio.NewReader(conn), bufio.NewWriter(conn))
		}
		n := id.Add(1)
		fmt.Fprintf(c, "POST /pre/some/path HTTP/1.1\r\nHost: host.example\r\nGo-Id: %016x\r\nGo-Model: %s\r\nGo-Usage: 17000/450\r\nGo-Parts: %08x %08x %08x\r\nGo-Left: 60000\r\nContent-Length: %d\r\n\r\n%s",
			n, modelName(0), n%8, 100+n%290, 1000+n, len(body), body)
		if err := c.Flush(); err != nil {
			return err
		}
		r, err := http.ReadResponse(c.Reader, nil)
		if err != nil {
			return err
		}
		got, err := io.ReadAll(r.Body)
		if err == nil && (r.StatusCode != http.StatusOK || strings.Count(string(got), "\n\n") != t.Events) {
			err = errs.New(errs.Internal, "status %d, %d bytes", r.StatusCode, len(got))
		}
		lines.Put(c)
		return err
	}
	return ln.Addr().String(), func() (float64, float64, error) {
		var wg sync.WaitGroup
		var bad atomic.Pointer[error]
		for w := range min(atOnce, t.Calls) {
			wg.Go(func() {
				for i := w; i < t.Calls; i += atOnce {
					if err := one(); err != nil {
						bad.Store(&err)
						return
					}
				}
			})
		}
		wg.Wait()
		if p := bad.Load(); p != nil {
			return 0, 0, *p
		}
		return float64(t.Calls), 0, nil
	}, nil
}

// traffic measures the proxy itself, between hollow callers and a hollow worker: what a request
// costs is the base, what an event of its answer costs is the slope.
func traffic(b *bench) error {
	calls := 480
	if b.quick {
		calls = 8
	}
	return b.vary("traffic", "events", b.sizes(8, 32, 128), []kind{
		{"request-cpu", "µs", "processor time of the proxy for one request with so many events, choice of a worker included"},
		{"request-heap", "B", "bytes that the proxy allocated for one request with so many events"},
	}, func(n float64) ([]float64, error) {
		door, err := newTap()
		if err != nil {
			return nil, err
		}
		f, err := start(task{Kind: "traffic", Addr: door.addr(), Events: int(n), Calls: calls})
		if err != nil {
			return nil, err
		}
		defer f.end()
		l := newProcess("edge-1", bounds(), door)
		l.Settings.Public = door.addr()
		defer l.Stop(time.Second)
		x := &routingconfig.Plan{Version: 1, Services: []routingconfig.Service{{Name: serviceName(0), MaxConns: 630, Engine: engine()}},
			Routes: []routingconfig.Route{{Name: "r", Host: "host.example", Prefix: "/pre/", Kind: routingconfig.EventStream, Timeout: time.Minute, LatencyTarget: time.Minute, Public: true, NamesPromptParts: true, Resumable: true, MaxAttempts: 1, Split: []routingconfig.WeightedService{{Service: serviceName(0), Weight: 1}}}},
			Limits: routingconfig.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: time.Minute, IdleTimeout: time.Minute}}
		s := &fleet.Snapshot{Plan: x.BuildIndex(), ProofAt: l.Clock.Now(), EdgeCount: 1,
			Workers: []fleet.Worker{{ID: "i-0", Service: serviceName(0), Addr: f.address, Zone: "district-0", Slots: 128, Weights: map[string]uint64{modelName(0): 3}}}}
		p := selection.New(l, indexclient.New(l, func() []*wire.Node { return nil }))
		if err := proxy.Start(l, proxy.Config{Headers: names(), ReadyPath: "/up", Snapshot: func() *fleet.Snapshot { return s }, Selector: p}); err != nil {
			return nil, err
		}
		if _, err := f.run(); err != nil { // connections come up
			return nil, err
		}
		at, was := cpu(), allocated()
		y, err := f.run()
		if err != nil {
			return nil, err
		}
		return []float64{(cpu() - at) / y.Calls, (allocated() - was) / y.Calls}, nil
	})
}
