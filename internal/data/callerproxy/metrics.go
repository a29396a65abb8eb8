package callerproxy

import (
	"sync/atomic"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/daemon"
)

// stats counts the outcomes of attempts. Token counts are those that workers report in the last chunk of a response,
// the one with the seal.
type stats struct{ sealed, hitTokens, fetchedTokens, prefilledTokens, retries, interrupted atomic.Int64 }

// addSealedStream counts a completed response by the usage that its last chunk reports.
func (s *stats) addSealedStream(lastChunk *contract.Chunk) {
	s.sealed.Add(1)
	s.hitTokens.Add(int64(lastChunk.CachedTokens))
	s.fetchedTokens.Add(int64(lastChunk.FetchedTokens))
	s.prefilledTokens.Add(int64(lastChunk.PrefilledTokens))
}

// registerMetrics registers the gauges and counters of the proxy.
func (p *Proxy) registerMetrics(meter *daemon.Meter) {
	meter.Gauge("pebbleloom_inflight", "requests in flight", func() float64 {
		inFlight := 0
		p.traffic.Ask(func(table *trafficTable) { inFlight = table.inFlight })
		return float64(inFlight)
	})
	meter.Gauge("pebbleloom_proof_age_seconds", "age of the proof that the configuration is the newest; -1: none", func() float64 {
		snapshot := p.follower.Snapshot()
		if snapshot == nil || snapshot.ProofAt == 0 {
			return -1
		}
		return (p.clock.Now() - snapshot.ProofAt).Seconds()
	})
	meter.Gauge("pebbleloom_setup_epoch", "version of the configuration in use", func() float64 {
		if snapshot := p.follower.Snapshot(); snapshot != nil {
			return float64(snapshot.ConfigVersion)
		}
		return 0
	})
	counters := []struct {
		name, help string
		value      func() float64
	}{
		{"pebbleloom_sealed_total", "answers that ended with the worker's seal", counterValue(&p.stats.sealed)},
		{"pebbleloom_hit_tokens_total", "prompt tokens found in a worker's cache", counterValue(&p.stats.hitTokens)},
		{"pebbleloom_fetched_tokens_total", "prompt tokens fetched from another worker or a store", counterValue(&p.stats.fetchedTokens)},
		{"pebbleloom_prefilled_tokens_total", "prompt tokens prefilled", counterValue(&p.stats.prefilledTokens)},
		{"pebbleloom_lookup_batches_total", "batches of look-ups sent to the prompt index", func() float64 { return float64(p.index.lookupBatches.Load()) }},
		{"pebbleloom_lookup_keys_total", "keys looked up in the prompt index", func() float64 { return float64(p.index.lookupKeys.Load()) }},
		{"pebbleloom_extra_goes_total", "attempts beyond the first of a request", counterValue(&p.stats.retries)},
		{"pebbleloom_broken_total", "streams that ended without the worker's seal", counterValue(&p.stats.interrupted)},
	}
	for _, counter := range counters {
		meter.Counter(counter.name, counter.help, counter.value)
	}
}

// counterValue adapts an atomic counter to the callback type that daemon.Meter expects.
func counterValue(counter *atomic.Int64) func() float64 {
	return func() float64 { return float64(counter.Load()) }
}
