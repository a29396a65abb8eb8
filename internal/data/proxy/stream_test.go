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

// streamScript streams the events after the one that the request names, up to n, and closes the connection
// after so many bytes of them. Below 0 it streams all and ends properly.
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

// Wherever the first worker breaks off, the events come exactly once, in order, under its header.
func TestResumedEventsComeExactlyOnce(t *testing.T) {
	for bytesBeforeClose := 0; bytesBeforeClose <= len(fiveEvents()); bytesBeforeClose++ {
		withSite(t, []workerScript{streamScript("first", 5, bytesBeforeClose), streamScript("second", 5, -1)}, func(s *testSite) {
			response := s.send(postRequest("resume", "a1", "body"))
			if response.err != nil || response.status != 200 || response.body != fiveEvents() {
				t.Errorf("closed after %d bytes: %d %v %q", bytesBeforeClose, response.status, response.err, response.body)
			}
			want := "first"
			if bytesBeforeClose < len(streamedEvent(1)) {
				want = "second" // nothing had been relayed
			}
			if response.head.Get("Go-Seal") != want {
				t.Errorf("closed after %d bytes: seal %q", bytesBeforeClose, response.head.Get("Go-Seal"))
			}
		})
	}
}

// A stream that may not be resumed is visibly interrupted, and no second worker executes it.
func TestInterruptedStreamIsVisiblyBroken(t *testing.T) {
	for bytesBeforeClose := 0; bytesBeforeClose <= len(fiveEvents()); bytesBeforeClose++ {
		withSite(t, []workerScript{streamScript("first", 5, bytesBeforeClose), streamScript("second", 5, -1)}, func(s *testSite) {
			response := s.send(postRequest("stream", "a1", "body"))
			if bytesBeforeClose == 0 && response.status != 502 || bytesBeforeClose > 0 && response.err == nil || !strings.HasPrefix(fiveEvents(), response.body) && bytesBeforeClose > 0 {
				t.Errorf("closed after %d bytes: %d %v %q", bytesBeforeClose, response.status, response.err, response.body)
			}
			if n := s.workers[1].runs(); n != 0 {
				t.Errorf("the second worker ran it %d times", n)
			}
		})
	}
}

// An incomplete event at the proper end of a stream is relayed as well.
func TestEndWithoutABlankLine(t *testing.T) {
	withSite(t, []workerScript{respondWith(strings.Replace(streamHead, "SEAL", "s", 1) + chunk(streamedEvent(1)) + chunk("id: 2\ndata: x") + "0\r\n\r\n")}, func(s *testSite) {
		if response := s.send(postRequest("resume", "a1", "b")); response.err != nil || response.body != streamedEvent(1)+"id: 2\ndata: x" {
			t.Errorf("%v %q", response.err, response.body)
		}
	})
}

// A stream that doesn't continue where the first worker stopped isn't relayed.
func TestResumedOnlyByWhatFollows(t *testing.T) {
	two := len(streamedEvent(1) + streamedEvent(2))
	for name, second := range map[string]workerScript{
		"from the start":   respondWith(strings.Replace(streamHead, "SEAL", "s", 1) + chunk(streamedEvent(1)) + chunk(streamedEvent(2)) + "0\r\n\r\n"),
		"the last again":   respondWith(strings.Replace(streamHead, "SEAL", "s", 1) + chunk(streamedEvent(2)) + "0\r\n\r\n"),
		"without ids":      respondWith(strings.Replace(streamHead, "SEAL", "s", 1) + chunk("data: x\n\n") + "0\r\n\r\n"),
		"no events":        respondWith(okResponse),
		"without seal":     respondWith(strings.Replace(streamHead, "Go-Seal: SEAL\r\n", "", 1) + chunk(streamedEvent(3)) + "0\r\n\r\n"),
		"another's":        respondWith(strings.Replace(strings.Replace(streamHead, "SEAL", "s", 1), "ID", "other", 1) + chunk(streamedEvent(3)) + "0\r\n\r\n"),
		"its own 500":      respondWith("HTTP/1.1 500 Oh\r\nGo-Id: ID\r\nContent-Length: 0\r\n\r\n"),
		"full":             respondWith("HTTP/1.1 503 Full\r\nGo-Id: ID\r\nGo-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"),
		"breaks off again": streamScript("s", 5, 0),
	} {
		t.Run(name, func(t *testing.T) {
			withSite(t, []workerScript{streamScript("first", 5, two), second}, func(s *testSite) {
				response := s.send(postRequest("resume", "a1", "body"))
				if response.err == nil || response.body != streamedEvent(1)+streamedEvent(2) {
					t.Errorf("%v %q", response.err, response.body)
				}
				if id := s.workers[1].requests[0].Header.Get("Last-Event-Id"); id != "2" {
					t.Errorf("asked to resume from %q", id)
				}
			})
		})
	}
}

