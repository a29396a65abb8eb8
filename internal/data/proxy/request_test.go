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
	"pebbleloom/internal/settings"
)

// The proxy must forward method, path, query and body byte for byte, also in forms that net/http would normalize.
func TestRequestUnchanged(t *testing.T) {
	big := string(bytes.Repeat([]byte("0123456789\x00\r\n\xff"), 6000))
	for _, test := range []struct{ method, target, frame, body string }{
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
		withSite(t, []workerScript{respondWith(okResponse)}, func(site *testSite) {
			text := test.method + " " + test.target + " HTTP/1.1\r\nHost: ANY.example:80\r\nGo-Id: a1\r\n"
			switch test.frame {
			case "length":
				text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(test.body), test.body)
			case "chunked":
				text += "Transfer-Encoding: chunked\r\n\r\n"
				for rest := test.body; rest != ""; {
					n := min(len(rest), 1000)
					text, rest = text+chunk(rest[:n]), rest[n:]
				}
				text += "0\r\n\r\n"
			default:
				text += "\r\n"
			}
			if response := site.send(text); response.status != 200 || response.body != "fine" {
				t.Fatalf("request %s %q: got status %d, body %q, error %v; want 200, \"fine\"", test.method, test.target, response.status, response.body, response.err)
			}
			received := site.workers[0].requests[0]
			if received.Method != test.method || received.RequestURI != test.target || site.workers[0].bodies[0] != test.body || received.Host != "ANY.example:80" {
				t.Errorf("request %s %q: worker received %s %q, body of %d bytes, host %q; want the same request with host ANY.example:80", test.method, test.target, received.Method, received.RequestURI, len(site.workers[0].bodies[0]), received.Host)
			}
			if length := received.ContentLength >= 0; test.frame == "length" && !length || test.frame == "chunked" && length && test.body != "" {
				t.Errorf("request %s %q: client sent the body framed by %s, worker received it with ContentLength %d", test.method, test.target, test.frame, received.ContentLength)
			}
			if received.Header.Get("User-Agent") != "" || received.Header.Get("Accept-Encoding") != "" {
				t.Errorf("worker received header %v, want no User-Agent or Accept-Encoding added by the proxy", received.Header)
			}
		})
	}
}

// The proxy must relay a response's status, header, body and framing unchanged, except for hop-by-hop fields.
func TestResponseUnchanged(t *testing.T) {
	big := strings.Repeat("abcdefghij", 50000)
	for _, route := range []string{"once", "repeat", "stream", "resume"} {
		for _, test := range []struct{ frame, body string }{{"length", ""}, {"length", "x"}, {"length", big}, {"chunked", ""}, {"chunked", "x"}, {"chunked", big}} {
			text := "HTTP/1.1 201 Made\r\nGo-Id: ID\r\nGo-Seal: s1\r\nX-Own: a\r\nX-Own: b\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=9\r\n"
			if test.frame == "length" {
				text += fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(test.body), test.body)
			} else {
				text += "Transfer-Encoding: chunked\r\n\r\n"
				for rest := test.body; rest != ""; {
					n := min(len(rest), 3001)
					text, rest = text+chunk(rest[:n]), rest[n:]
				}
				text += "0\r\n\r\n"
			}
			withSite(t, []workerScript{respondWith(text)}, func(s *testSite) {
				client := s.dialClient()
				for range 2 { // two requests on the same client connection
					response := client.roundTrip(postRequest(route, "a1", "b"))
					if response.err != nil || response.status != 201 || response.body != test.body || response.header.Get("Go-Seal") != "s1" || fmt.Sprint(response.header["X-Own"]) != "[a b]" {
						t.Errorf("route %s, response framed by %s: got status %d, body of %d bytes, error %v, header %v; want 201, %d bytes, fields unchanged", route, test.frame, response.status, len(response.body), response.err, response.header, len(test.body))
					}
					for _, k := range []string{"X-Hop", "Keep-Alive", "Date", "Content-Type"} {
						if response.header.Get(k) != "" {
							t.Errorf("route %s: client received response field %s: %q, want it absent", route, k, response.header.Get(k))
						}
					}
				}
				client.Close()
			})
		}
	}
}

