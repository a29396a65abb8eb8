package proxy

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/fleet"
)

// A machine that the platform stops says so at once, serves what comes until the platform has seen
// it, ends each connection with its answer, and cuts nothing that runs.
func TestGracefulShutdown(t *testing.T) {
	var release chan struct{}
	long := func(c net.Conn, r *http.Request, _ string) bool {
		respondWith(strings.Replace(streamHead, "SEAL", "s", 1)+chunk(streamedEvent(1)))(c, r, "")
		<-release
		_, err := io.WriteString(c, chunk(streamedEvent(2))+"0\r\n\r\n")
		return err == nil
	}
	play := func(c net.Conn, r *http.Request, b string) bool {
		if strings.HasPrefix(r.RequestURI, "/stream/") {
			return long(c, r, b)
		}
		return respondWith(okResponse)(c, r, b)
	}
	withSite(t, []workerScript{play}, func(s *testSite) {
		release = make(chan struct{})
		if n := s.getReadyPage("/up"); n != 200 {
			t.Errorf("ready page: %d", n)
		}
		kept, runs := s.dialClient(), s.dialClient()
		if a := kept.roundTrip(postRequest("once", "a0", "b")); a.status != 200 || a.closes {
			t.Errorf("%+v", a)
		}
		go func() {
			_, _ = io.WriteString(runs, strings.Replace(postRequest("stream", "a9", "b"), "4000", "8000", 1))
		}()
		synctest.Wait()
		stopped := make(chan time.Duration, 1)
		began := s.process.Clock.Now()
		go func() { s.stop(); stopped <- s.process.Clock.Now() - began }()
		synctest.Wait()
		if n := s.getReadyPage("/up"); n != 503 {
			t.Errorf("ready page after the signal: %d", n)
		}
		for range 3 {
			if a := s.send(postRequest("once", "a1", "b")); a.status != 200 || !a.closes || a.err != nil {
				t.Errorf("%+v", a)
			}
			time.Sleep(700 * time.Millisecond) // of the bubble
		}
		if a := kept.roundTrip(postRequest("once", "a2", "b")); a.status != 200 || !a.closes {
			t.Errorf("%+v", a)
		}
		time.Sleep(time.Second)
		if c, err := s.network.Dial(t.Context(), "tcp", front); err == nil {
			c.Close()
			t.Error("it still takes connections")
		}
		time.Sleep(2 * time.Second)
		close(release)
		if a := runs.readReply("POST"); a.status != 200 || a.err != nil || a.body != streamedEvent(1)+streamedEvent(2) {
			t.Errorf("what ran was cut: %+v", a)
		}
		grace := 8 * time.Second
		if d := <-stopped; d < 4*time.Second || d > grace*9/10 {
			t.Errorf("stopped after %v of %v", d, grace)
		}
		kept.Close()
		runs.Close()
	})
}

// What runs longer than the grace is cut before the platform kills the process, and visibly so.
func TestShutdownEndsWithinTheGracePeriod(t *testing.T) {
	silent := func(c net.Conn, _ *http.Request, _ string) bool { _, _ = c.Read(make([]byte, 1)); return false }
	withSite(t, []workerScript{silent}, func(s *testSite) {
		for i := range s.snapshot.Load().Plan.Routes {
			s.snapshot.Load().Plan.Routes[i].Timeout = time.Minute
		}
		c := s.dialClient()
		go func() { _, _ = io.WriteString(c, strings.Replace(postRequest("once", "a1", "b"), "4000", "99999", 1)) }()
		synctest.Wait()
		began := s.process.Clock.Now()
		s.stop()
		if d := s.process.Clock.Now() - began; d < 5*time.Second || d > 8*time.Second*9/10 {
			t.Errorf("stopped after %v", d)
		}
		if a := c.readReply("POST"); a.err == nil {
			t.Errorf("%+v", a)
		}
		c.Close()
	})
}

// Ready means: a plan, a fresh proof where keys are taken away, and once a worker to send to.
func TestReadiness(t *testing.T) {
	withSite(t, []workerScript{respondWith(okResponse)}, func(s *testSite) {
		ws := s.snapshot.Load().Workers
		for _, x := range []struct {
			name string
			set  func(n *fleet.Snapshot)
			want int
		}{
			{"no worker yet", func(n *fleet.Snapshot) { n.Workers = nil }, 503},
			{"a worker that no route leads to", func(n *fleet.Snapshot) { n.Workers = []fleet.Worker{{ID: "x", Service: "other"}} }, 503},
			{"a worker", func(n *fleet.Snapshot) { n.Workers = ws }, 200},
			{"workers gone", func(n *fleet.Snapshot) { n.Workers = nil }, 200},
			{"proof old", func(n *fleet.Snapshot) { n.ProofAt = s.process.Clock.Now() - 5*time.Second }, 503},
			{"proof fresh", func(n *fleet.Snapshot) { n.ProofAt = s.process.Clock.Now() - 4*time.Second }, 200},
			{"no proof", func(n *fleet.Snapshot) { n.ProofAt = 0 }, 503},
			{"no plan", func(n *fleet.Snapshot) { n.ProofAt, n.Plan = s.process.Clock.Now(), nil }, 503},
		} {
			s.set(x.set)
			if n := s.getReadyPage("/up"); n != x.want {
				t.Errorf("%s: %d", x.name, n)
			}
		}
		if n := s.getReadyPage("/other"); n != 404 {
			t.Errorf("another path: %d", n)
		}
	})
}

// Connections wait at the listener for the first proof where keys may have been taken away, a
// short while at the most: what comes just before it is served, not denied.
func TestListenerWaitsForTheFirstProof(t *testing.T) {
	withSite(t, []workerScript{respondWith(okResponse)}, func(s *testSite) {
		b := s.process.Settings.Bounds
		for _, x := range []struct {
			name    string
			revokes bool
			proof   time.Duration // after that long
			least   time.Duration
			most    time.Duration
		}{
			{"proved", true, 0, 0, 0},
			{"proved soon", true, 100 * time.Millisecond, 100 * time.Millisecond, 130 * time.Millisecond},
			{"never proved", true, time.Hour, b.Config(0.8 * firstPlanRatio), b.Config(firstPlanRatio)},
			{"no proof is asked for", false, time.Hour, 0, 0},
		} {
			site := *s.server.siteSettings // the open server reads its own
			site.EnforceRevocation = x.revokes
			d := &server{Config: s.server.Config, process: s.process, siteSettings: &site}
			if x.proof > 0 {
				s.set(func(n *fleet.Snapshot) { n.ProofAt = 0 })
			}
			e := time.AfterFunc(max(x.proof, time.Nanosecond), func() { s.set(func(n *fleet.Snapshot) { n.ProofAt = s.process.Clock.Now() }) })
			from := time.Now()
			d.awaitLimits()
			if took := time.Since(from); took < x.least || took > x.most {
				t.Errorf("%s: after %v", x.name, took)
			}
			e.Stop()
		}
	})
}
