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

// stream plays events up to n, from behind the one that the request names; after cut bytes of them
// the connection ends. Below 0 it plays all and ends in order.
func stream(seal string, n, cut int) workerScript {
	return func(c net.Conn, r *http.Request, _ string) bool {
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if !respondWith(strings.Replace(streamHead, "SEAL", seal, 1))(c, r, "") {
			return false
		}
		left := cut
		for i := from + 1; i <= n; i++ {
			e := streamedEvent(i)
			if cut >= 0 && left < len(e) {
				if left > 0 {
					_, _ = io.WriteString(c, chunk(e[:left]))
				}
				return false
			}
			left -= len(e)
			if _, err := io.WriteString(c, chunk(e)); err != nil {
				return false
			}
		}
		if cut >= 0 {
			return false
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

func fiveEvents() (s string) {
	for i := 1; i <= 5; i++ {
		s += streamedEvent(i)
	}
	return s
}

// Wherever the first worker breaks off, the pieces come exactly once, in order, under its head.
func TestResumedEventsComeExactlyOnce(t *testing.T) {
	for cut := 0; cut <= len(fiveEvents()); cut++ {
		withSite(t, []workerScript{stream("first", 5, cut), stream("second", 5, -1)}, func(s *testSite) {
			a := s.send(postRequest("resume", "a1", "body"))
			if a.err != nil || a.status != 200 || a.body != fiveEvents() {
				t.Errorf("cut after %d bytes: %d %v %q", cut, a.status, a.err, a.body)
			}
			want := "first"
			if cut < len(streamedEvent(1)) {
				want = "second" // nothing had gone out
			}
			if a.head.Get("Go-Seal") != want {
				t.Errorf("cut after %d bytes: seal %q", cut, a.head.Get("Go-Seal"))
			}
		})
	}
}

// A stream that may not be resumed is visibly broken, and no second worker runs it.
func TestInterruptedStreamIsVisiblyBroken(t *testing.T) {
	for cut := 0; cut <= len(fiveEvents()); cut++ {
		withSite(t, []workerScript{stream("first", 5, cut), stream("second", 5, -1)}, func(s *testSite) {
			a := s.send(postRequest("stream", "a1", "body"))
			if cut == 0 && a.status != 502 || cut > 0 && a.err == nil || !strings.HasPrefix(fiveEvents(), a.body) && cut > 0 {
				t.Errorf("cut after %d bytes: %d %v %q", cut, a.status, a.err, a.body)
			}
			if n := s.workers[1].runs(); n != 0 {
				t.Errorf("the second worker ran it %d times", n)
			}
		})
	}
}

// What stands behind the last whole event at a stream's proper end goes on as well.
func TestEndWithoutABlankLine(t *testing.T) {
	withSite(t, []workerScript{respondWith(strings.Replace(streamHead, "SEAL", "s", 1) + chunk(streamedEvent(1)) + chunk("id: 2\ndata: x") + "0\r\n\r\n")}, func(s *testSite) {
		if a := s.send(postRequest("resume", "a1", "b")); a.err != nil || a.body != streamedEvent(1)+"id: 2\ndata: x" {
			t.Errorf("%v %q", a.err, a.body)
		}
	})
}

// A worker that doesn't go on from where the first stopped is not believed.
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
		"breaks off again": stream("s", 5, 0),
	} {
		t.Run(name, func(t *testing.T) {
			withSite(t, []workerScript{stream("first", 5, two), second}, func(s *testSite) {
				a := s.send(postRequest("resume", "a1", "body"))
				if a.err == nil || a.body != streamedEvent(1)+streamedEvent(2) {
					t.Errorf("%v %q", a.err, a.body)
				}
				if id := s.workers[1].requests[0].Header.Get("Last-Event-Id"); id != "2" {
					t.Errorf("asked to go on from %q", id)
				}
			})
		})
	}
}

// What went out without an id can't be gone on from.
func TestNotResumedBehindAnEventWithoutID(t *testing.T) {
	first := respondThenClose(strings.Replace(streamHead, "SEAL", "s", 1) + chunk(streamedEvent(1)) + chunk("data: no id\n\n"))
	withSite(t, []workerScript{first, stream("second", 5, -1)}, func(s *testSite) {
		if a := s.send(postRequest("resume", "a1", "b")); a.err == nil || a.body != streamedEvent(1)+"data: no id\n\n" || s.workers[1].runs() != 0 {
			t.Errorf("%v %q, second %d", a.err, a.body, s.workers[1].runs())
		}
	})
}

// Each event goes on as it comes, not when the next does.
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
			step = make(chan string) // of the bubble
			c := s.dialClient()
			go func() { _, _ = io.WriteString(c, postRequest(route, "a1", "b")) }()
			go func() { step <- chunk(streamedEvent(1)) }()
			a, err := http.ReadResponse(c.br, nil)
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
			c.Close()
		})
	}
}

// A client that goes away takes its attempt with it.
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
			withSite(t, []workerScript{play, respondWith(okResponse)}, func(s *testSite) {
				ended = make(chan error, 1)
				c := s.dialClient()
				go func() { _, _ = io.WriteString(c, postRequest("resume", "a1", "b")) }()
				if when == "midway" {
					a, err := http.ReadResponse(c.br, nil)
					if err != nil {
						t.Fatal(err)
					}
					_, _ = io.ReadFull(a.Body, make([]byte, len(streamedEvent(1))))
				} else {
					synctest.Wait()
				}
				began := s.process.Clock.Now()
				c.Close()
				if err := <-ended; err == nil {
					t.Error("the worker's connection goes on")
				}
				if d := s.process.Clock.Now() - began; d > 10*time.Millisecond {
					t.Errorf("seen after %v", d)
				}
				synctest.Wait()
				if s.workers[1].runs() != 0 {
					t.Error("another worker ran it for nobody")
				}
			})
		})
	}
}
