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

// A node that is shut down fails its readiness checks at once, serves new requests for the lame-duck period,
// closes each connection with its response, and interrupts no request in flight.
func TestGracefulShutdown(t *testing.T) {
	var release chan struct{}
	streamUntilReleased := func(conn net.Conn, r *http.Request, body string) bool {
		if !strings.HasPrefix(r.RequestURI, "/stream/") {
			return respondWith(okResponse)(conn, r, body)
		}
		respondWith(strings.Replace(streamHead, "SEAL", "s", 1)+chunk(streamedEvent(1)))(conn, r, "")
		<-release
		_, err := io.WriteString(conn, chunk(streamedEvent(2))+"0\r\n\r\n")
		return err == nil
	}
	withSite(t, []workerScript{streamUntilReleased}, func(site *testSite) {
		release = make(chan struct{})
		if status := site.getReadyPage("/up"); status != 200 {
			t.Errorf("ready page: %d", status)
		}
		persistent, streaming := site.dialClient(), site.dialClient()
		if response := persistent.roundTrip(postRequest("once", "a0", "b")); response.status != 200 || response.closes {
			t.Errorf("%+v", response)
		}
		go func() {
			_, _ = io.WriteString(streaming, strings.Replace(postRequest("stream", "a9", "b"), "4000", "8000", 1))
		}()
		synctest.Wait()
		stopped := make(chan time.Duration, 1)
		began := site.process.Clock.Now()
		go func() { site.stop(); stopped <- site.process.Clock.Now() - began }()
		synctest.Wait()
		if status := site.getReadyPage("/up"); status != 503 {
			t.Errorf("ready page after the signal: %d", status)
		}
		for range 3 {
			if response := site.send(postRequest("once", "a1", "b")); response.status != 200 || !response.closes || response.err != nil {
				t.Errorf("%+v", response)
			}
			time.Sleep(700 * time.Millisecond) // of the synctest bubble
		}
		if response := persistent.roundTrip(postRequest("once", "a2", "b")); response.status != 200 || !response.closes {
			t.Errorf("%+v", response)
		}
		time.Sleep(time.Second)
		if conn, err := site.network.Dial(t.Context(), "tcp", front); err == nil {
			conn.Close()
			t.Error("it still takes connections")
		}
		time.Sleep(2 * time.Second)
		close(release)
		if response := streaming.readReply("POST"); response.status != 200 || response.err != nil || response.body != streamedEvent(1)+streamedEvent(2) {
			t.Errorf("a request in flight was interrupted: %+v", response)
		}
		grace := 8 * time.Second
		if d := <-stopped; d < 4*time.Second || d > grace*9/10 {
			t.Errorf("stopped after %v of %v", d, grace)
		}
		persistent.Close()
		streaming.Close()
	})
}

// A request that runs longer than the grace period is aborted visibly, before the process is killed.
func TestShutdownEndsWithinTheGracePeriod(t *testing.T) {
	silent := func(c net.Conn, _ *http.Request, _ string) bool { _, _ = c.Read(make([]byte, 1)); return false }
	withSite(t, []workerScript{silent}, func(s *testSite) {
		for i := range s.snapshot.Load().Plan.Routes {
			s.snapshot.Load().Plan.Routes[i].Timeout = time.Minute
		}
		client := s.dialClient()
		go func() {
			_, _ = io.WriteString(client, strings.Replace(postRequest("once", "a1", "b"), "4000", "99999", 1))
		}()
		synctest.Wait()
		began := s.process.Clock.Now()
		s.stop()
		if d := s.process.Clock.Now() - began; d < 5*time.Second || d > 8*time.Second*9/10 {
			t.Errorf("stopped after %v", d)
		}
		if response := client.readReply("POST"); response.err == nil {
			t.Errorf("%+v", response)
		}
		client.Close()
	})
}

// A node is ready with a plan, a fresh proof where keys are revoked, and once a worker to forward to.
func TestReadiness(t *testing.T) {
	withSite(t, []workerScript{respondWith(okResponse)}, func(site *testSite) {
		ws := site.snapshot.Load().Workers
		for _, test := range []struct {
			name string
			set  func(snapshot *fleet.Snapshot)
			want int
		}{
			{"no worker yet", func(snapshot *fleet.Snapshot) { snapshot.Workers = nil }, 503},
			{"a worker that no route leads to", func(snapshot *fleet.Snapshot) { snapshot.Workers = []fleet.Worker{{ID: "x", Service: "other"}} }, 503},
			{"a worker", func(snapshot *fleet.Snapshot) { snapshot.Workers = ws }, 200},
			{"workers left", func(snapshot *fleet.Snapshot) { snapshot.Workers = nil }, 200},
			{"proof old", func(snapshot *fleet.Snapshot) { snapshot.ProofAt = site.process.Clock.Now() - 5*time.Second }, 503},
			{"proof fresh", func(snapshot *fleet.Snapshot) { snapshot.ProofAt = site.process.Clock.Now() - 4*time.Second }, 200},
			{"no proof", func(snapshot *fleet.Snapshot) { snapshot.ProofAt = 0 }, 503},
			{"no plan", func(snapshot *fleet.Snapshot) { snapshot.ProofAt, snapshot.Plan = site.process.Clock.Now(), nil }, 503},
		} {
			site.set(test.set)
			if n := site.getReadyPage("/up"); n != test.want {
				t.Errorf("%s: %d", test.name, n)
			}
		}
		if n := site.getReadyPage("/other"); n != 404 {
			t.Errorf("another path: %d", n)
		}
	})
}

// Where keys are revoked, connections wait at the listener for the first proof, for a bounded time: a request
// that comes just before it is served, not rejected.
func TestListenerWaitsForTheFirstProof(t *testing.T) {
	withSite(t, []workerScript{respondWith(okResponse)}, func(site *testSite) {
		bounds := site.process.Settings.Bounds
		for _, test := range []struct {
			name    string
			revokes bool
			proof   time.Duration // when it comes
			minWait time.Duration
			maxWait time.Duration
		}{
			{"proved", true, 0, 0, 0},
			{"proved soon", true, 100 * time.Millisecond, 100 * time.Millisecond, 130 * time.Millisecond},
			{"never proved", true, time.Hour, bounds.Config(0.8 * firstPlanRatio), bounds.Config(firstPlanRatio)},
			{"no proof is needed", false, time.Hour, 0, 0},
		} {
			siteSettings := *site.server.siteSettings // the running server reads its own
			siteSettings.EnforceRevocation = test.revokes
			d := &server{Config: site.server.Config, process: site.process, siteSettings: &siteSettings}
			if test.proof > 0 {
				site.set(func(snapshot *fleet.Snapshot) { snapshot.ProofAt = 0 })
			}
			e := time.AfterFunc(max(test.proof, time.Nanosecond), func() { site.set(func(snapshot *fleet.Snapshot) { snapshot.ProofAt = site.process.Clock.Now() }) })
			from := time.Now()
			d.awaitLimits()
			if waited := time.Since(from); waited < test.minWait || waited > test.maxWait {
				t.Errorf("%s: after %v", test.name, waited)
			}
			e.Stop()
		}
	})
}
