package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const streamHead = "HTTP/1.1 200 OK\r\nGo-Id: ID\r\nGo-Seal: SEAL\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func streamedEvent(n int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", n, n) }

// streamScript returns a script that streams the events after the request's Last-Event-Id, up to event n. It closes
// the connection after bytesBeforeClose bytes of them, or ends the stream properly if bytesBeforeClose is negative.
// seal is the worker's signature in the response field Go-Seal, without which the proxy relays no 2xx response.
func streamScript(seal string, n, bytesBeforeClose int) workerScript {
	return func(conn net.Conn, r *http.Request, _ string) bool {
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if !respondWith(strings.Replace(streamHead, "SEAL", seal, 1))(conn, r, "") {
			return false
		}
		left := bytesBeforeClose
		for i := from + 1; i <= n; i++ {
			e := streamedEvent(i)
			if bytesBeforeClose >= 0 && left < len(e) {
				if left > 0 {
					_, _ = io.WriteString(conn, chunk(e[:left]))
				}
				return false
			}
			left -= len(e)
			if _, err := io.WriteString(conn, chunk(e)); err != nil {
				return false
			}
		}
		if bytesBeforeClose >= 0 {
			return false
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
}

func fiveEvents() (s string) {
	for i := 1; i <= 5; i++ {
		s += streamedEvent(i)
	}
	return s
}

// Wherever the first worker breaks off a resumable stream, the client must receive each event exactly once and in
// order. The response header must be from the worker whose bytes were relayed first.
func TestResumedEventsComeExactlyOnce(t *testing.T) {
	for bytesBeforeClose := 0; bytesBeforeClose <= len(fiveEvents()); bytesBeforeClose++ {
		withSite(t, []workerScript{streamScript("first", 5, bytesBeforeClose), streamScript("second", 5, -1)}, func(s *testSite) {
			response := s.send(postRequest("resume", "a1", "body"))
			if response.err != nil || response.status != 200 || response.body != fiveEvents() {
				t.Errorf("first worker broke off the stream after %d bytes of events: got status %d, error %v, body %q; want 200 with all 5 events", bytesBeforeClose, response.status, response.err, response.body)
			}
			want := "first"
			if bytesBeforeClose < len(streamedEvent(1)) {
				want = "second" // no complete event of the first worker was relayed
			}
			if response.header.Get("Go-Seal") != want {
				t.Errorf("first worker broke off the stream after %d bytes of events: got the header of worker %q, want %q", bytesBeforeClose, response.header.Get("Go-Seal"), want)
			}
		})
	}
}

// If a worker breaks off a stream that may not be resumed, the client must see an error, and no second worker may
// execute the request.
func TestInterruptedStreamIsVisiblyBroken(t *testing.T) {
	for bytesBeforeClose := 0; bytesBeforeClose <= len(fiveEvents()); bytesBeforeClose++ {
		withSite(t, []workerScript{streamScript("first", 5, bytesBeforeClose), streamScript("second", 5, -1)}, func(s *testSite) {
			response := s.send(postRequest("stream", "a1", "body"))
			if bytesBeforeClose == 0 && response.status != 502 || bytesBeforeClose > 0 && response.err == nil || !strings.HasPrefix(fiveEvents(), response.body) && bytesBeforeClose > 0 {
				t.Errorf("worker broke off the stream after %d bytes of events: got status %d, error %v, body %q; want a 502 before the first byte, else an error after a part of the events", bytesBeforeClose, response.status, response.err, response.body)
			}
			if n := s.workers[1].requestCount(); n != 0 {
				t.Errorf("stream that may not be resumed on another worker, broken off by the first worker after %d bytes of events: second worker received %d requests, want 0", bytesBeforeClose, n)
			}
		})
	}
}

// If a stream ends properly with an event that lacks its final blank line, that event must be relayed too.
func TestEndWithoutABlankLine(t *testing.T) {
	withSite(t, []workerScript{respondWith(strings.Replace(streamHead, "SEAL", "s", 1) + chunk(streamedEvent(1)) + chunk("id: 2\ndata: x") + "0\r\n\r\n")}, func(s *testSite) {
		if response := s.send(postRequest("resume", "a1", "b")); response.err != nil || response.body != streamedEvent(1)+"id: 2\ndata: x" {
			t.Errorf("stream with an incomplete last event: got error %v, body %q; want the complete stream", response.err, response.body)
		}
	})
}

// A response of the second worker that doesn't continue the stream after the last relayed event must not be
// relayed: the client would get missing, repeated or foreign events.
func TestResumedOnlyByWhatFollows(t *testing.T) {
	two := len(streamedEvent(1) + streamedEvent(2))
	for name, second := range map[string]workerScript{
		"second worker restarts at the first event":            respondWith(strings.Replace(streamHead, "SEAL", "s", 1) + chunk(streamedEvent(1)) + chunk(streamedEvent(2)) + "0\r\n\r\n"),
		"second worker repeats the last event":                 respondWith(strings.Replace(streamHead, "SEAL", "s", 1) + chunk(streamedEvent(2)) + "0\r\n\r\n"),
		"second worker sends an event without ID":              respondWith(strings.Replace(streamHead, "SEAL", "s", 1) + chunk("data: x\n\n") + "0\r\n\r\n"),
		"second worker doesn't send an event stream":           respondWith(okResponse),
		"second worker omits the required signature (Go-Seal)": respondWith(strings.Replace(streamHead, "Go-Seal: SEAL\r\n", "", 1) + chunk(streamedEvent(3)) + "0\r\n\r\n"),
		"second worker responds to another request":            respondWith(strings.Replace(strings.Replace(streamHead, "SEAL", "s", 1), "ID", "other", 1) + chunk(streamedEvent(3)) + "0\r\n\r\n"),
		"second worker responds with status 500":               respondWith("HTTP/1.1 500 Oh\r\nGo-Id: ID\r\nContent-Length: 0\r\n\r\n"),
		"second worker rejects: no free slot":                  respondWith("HTTP/1.1 503 Full\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"),
		"second worker closes before its first event":          streamScript("s", 5, 0),
	} {
		t.Run(name, func(t *testing.T) {
			withSite(t, []workerScript{streamScript("first", 5, two), second}, func(s *testSite) {
				response := s.send(postRequest("resume", "a1", "body"))
				if response.err == nil || response.body != streamedEvent(1)+streamedEvent(2) {
					t.Errorf("stream that the second worker does not continue correctly: client got error %v, body %q; want an error after the 2 events of the first worker", response.err, response.body)
				}
				if id := s.workers[1].requests[0].Header.Get("Last-Event-Id"); id != "2" {
					t.Errorf("request to continue the stream after event 2: second worker received Last-Event-Id %q, want \"2\"", id)
				}
			})
		})
	}
}

// A stream must not be resumed after an event without an ID was relayed: the second worker would repeat that event.
func TestNotResumedBehindAnEventWithoutID(t *testing.T) {
	first := respondThenClose(strings.Replace(streamHead, "SEAL", "s", 1) + chunk(streamedEvent(1)) + chunk("data: no id\n\n"))
	withSite(t, []workerScript{first, streamScript("second", 5, -1)}, func(s *testSite) {
		if response := s.send(postRequest("resume", "a1", "b")); response.err == nil || response.body != streamedEvent(1)+"data: no id\n\n" || s.workers[1].requestCount() != 0 {
			t.Errorf("first worker broke off the stream after an event without ID: got error %v, body %q, second worker received %d requests; want an error after both events, 0 requests", response.err, response.body, s.workers[1].requestCount())
		}
	})
}

// Each event must be flushed to the client when it comes, and not be held back until the next event.
func TestEventsAreFlushedAtOnce(t *testing.T) {
	for _, route := range []string{"stream", "resume"} {
		step := make(chan string)
		script := func(c net.Conn, r *http.Request, _ string) bool {
			respondWith(strings.Replace(streamHead, "SEAL", "s", 1))(c, r, "")
			for e := range step {
				_, _ = io.WriteString(c, e)
			}
			return true
		}
		withSite(t, []workerScript{script}, func(s *testSite) {
			step = make(chan string) // the channel must be created inside the synctest bubble
			client := s.dialClient()
			go func() { _, _ = io.WriteString(client, postRequest(route, "a1", "b")) }()
			go func() { step <- chunk(streamedEvent(1)) }()
			a, err := http.ReadResponse(client.br, nil)
			if err != nil {
				t.Fatalf("route %s: read header of the event stream: %v", route, err)
			}
			for i := 1; i <= 3; i++ {
				got := make([]byte, len(streamedEvent(i)))
				if _, err := io.ReadFull(a.Body, got); err != nil || string(got) != streamedEvent(i) {
					t.Fatalf("route %s: read event %d of the stream: got %q, error %v; want %q", route, i, got, err, streamedEvent(i))
				}
				if i < 3 {
					step <- chunk(streamedEvent(i + 1))
				}
			}
			step <- "0\r\n\r\n"
			close(step)
			if rest, err := io.ReadAll(a.Body); len(rest) != 0 || err != nil {
				t.Errorf("route %s: after the last event of the stream: got %q, error %v; want the end of the stream", route, rest, err)
			}
			client.Close()
		})
	}
}

// When the client disconnects, the proxy must close the worker's connection at once and not retry the request.
func TestClientDisconnectCancelsTheAttempt(t *testing.T) {
	for _, when := range []string{"client disconnects before the response header", "client disconnects after the first event"} {
		t.Run(when, func(t *testing.T) {
			var ended chan error
			script := func(c net.Conn, r *http.Request, _ string) bool {
				if when == "client disconnects after the first event" {
					respondWith(strings.Replace(streamHead, "SEAL", "s", 1)+chunk(streamedEvent(1)))(c, r, "")
				}
				_, err := c.Read(make([]byte, 1))
				ended <- err
				return false
			}
			withSite(t, []workerScript{script, respondWith(okResponse)}, func(site *testSite) {
				ended = make(chan error, 1)
				client := site.dialClient()
				go func() { _, _ = io.WriteString(client, postRequest("resume", "a1", "b")) }()
				if when == "client disconnects after the first event" {
					a, err := http.ReadResponse(client.br, nil)
					if err != nil {
						t.Fatalf("read header of the event stream from which the client will disconnect: %v", err)
					}
					_, _ = io.ReadFull(a.Body, make([]byte, len(streamedEvent(1))))
				} else {
					synctest.Wait()
				}
				began := site.process.Clock.Now()
				client.Close()
				if err := <-ended; err == nil {
					t.Error("worker received a byte on its connection after the client disconnected, want the connection closed")
				}
				if d := site.process.Clock.Now() - began; d > 10*time.Millisecond {
					t.Errorf("worker's connection was closed %v after the client disconnected, want at most 10ms", d)
				}
				synctest.Wait()
				if site.workers[1].requestCount() != 0 {
					t.Errorf("request was sent to the second worker %d times after the client disconnected, want 0", site.workers[1].requestCount())
				}
			})
		})
	}
}
