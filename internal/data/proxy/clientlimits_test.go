package proxy

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/errs"
)

// chunkedRequest returns the text of a request with a chunked body that holds the given chunks and doesn't end.
func chunkedRequest(route, id string, chunks ...string) string {
	text := "POST /" + route + "/x HTTP/1.1\r\nHost: " + testHost + "\r\nGo-Id: " + id + "\r\nGo-Left: 4000\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, body := range chunks {
		text += chunk(body)
	}
	return text
}

// A body that is longer than one segment, in large and in small chunks or with a length, reaches the worker unchanged.
func TestLongBodiesAreForwardedUnchanged(t *testing.T) {
	var text strings.Builder
	for text.Len() < largestSegmentBytes+10_000 {
		text.WriteString("0123456789abcdefg")
	}
	body := text.String()
	for _, size := range []int{0, 7, 5000, len(body)} {
		withSite(t, []workerScript{respondWith(okResponse)}, func(site *testSite) {
			request := postRequest("once", "a1", body)
			if size > 0 {
				var chunks []string
				for rest := body; rest != ""; rest = rest[min(size, len(rest)):] {
					chunks = append(chunks, rest[:min(size, len(rest))])
				}
				request = chunkedRequest("once", "a1", chunks...) + "0\r\n\r\n"
			}
			response := site.send(request)
			if received := site.workers[0].bodies; response.status != 200 || len(received) != 1 || received[0] != body {
				t.Errorf("body of %d bytes in chunks of %d (0: with a length): status %d, error %v, %d bodies at the worker; want 200 and the same body", len(body), size, response.status, response.err, len(received))
			}
			if reserved := site.server.memory.Reserved(); reserved != 0 {
				t.Errorf("bytes reserved after the request: %d, want 0", reserved)
			}
		})
	}
}

// The memory of a body in chunks is reserved as the body comes. If memory is short, the client that stalls in the middle of
// its body gets a refusal that says that its request has not run, and the other request is served.
func TestStalledBodyIsRefused(t *testing.T) {
	withSite(t, []workerScript{respondWith(okResponse)}, func(site *testSite) {
		stalled := site.dialClient()
		defer stalled.Close()
		go func() {
			_, _ = io.WriteString(stalled, chunkedRequest("once", "a1", strings.Repeat("b", 60_000)))
		}()
		synctest.Wait()
		reserved := site.server.memory.Reserved()
		if reserved < 60_000 {
			t.Errorf("%d bytes are reserved for a body of which 60000 have come", reserved)
		}
		site.server.memory.SetLimit(reserved + 100)
		time.Sleep(2 * time.Second) // fake time of the synctest bubble
		if response := site.send(postRequest("once", "a2", "body")); response.status != 200 {
			t.Errorf("request beside a stalled one: status %d, error %v; want 200", response.status, response.err)
		}
		if response := stalled.readReply("POST"); response.status != errs.Overloaded.HTTPStatus || !response.closesConn || response.header.Get("Retry-After") == "" {
			t.Errorf("stalled request: got response %+v, want status %d with Retry-After and Connection: close", response, errs.Overloaded.HTTPStatus)
		}
		if count := site.workers[0].requestCount(); count != 1 {
			t.Errorf("requests at the worker: %d, want 1", count)
		}
	})
}

// A request that is rejected before its body was read gets its answer, and its connection ends although the body never comes
// whole. A body that comes whole is discarded, and the connection serves the next request.
func TestBodiesOfRejectedRequests(t *testing.T) {
	withSite(t, []workerScript{respondWith(okResponse)}, func(site *testSite) {
		incomplete := strings.TrimSuffix(postRequest("unknown", "a1", "body"), "y")
		client := site.dialClient()
		defer client.Close()
		if response := client.roundTrip(incomplete); response.status != 404 || !response.closesConn {
			t.Errorf("rejected request with an incomplete body: got response %+v, want status 404 and Connection: close", response)
		}
		_ = client.SetReadDeadline(time.Now().Add(time.Minute))
		if _, err := io.Copy(io.Discard, client.br); err != nil {
			t.Errorf("the connection of a rejected request stays open: %v", err)
		}
		next := site.dialClient()
		defer next.Close()
		if response := next.roundTrip(postRequest("unknown", "a2", "body")); response.status != 404 || response.closesConn {
			t.Errorf("rejected request with a complete body: got response %+v, want status 404", response)
		}
		if response := next.roundTrip(postRequest("once", "a3", "body")); response.status != 200 {
			t.Errorf("next request of the connection: status %d, error %v; want 200", response.status, response.err)
		}
	})
}

// Connections to all workers together stay within the part of the descriptors that is theirs: idle ones are closed for new
// ones, and a new one beyond those in use fails.
func TestConnectionsToWorkersAreLimited(t *testing.T) {
	withSite(t, []workerScript{respondWith(okResponse), respondWith(okResponse)}, func(site *testSite) {
		conns := site.server.conns
		conns.maxOpen = 1
		if response := site.send(postRequest("once", "a1", "body")); response.status != 200 {
			t.Fatalf("first request: status %d, error %v; want 200", response.status, response.err)
		}
		synctest.Wait() // the connection is idle now
		second, err := conns.dial(context.Background(), "tcp", site.workers[1].Addr)
		if err != nil {
			t.Fatalf("connect to a worker while an idle connection is open: %v", err)
		}
		if _, err := conns.dial(context.Background(), "tcp", site.workers[0].Addr); errs.KindOf(err) != errs.Overloaded || err == nil {
			t.Errorf("connect to a worker beyond the limit: error %v, want kind %s", err, errs.Overloaded.Name)
		}
		_ = second.Close()
		synctest.Wait()
		if conns.open != 0 || len(conns.openConns) != 0 {
			t.Errorf("connections counted at the end: %d, of %d workers; want none", conns.open, len(conns.openConns))
		}
	})
}

// The memory of a prompt's parts is reserved before they are parsed. Without memory for them the request is still served,
// by a worker that is selected without them.
func TestPartsOfPromptsAreReserved(t *testing.T) {
	for _, test := range []struct{ parts, lookups int }{{3, 1}, {1000, 0}} {
		withSite(t, []workerScript{respondWith(okResponse)}, func(site *testSite) {
			site.server.memory.SetLimit(requestOverhead + 100<<10)
			line := site.server.Headers.PromptParts + ": " + strings.Repeat("a:1,", test.parts-1) + "a:1"
			if response := site.send(postRequest("once", "a1", "body", line)); response.status != 200 {
				t.Errorf("request with a prompt of %d parts: status %d, error %v; want 200", test.parts, response.status, response.err)
			}
			if lookups := site.selector.lookups; lookups != test.lookups {
				t.Errorf("request with a prompt of %d parts: %d lookups, want %d", test.parts, lookups, test.lookups)
			}
		})
	}
}
