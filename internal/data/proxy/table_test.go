package proxy

import (
	"testing"
)

// What the first worker does, and what each kind of request gets for it: the status, and whether
// the second worker ran it. The second always serves.
func TestEveryRefusalBreakAndGarble(t *testing.T) {
	const sealed = "\r\nGo-Id: ID\r\nGo-Seal: seal\r\n"
	type got struct {
		status int
		second int
	}
	served, passed := got{200, 1}, func(n int) got { return got{n, 0} }
	for _, x := range []struct {
		name         string
		first        script
		ran          int
		repeat, once got
	}{
		{"serves", says(okay), 1, passed(200), passed(200)},
		{"nobody listens", nil, 0, served, served},
		{"full", says("HTTP/1.1 503 Full\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 1, served, served},
		{"full and leaving", cuts("HTTP/1.1 503 Full\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"), 1, served, served},
		{"too many", says("HTTP/1.1 429 Many\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 1, served, served},
		{"another life", says("HTTP/1.1 421 No\r\nGo-Id: ID\r\nContent-Length: 0\r\n\r\n"), 1, served, served},
		{"no id", says("HTTP/1.1 400 No\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 1, passed(400), passed(400)},
		{"503 without proof", says("HTTP/1.1 503 Bad\r\nGo-Id: ID\r\nContent-Length: 0\r\n\r\n"), 1, served, passed(502)},
		{"429 without proof", says("HTTP/1.1 429 Bad\r\nGo-Id: ID\r\nContent-Length: 0\r\n\r\n"), 1, served, passed(502)},
		{"408 without proof", says("HTTP/1.1 408 Bad\r\nGo-Id: ID\r\nContent-Length: 0\r\n\r\n"), 1, served, passed(502)},
		{"504 that says not run", says("HTTP/1.1 504 Bad\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 1, served, passed(502)},
		{"200 that says not run", says("HTTP/1.1 200 OK" + sealed + "Go-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 1, served, passed(502)},
		{"its own 500", says("HTTP/1.1 500 Oh" + sealed + "Content-Length: 2\r\n\r\noh"), 1, served, passed(500)},
		{"its own 504", says("HTTP/1.1 504 Late" + sealed + "Content-Length: 0\r\n\r\n"), 1, passed(504), passed(504)},
		{"its own 404", says("HTTP/1.1 404 No" + sealed + "Content-Length: 0\r\n\r\n"), 1, passed(404), passed(404)},
		{"its own 302", says("HTTP/1.1 302 There" + sealed + "Location: /\r\nContent-Length: 0\r\n\r\n"), 1, passed(302), passed(302)},
		{"closes", cuts(""), 1, served, passed(502)},
		{"garbage", cuts("\x00\x01garbage\r\n\r\n"), 1, served, passed(502)},
		{"half a head", cuts("HTTP/1.1 200 OK\r\nGo-Id: ID\r\nGo-S"), 1, served, passed(502)},
		{"another's answer", says("HTTP/1.1 200 OK\r\nGo-Id: other\r\nGo-Seal: seal\r\nContent-Length: 4\r\n\r\nfine"), 1, served, passed(502)},
		{"another's answer without body", says("HTTP/1.1 200 OK\r\nGo-Id: other\r\nGo-Seal: seal\r\nContent-Length: 0\r\n\r\n"), 1, served, passed(502)},
		{"another's refusal", says("HTTP/1.1 503 Full\r\nGo-Id: other\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), 1, served, passed(502)},
		{"an answer without id", says("HTTP/1.1 200 OK\r\nGo-Seal: seal\r\nContent-Length: 4\r\n\r\nfine"), 1, served, passed(502)},
		{"no seal", says("HTTP/1.1 200 OK\r\nGo-Id: ID\r\nContent-Length: 4\r\n\r\nfine"), 1, served, passed(502)},
		{"encoded", says("HTTP/1.1 200 OK" + sealed + "Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nfine"), 1, served, passed(502)},
		{"too short", cuts("HTTP/1.1 200 OK" + sealed + "Content-Length: 9\r\n\r\nfine"), 1, served, passed(502)},
		{"no last chunk", cuts("HTTP/1.1 200 OK" + sealed + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n"), 1, served, passed(502)},
		{"bad chunk", cuts("HTTP/1.1 200 OK" + sealed + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\nzz\r\n"), 1, served, passed(502)},
		{"an end that can't be seen", cuts("HTTP/1.1 200 OK" + sealed + "\r\nfine"), 1, served, passed(502)},
		{"another protocol", cuts("HTTP/1.1 101 Go\r\nGo-Id: ID\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"), 1, served, passed(502)},
	} {
		for _, y := range []struct {
			route string
			want  got
		}{{"repeat", x.repeat}, {"once", x.once}, {"stream", x.once}, {"resume", x.repeat}} {
			t.Run(x.name+"/"+y.route, func(t *testing.T) {
				open(t, []script{x.first, says(okay)}, func(s *site) {
					want := y.want
					if (x.name == "too short" || x.name == "no last chunk") && (y.route == "stream" || y.route == "resume") {
						want = got{0, 0} // a piece of a series goes on as it comes, and here no event can be gone on from
					}
					a := s.call(post(y.route, "a1", "body"))
					switch {
					case want.status == 0 && a.err == nil:
						t.Errorf("%d %q looks whole", a.status, a.body)
					case want.status != 0 && (a.err != nil || a.status != want.status):
						t.Errorf("%d, %v: want %d", a.status, a.err, want.status)
					}
					if want.status == 200 && a.body != "fine" {
						t.Errorf("body %q", a.body)
					}
					if n := s.ws[0].runs(); n != x.ran {
						t.Errorf("the first worker got it %d times: want %d", n, x.ran)
					}
					if n := s.ws[1].runs(); n != want.second {
						t.Errorf("the second worker got it %d times: want %d", n, want.second)
					}
				})
			})
		}
	}
}

// Where no worker is left that could take it, the promise is made only with proof for each.
func TestWhenNobodyServes(t *testing.T) {
	full := says("HTTP/1.1 503 Full\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	for _, x := range []struct {
		name    string
		ws      []script
		route   string
		status  int
		waits   bool
		workers int
	}{
		{"no worker", nil, "once", 503, true, 0},
		{"nobody listens", []script{nil, nil}, "once", 503, true, 0},
		{"all full", []script{full, full}, "once", 503, true, 2},
		{"one full, one closes", []script{full, cuts("")}, "once", 502, false, 2},
		{"one closes, one full", []script{cuts(""), full}, "repeat", 502, false, 2},
		{"one fails, one full", []script{says("HTTP/1.1 500 Oh\r\nGo-Id: ID\r\nContent-Length: 0\r\n\r\n"), full}, "repeat", 500, false, 2},
		{"more than the route lets it go to", []script{full, full, full, says(okay)}, "once", 503, true, 3},
	} {
		t.Run(x.name, func(t *testing.T) {
			open(t, x.ws, func(s *site) {
				a := s.call(post(x.route, "a1", "body"))
				if a.err != nil || a.status != x.status || (a.head.Get("Retry-After") != "") != x.waits {
					t.Errorf("%d, Retry-After %q, %v", a.status, a.head.Get("Retry-After"), a.err)
				}
				n := 0
				for _, w := range s.ws {
					n += w.runs()
				}
				if n > x.workers {
					t.Errorf("%d workers got it: want at most %d", n, x.workers)
				}
			})
		})
	}
}
