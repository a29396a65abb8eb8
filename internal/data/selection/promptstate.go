package selection

import (
	"math/bits"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/promptindex"
)

// promptState describes for one version of the model weights which workers and stores cache the parts of a
// prompt; caches of different versions are separate. A set of parts is a uint64 bitmap with one bit per part.
type promptState struct {
	version uint64
	salt    string
	// Prompt index keys of the parts, in order.
	keys []prefix.Key
	// Number of leading prompt parts that other requests use too.
	sharedParts int
	// Index of the prompt part whose hash determines the home worker; -1: no part does.
	affinityPart int
	// Whether the cache placement replicates the affinity part, so that any worker may cache it.
	isReplicated bool
	// Whether no worker or store is known to cache the affinity part.
	isCold bool
	// Whether the prompt index responded to the lookup of at least one part of the prompt.
	indexResponded bool
	// Index of the affinity part's home worker among the candidates; -1: it has none.
	home int
	// Workers and stores from which a worker can fetch prompt parts that it lacks.
	sources []source
	// By store: bitmap of the prompt parts that the store is presumed or confirmed to have.
	storeParts []uint64
	// Bitmap of the prompt parts that at least one worker or store is presumed or confirmed to cache.
	partsWithHolder uint64
}

// source is a worker or store from which some of the prompt's parts can be fetched.
type source struct {
	stats *workerStats
	// Index of the worker among the candidates; -1: the source is a store.
	candidate int
	addr      string
	zone      string
	// Bitmap of the prompt parts that the source is presumed or confirmed to cache.
	presumedParts uint64
	// Bitmap of the prompt parts that the source is confirmed to cache.
	confirmedParts uint64
	// Milliseconds to transfer the cache of one token over the slower of the source's and the worker's links.
	msPerToken float64
}

// storedParts contains two bitmaps for each store: the prompt parts that it is confirmed to have, and the parts
// that a worker is still prefilling before it saves them there.
type storedParts struct{ confirmed, prefilling []uint64 }

// holderEvidence is what is known of one holder of a prompt part, a worker or store that caches it.
type holderEvidence struct {
	// ID of the holder if it is a worker, or its name if it is a store.
	id string
	// Whether the holder reported that it caches the prompt part, or responded to a request that contains it.
	isConfirmed bool
	// Whether the prompt part is still being prefilled for a request of this edge machine, by the holder or, if
	// the holder is a store, by the worker that saves to it.
	isPrefilling bool
}

// newPromptState collects the workers and stores that cache the prompt's parts for one version of the weights,
// and finds the home worker among the usable candidates.
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

// collectHolders records the holders of the prompt part at the given index, from the response of the prompt
// index and from the records of this edge machine. It reports whether the part is the last of the prompt and
// shared nevertheless, because it belongs to a session or the request is repeated.
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
	lifetime := t.bounds.Recovery(recordTuning.lifetimeRatio)
	if found.GetHotness() > 0 {
		// If the prompt index knows the part, it is more accurate than records of this edge machine that are
		// older than the lag of the index.
		lifetime = t.bounds.Recovery(recordTuning.indexLagRatio)
	}
	prefillTime := t.bounds.Recovery(recordTuning.prefillRatio)
	for _, holder := range known.holders {
		if age := s.now - holder.recordedAt; holder.worker != "" && age < lifetime {
			s.addHolder(prompt, stores, part, holderEvidence{holder.worker, holder.confirmed, !holder.confirmed && age < prefillTime})
		}
	}
	if age := s.now - known.savedAt; known.savedAt > 0 && age < t.bounds.Recovery(recordTuning.savedRatio) {
		s.addHolder(prompt, stores, part, holderEvidence{known.savedIn, false, age < prefillTime})
	}
	if index != len(parts)-1 {
		return false
	}
	usedByAnother := isKnown && known.lastRequest != s.request.ID || known.isReused
	return usedByAnother || !s.isRetry && len(found.GetHolders()) > 0 || found.GetHotness() > 0
}

// addHolder records that the prompt part in the one-bit bitmap part is cached by a worker or store. Workers
// that serve another version of the weights than the prompt state's are ignored.
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

// collectSources lists the workers and stores from which prompt parts can be fetched. Workers are limited to
// transferTuning.maxSources, because all sources are evaluated for each candidate. A part that is still being
// prefilled can't be fetched.
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

// addSource adds a worker to the sources from which the prompt's parts can be fetched. If there are already
// transferTuning.maxSources of them, it replaces the worst one, provided the added one is better.
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

// isBetterSource reports whether source a is better than source b. The better one is the one that caches more
// consecutive prompt parts from the first on; if equal, one in the request's zone; if equal, the one whose link
// is free sooner.
func (s *scorer) isBetterSource(a, b source) bool {
	if runA, runB := bits.TrailingZeros64(^a.presumedParts), bits.TrailingZeros64(^b.presumedParts); runA != runB {
		return runA > runB
	}
	if isNearA, isNearB := a.zone == s.request.Zone, b.zone == s.request.Zone; isNearA != isNearB {
		return isNearA
	}
	return a.stats.linkBusyUntil < b.stats.linkBusyUntil
}

// findHome finds the home worker of the affinity part: the one with the highest rendezvous hashing weight among
// the usable candidates that serve the prompt state's weights version and whose load is within the limit (see
// affinityTuning.homeLoadRatio).
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

// transferMsPerToken returns how many milliseconds the transfer of one token's cache takes over the slower of
// two links: that of the engine's workers and a link of linkMbps. It returns 0 if the speed of either link is
// unknown.
func transferMsPerToken(engine *routingconfig.Engine, linkMbps float64) float64 {
	if engine.LinkMbps <= 0 || linkMbps <= 0 {
		return 0
	}
	return float64(engine.TokenBytes) * 8 / (min(engine.LinkMbps, linkMbps) * 1e3)
}
