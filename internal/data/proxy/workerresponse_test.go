package proxy

import (
	"testing"
)

// expected is what a client gets, and how often the second worker executes its request.
type expected struct {
	status int // 0: a visibly incomplete response
	second int
}

// workerResponse is what the first worker does with a request, and what each kind of request gets for it.
type workerResponse struct {
	name                      string
	first                     workerScript // nil: nobody listens
	firstRequests             int          // that reach the first worker
	idempotent, notIdempotent expected
}

func workerResponses() []workerResponse {
	const sealed = "\r\nGo-Id: ID\r\nGo-Seal: seal\r\n"
	served, passed := expected{200, 1}, func(status int) expected { return expected{status, 0} }
	return []workerResponse{
		{"serves", respondWith(okResponse), 1, passed(200), passed(200)},
		{"nobody listens", nil, 0, served, served},
		{"full", respondWith("HTTP/1.1 503 Full\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 1, served, served},
		{"full and draining", respondThenClose("HTTP/1.1 503 Full\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"), 1, served, served},
		{"too many", respondWith("HTTP/1.1 429 Many\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 1, served, served},
		{"another instance", respondWith("HTTP/1.1 421 No\r\nGo-Id: ID\r\nContent-Length: 0\r\n\r\n"), 1, served, served},
		{"bad request", respondWith("HTTP/1.1 400 No\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 1, passed(400), passed(400)},
		{"503 without proof", respondWith("HTTP/1.1 503 Bad\r\nGo-Id: ID\r\nContent-Length: 0\r\n\r\n"), 1, served, passed(502)},
		{"429 without proof", respondWith("HTTP/1.1 429 Bad\r\nGo-Id: ID\r\nContent-Length: 0\r\n\r\n"), 1, served, passed(502)},
		{"408 without proof", respondWith("HTTP/1.1 408 Bad\r\nGo-Id: ID\r\nContent-Length: 0\r\n\r\n"), 1, served, passed(502)},
		{"504 that claims not executed", respondWith("HTTP/1.1 504 Bad\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 1, served, passed(502)},
		{"200 that claims not executed", respondWith("HTTP/1.1 200 OK" + sealed + "Go-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 1, served, passed(502)},
		{"its own 500", respondWith("HTTP/1.1 500 Oh" + sealed + "Content-Length: 2\r\n\r\noh"), 1, served, passed(500)},
		{"its own 504", respondWith("HTTP/1.1 504 Late" + sealed + "Content-Length: 0\r\n\r\n"), 1, passed(504), passed(504)},
		{"its own 404", respondWith("HTTP/1.1 404 No" + sealed + "Content-Length: 0\r\n\r\n"), 1, passed(404), passed(404)},
		{"its own 302", respondWith("HTTP/1.1 302 There" + sealed + "Location: /\r\nContent-Length: 0\r\n\r\n"), 1, passed(302), passed(302)},
		{"closes", respondThenClose(""), 1, served, passed(502)},
		{"garbage", respondThenClose("\x00\x01garbage\r\n\r\n"), 1, served, passed(502)},
		{"half a header", respondThenClose("HTTP/1.1 200 OK\r\nGo-Id: ID\r\nGo-S"), 1, served, passed(502)},
		{"another's response", respondWith("HTTP/1.1 200 OK\r\nGo-Id: other\r\nGo-Seal: seal\r\nContent-Length: 4\r\n\r\nfine"), 1, served, passed(502)},
		{"another's response without body", respondWith("HTTP/1.1 200 OK\r\nGo-Id: other\r\nGo-Seal: seal\r\nContent-Length: 0\r\n\r\n"), 1, served, passed(502)},
		{"another's rejection", respondWith("HTTP/1.1 503 Full\r\nGo-Id: other\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 1, served, passed(502)},
		{"a response without an ID", respondWith("HTTP/1.1 200 OK\r\nGo-Seal: seal\r\nContent-Length: 4\r\n\r\nfine"), 1, served, passed(502)},
		{"no seal", respondWith("HTTP/1.1 200 OK\r\nGo-Id: ID\r\nContent-Length: 4\r\n\r\nfine"), 1, served, passed(502)},
		{"encoded", respondWith("HTTP/1.1 200 OK" + sealed + "Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nfine"), 1, served, passed(502)},
		{"too short", respondThenClose("HTTP/1.1 200 OK" + sealed + "Content-Length: 9\r\n\r\nfine"), 1, served, passed(502)},
		{"no last chunk", respondThenClose("HTTP/1.1 200 OK" + sealed + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n"), 1, served, passed(502)},
		{"bad chunk", respondThenClose("HTTP/1.1 200 OK" + sealed + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\nzz\r\n"), 1, served, passed(502)},
		{"not self-delimited", respondThenClose("HTTP/1.1 200 OK" + sealed + "\r\nfine"), 1, served, passed(502)},
		{"another protocol", respondThenClose("HTTP/1.1 101 Go\r\nGo-Id: ID\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"), 1, served, passed(502)},
	}
}

// The second worker, which always responds correctly, gets a request only if it may be sent again after what
// the first has responded.
func TestEveryKindOfWorkerResponse(t *testing.T) {
	for _, test := range workerResponses() {
		for _, kind := range []struct {
			route string
			want  expected
		}{{"repeat", test.idempotent}, {"once", test.notIdempotent}, {"stream", test.notIdempotent}, {"resume", test.idempotent}} {
			t.Run(test.name+"/"+kind.route, func(t *testing.T) {
				want := kind.want
				if (test.name == "too short" || test.name == "no last chunk") && (kind.route == "stream" || kind.route == "resume") {
					want = expected{0, 0} // a stream is relayed as it comes, and here no event can be resumed from
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
		t.Errorf("%d %q looks complete", response.status, response.body)
	case want.status != 0 && (response.err != nil || response.status != want.status):
		t.Errorf("%d, %v: want %d", response.status, response.err, want.status)
	}
	if want.status == 200 && response.body != "fine" {
		t.Errorf("body %q", response.body)
	}
	if n := site.workers[0].runs(); n != firstRequests {
		t.Errorf("the first worker got it %d times: want %d", n, firstRequests)
	}
	if n := site.workers[1].runs(); n != want.second {
		t.Errorf("the second worker got it %d times: want %d", n, want.second)
	}
}

// If no worker is left, the request is rejected as not executed only with proof from each.
func TestResponseWhenNoWorkerServes(t *testing.T) {
	full := respondWith("HTTP/1.1 503 Full\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	for _, test := range []struct {
		name    string
		ws      []workerScript
		route   string
		status  int
		waits   bool
		workers int
	}{
		{"no worker", nil, "once", 503, true, 0},
		{"nobody listens", []workerScript{nil, nil}, "once", 503, true, 0},
		{"all full", []workerScript{full, full}, "once", 503, true, 2},
		{"one full, one closes", []workerScript{full, respondThenClose("")}, "once", 502, false, 2},
		{"one closes, one full", []workerScript{respondThenClose(""), full}, "repeat", 502, false, 2},
		{"one fails, one full", []workerScript{respondWith("HTTP/1.1 500 Oh\r\nGo-Id: ID\r\nContent-Length: 0\r\n\r\n"), full}, "repeat", 500, false, 2},
		{"more than the route lets it go to", []workerScript{full, full, full, respondWith(okResponse)}, "once", 503, true, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			withSite(t, test.ws, func(s *testSite) {
				response := s.send(postRequest(test.route, "a1", "body"))
				if response.err != nil || response.status != test.status || (response.head.Get("Retry-After") != "") != test.waits {
					t.Errorf("%d, Retry-After %q, %v", response.status, response.head.Get("Retry-After"), response.err)
				}
				n := 0
				for _, worker := range s.workers {
					n += worker.runs()
				}
				if n > test.workers {
					t.Errorf("%d workers got it: want at most %d", n, test.workers)
				}
			})
		})
	}
}
