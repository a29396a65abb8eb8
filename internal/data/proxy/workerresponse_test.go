package proxy

import (
	"testing"
)

// expected is the response status that the client must get, and the number of requests to the second worker.
type expected struct {
	status int // expected response status; 0: an incomplete response, which the client must see as an error
	second int // expected number of requests that the second worker receives
}

// workerResponse is a test case: the behavior of the first worker, and the expected result for idempotent requests and
// for others.
type workerResponse struct {
	name                      string
	first                     workerScript // response of the first worker; nil: the worker doesn't listen
	firstRequests             int          // expected number of requests that the first worker receives
	idempotent, notIdempotent expected
}

func workerResponses() []workerResponse {
	const sealed = "\r\nGo-Id: ID\r\nGo-Seal: seal\r\n"
	retried, relayed := expected{200, 1}, func(status int) expected { return expected{status, 0} }
	return []workerResponse{
		{"valid response", respondWith(okResponse), 1, relayed(200), relayed(200)},
		{"connection refused", nil, 0, retried, retried},
		{"503 with the not-executed field", respondWith("HTTP/1.1 503 Full\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 1, retried, retried},
		{"503 with the not-executed field and Connection: close", respondThenClose("HTTP/1.1 503 Full\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"), 1, retried, retried},
		{"429 with the not-executed field", respondWith("HTTP/1.1 429 Many\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 1, retried, retried},
		{"421", respondWith("HTTP/1.1 421 No\r\nGo-Id: ID\r\nContent-Length: 0\r\n\r\n"), 1, retried, retried},
		{"400 with the not-executed field", respondWith("HTTP/1.1 400 No\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 1, relayed(400), relayed(400)},
		{"503 without the not-executed field", respondWith("HTTP/1.1 503 Bad\r\nGo-Id: ID\r\nContent-Length: 0\r\n\r\n"), 1, retried, relayed(502)},
		{"429 without the not-executed field", respondWith("HTTP/1.1 429 Bad\r\nGo-Id: ID\r\nContent-Length: 0\r\n\r\n"), 1, retried, relayed(502)},
		{"408 without the not-executed field", respondWith("HTTP/1.1 408 Bad\r\nGo-Id: ID\r\nContent-Length: 0\r\n\r\n"), 1, retried, relayed(502)},
		{"504 that contradicts its not-executed field", respondWith("HTTP/1.1 504 Bad\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 1, retried, relayed(502)},
		{"200 that contradicts its not-executed field", respondWith("HTTP/1.1 200 OK" + sealed + "Go-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 1, retried, relayed(502)},
		{"500", respondWith("HTTP/1.1 500 Oh" + sealed + "Content-Length: 2\r\n\r\noh"), 1, retried, relayed(500)},
		{"504", respondWith("HTTP/1.1 504 Late" + sealed + "Content-Length: 0\r\n\r\n"), 1, relayed(504), relayed(504)},
		{"404", respondWith("HTTP/1.1 404 No" + sealed + "Content-Length: 0\r\n\r\n"), 1, relayed(404), relayed(404)},
		{"302", respondWith("HTTP/1.1 302 There" + sealed + "Location: /\r\nContent-Length: 0\r\n\r\n"), 1, relayed(302), relayed(302)},
		{"connection closed without a response", respondThenClose(""), 1, retried, relayed(502)},
		{"worker sends bytes that are not HTTP", respondThenClose("\x00\x01garbage\r\n\r\n"), 1, retried, relayed(502)},
		{"connection closed within the response header", respondThenClose("HTTP/1.1 200 OK\r\nGo-Id: ID\r\nGo-S"), 1, retried, relayed(502)},
		{"response to another request", respondWith("HTTP/1.1 200 OK\r\nGo-Id: other\r\nGo-Seal: seal\r\nContent-Length: 4\r\n\r\nfine"), 1, retried, relayed(502)},
		{"response to another request without body", respondWith("HTTP/1.1 200 OK\r\nGo-Id: other\r\nGo-Seal: seal\r\nContent-Length: 0\r\n\r\n"), 1, retried, relayed(502)},
		{"rejection (503) of another request", respondWith("HTTP/1.1 503 Full\r\nGo-Id: other\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 1, retried, relayed(502)},
		{"response without a request ID", respondWith("HTTP/1.1 200 OK\r\nGo-Seal: seal\r\nContent-Length: 4\r\n\r\nfine"), 1, retried, relayed(502)},
		{"200 without the worker's signature (Go-Seal)", respondWith("HTTP/1.1 200 OK\r\nGo-Id: ID\r\nContent-Length: 4\r\n\r\nfine"), 1, retried, relayed(502)},
		{"response with gzip content encoding", respondWith("HTTP/1.1 200 OK" + sealed + "Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nfine"), 1, retried, relayed(502)},
		{"body shorter than Content-Length", respondThenClose("HTTP/1.1 200 OK" + sealed + "Content-Length: 9\r\n\r\nfine"), 1, retried, relayed(502)},
		{"chunked body without last chunk", respondThenClose("HTTP/1.1 200 OK" + sealed + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n"), 1, retried, relayed(502)},
		{"response body with an invalid chunk size", respondThenClose("HTTP/1.1 200 OK" + sealed + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\nzz\r\n"), 1, retried, relayed(502)},
		{"response with neither Content-Length nor chunked encoding", respondThenClose("HTTP/1.1 200 OK" + sealed + "\r\nfine"), 1, retried, relayed(502)},
		{"status 101 Switching Protocols", respondThenClose("HTTP/1.1 101 Go\r\nGo-Id: ID\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"), 1, retried, relayed(502)},
	}
}

// Tests each kind of response of a first worker while a second one responds correctly. A request must be retried on
// the second worker only if it is idempotent or the first worker proved that it didn't execute it.
func TestEveryKindOfWorkerResponse(t *testing.T) {
	for _, test := range workerResponses() {
		for _, kind := range []struct {
			route string
			want  expected
		}{{"repeat", test.idempotent}, {"once", test.notIdempotent}, {"stream", test.notIdempotent}, {"resume", test.idempotent}} {
			t.Run(test.name+"/"+kind.route, func(t *testing.T) {
				want := kind.want
				if (test.name == "body shorter than Content-Length" || test.name == "chunked body without last chunk") && (kind.route == "stream" || kind.route == "resume") {
					want = expected{0, 0} // the proxy relays the start of a streamed body at once, and no event was relayed after which it could resume
				}
				withSite(t, []workerScript{test.first, respondWith(okResponse)}, func(site *testSite) {
					checkResponse(t, site, kind.route, test.firstRequests, want)
				})
			})
		}
	}
}

func checkResponse(t *testing.T, site *testSite, route string, firstRequests int, want expected) {
	t.Helper()
	response := site.send(postRequest(route, "a1", "body"))
	switch {
	case want.status == 0 && response.err == nil:
		t.Errorf("route %s: client got status %d, body %q without an error, want an incomplete response", route, response.status, response.body)
	case want.status != 0 && (response.err != nil || response.status != want.status):
		t.Errorf("route %s: client got status %d, error %v; want status %d", route, response.status, response.err, want.status)
	}
	if want.status == 200 && response.body != "fine" {
		t.Errorf("route %s: client got body %q, want \"fine\"", route, response.body)
	}
	if n := site.workers[0].requestCount(); n != firstRequests {
		t.Errorf("route %s: first worker received the request %d times, want %d", route, n, firstRequests)
	}
	if n := site.workers[1].requestCount(); n != want.second {
		t.Errorf("route %s: second worker received the request %d times, want %d", route, n, want.second)
	}
}

// If no worker completes a request, it must be answered as not executed (503 with Retry-After) only if no worker
// may have executed it.
func TestResponseWhenNoWorkerServes(t *testing.T) {
	rejecting := respondWith("HTTP/1.1 503 Full\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	for _, test := range []struct {
		name        string
		scripts     []workerScript
		route       string
		status      int
		retryAfter  bool // whether the response to the client should have a Retry-After field
		maxRequests int  // maximum number of requests that all workers together receive
	}{
		{"no worker", nil, "once", 503, true, 0},
		{"all workers refuse the connection", []workerScript{nil, nil}, "once", 503, true, 0},
		{"all workers reject the request as not executed", []workerScript{rejecting, rejecting}, "once", 503, true, 2},
		{"first worker rejects, second closes the connection", []workerScript{rejecting, respondThenClose("")}, "once", 502, false, 2},
		{"first worker closes the connection, second rejects", []workerScript{respondThenClose(""), rejecting}, "repeat", 502, false, 2},
		{"first worker responds 500, second rejects", []workerScript{respondWith("HTTP/1.1 500 Oh\r\nGo-Id: ID\r\nContent-Length: 0\r\n\r\n"), rejecting}, "repeat", 500, false, 2},
		{"more workers than the route's MaxAttempts", []workerScript{rejecting, rejecting, rejecting, respondWith(okResponse)}, "once", 503, true, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			withSite(t, test.scripts, func(s *testSite) {
				response := s.send(postRequest(test.route, "a1", "body"))
				if response.err != nil || response.status != test.status || (response.header.Get("Retry-After") != "") != test.retryAfter {
					t.Errorf("request that no worker completes: client got status %d, Retry-After %q, error %v; want status %d, Retry-After set: %v", response.status, response.header.Get("Retry-After"), response.err, test.status, test.retryAfter)
				}
				n := 0
				for _, worker := range s.workers {
					n += worker.requestCount()
				}
				if n > test.maxRequests {
					t.Errorf("request that no worker completes: all workers together received it %d times, want at most %d", n, test.maxRequests)
				}
			})
		})
	}
}
