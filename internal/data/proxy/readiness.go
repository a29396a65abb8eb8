package proxy

import (
	"net/http"

	"pebbleloom/internal/fleet"
)

// serveReadiness answers a readiness check with 200 if this node is ready and with 503 if not.
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

// isReady reports whether this node has a routing plan, has a fresh proof of the control nodes that the plan is the
// newest (required only if key revocation is enforced), and has seen a worker of a service with a route at least
// once. Workers that leave later don't make it unready: moving clients to another edge node wouldn't bring the
// workers back.
func (s *server) isReady() bool {
	snapshot := s.Snapshot()
	if snapshot == nil || snapshot.Plan == nil || s.draining.Load() {
		return false
	}
	if s.siteSettings.EnforceRevocation && !snapshot.HasFreshProof(s.process.Clock.Now(), s.process.Settings.Bounds.KeyProof()) {
		return false
	}
	if !s.wasReady.Load() && hasRoutedWorker(snapshot) {
		s.wasReady.Store(true)
	}
	return s.wasReady.Load()
}

// hasRoutedWorker reports whether the snapshot has a worker of a service to which some route sends requests.
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
