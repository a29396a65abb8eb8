package callerproxy

import "pebbleloom/internal/daemon"

// meters shows what this proxy does.
func (d *Proxy) meters(m *daemon.Meter) {
	m.Gauge("pebbleloom_inflight", "requests under way", func() float64 {
		n := 0
		d.gate.Ask(func(g *gate) { n = g.inflight })
		return float64(n)
	})
	m.Gauge("pebbleloom_proof_age_seconds", "age of the proof that the setup is the newest; -1: none", func() float64 {
		s := d.fol.Snapshot()
		if s == nil || s.ProofAt == 0 {
			return -1
		}
		return (d.clk.Now() - s.ProofAt).Seconds()
	})
	m.Gauge("pebbleloom_setup_epoch", "epoch of the setup in use", func() float64 {
		if s := d.fol.Snapshot(); s != nil {
			return float64(s.ConfigVersion)
		}
		return 0
	})
	m.Count("pebbleloom_sealed_total", "answers that ended with the worker's seal", func() float64 { return float64(d.stats.sealed.Load()) })
	m.Count("pebbleloom_hit_tokens_total", "prompt tokens found kept", func() float64 { return float64(d.stats.hit.Load()) })
	m.Count("pebbleloom_fetched_tokens_total", "prompt tokens fetched", func() float64 { return float64(d.stats.fetched.Load()) })
	m.Count("pebbleloom_prefilled_tokens_total", "prompt tokens prefilled", func() float64 { return float64(d.stats.prefilled.Load()) })
	m.Count("pebbleloom_lookup_batches_total", "batches asked of the index", func() float64 { return float64(d.index.asked.Load()) })
	m.Count("pebbleloom_lookup_keys_total", "keys asked of the index", func() float64 { return float64(d.index.keys.Load()) })
	m.Count("pebbleloom_extra_goes_total", "goes beyond a request's first", func() float64 { return float64(d.stats.extra.Load()) })
	m.Count("pebbleloom_broken_total", "streams that ended without their seal", func() float64 { return float64(d.stats.broken.Load()) })
}