// A stream can't be resumed after an event without an ID.
func TestNotResumedBehindAnEventWithoutID(t *testing.T) {
	first := respondThenClose(strings.Replace(streamHead, "SEAL", "s", 1) + chunk(streamedEvent(1)) + chunk("data: no id\n\n"))
	withSite(t, []workerScript{first, streamScript("second", 5, -1)}, func(s *testSite) {
		if response := s.send(postRequest("resume", "a1", "b")); response.err == nil || response.body != streamedEvent(1)+"data: no id\n\n" || s.workers[1].runs() != 0 {
			t.Errorf("%v %q, second %d", response.err, response.body, s.workers[1].runs())
		}
	})
}

// Each event is relayed when it comes, not when the next does.
func TestEventsAreFlushedAtOnce(t *testing.T) {
	for _, route := range []string{"stream", "resume"} {
		step := make(chan string)
		play := func(c net.Conn, r *http.Request, _ string) bool {
			respondWith(strings.Replace(streamHead, "SEAL", "s", 1))(c, r, "")
			for e := range step {
				_, _ = io.WriteString(c, e)
			}
			return true
		}
		withSite(t, []workerScript{play}, func(s *testSite) {
			step = make(chan string) // made in the synctest bubble
			client := s.dialClient()
			go func() { _, _ = io.WriteString(client, postRequest(route, "a1", "b")) }()
			go func() { step <- chunk(streamedEvent(1)) }()
			a, err := http.ReadResponse(client.br, nil)
			if err != nil {
				t.Fatal(err)
			}
			for i := 1; i <= 3; i++ {
				got := make([]byte, len(streamedEvent(i)))
				if _, err := io.ReadFull(a.Body, got); err != nil || string(got) != streamedEvent(i) {
					t.Fatalf("%q %v", got, err)
				}
				if i < 3 {
					step <- chunk(streamedEvent(i + 1))
				}
			}
			step <- "0\r\n\r\n"
			close(step)
			if rest, err := io.ReadAll(a.Body); len(rest) != 0 || err != nil {
				t.Errorf("%q %v", rest, err)
			}
			client.Close()
		})
	}
}

// When the client disconnects, the attempt is canceled.
func TestClientDisconnectCancelsTheAttempt(t *testing.T) {
	for _, when := range []string{"before the head", "midway"} {
		t.Run(when, func(t *testing.T) {
			var ended chan error
			play := func(c net.Conn, r *http.Request, _ string) bool {
				if when == "midway" {
					respondWith(strings.Replace(streamHead, "SEAL", "s", 1)+chunk(streamedEvent(1)))(c, r, "")
				}
				_, err := c.Read(make([]byte, 1))
				ended <- err
				return false
			}
			withSite(t, []workerScript{play, respondWith(okResponse)}, func(site *testSite) {
				ended = make(chan error, 1)
				client := site.dialClient()
				go func() { _, _ = io.WriteString(client, postRequest("resume", "a1", "b")) }()
				if when == "midway" {
					a, err := http.ReadResponse(client.br, nil)
					if err != nil {
						t.Fatal(err)
					}
					_, _ = io.ReadFull(a.Body, make([]byte, len(streamedEvent(1))))
				} else {
					synctest.Wait()
				}
				began := site.process.Clock.Now()
				client.Close()
				if err := <-ended; err == nil {
					t.Error("the worker's connection stays open")
				}
				if d := site.process.Clock.Now() - began; d > 10*time.Millisecond {
					t.Errorf("seen after %v", d)
				}
				synctest.Wait()
				if site.workers[1].runs() != 0 {
					t.Error("another worker ran it for nobody")
				}
			})
		})
	}
}