// A client must not be able to set fields reserved for the proxy, to suppress end-to-end fields by declaring them
// hop-by-hop in Connection, or to smuggle a request by ambiguous framing.
func TestSmuggledHeaders(t *testing.T) {
	withSite(t, []workerScript{respondWith(okResponse)}, func(site *testSite) {
		response := site.send(postRequest("private", "a1", "b", "Authorization: bearer good", "Go-Tenant: other", "Go-Instance: w9", "go-urgency: 0",
			"Go-Salt: x", "Go-Fetch: 10.9.9.9:1", "Go-Save: 10.9.9.9:1", "Connection: close, Go-Id, Go-Usage, X-One, Content-Length",
			"Go-Usage: 1/2", "X-One: 1", "Te: trailers", "Upgrade: h2c", "Proxy-Authorization: x", "Keep-Alive: timeout=1", "Expect: 100-continue",
			"Idempotency-Key: k", "X-Own: a", "X-Own: b"))
		if response.status != 200 || response.err != nil {
			t.Fatalf("request with forged fields: got status %d, error %v; want 200", response.status, response.err)
		}
		synctest.Wait()
		h := site.workers[0].requests[0].Header
		for _, k := range []string{"Authorization", "Go-Urgency", "Go-Salt", "Go-Fetch", "Go-Save", "Connection", "X-One", "Te", "Upgrade", "Proxy-Authorization", "Keep-Alive", "Expect"} {
			if v := h.Values(k); len(v) != 0 {
				t.Errorf("client sent header field %s: worker received %q, want the field removed", k, v)
			}
		}
		for k, want := range map[string]string{"Go-Tenant": "ten", "Go-Instance": "w0", "Go-Id": "a1", "Go-Usage": "1/2", "Idempotency-Key": "k", "X-Own": "a"} {
			if v := h.Values(k); len(v) == 0 || v[0] != want {
				t.Errorf("header field %s: worker received %q, want %q", k, v, want)
			}
		}
		// On a public route, the proxy must remove the tenant and Authorization fields that a client sends.
		site.send(postRequest("once", "a2", "b", "Go-Tenant: other", "Authorization: Bearer good"))
		if h := site.workers[0].requests[1].Header; h.Get("Go-Tenant") != "" || h.Get("Authorization") != "" {
			t.Errorf("client sent tenant and API key on a public route: worker received Go-Tenant %q and Authorization %q, want neither", h.Get("Go-Tenant"), h.Get("Authorization"))
		}
	})
	for name, text := range map[string]string{
		"two different Content-Length fields": "POST /once/x HTTP/1.1\r\nHost: any.example\r\nGo-Id: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nbb",
		"a transfer coding after chunked":     "POST /once/x HTTP/1.1\r\nHost: any.example\r\nGo-Id: a\r\nTransfer-Encoding: chunked, gzip\r\n\r\n1\r\nb\r\n0\r\n\r\n",
		"a NUL byte in a header field value":  "POST /once/x HTTP/1.1\r\nHost: any.example\r\nGo-Id: a\r\nX: a\x00b\r\nContent-Length: 0\r\n\r\n",
	} {
		withSite(t, []workerScript{respondWith(okResponse)}, func(s *testSite) {
			if response := s.send(text); response.status < 400 || s.workers[0].requestCount() != 0 {
				t.Errorf("request with %s: got status %d, forwarded %d times; want an error status, not forwarded", name, response.status, s.workers[0].requestCount())
			}
		})
	}
	// With both Content-Length and chunked encoding, the latter applies, and the bytes after the last chunk are a
	// separate request.
	withSite(t, []workerScript{respondWith(okResponse)}, func(s *testSite) {
		s.send("POST /once/x HTTP/1.1\r\nHost: any.example\r\nGo-Id: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /once/no HTTP/1.1\r\n\r\n")
		for i, r := range s.workers[0].requests {
			if r.RequestURI != "/once/x" || s.workers[0].bodies[i] != "" {
				t.Errorf("request with both Content-Length and chunked encoding: worker received target %q with body %q, want only /once/x with an empty body", r.RequestURI, s.workers[0].bodies[i])
			}
		}
	})
}

