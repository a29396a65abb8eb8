package contract

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"

	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/errs"
)

// Backends is the adapter to all back ends. Calls of different kinds share no connection, and orders
// have one each: their answers bear no id.
type Backends struct {
	states *http.Client // questions, which may be asked again
	starts *http.Client
	orders *http.Client
}

// How many connections to one address there are, and are kept idle, by kind of call.
const (
	maxIdleStates  = 4
	maxIdleStarts  = 16
	maxConnections = 128
)

// NewBackends makes the adapter with its own pools of connections.
//
// Example: be := contract.NewBackends(life.Dial)
func NewBackends(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Backends {
	return &Backends{backend.NewHTTPClient(dial, maxIdleStates, maxConnections), backend.NewHTTPClient(dial, maxIdleStarts, maxConnections), backend.NewSingleUseHTTPClient(dial)}
}

// Close lets go of idle connections.
//
// Example: life.Until(be.Close)
func (b *Backends) Close() {
	b.states.CloseIdleConnections()
	b.starts.CloseIdleConnections()
}

func (b *Backends) get(ctx context.Context, url string, v any) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errs.Wrap(err, "ask "+url)
	}
	return do(b.states, q, v)
}

func do(client *http.Client, q *http.Request, v any) error {
	r, err := client.Do(q)
	if err != nil {
		return errs.Wrap(err, "ask")
	}
	defer r.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(r.Body, 32<<20))
	if err != nil {
		return errs.Wrap(err, "read answer")
	}
	if r.StatusCode != http.StatusOK {
		return errs.New(errs.Internal, "answer %d: %.200s", r.StatusCode, raw)
	}
	return errs.Wrap(json.Unmarshal(raw, v), "read answer")
}

// State asks a worker for its state: the probe.
//
// Example: s, err := be.State(ctx, addr)
func (b *Backends) State(ctx context.Context, addr string) (WorkerState, error) {
	var s WorkerState
	return s, b.get(ctx, "http://"+addr+"/v1/state", &s)
}

// List asks the platform for its list of back ends.
//
// Example: l, err := be.List(ctx, place.Rank)
func (b *Backends) List(ctx context.Context, addr string) ([]ListedWorker, error) {
	var l []ListedWorker
	return l, b.get(ctx, "http://"+addr+"/v1/workers", &l)
}

// CachedPrefixes asks a worker what it has kept since a report, or for all of it.
//
// Example: r, err := be.Kept(ctx, addr, 41, false)
func (b *Backends) CachedPrefixes(ctx context.Context, addr string, after uint64, whole bool) (CacheReports, error) {
	var r CacheReports
	return r, b.get(ctx, fmt.Sprintf("http://%s/v1/kept?after=%d&whole=%v", addr, after, whole), &r)
}

// Order commands a worker under a fence. A worker that has seen a later fence refuses.
//
// Example: err := be.Order(ctx, addr, contract.Order{Fence: 7, Kind: "weights", Weights: 4})
func (b *Backends) Order(ctx context.Context, addr string, o Order) error {
	raw, err := json.Marshal(o)
	if err != nil {
		return errs.Wrap(err, "write order")
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/order", bytes.NewReader(raw))
	if err != nil {
		return errs.Wrap(err, "order")
	}
	var s WorkerState
	return do(b.orders, q, &s)
}

// Attempt is how one go began.
type Attempt struct {
	Body     io.ReadCloser // the stream, when it started
	Rejected *Rejection    // the worker's word that it never started
	Err      error
	NotSent  bool // nothing was sent: proof enough that it never started
}

// NotExecuted tells whether it is proved that the go never started.
//
// Example: if g.NotExecuted() { tryElsewhere() }
func (g Attempt) NotExecuted() bool { return g.NotSent || g.Rejected != nil && g.Rejected.NotExecuted }

// Start starts a go. The hints are the X-Kv- headers.
//
// Example: g := be.Begin(ctx, addr, start, map[string]string{contract.FetchFrom: "0=127.10.2.1:9000"})
func (b *Backends) Start(ctx context.Context, addr string, s StartRequest, hints map[string]string) Attempt {
	raw, err := json.Marshal(s)
	if err != nil {
		return Attempt{Err: errs.Wrap(err, "write start"), NotSent: true}
	}
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/start", bytes.NewReader(raw))
	if err != nil {
		return Attempt{Err: errs.Wrap(err, "start"), NotSent: true}
	}
	// No GetBody: net/http must never send a start a second time by itself.
	q.GetBody = nil
	for k, v := range hints {
		q.Header.Set(k, v)
	}
	reused := false
	q = q.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }}))
	r, err := b.starts.Do(q)
	if err != nil {
		return Attempt{Err: errs.Wrap(err, "start"), NotSent: backend.NotSent(err)}
	}
	if r.StatusCode == http.StatusOK {
		return Attempt{Body: r.Body}
	}
	defer r.Body.Close()
	var f Rejection
	raw, err = io.ReadAll(io.LimitReader(r.Body, 4096))
	if err == nil {
		err = json.Unmarshal(raw, &f)
	}
	if f.RequestID != s.RequestID && (f.RequestID != "" || reused) {
		return Attempt{Err: errs.New(errs.MayHaveExecuted, "worker answered %d for another request", r.StatusCode)}
	}
	if err != nil || !f.NotExecuted {
		return Attempt{Err: errs.New(errs.Internal, "worker answered %d: %.200s", r.StatusCode, raw)}
	}
	return Attempt{Rejected: &f, Err: errs.New(errs.NotExecuted, "worker denied: %s", f.Reason)}
}

// ParseFetchFrom reads the X-Kv-Fetch-From header.
//
// Example: contract.Hints("0=127.10.2.1:9000,1=127.10.2.1:9000")[0]
func ParseFetchFrom(h string) map[int]string {
	m := map[int]string{}
	for _, x := range strings.Split(h, ",") {
		if i, a, ok := strings.Cut(x, "="); ok {
			n := -1
			if _, err := fmt.Sscan(i, &n); err == nil && n >= 0 {
				m[n] = a
			}
		}
	}
	return m
}
