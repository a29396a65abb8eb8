package selection

import (
	"math/bits"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/promptindex"
)

// promptState is a prompt under one version of the weights, with the workers and stores that cache its
// parts. A set of parts is a uint64 with a bit for each.
type promptState struct {
	version         uint64
	salt            string
	keys            []prefix.Key // by part
	sharedParts     int          // parts, from the first on, that other requests use too
	affinityPart    int          // the part that decides on the home; -1: none
	isReplicated    bool         // the placement replicates the deciding part: any worker may cache it
	isCold          bool         // the deciding part has no known holder
	indexResponded  bool         // the index responded for some part
	home            int          // candidate; -1: none
	sources         []source
	storeParts      []uint64 // by store: parts that it is presumed to have
	partsWithHolder uint64   // parts that are known to be cached, or being read
}

// source is a worker or store that caches some of the parts.
type source struct {
	stats          *workerStats
	candidate      int // -1: a store
	addr           string
	zone           string
	presumedParts  uint64
	confirmedParts uint64
	msPerToken     float64 // over the slower of its link and the worker's
}

// storedParts are, by store, the parts that it is confirmed to have, and those that are being read and
// on their way to it.
type storedParts struct{ confirmed, prefilling []uint64 }

// holderEvidence is what is known of one holder of a part.
type holderEvidence struct {
	id           string // of a worker, or the name of a store
	isConfirmed  bool   // it reported the part, or its first event came
	isPrefilling bool   // it is still reading the part for this edge machine
}

// newPromptState collects the holders of the prompt's parts under one version.
func (s *scorer) newPromptState(version uint64) *promptState {
	parts, storeCount := s.request.parts(), len(s.group.stores)
	prompt := &promptState{
		version:      version,
		salt:         s.cacheSalt(version),
		keys:         make([]prefix.Key, len(parts)),
		sharedParts:  max(0, len(parts)-1),
		affinityPart: len(parts) - 2,
		home:         -1,
		storeParts:   make([]uint64, storeCount),
	}
	stores := storedParts{make([]uint64, storeCount), make([]uint64, storeCount)}
	for i := range parts {
		if s.collectHolders(prompt, stores, i) {
			prompt.sharedParts = len(parts)
		}
	}
	if prompt.affinityPart < 0 && prompt.sharedParts > 0 {
		prompt.affinityPart = 0
	}
	s.collectSources(prompt, stores)
	if prompt.affinityPart >= 0 {
		prompt.isReplicated = s.snapshot.Placements[s.group.service.Name].IsReplicated(prompt.keys[prompt.affinityPart])
		prompt.isCold = prompt.partsWithHolder>>prompt.affinityPart&1 == 0
		s.findHome(prompt)
	}
	return prompt
}

// collectHolders records the holders of one part, from the index and from this edge machine's records.
// It reports whether the part is the prompt's last and shared all the same: a session's, or a repeated
// request's.
func (s *scorer) collectHolders(prompt *promptState, stores storedParts, index int) (isLastAndShared bool) {
	t, parts := s.table, s.request.parts()
	key := promptindex.PartKey(prompt.salt, parts[index].ID)
	prompt.keys[index] = key
	part := uint64(1) << index
	found, isFound := s.found[key]
	prompt.indexResponded = prompt.indexResponded || isFound
	for _, holder := range found.GetHolders() {
		s.addHolder(prompt, stores, part, holderEvidence{id: holder.Worker, isConfirmed: holder.State == promptindex.Confirmed})
	}
	known, isKnown := t.parts.get(key)
	lifetime := t.bounds.Heal(recordTuning.lifetimeRatio)
	if found.GetHotness() > 0 {
		lifetime = t.bounds.Heal(recordTuning.indexLagRatio) // the index knows older holders better
	}
	prefillTime := t.bounds.Heal(recordTuning.prefillRatio)
	for _, holder := range known.holders {
		if age := s.now - holder.recordedAt; holder.worker != "" && age < lifetime {
			s.addHolder(prompt, stores, part, holderEvidence{holder.worker, holder.confirmed, !holder.confirmed && age < prefillTime})
		}
	}
	if age := s.now - known.savedAt; known.savedAt > 0 && age < t.bounds.Heal(recordTuning.savedRatio) {
		s.addHolder(prompt, stores, part, holderEvidence{known.savedIn, false, age < prefillTime})
	}
	if index != len(parts)-1 {
		return false
	}
	usedByAnother := isKnown && known.lastRequest != s.request.ID || known.isReused
	return usedByAnother || !s.isRetry && len(found.GetHolders()) > 0 || found.GetHotness() > 0
}