// The selector's choice must reach the worker in the header, and the load in the response must reach the selector.
func TestChoiceTakesEffect(t *testing.T) {
	withSite(t, []workerScript{respondWith(strings.Replace(okResponse, "Go-Seal", "Go-Load: 3/1/8\r\nGo-Seal", 1))}, func(s *testSite) {
		s.selector.editChoice = func(c *selection.Choice) {
			c.Weights, c.Salt, c.Fetch, c.Save, c.Urgency = 7, "salt", "10.0.1.9:80", "10.0.1.8:80", 0
		}
		if response := s.send(postRequest("once", "a1", "b", "Go-Version: 3", "Go-Parts: p1 p22")); response.status != 200 {
			t.Fatalf("request for which the selector chose a worker: got status %d, error %v; want 200", response.status, response.err)
		}
		h := s.workers[0].requests[0].Header
		for k, want := range map[string]string{"Go-Version": "7", "Go-Salt": "salt", "Go-Fetch": "10.0.1.9:80", "Go-Save": "10.0.1.8:80", "Go-Urgency": "0", "Go-Left": "4000", "Go-Parts": "p1 p22"} {
			if h.Get(k) != want {
				t.Errorf("header field %s of the request sent to the worker that the selector chose: worker received %q, want %q", k, h.Get(k), want)
			}
		}
		if len(s.selector.loads) != 1 || s.selector.loads[0] != (selection.Load{Running: 3, Waiting: 1, Slots: 8}) || s.selector.outcomes[0] != selection.Completed {
			t.Errorf("worker reports load 3/1/8 in its response: selector got loads %v and outcomes %v, want one load {Running:3 Waiting:1 Slots:8} and Completed", s.selector.loads, s.selector.outcomes)
		}
	})
}

// If key revocation is enforced, an API key must be accepted only while the control nodes' proof that the routing
// plan is the newest is younger than settings.KeyProofRatio of Bounds.KeyRevocationMs: an outdated plan may still list a
// revoked key.
func TestKeyNeedsFreshProof(t *testing.T) {
	for _, enforced := range []bool{true, false} {
		withRevocation(t, enforced, []workerScript{respondWith(okResponse)}, func(site *testSite) { checkKeysNeedProof(t, site, enforced) })
	}
}

// checkKeysNeedProof checks the responses to API keys at several ages of the proof that the routing plan is the newest.
func checkKeysNeedProof(t *testing.T, site *testSite, enforced bool) {
	bound := time.Duration(float64(site.process.Settings.Bounds.KeyRevocationMs)*settings.KeyProofRatio) * time.Millisecond
	for _, test := range []struct {
		route, key string
		proofAge   time.Duration
		enforced   bool // whether API keys are rejected unless a recent proof shows that the routing plan is the newest
		want       int
	}{
		{"private", "good", bound - time.Millisecond, true, 200}, {"private", "good", bound, true, 503}, {"private", "good", bound + time.Hour, false, 200},
		{"private", "bad", bound - time.Millisecond, true, 401}, {"private", "bad", bound, true, 503}, {"private", "bad", bound, false, 503},
		{"private", "", 0, true, 401}, {"once", "", bound + time.Hour, true, 200}, {"nowhere", "good", 0, true, 404}, {"nowhere", "good", bound, true, 503},
	} {
		if test.enforced != enforced {
			continue
		}
		site.set(func(snapshot *fleet.Snapshot) { snapshot.ProofAt = site.process.Clock.Now() - test.proofAge })
		if test.proofAge > site.process.Clock.Now() {
			site.set(func(snapshot *fleet.Snapshot) { snapshot.ProofAt = 0 })
		}
		ran := site.workers[0].requestCount()
		response := site.send(postRequest(test.route, "a1", "b", "Authorization: Bearer "+test.key))
		if response.status != test.want || (response.header.Get("Retry-After") != "") != (test.want == 503) || site.workers[0].requestCount()-ran != map[bool]int{true: 1}[test.want == 200] {
			t.Errorf("request of test case %+v: got status %d, Retry-After %q, forwarded %d times; want status %d", test, response.status, response.header.Get("Retry-After"), site.workers[0].requestCount()-ran, test.want)
		}
	}
}

