package proxy

import (
	"testing"
)

// What the first worker does, and what each kind of request gets for it: the status, and whether
// the second worker ran it. The second always serves.
func TestEveryKindOfWorkerResponse(t *testing.T) {
	const sealed = "\r\nGo-Id: ID\r\nGo-Seal: seal\r\n"
	type got struct {
		status int
		second int
	}
	served, passed := got{200, 1}, func(n int) got { return got{n, 0} }
	for _, x := range []struct {
		name         string
		first        workerScript
		ran          int
		repeat, once got
	}{
		{"serves", respondWith(okResponse), 1, passed(200), passed(200)},
		{"nobody listens", nil, 0, served, served},
		{"full", respondWith("HTTP/1.1 503 Full\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 1, served, served},
		{"full and leaving", respondThenClose("HTTP/1.1 503 Full\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"), 1, served, served},
		{"too many", respondWith("HTTP/1.1 429 Many\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 1, served, served},
		{"another life", respondWith("HTTP/1.1 421 No\r\nGo-Id: ID\r\nContent-Length: 0\r\n\r\n"), 1, served, served},
		{"no id", respondWith("HTTP/1.1 400 No\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 1, passed(400), passed(400)},
		{"503 without proof", respondWith("HTTP/1.1 503 Bad\r\nGo-Id: ID\r\nContent-Length: 0\r\n\r\n"), 1, served, passed(502)},
		{"429 without proof", respondWith("HTTP/1.1 429 Bad\r\nGo-Id: ID\r\nContent-Length: 0\r\n\r\n"), 1, served, passed(502)},
		{"408 without proof", respondWith("HTTP/1.1 408 Bad\r\nGo-Id: ID\r\nContent-Length: 0\r\n\r\n"), 1, served, passed(502)},
		{"504 that says not run", respondWith("HTTP/1.1 504 Bad\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 1, served, passed(502)},
		{"200 that says not run", respondWith("HTTP/1.1 200 OK" + sealed + "Go-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 1, served, passed(502)},
		{"its own 500", respondWith("HTTP/1.1 500 Oh" + sealed + "Content-Length: 2\r\n\r\noh"), 1, served, passed(500)},
		{"its own 504", respondWith("HTTP/1.1 504 Late" + sealed + "Content-Length: 0\r\n\r\n"), 1, passed(504), passed(504)},
		{"its own 404", respondWith("HTTP/1.1 404 No" + sealed + "Content-Length: 0\r\n\r\n"), 1, passed(404), passed(404)},
		{"its own 302", respondWith("HTTP/1.1 302 There" + sealed + "Location: /\r\nContent-Length: 0\r\n\r\n"), 1, passed(302), passed(302)},
		{"closes", respondThenClose(""), 1, served, passed(502)},
		{"garbage", respondThenClose("\x00\x01garbage\r\n\r\n"), 1, served, passed(502)},
		{"half a head", respondThenClose("HTTP/1.1 200 OK\r\nGo-Id: ID\r\nGo-S"), 1, served, passed(502)},
		{"another's answer", respondWith("HTTP/1.1 200 OK\r\nGo-Id: other\r\nGo-Seal: seal\r\nContent-Length: 4\r\n\r\nfine"), 1, served, passed(502)},
		{"another's answer without body", respondWith("HTTP/1.1 200 OK\r\nGo-Id: other\r\nGo-Seal: seal\r\nContent-Length: 0\r\n\r\n"), 1, served, passed(502)},
		{"another's refusal", respondWith("HTTP/1.1 503 Full\r\nGo-Id: other\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 1, served, passed(502)},
		{"an answer without id", respondWith("HTTP/1.1 200 OK\r\nGo-Seal: seal\r\nContent-Length: 4\r\n\r\nfine"), 1, served, passed(502)},
		{"no seal", respondWith("HTTP/1.1 200 OK\r\nGo-Id: ID\r\nContent-Length: 4\r\n\r\nfine"), 1, served, passed(502)},
		{"encoded", respondWith("HTTP/1.1 200 OK" + sealed + "Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nfine"), 1, served, passed(502)},
		{"too short", respondThenClose("HTTP/1.1 200 OK" + sealed + "Content-Length: 9\r\n\r\nfine"), 1, served, passed(502)},
		{"no last chunk", respondThenClose("HTTP/1.1 200 OK" + sealed + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n"), 1, served, passed(502)},
		{"bad chunk", respondThenClose("HTTP/1.1 200 OK" + sealed + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\nzz\r\n"), 1, served, passed(502)},
		{"an end that can't be seen", respondThenClose("HTTP/1.1 200 OK" + sealed + "\r\nfine"), 1, served, passed(502)},
		{"another protocol", respondThenClose("HTTP/1.1 101 Go\r\nGo-Id: ID\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"), 1, served, passed(502)},
	} {
		for _, y := range []struct {
			route string
			want  got
		}{{"repeat", x.repeat}, {"once", x.once}, {"stream", x.once}, {"resume", x.repeat}} {
			t.Run(x.name+"/"+y.route, func(t *testing.T) {
				withSite(t, []workerScript{x.first, respondWith(okResponse)}, func(s *testSite) {
					want := y.want
					if (x.name == "too short" || x.name == "no last chunk") && (y.route == "stream" || y.route == "resume") {
						want = got{0, 0} // a piece of a series goes on as it comes, and here no event can be gone on from
					}
					a := s.send(postRequest(y.route, "a1", "body"))
					switch {
					case want.status == 0 && a.err == nil:
						t.Errorf("%d %q looks whole", a.status, a.body)
					case want.status != 0 && (a.err != nil || a.status != want.status):
						t.Errorf("%d, %v: want %d", a.status, a.err, want.status)
					}
					if want.status == 200 && a.body != "fine" {
						t.Errorf("body %q", a.body)
					}
					if n := s.workers[0].runs(); n != x.ran {
						t.Errorf("the first worker got it %d times: want %d", n, x.ran)
					}
					if n := s.workers[1].runs(); n != want.second {
						t.Errorf("the second worker got it %d times: want %d", n, want.second)
					}
				})
			})
		}
	}
}

// Where no worker is left that could take it, the promise is made only with proof for each.
func TestResponseWhenNoWorkerServes(t *testing.T) {
	full := respondWith("HTTP/1.1 503 Full\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	for _, x := range []struct {
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
		t.Run(x.name, func(t *testing.T) {
			withSite(t, x.ws, func(s *testSite) {
				a := s.send(postRequest(x.route, "a1", "body"))
				if a.err != nil || a.status != x.status || (a.head.Get("Retry-After") != "") != x.waits {
					t.Errorf("%d, Retry-After %q, %v", a.status, a.head.Get("Retry-After"), a.err)
				}
				n := 0
				for _, w := range s.workers {
					n += w.runs()
				}
				if n > x.workers {
					t.Errorf("%d workers got it: want at most %d", n, x.workers)
				}
			})
		})
	}
}
