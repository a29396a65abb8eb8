package proxy

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/selection"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
)

// Method, path, query and body reach the worker as they came, byte for byte.
func TestRequestUnchanged(t *testing.T) {
	big := string(bytes.Repeat([]byte("0123456789\x00\r\n\xff"), 6000))
	for _, x := range []struct{ method, target, frame, body string }{
		{"POST", "/once/x", "length", "body"},
		{"POST", "/once/a%2Fb%20c//d/../e/./f;p=1", "length", big},
		{"PUT", "/once/?", "chunked", "body"},
		{"PATCH", "/once/?a=%zz&&b=+%2b;c=[]{}|^`\"<>'", "chunked", big},
		{"POST", "/once/\xc3\xa9", "length", "body"},
		{"GET", "/once/?x", "", ""},
		{"DELETE", "/once/x?y=//z", "", ""},
		{"OPTIONS", "/once/x", "", ""},
		{"POST", "/once/x", "length", ""},
		{"POST", "/once/x", "chunked", ""},
		{"GET", "/once/x", "length", "a body"},
		{"GET", "/once/x", "chunked", "a body"},
		{"ODD", "/once/x", "length", "a body"},
		{"POST", "/repeat//x//", "length", "a body"},
	} {
		withSite(t, []workerScript{respondWith(okResponse)}, func(s *testSite) {
			text := x.method + " " + x.target + " HTTP/1.1\r\nHost: ANY.example:80\r\nGo-Id: a1\r\n"
			switch x.frame {
			case "length":
				text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(x.body), x.body)
			case "chunked":
				text += "Transfer-Encoding: chunked\r\n\r\n"
				for rest := x.body; rest != ""; {
					n := min(len(rest), 1000)
					text, rest = text+chunk(rest[:n]), rest[n:]
				}
				text += "0\r\n\r\n"
			default:
				text += "\r\n"
			}
			if a := s.send(text); a.status != 200 || a.body != "fine" {
				t.Fatalf("%s %q: %d %q %v", x.method, x.target, a.status, a.body, a.err)
			}
			r := s.workers[0].requests[0]
			if r.Method != x.method || r.RequestURI != x.target || s.workers[0].bodies[0] != x.body || r.Host != "ANY.example:80" {
				t.Errorf("%s %q: %s %q, %d bytes, host %s", x.method, x.target, r.Method, r.RequestURI, len(s.workers[0].bodies[0]), r.Host)
			}
			if length := r.ContentLength >= 0; x.frame == "length" && !length || x.frame == "chunked" && length && x.body != "" {
				t.Errorf("%s %q: came by %s, went with length %d", x.method, x.target, x.frame, r.ContentLength)
			}
			if r.Header.Get("User-Agent") != "" || r.Header.Get("Accept-Encoding") != "" {
				t.Errorf("added: %v", r.Header)
			}
		})
	}
}

// An answer's status, header and body go back as they came, in its own framing.
func TestResponseUnchanged(t *testing.T) {
	big := strings.Repeat("abcdefghij", 50000)
	for _, route := range []string{"once", "repeat", "stream", "resume"} {
		for _, x := range []struct{ frame, body string }{{"length", ""}, {"length", "x"}, {"length", big}, {"chunked", ""}, {"chunked", "x"}, {"chunked", big}} {
			text := "HTTP/1.1 201 Made\r\nGo-Id: ID\r\nGo-Seal: s1\r\nX-Own: a\r\nX-Own: b\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=9\r\n"
			if x.frame == "length" {
				text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(x.body), x.body)
			} else {
				text += "Transfer-Encoding: chunked\r\n\r\n"
				for rest := x.body; rest != ""; {
					n := min(len(rest), 3001)
					text, rest = text+chunk(rest[:n]), rest[n:]
				}
				text += "0\r\n\r\n"
			}
			withSite(t, []workerScript{respondWith(text)}, func(s *testSite) {
				c := s.dialClient()
				for range 2 { // on one connection
					a := c.roundTrip(postRequest(route, "a1", "b"))
					if a.err != nil || a.status != 201 || a.body != x.body || a.head.Get("Go-Seal") != "s1" || fmt.Sprint(a.head["X-Own"]) != "[a b]" {
						t.Errorf("%s %s %d: %d, %d bytes, %v, %v", route, x.frame, len(x.body), a.status, len(a.body), a.err, a.head)
					}
					for _, k := range []string{"X-Hop", "Keep-Alive", "Date", "Content-Type"} {
						if a.head.Get(k) != "" {
							t.Errorf("%s: %s came with the answer", route, k)
						}
					}
				}
				c.Close()
			})
		}
	}
}

