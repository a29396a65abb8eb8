package callerproxy

import "pebbleloom/internal/daemon"

// registerMetrics shows what this proxy does.
func (d *Proxy) registerMetrics(m *daemon.Meter) {
	m.Gauge("pebbleloom_inflight", "requests under way", func() float64 {
		n := 0
		d.traffic.Ask(func(g *trafficTable) { n = g.inFlight })
		return float64(n)
	})
	m.Gauge("pebbleloom_proof_age_seconds", "age of the proof that the setup is the newest; -1: none", func() float64 {
		s := d.follower.Snapshot()
		if s == nil || s.ProofAt == 0 {
			return -1
		}
		return (d.clock.Now() - s.ProofAt).Seconds()
	})
	m.Gauge("pebbleloom_setup_epoch", "epoch of the setup in use", func() float64 {
		if s := d.follower.Snapshot(); s != nil {
			return float64(s.ConfigVersion)
		}
		return 0
	})
	m.Counter("pebbleloom_sealed_total", "answers that ended with the worker's seal", func() float64 { return float64(d.stats.sealed.Load()) })
	m.Counter("pebbleloom_hit_tokens_total", "prompt tokens found kept", func() float64 { return float64(d.stats.hitTokens.Load()) })
	m.Counter("pebbleloom_fetched_tokens_total", "prompt tokens fetched", func() float64 { return float64(d.stats.fetchedTokens.Load()) })
	m.Counter("pebbleloom_prefilled_tokens_total", "prompt tokens prefilled", func() float64 { return float64(d.stats.prefilledTokens.Load()) })
	m.Counter("pebbleloom_lookup_batches_total", "batches asked of the index", func() float64 { return float64(d.index.lookupBatches.Load()) })
	m.Counter("pebbleloom_lookup_keys_total", "keys asked of the index", func() float64 { return float64(d.index.lookupKeys.Load()) })
	m.Counter("pebbleloom_extra_goes_total", "goes beyond a request's first", func() float64 { return float64(d.stats.retries.Load()) })
	m.Counter("pebbleloom_broken_total", "streams that ended without their seal", func() float64 { return float64(d.stats.interrupted.Load()) })
}
