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

// Backends calls workers, stores and the platform's list. Some responses bear no id, so calls of different
// kinds share no connection, and each order has its own.
type Backends struct {
	states *http.Client // reads, which can be repeated
	starts *http.Client
	orders *http.Client
}

// Limits of the connections to one address, and of responses.
const (
	maxIdleStates     = 4
	maxIdleStarts     = 16
	maxConnections    = 128 // for each kind of call
	maxResponseBytes  = 32 << 20
	maxRejectionBytes = 4 << 10
)

// NewBackends returns a client over connections that dial opens.
//
// Example: backends := contract.NewBackends(process.Dial)
func NewBackends(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Backends {
	return &Backends{backend.NewHTTPClient(dial, maxIdleStates, maxConnections), backend.NewHTTPClient(dial, maxIdleStarts, maxConnections), backend.NewSingleUseHTTPClient(dial)}
}

// Close closes idle connections.
//
// Example: process.OnStop(backends.Close)
func (b *Backends) Close() {
	b.states.CloseIdleConnections()
	b.starts.CloseIdleConnections()
}

func (b *Backends) get(ctx context.Context, url string, result any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errs.Wrap(err, "ask "+url)
	}
	return do(b.states, request, result)
}

// do makes a call and decodes the response into result.
func do(client *http.Client, request *http.Request, result any) error {
	response, err := client.Do(request)
	if err != nil {
		return errs.Wrap(err, "ask")
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errs.Wrap(err, "read response")
	}
	if response.StatusCode != http.StatusOK {
		return errs.New(errs.Internal, "status %d: %.200s", response.StatusCode, raw)
	}
	return errs.Wrap(json.Unmarshal(raw, result), "read response")
}

// State probes a worker.
//
// Example: state, err := backends.State(ctx, addr)
func (b *Backends) State(ctx context.Context, addr string) (WorkerState, error) {
	var state WorkerState
	return state, b.get(ctx, "http://"+addr+"/v1/state", &state)
}

// List reads the platform's list of back ends.
//
// Example: workers, err := backends.List(ctx, process.Settings.WorkerList)
func (b *Backends) List(ctx context.Context, addr string) ([]ListedWorker, error) {
	var workers []ListedWorker
	return workers, b.get(ctx, "http://"+addr+"/v1/workers", &workers)
}

// CachedPrefixes asks a worker for the changes of its cache after a number, or for the whole cache.
//
// Example: reports, err := backends.CachedPrefixes(ctx, addr, 41, false)
func (b *Backends) CachedPrefixes(ctx context.Context, addr string, after uint64, complete bool) (CacheReports, error) {
	var reports CacheReports
	return reports, b.get(ctx, fmt.Sprintf("http://%s/v1/kept?after=%d&whole=%v", addr, after, complete), &reports)
}

// Order sends a worker an order, once. A worker that has seen a later fencing token rejects it.
//
// Example: err := backends.Order(ctx, addr, contract.Order{FencingToken: 7, Kind: "weights", Weights: 4})
func (b *Backends) Order(ctx context.Context, addr string, order Order) error {
	raw, err := json.Marshal(order)
	if err != nil {
		return errs.Wrap(err, "write order")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/order", bytes.NewReader(raw))
	if err != nil {
		return errs.Wrap(err, "order")
	}
	var state WorkerState
	return do(b.orders, request, &state)
}

// Attempt is how an attempt to start a request went.
type Attempt struct {
	Body     io.ReadCloser // the response stream, if it was started
	Rejected *Rejection    // the worker's proof that it wasn't executed
	Err      error
	NotSent  bool // nothing was sent, so it wasn't executed
}

// NotExecuted reports whether it is proved that the request wasn't executed.
//
// Example: if attempt.NotExecuted() { retry() }
func (a Attempt) NotExecuted() bool { return a.NotSent || a.Rejected != nil && a.Rejected.NotExecuted }

// Start starts a request at a worker, once. The hints are headers (FetchFrom, SaveTo, SaveUpTo). The caller
// closes the attempt's body.
//
// Example: attempt := backends.Start(ctx, addr, start, map[string]string{contract.FetchFrom: "0=127.10.2.1:9000"})
func (b *Backends) Start(ctx context.Context, addr string, start StartRequest, hints map[string]string) Attempt {
	request, err := newStartRequest(ctx, addr, start, hints)
	if err != nil {
		return Attempt{Err: err, NotSent: true}
	}
	reused := false
	request = request.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }}))
	response, err := b.starts.Do(request)
	if err != nil {
		return Attempt{Err: errs.Wrap(err, "start"), NotSent: backend.NotSent(err)}
	}
	if response.StatusCode == http.StatusOK {
		return Attempt{Body: response.Body}
	}
	defer response.Body.Close()
	return rejectedAttempt(response, start.RequestID, reused)
}

func newStartRequest(ctx context.Context, addr string, start StartRequest, hints map[string]string) (*http.Request, error) {
	raw, err := json.Marshal(start)
	if err != nil {
		return nil, errs.Wrap(err, "write start")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/start", bytes.NewReader(raw))
	if err != nil {
		return nil, errs.Wrap(err, "start")
	}
	request.GetBody = nil // net/http must never send a start a second time by itself
	for name, value := range hints {
		request.Header.Set(name, value)
	}
	return request, nil
}

// rejectedAttempt reads a response without a stream. It is proof that the request wasn't executed only if it
// bears the request's id, or if no other request was sent on its connection.
func rejectedAttempt(response *http.Response, requestID string, connectionReused bool) Attempt {
	var rejection Rejection
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxRejectionBytes))
	if err == nil {
		err = json.Unmarshal(raw, &rejection)
	}
	if rejection.RequestID != requestID && (rejection.RequestID != "" || connectionReused) {
		return Attempt{Err: errs.New(errs.MayHaveExecuted, "worker responded with %d to another request", response.StatusCode)}
	}
	if err != nil || !rejection.NotExecuted {
		return Attempt{Err: errs.New(errs.Internal, "worker responded with %d: %.200s", response.StatusCode, raw)}
	}
	return Attempt{Rejected: &rejection, Err: errs.New(errs.NotExecuted, "worker rejected it: %s", rejection.Reason)}
}

// ParseFetchFrom parses the header FetchFrom: addresses by the index of the prefix. Items that can't be
// parsed are skipped.
//
// Example: addr := contract.ParseFetchFrom("0=127.10.2.1:9000,1=127.10.2.1:9000")[0]
func ParseFetchFrom(header string) map[int]string {
	addrs := map[int]string{}
	for _, item := range strings.Split(header, ",") {
		if indexText, addr, ok := strings.Cut(item, "="); ok {
			index := -1
			if _, err := fmt.Sscan(indexText, &index); err == nil && index >= 0 {
				addrs[index] = addr
			}
		}
	}
	return addrs
}