// What only this machine may say is never a client's word, and nothing gets through by way of
// fields that concern one connection.
func TestSmuggledHeaders(t *testing.T) {
	withSite(t, []workerScript{respondWith(okResponse)}, func(s *testSite) {
		a := s.send(postRequest("private", "a1", "b", "Authorization: bearer good", "Go-Tenant: other", "Go-Life: w9", "go-urgency: 0",
			"Go-Salt: x", "Go-Fetch: 10.9.9.9:1", "Go-Save: 10.9.9.9:1", "Connection: close, Go-Id, Go-Usage, X-One, Content-Length",
			"Go-Usage: 1/2", "X-One: 1", "Te: trailers", "Upgrade: h2c", "Proxy-Authorization: x", "Keep-Alive: timeout=1", "Expect: 100-continue",
			"Idempotency-Key: k", "X-Own: a", "X-Own: b"))
		if a.status != 200 || a.err != nil {
			t.Fatalf("%d %v", a.status, a.err)
		}
		synctest.Wait()
		h := s.workers[0].requests[0].Header
		for _, k := range []string{"Authorization", "Go-Urgency", "Go-Salt", "Go-Fetch", "Go-Save", "Connection", "X-One", "Te", "Upgrade", "Proxy-Authorization", "Keep-Alive", "Expect"} {
			if v := h.Values(k); len(v) != 0 {
				t.Errorf("%s: %q reached the worker", k, v)
			}
		}
		for k, want := range map[string]string{"Go-Tenant": "ten", "Go-Life": "w0", "Go-Id": "a1", "Go-Usage": "1/2", "Idempotency-Key": "k", "X-Own": "a"} {
			if v := h.Values(k); len(v) == 0 || v[0] != want {
				t.Errorf("%s: %q reached the worker: want %q", k, v, want)
			}
		}
		// On a public route there is no tenant, whatever the client says.
		s.send(postRequest("once", "a2", "b", "Go-Tenant: other", "Authorization: Bearer good"))
		if h := s.workers[0].requests[1].Header; h.Get("Go-Tenant") != "" || h.Get("Authorization") != "" {
			t.Errorf("%v", h)
		}
	})
	for name, text := range map[string]string{
		"two lengths":       "POST /once/x HTTP/1.1\r\nHost: any.example\r\nGo-Id: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nbb",
		"chunked not last":  "POST /once/x HTTP/1.1\r\nHost: any.example\r\nGo-Id: a\r\nTransfer-Encoding: chunked, gzip\r\n\r\n1\r\nb\r\n0\r\n\r\n",
		"a line in a value": "POST /once/x HTTP/1.1\r\nHost: any.example\r\nGo-Id: a\r\nX: a\x00b\r\nContent-Length: 0\r\n\r\n",
	} {
		withSite(t, []workerScript{respondWith(okResponse)}, func(s *testSite) {
			if a := s.send(text); a.status < 400 || s.workers[0].runs() != 0 {
				t.Errorf("%s: %d, ran %d times", name, a.status, s.workers[0].runs())
			}
		})
	}
	// Of a length and chunks, the chunks hold; what follows them is a request of its own.
	withSite(t, []workerScript{respondWith(okResponse)}, func(s *testSite) {
		s.send("POST /once/x HTTP/1.1\r\nHost: any.example\r\nGo-Id: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /once/no HTTP/1.1\r\n\r\n")
		for i, r := range s.workers[0].requests {
			if r.RequestURI != "/once/x" || s.workers[0].bodies[i] != "" {
				t.Errorf("the worker got %s %q", r.RequestURI, s.workers[0].bodies[i])
			}
		}
	})
}

// What a selector says takes effect on the request.
func TestChoiceTakesEffect(t *testing.T) {
	withSite(t, []workerScript{respondWith(strings.Replace(okResponse, "Go-Seal", "Go-Load: 3/1/8\r\nGo-Seal", 1))}, func(s *testSite) {
		s.selector.editChoice = func(c *selection.Choice) {
			c.Weights, c.Salt, c.Fetch, c.Save, c.Urgency = 7, "salt", "10.0.1.9:80", "10.0.1.8:80", 0
		}
		if a := s.send(postRequest("once", "a1", "b", "Go-Version: 3", "Go-Parts: p1 p22")); a.status != 200 {
			t.Fatal(a.status, a.err)
		}
		h := s.workers[0].requests[0].Header
		for k, want := range map[string]string{"Go-Version": "7", "Go-Salt": "salt", "Go-Fetch": "10.0.1.9:80", "Go-Save": "10.0.1.8:80", "Go-Urgency": "0", "Go-Left": "4000", "Go-Parts": "p1 p22"} {
			if h.Get(k) != want {
				t.Errorf("%s: %q", k, h.Get(k))
			}
		}
		if len(s.selector.loads) != 1 || s.selector.loads[0] != (selection.Load{Running: 3, Waiting: 1, Slots: 8}) || s.selector.endings[0] != selection.Completed {
			t.Errorf("%v %v", s.selector.loads, s.selector.endings)
		}
	})
}