// addHolder records that a part is cached by a worker that serves the prompt's version, or by a store.
func (s *scorer) addHolder(prompt *promptState, stores storedParts, part uint64, holder holderEvidence) {
	t := s.table
	if i, ok := s.group.index[holder.id]; ok {
		if s.versions.byCandidate[i] != prompt.version {
			return
		}
		t.presumedParts[i] |= part
		prompt.partsWithHolder |= part
		if holder.isConfirmed {
			t.confirmedParts[i] |= part
		}
		if holder.isPrefilling {
			t.prefillingParts[i] |= part
		}
		return
	}
	for i, store := range s.group.stores {
		if store.service.Name != holder.id {
			continue
		}
		prompt.storeParts[i] |= part
		prompt.partsWithHolder |= part
		if holder.isConfirmed {
			stores.confirmed[i] |= part
		}
		if holder.isPrefilling {
			stores.prefilling[i] |= part
		}
	}
}

// collectSources lists the workers and stores to fetch from: few enough to compare all with all
// candidates. A part that is still being read can't be fetched.
func (s *scorer) collectSources(prompt *promptState, stores storedParts) {
	t, engine := s.table, s.group.service.Engine
	for i, candidate := range s.group.candidates {
		parts := t.presumedParts[i] &^ (t.prefillingParts[i] &^ t.confirmedParts[i])
		if parts == 0 || s.versions.byCandidate[i] != prompt.version || s.now < candidate.stats.ejectedUntil {
			continue
		}
		s.addSource(prompt, source{stats: candidate.stats, candidate: i, addr: candidate.worker.Addr, zone: candidate.worker.Zone,
			presumedParts: parts, confirmedParts: t.confirmedParts[i], msPerToken: transferMsPerToken(engine, engine.LinkMbps)})
	}
	for i, store := range s.group.stores {
		parts := prompt.storeParts[i] &^ (stores.prefilling[i] &^ stores.confirmed[i])
		if parts == 0 || t.unavailableStores[store.service.Name] {
			continue
		}
		config := store.service.Store
		prompt.sources = append(prompt.sources, source{stats: store.stats, candidate: -1, addr: config.Addr, zone: config.Zone,
			presumedParts: parts, confirmedParts: stores.confirmed[i], msPerToken: transferMsPerToken(engine, config.LinkMbps)})
	}
}

// addSource adds a worker to the prompt's sources. Once there are too many it replaces the worst of them,
// if it is better.
func (s *scorer) addSource(prompt *promptState, added source) {
	if len(prompt.sources) < transferTuning.maxSources {
		prompt.sources = append(prompt.sources, added)
		return
	}
	worst := 0
	for i := range prompt.sources {
		if s.isBetterSource(prompt.sources[worst], prompt.sources[i]) {
			worst = i
		}
	}
	if s.isBetterSource(added, prompt.sources[worst]) {
		prompt.sources[worst] = added
	}
}

// isBetterSource prefers the source with more parts from the first on, then one of the request's zone,
// then the one whose link is free sooner.
func (s *scorer) isBetterSource(a, b source) bool {
	if runA, runB := bits.TrailingZeros64(^a.presumedParts), bits.TrailingZeros64(^b.presumedParts); runA != runB {
		return runA > runB
	}
	if isNearA, isNearB := a.zone == s.request.Zone, b.zone == s.request.Zone; isNearA != isNearB {
		return isNearA
	}
	return a.stats.linkBusyUntil < b.stats.linkBusyUntil
}

// findHome finds the home of the deciding part: the first of the usable candidates by rendezvous hashing
// that isn't loaded beyond the bound.
func (s *scorer) findHome(prompt *promptState) {
	part := keyHash(prompt.keys[prompt.affinityPart])
	greatest := uint64(0)
	for _, index := range s.usable {
		candidate := s.group.candidates[index]
		maxLoad := affinityTuning.homeLoadRatio*s.meanLoad + 1 + affinityTuning.homeSlotRatio*float64(candidate.worker.Slots)
		if s.versions.byCandidate[index] != prompt.version || s.table.loads[index] > maxLoad {
			continue
		}
		if weight := rendezvousWeight(part, candidate.hash); prompt.home < 0 || weight > greatest {
			prompt.home, greatest = index, weight
		}
	}
}

// transferMsPerToken is how long the cache of one token takes over the slower of two links: the
// engine's, and one of linkMbps. It is 0 if a link's speed is unknown.
func transferMsPerToken(engine *routingconfig.Engine, linkMbps float64) float64 {
	if engine.LinkMbps <= 0 || linkMbps <= 0 {
		return 0
	}
	return float64(engine.TokenBytes) * 8 / (min(engine.LinkMbps, linkMbps) * 1e3)
}
