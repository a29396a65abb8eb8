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

// Backends is the HTTP client for workers, stores and the platform's list of back ends. Some responses carry
// no request id, so a late response could be taken for that of another call: reads, starts and orders use
// separate connections, and each order opens a new one.
type Backends struct {
	states *http.Client // for GET calls, which can safely be repeated
	starts *http.Client // for requests to start inference, which are sent at most once
	orders *http.Client // for commands to workers; opens a new connection for each
}

// Limits on the connections to one address, and on the size of responses.
const (
	maxIdleStates     = 4        // maximum idle connections for GET calls
	maxIdleStarts     = 16       // maximum idle connections for starting requests
	maxConnections    = 128      // maximum open connections, counted separately for GET calls and for starting requests
	maxResponseBytes  = 32 << 20 // maximum size of a response; a longer one is truncated, and then fails to decode
	maxRejectionBytes = 4 << 10  // maximum size of a response that rejects a start request
)

// NewBackends returns a client that opens its connections with dial.
//
// Example: backends := contract.NewBackends(process.Dial)
func NewBackends(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Backends {
	return &Backends{backend.NewHTTPClient(dial, maxIdleStates, maxConnections), backend.NewHTTPClient(dial, maxIdleStarts, maxConnections), backend.NewSingleUseHTTPClient(dial)}
}

// Close closes the idle connections to back ends. Calls in progress continue.
//
// Example: process.OnStop(backends.Close)
func (b *Backends) Close() {
	b.states.CloseIdleConnections()
	b.starts.CloseIdleConnections()
}

func (b *Backends) get(ctx context.Context, url string, result any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errs.Wrap(err, "create GET request for "+url)
	}
	return do(b.states, request, result)
}

// do sends an HTTP request and decodes the JSON body of the response into result.
func do(client *http.Client, request *http.Request, result any) error {
	response, err := client.Do(request)
	if err != nil {
		return errs.Wrap(err, "ask")
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errs.Wrap(err, "read response body from back end "+request.URL.String())
	}
	if response.StatusCode != http.StatusOK {
		return errs.New(errs.Internal, "back end %s responded with status %d, want 200: %.200s", request.URL, response.StatusCode, raw)
	}
	return errs.Wrap(json.Unmarshal(raw, result), "decode JSON response from back end")
}

// State reads the state that a worker reports about itself, as a health probe does.
//
// Example: state, err := backends.State(ctx, addr)
func (b *Backends) State(ctx context.Context, addr string) (WorkerState, error) {
	var state WorkerState
	return state, b.get(ctx, "http://"+addr+"/v1/state", &state)
}

// List reads the list of running back ends from the platform's server at addr.
//
// Example: workers, err := backends.List(ctx, process.Settings.WorkerList)
func (b *Backends) List(ctx context.Context, addr string) ([]ListedWorker, error) {
	var workers []ListedWorker
	return workers, b.get(ctx, "http://"+addr+"/v1/workers", &workers)
}

// CachedPrefixes reads the changes of a worker's prefix cache with numbers higher than after, or, if complete is
// set, the whole contents of the cache.
//
// Example: reports, err := backends.CachedPrefixes(ctx, addr, 41, false)
func (b *Backends) CachedPrefixes(ctx context.Context, addr string, after uint64, complete bool) (CacheReports, error) {
	var reports CacheReports
	return reports, b.get(ctx, fmt.Sprintf("http://%s/v1/kept?after=%d&whole=%v", addr, after, complete), &reports)
}

// Order sends a command to a worker, without retries. A worker that has seen a higher fencing token of the same
// lease rejects it.
//
// Example: err := backends.Order(ctx, addr, contract.Order{FencingToken: 7, Kind: "weights", Weights: 4})
func (b *Backends) Order(ctx context.Context, addr string, order Order) error {
	raw, err := json.Marshal(order)
	if err != nil {
		return errs.Wrap(err, "encode order to worker as JSON")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/order", bytes.NewReader(raw))
	if err != nil {
		return errs.Wrap(err, "order")
	}
	var state WorkerState
	return do(b.orders, request, &state)
}

// Attempt is the outcome of one attempt to start a request at a worker.
type Attempt struct {
	Body     io.ReadCloser // response stream; nil unless the worker started the request
	Rejected *Rejection    // the worker's statement that it didn't execute the request; nil if there is none
	Err      error         // why the request wasn't started; nil if Body is set
	NotSent  bool          // nothing was sent to the worker, so it can't have executed the request
}

// NotExecuted reports whether the request certainly wasn't executed, so that a retry can't run it twice.
//
// Example: if attempt.NotExecuted() { retry() }
func (a Attempt) NotExecuted() bool { return a.NotSent || a.Rejected != nil && a.Rejected.NotExecuted }

// Start asks a worker to start a request, without retries. The hints are HTTP headers that tune the worker's
// caching (FetchFrom, SaveTo, SaveUpTo). The caller closes the attempt's Body.
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
		return Attempt{Err: errs.Wrap(err, "start request at worker"), NotSent: backend.NotSent(err)}
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
		return nil, errs.Wrap(err, "encode start request as JSON")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/start", bytes.NewReader(raw))
	if err != nil {
		return nil, errs.Wrap(err, "start")
	}
	request.GetBody = nil // without GetBody, net/http can't resend the request after a connection error, which could run it twice
	for name, value := range hints {
		request.Header.Set(name, value)
	}
	return request, nil
}

// rejectedAttempt converts a response with a status other than 200 into an Attempt. The response shows that the
// request wasn't executed only if it carries the request's id, or if it carries no id and its connection has
// carried no other request.
func rejectedAttempt(response *http.Response, requestID string, connectionReused bool) Attempt {
	var rejection Rejection
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxRejectionBytes))
	if err == nil {
		err = json.Unmarshal(raw, &rejection)
	}
	if rejection.RequestID != requestID && (rejection.RequestID != "" || connectionReused) {
		return Attempt{Err: errs.New(errs.MayHaveExecuted, "worker responded with status %d, but the response may belong to another request than %q", response.StatusCode, requestID)}
	}
	if err != nil || !rejection.NotExecuted {
		return Attempt{Err: errs.New(errs.Internal, "worker responded to a start request with status %d, without stating that it was not executed: %.200s", response.StatusCode, raw)}
	}
	return Attempt{Rejected: &rejection, Err: errs.New(errs.NotExecuted, "worker rejected the request without executing it: %s", rejection.Reason)}
}

// ParseFetchFrom parses the FetchFrom header and returns the address to fetch each prefix from, by the prefix's
// index in the prompt. Items that can't be parsed are skipped.
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
