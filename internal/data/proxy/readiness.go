package proxy

import (
	"net/http"
	"time"

	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
)

// keyProofRatio of the bound on revoked keys (Bounds.KeyRevocationMs) is how old the proof may be that a plan is
// the newest, for a key to be accepted under it. The rest of the bound covers the time from reading the
// request to sending it.
const keyProofRatio = 0.95

// maxKeyProofAge is how old the proof may be under which a key is accepted.
func (s *server) maxKeyProofAge() time.Duration {
	return settings.Fraction(s.process.Settings.Bounds.KeyRevocationMs, keyProofRatio)
}

// proofIsFresh reports whether the snapshot's plan was proven to be the newest less than maxAge before
// the instant.
func proofIsFresh(snapshot *fleet.Snapshot, instant, maxAge time.Duration) bool {
	return snapshot.ProofAt > 0 && instant-snapshot.ProofAt < maxAge
}

// serveReadiness answers a readiness check: 200 if this node can serve, else 503.
func (s *server) serveReadiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != s.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if !s.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// isReady reports whether this node has a plan, a fresh proof where keys are revoked, and has known a
// worker to forward to at least once. Workers that leave later don't make it unready: sending the clients
// to another edge node wouldn't bring the workers back.
func (s *server) isReady() bool {
	snapshot := s.Snapshot()
	if snapshot == nil || snapshot.Plan == nil || s.draining.Load() {
		return false
	}
	if s.siteSettings.EnforceRevocation && !proofIsFresh(snapshot, s.process.Clock.Now(), s.maxKeyProofAge()) {
		return false
	}
	if !s.wasReady.Load() && hasRoutedWorker(snapshot) {
		s.wasReady.Store(true)
	}
	return s.wasReady.Load()
}

// hasRoutedWorker reports whether the snapshot holds a worker of a service that some route leads to.
func hasRoutedWorker(snapshot *fleet.Snapshot) bool {
	hasWorker := map[string]bool{}
	for i := range snapshot.Workers {
		hasWorker[snapshot.Workers[i].Service] = true
	}
	for i := range snapshot.Plan.Routes {
		for _, share := range snapshot.Plan.Routes[i].Split {
			if share.Weight > 0 && hasWorker[share.Service] {
				return true
			}
		}
	}
	return false
}