// A key is taken only under a plan that was proven newest less than a ratio of the bound ago.
func TestKeyNeedsFreshProof(t *testing.T) {
	withSite(t, []workerScript{respondWith(okResponse)}, func(s *testSite) {
		bound := time.Duration(float64(s.process.Settings.Bounds.KeyRevocationMs)*keyProofRatio) * time.Millisecond
		for _, x := range []struct {
			route, key string
			age        time.Duration
			revokes    bool
			want       int
		}{
			{"private", "good", bound - time.Millisecond, true, 200}, {"private", "good", bound, true, 503}, {"private", "good", bound + time.Hour, false, 200},
			{"private", "bad", bound - time.Millisecond, true, 401}, {"private", "bad", bound, true, 503}, {"private", "bad", bound, false, 503},
			{"private", "", 0, true, 401}, {"once", "", bound + time.Hour, true, 200}, {"nowhere", "good", 0, true, 404}, {"nowhere", "good", bound, true, 503},
		} {
			s.process.Settings.Site.EnforceRevocation = x.revokes
			s.set(func(n *fleet.Snapshot) { n.ProofAt = s.process.Clock.Now() - x.age })
			if x.age > s.process.Clock.Now() {
				s.set(func(n *fleet.Snapshot) { n.ProofAt = 0 })
			}
			ran := s.workers[0].runs()
			a := s.send(postRequest(x.route, "a1", "b", "Authorization: Bearer "+x.key))
			if a.status != x.want || (a.head.Get("Retry-After") != "") != (x.want == 503) || s.workers[0].runs()-ran != map[bool]int{true: 1}[x.want == 200] {
				t.Errorf("%+v: %d, Retry-After %q, ran %d", x, a.status, a.head.Get("Retry-After"), s.workers[0].runs()-ran)
			}
		}
	})
}

// A plan that takes the key away while the body comes counts.
func TestPlanThatChangesWhileTheBodyIsRead(t *testing.T) {
	withSite(t, []workerScript{respondWith(okResponse)}, func(s *testSite) {
		c := s.dialClient()
		text := postRequest("private", "a1", "body", "Authorization: Bearer good")
		_, _ = io.WriteString(c, text[:len(text)-1])
		synctest.Wait()
		p := testPlan()
		p.Tenants[0].Keys = []string{"new"}
		p = (&routingconfig.Plan{Version: 2, Routes: p.Routes, Services: p.Services, Tenants: p.Tenants, Limits: p.Limits}).BuildIndex()
		s.set(func(n *fleet.Snapshot) { n.Plan = p })
		if a := c.roundTrip(text[len(text)-1:]); a.status != 401 || s.workers[0].runs() != 0 {
			t.Errorf("%d %v", a.status, a.err)
		}
		c.Close()
	})
}

