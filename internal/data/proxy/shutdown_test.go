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

// An edge node that is shut down must fail its readiness checks at once, still serve new requests in the lame-duck
// period (lameDuckRatio) and close each client connection after its response, and must not interrupt requests in
// flight.
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
		if status := site.readinessStatus("/up"); status != 200 {
			t.Errorf("readiness check before the shutdown: got status %d, want 200", status)
		}
		persistent, streaming := site.dialClient(), site.dialClient()
		if response := persistent.roundTrip(postRequest("once", "a0", "b")); response.status != 200 || response.closesConn {
			t.Errorf("request before the shutdown: got response %+v, want status 200 without Connection: close", response)
		}
		go func() {
			_, _ = io.WriteString(streaming, strings.Replace(postRequest("stream", "a9", "b"), "4000", "8000", 1))
		}()
		synctest.Wait()
		stopped := make(chan time.Duration, 1)
		began := site.process.Clock.Now()
		go func() { site.stop(); stopped <- site.process.Clock.Now() - began }()
		synctest.Wait()
		if status := site.readinessStatus("/up"); status != 503 {
			t.Errorf("readiness check after the shutdown signal: got status %d, want 503", status)
		}
		for range 3 {
			if response := site.send(postRequest("once", "a1", "b")); response.status != 200 || !response.closesConn || response.err != nil {
				t.Errorf("request on a new connection in the lame-duck period: got response %+v, want status 200 with Connection: close", response)
			}
			time.Sleep(700 * time.Millisecond) // fake time of the synctest bubble
		}
		if response := persistent.roundTrip(postRequest("once", "a2", "b")); response.status != 200 || !response.closesConn {
			t.Errorf("request on an existing connection in the lame-duck period: got response %+v, want status 200 with Connection: close", response)
		}
		time.Sleep(time.Second)
		if conn, err := site.network.Dial(t.Context(), "tcp", clientAddr); err == nil {
			conn.Close()
			t.Error("new client connection was accepted after the lame-duck period, want it refused")
		}
		time.Sleep(2 * time.Second)
		close(release)
		if response := streaming.readReply("POST"); response.status != 200 || response.err != nil || response.body != streamedEvent(1)+streamedEvent(2) {
			t.Errorf("stream in flight during the shutdown: got response %+v, want status 200 with both events", response)
		}
		grace := 8 * time.Second
		if d := <-stopped; d < 4*time.Second || d > grace*9/10 {
			t.Errorf("shutdown with a stream in flight took %v, want at least 4s and at most 9/10 of the grace period of %v", d, grace)
		}
		persistent.Close()
		streaming.Close()
	})
}

// A request that runs longer than the grace period must be aborted before the platform kills the process, and the
// client must see an error instead of a response that looks complete.
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
			t.Errorf("shutdown with a request that outlasts the grace period of 8s took %v, want at least 5s and at most 7.2s", d)
		}
		if response := client.readReply("POST"); response.err == nil {
			t.Errorf("request aborted by the shutdown: got response %+v, want an error", response)
		}
		client.Close()
	})
}

// An edge node is ready if it has a routing plan and a fresh proof of the control nodes that the plan is the
// newest, and has seen a worker of a service with a route at least once.
func TestReadiness(t *testing.T) {
	withSite(t, []workerScript{respondWith(okResponse)}, func(site *testSite) {
		workers := site.snapshot.Load().Workers
		for _, test := range []struct {
			name string
			set  func(snapshot *fleet.Snapshot)
			want int
		}{
			{"no worker seen since the start", func(snapshot *fleet.Snapshot) { snapshot.Workers = nil }, 503},
			{"edge node has seen only a worker of a service without a route since the start", func(snapshot *fleet.Snapshot) { snapshot.Workers = []fleet.Worker{{ID: "x", Service: "other"}} }, 503},
			{"a worker of a service with a route was seen", func(snapshot *fleet.Snapshot) { snapshot.Workers = workers }, 200},
			{"all workers have left after one was seen", func(snapshot *fleet.Snapshot) { snapshot.Workers = nil }, 200},
			{"proof that the routing plan is the newest is too old", func(snapshot *fleet.Snapshot) { snapshot.ProofAt = site.process.Clock.Now() - 5*time.Second }, 503},
			{"fresh proof that the routing plan is the newest", func(snapshot *fleet.Snapshot) { snapshot.ProofAt = site.process.Clock.Now() - 4*time.Second }, 200},
			{"no proof that the routing plan is the newest", func(snapshot *fleet.Snapshot) { snapshot.ProofAt = 0 }, 503},
			{"no routing plan", func(snapshot *fleet.Snapshot) { snapshot.ProofAt, snapshot.Plan = site.process.Clock.Now(), nil }, 503},
		} {
			site.set(test.set)
			if n := site.readinessStatus("/up"); n != test.want {
				t.Errorf("readiness check, %s: got status %d, want %d", test.name, n, test.want)
			}
		}
		if n := site.readinessStatus("/other"); n != 404 {
			t.Errorf("readiness listener, path other than ReadyPath: got status %d, want 404", n)
		}
	})
}

// If key revocation is enforced, new connections must wait in the listen queue until the first proof that the
// routing plan is the newest, for a bounded time: requests that come shortly before it must not be rejected.
func TestListenerWaitsForTheFirstProof(t *testing.T) {
	withSite(t, []workerScript{respondWith(okResponse)}, func(site *testSite) {
		bounds := site.process.Settings.Bounds
		for _, test := range []struct {
			name     string
			enforced bool          // whether API keys are rejected unless a recent proof shows that the routing plan is the newest
			proof    time.Duration // time until the proof comes that the routing plan is the newest
			minWait  time.Duration
			maxWait  time.Duration
		}{
			{"routing plan proven newest at the start", true, 0, 0, 0},
			{"routing plan proven newest after 100 ms", true, 100 * time.Millisecond, 100 * time.Millisecond, 130 * time.Millisecond},
			{"routing plan not proven newest within the maximum wait", true, time.Hour, bounds.Config(0.8 * firstPlanRatio), bounds.Config(firstPlanRatio)},
			{"key revocation not enforced", false, time.Hour, 0, 0},
		} {
			siteSettings := *site.server.siteSettings // a copy, because the running server reads the original
			siteSettings.EnforceRevocation = test.enforced
			starting := &server{Config: site.server.Config, process: site.process, siteSettings: &siteSettings}
			if test.proof > 0 {
				site.set(func(snapshot *fleet.Snapshot) { snapshot.ProofAt = 0 })
			}
			proofTimer := time.AfterFunc(max(test.proof, time.Nanosecond), func() { site.set(func(snapshot *fleet.Snapshot) { snapshot.ProofAt = site.process.Clock.Now() }) })
			began := time.Now()
			starting.awaitFirstPlan()
			if waited := time.Since(began); waited < test.minWait || waited > test.maxWait {
				t.Errorf("%s: awaitFirstPlan returned after %v, want %v to %v", test.name, waited, test.minWait, test.maxWait)
			}
			proofTimer.Stop()
		}
	})
}