// A routing plan that revokes a request's API key while the request body is still being read must apply to that
// request.
func TestPlanThatChangesWhileTheBodyIsRead(t *testing.T) {
	withSite(t, []workerScript{respondWith(okResponse)}, func(s *testSite) {
		client := s.dialClient()
		text := postRequest("private", "a1", "body", "Authorization: Bearer good")
		_, _ = io.WriteString(client, text[:len(text)-1])
		synctest.Wait()
		p := testPlan()
		p.Tenants[0].Keys = []string{"new"}
		p = (&routingconfig.Plan{Version: 2, Routes: p.Routes, Services: p.Services, Tenants: p.Tenants, Limits: p.Limits}).BuildIndex()
		s.set(func(snapshot *fleet.Snapshot) { snapshot.Plan = p })
		if response := client.roundTrip(text[len(text)-1:]); response.status != 401 || s.workers[0].requestCount() != 0 {
			t.Errorf("API key revoked while the request body was read: got status %d, error %v, forwarded %d times; want 401, not forwarded", response.status, response.err, s.workers[0].requestCount())
		}
		client.Close()
	})
}

// Requests with a body over the size limit, without a route, without time left or without a routing plan must be
// rejected at once.
func TestRejectedAtOnce(t *testing.T) {
	withSite(t, []workerScript{respondWith(okResponse)}, func(site *testSite) {
		over := strings.Repeat("x", 100<<10+1)
		for name, test := range map[string]struct {
			text string
			want int
		}{
			"a body one byte over the size limit":         {postRequest("once", "a", over), 413},
			"a chunked body one byte over the size limit": {"POST /once/x HTTP/1.1\r\nHost: any.example\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(over) + "0\r\n\r\n", 413},
			"a host without a route":                      {"GET /once/x HTTP/1.1\r\nHost: other.example\r\n\r\n", 404},
			"no time left until its deadline":             {"GET /once/x HTTP/1.1\r\nHost: any.example\r\nGo-Left: 0\r\n\r\n", 503},
			"a body exactly at the size limit":            {postRequest("once", "a", over[1:]), 200},
		} {
			client := site.dialClient()
			if response := client.roundTrip(test.text); response.status != test.want || response.err != nil {
				t.Errorf("request with %s: got response status %d, error %v; want status %d", name, response.status, response.err, test.want)
			}
			client.Close()
		}
		site.set(func(snapshot *fleet.Snapshot) { snapshot.Plan = nil })
		if response := site.send(postRequest("once", "a", "b")); response.status != 503 || response.header.Get("Retry-After") == "" || response.header.Get("Go-Id") != "a" {
			t.Errorf("request while the node has no routing plan: got status %d, header %v; want 503 with Retry-After and the request ID", response.status, response.header)
		}
	})
}

// A request whose body is incomplete at the deadline must be rejected as not executed, exactly at the deadline.
func TestSlowBody(t *testing.T) {
	withSite(t, []workerScript{respondWith(okResponse)}, func(s *testSite) {
		client := s.dialClient()
		text := postRequest("once", "a1", "body")
		began := s.process.Clock.Now()
		response := client.roundTrip(text[:len(text)-1])
		if response.status != 503 || !response.closesConn || response.err != nil || s.workers[0].requestCount() != 0 {
			t.Errorf("request body incomplete at the deadline: got status %d, header %v, forwarded %d times; want 503 with Connection: close, not forwarded", response.status, response.header, s.workers[0].requestCount())
		}
		if d := s.process.Clock.Now() - began; d != 4*time.Second {
			t.Errorf("request body incomplete at the deadline: rejected after %v, want 4s", d)
		}
		client.Close()
	})
}

// If a worker never responds, the client must get a 504 at its deadline and no second worker may get the request,
// because the first may have executed it.
func TestUnresponsiveWorker(t *testing.T) {
	silent := func(c net.Conn, _ *http.Request, _ string) bool { _, _ = c.Read(make([]byte, 1)); return false }
	for _, route := range []string{"once", "repeat", "stream", "resume"} {
		withSite(t, []workerScript{silent, respondWith(okResponse)}, func(s *testSite) {
			began := s.process.Clock.Now()
			response := s.send(postRequest(route, "a1", "body"))
			if d := s.process.Clock.Now() - began; response.status != 504 || d < 4*time.Second || d > 4*time.Second+100*time.Millisecond || s.workers[1].requestCount() != 0 {
				t.Errorf("route %s, first worker never responds: got status %d after %v, second worker received %d requests; want 504 after 4s, 0 requests", route, response.status, d, s.workers[1].requestCount())
			}
			if s.selector.outcomes[0] != selection.TimedOut {
				t.Errorf("route %s, first worker never responds: selector got outcomes %v, want TimedOut first", route, s.selector.outcomes)
			}
		})
	}
}

// The deadline must be the earlier of the client's and the route's, and the worker must receive the time remaining.
func TestRouteBoundsTheTime(t *testing.T) {
	silent := func(c net.Conn, _ *http.Request, _ string) bool { _, _ = c.Read(make([]byte, 1)); return false }
	for clientWait, want := range map[string]time.Duration{"99999": 8 * time.Second, "": 8 * time.Second, "1500": 1500 * time.Millisecond} {
		withSite(t, []workerScript{silent}, func(s *testSite) {
			began := s.process.Clock.Now()
			response := s.send(strings.Replace(postRequest("once", "a1", "body"), "Go-Left: 4000", "Go-Left: "+clientWait, 1))
			if d := s.process.Clock.Now() - began; response.status != 504 || d < want || d > want+100*time.Millisecond {
				t.Errorf("client deadline of %q ms, route time-out of 8s: got status %d after %v, want 504 after %v", clientWait, response.status, d, want)
			}
			synctest.Wait()
			if left := s.workers[0].requests[0].Header.Get("Go-Left"); left != fmt.Sprint(want.Milliseconds()) {
				t.Errorf("client deadline of %q ms, route time-out of 8s: worker received remaining time of %s ms, want %d", clientWait, left, want.Milliseconds())
			}
		})
	}
}

// If a client doesn't read its response, the proxy must abort the response at the deadline, so that the request
// doesn't stay in flight, and the aborted response must not look complete.
func TestClientThatDoesNotRead(t *testing.T) {
	big := strings.Repeat("abcdefghij", 50000)
	withSite(t, []workerScript{respondWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nGo-Id: ID\r\nGo-Seal: s\r\nContent-Length: %d\r\n\r\n%s", len(big), big))}, func(s *testSite) {
		client := s.dialClient()
		_, _ = io.WriteString(client, postRequest("once", "a1", "b"))
		synctest.Wait()
		time.Sleep(5 * time.Second) // fake time of the synctest bubble; past the request's deadline of 4 s
		synctest.Wait()
		if n := s.server.inFlight.Load(); n != 0 {
			t.Errorf("client doesn't read its response: %d requests in flight after the deadline, want 0", n)
		}
		if response := client.readReply("POST"); response.err == nil {
			t.Errorf("response aborted at the deadline: client read status %d and a body of %d bytes without an error", response.status, len(response.body))
		}
		client.Close()
		synctest.Wait()
	})
}

// Requests beyond the memory limit for requests in flight must be rejected as overloaded. Reserved memory must be
// released once the requests have ended.
func TestMemoryIsBounded(t *testing.T) {
	silent := func(c net.Conn, _ *http.Request, _ string) bool { _, _ = c.Read(make([]byte, 1)); return false }
	withSite(t, []workerScript{silent}, func(site *testSite) {
		requestBytes := int64(requestOverhead + 8<<10) // with the header
		site.server.memory.SetLimit(2*requestBytes + 100)
		var clients []*clientConn
		for range 2 {
			client := site.dialClient()
			clients = append(clients, client)
			_, _ = io.WriteString(client, postRequest("once", "a1", "body"))
			synctest.Wait()
		}
		if response := site.send(postRequest("once", "a3", "body")); response.status != errs.Overloaded.HTTPStatus || response.header.Get("Retry-After") == "" {
			t.Errorf("third concurrent request at a memory limit for two: got response %+v, want status %d with Retry-After", response, errs.Overloaded.HTTPStatus)
		}
		if response := site.send("POST /once/x HTTP/1.1\r\nHost: any.example\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("body") + "0\r\n\r\n"); response.status != errs.Overloaded.HTTPStatus {
			t.Errorf("chunked request over the memory limit: got response %+v, want status %d", response, errs.Overloaded.HTTPStatus)
		}
		for _, client := range clients {
			client.Close()
		}
		synctest.Wait()
		if n := site.server.memory.Reserved(); n != 0 || site.workers[0].requestCount() != 2 {
			t.Errorf("after all clients disconnected: %d bytes reserved and %d requests forwarded, want 0 and 2", n, site.workers[0].requestCount())
		}
	})
}