// What is denied before a worker is asked.
func TestRejectedAtOnce(t *testing.T) {
	withSite(t, []workerScript{respondWith(okResponse)}, func(s *testSite) {
		over := strings.Repeat("x", 100<<10+1)
		for name, x := range map[string]struct {
			text string
			want int
		}{
			"too long":            {postRequest("once", "a", over), 413},
			"too long in chunks":  {"POST /once/x HTTP/1.1\r\nHost: any.example\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(over) + "0\r\n\r\n", 413},
			"another host":        {"GET /once/x HTTP/1.1\r\nHost: other.example\r\n\r\n", 404},
			"no time left":        {"GET /once/x HTTP/1.1\r\nHost: any.example\r\nGo-Left: 0\r\n\r\n", 503},
			"just as long as may": {postRequest("once", "a", over[1:]), 200},
		} {
			c := s.dialClient()
			if a := c.roundTrip(x.text); a.status != x.want || a.err != nil {
				t.Errorf("%s: %d %v", name, a.status, a.err)
			}
			c.Close()
		}
		s.set(func(n *fleet.Snapshot) { n.Plan = nil })
		if a := s.send(postRequest("once", "a", "b")); a.status != 503 || a.head.Get("Retry-After") == "" || a.head.Get("Go-Id") != "a" {
			t.Errorf("without a plan: %d %v", a.status, a.head)
		}
	})
}

// A body that doesn't come in the request's time never ran.
func TestSlowBody(t *testing.T) {
	withSite(t, []workerScript{respondWith(okResponse)}, func(s *testSite) {
		c := s.dialClient()
		text := postRequest("once", "a1", "body")
		began := s.process.Clock.Now()
		a := c.roundTrip(text[:len(text)-1])
		if a.status != 503 || !a.closes || a.err != nil || s.workers[0].runs() != 0 {
			t.Errorf("%d %v", a.status, a.head)
		}
		if d := s.process.Clock.Now() - began; d != 4*time.Second {
			t.Errorf("after %v", d)
		}
		c.Close()
	})
}

// No answer is ended sooner because a worker is silent; when the time is over, it may have run.
func TestUnresponsiveWorker(t *testing.T) {
	silent := func(c net.Conn, _ *http.Request, _ string) bool { _, _ = c.Read(make([]byte, 1)); return false }
	for _, route := range []string{"once", "repeat", "stream", "resume"} {
		withSite(t, []workerScript{silent, respondWith(okResponse)}, func(s *testSite) {
			began := s.process.Clock.Now()
			a := s.send(postRequest(route, "a1", "body"))
			if d := s.process.Clock.Now() - began; a.status != 504 || d < 4*time.Second || d > 4*time.Second+100*time.Millisecond || s.workers[1].runs() != 0 {
				t.Errorf("%s: %d after %v, second %d", route, a.status, d, s.workers[1].runs())
			}
			if s.selector.endings[0] != selection.TimedOut {
				t.Errorf("%s: ending %v", route, s.selector.endings)
			}
		})
	}
}

// The route's own bound holds, however long the client would wait; and the worker receives what
// is left.
func TestRouteBoundsTheTime(t *testing.T) {
	silent := func(c net.Conn, _ *http.Request, _ string) bool { _, _ = c.Read(make([]byte, 1)); return false }
	for clientWait, want := range map[string]time.Duration{"99999": 8 * time.Second, "": 8 * time.Second, "1500": 1500 * time.Millisecond} {
		withSite(t, []workerScript{silent}, func(s *testSite) {
			began := s.process.Clock.Now()
			a := s.send(strings.Replace(postRequest("once", "a1", "body"), "Go-Left: 4000", "Go-Left: "+clientWait, 1))
			if d := s.process.Clock.Now() - began; a.status != 504 || d < want || d > want+100*time.Millisecond {
				t.Errorf("%q: %d after %v", clientWait, a.status, d)
			}
			synctest.Wait()
			if left := s.workers[0].requests[0].Header.Get("Go-Left"); left != fmt.Sprint(want.Milliseconds()) {
				t.Errorf("%q: the worker received %s", clientWait, left)
			}
		})
	}
}

// A client that doesn't read is given up with its time, and visibly so.
func TestClientThatDoesNotRead(t *testing.T) {
	big := strings.Repeat("abcdefghij", 50000)
	withSite(t, []workerScript{respondWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nGo-Id: ID\r\nGo-Seal: s\r\nContent-Length: %d\r\n\r\n%s", len(big), big))}, func(s *testSite) {
		c := s.dialClient()
		_, _ = io.WriteString(c, postRequest("once", "a1", "b"))
		synctest.Wait()
		time.Sleep(5 * time.Second) // of the bubble
		synctest.Wait()
		if n := s.server.inFlight.Load(); n != 0 {
			t.Errorf("%d requests hang on a client that doesn't read", n)
		}
		if a := c.readReply("POST"); a.err == nil {
			t.Error("an answer that was given up looks whole")
		}
		c.Close()
		synctest.Wait()
	})
}

// Memory is bounded: beyond it, a promise.
func TestMemoryIsBounded(t *testing.T) {
	silent := func(c net.Conn, _ *http.Request, _ string) bool { _, _ = c.Read(make([]byte, 1)); return false }
	withSite(t, []workerScript{silent}, func(s *testSite) {
		s.server.memoryLimit = 2*requestOverhead + 100
		var cs []*clientConn
		for range 2 {
			c := s.dialClient()
			cs = append(cs, c)
			_, _ = io.WriteString(c, postRequest("once", "a1", "body"))
			synctest.Wait()
		}
		if a := s.send(postRequest("once", "a3", "body")); a.status != errs.Overloaded.HTTPStatus || a.head.Get("Retry-After") == "" {
			t.Errorf("%+v", a)
		}
		if a := s.send("POST /once/x HTTP/1.1\r\nHost: any.example\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("body") + "0\r\n\r\n"); a.status != errs.Overloaded.HTTPStatus {
			t.Errorf("%+v", a)
		}
		for _, c := range cs {
			c.Close()
		}
		synctest.Wait()
		if n := s.server.reservedMemory.Load(); n != 0 || s.workers[0].runs() != 2 {
			t.Errorf("%d bytes held, ran %d", n, s.workers[0].runs())
		}
	})
}
