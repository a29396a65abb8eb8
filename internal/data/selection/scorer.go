package selection

import (
	"math"
	"net/url"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/rendezvous"
	"pebbleloom/internal/wire"
)

// scorer selects the worker for one request to a service with a prompt cache.
type scorer struct {
	table    *table
	snapshot *fleet.Snapshot
	request  *Request
	group    *serviceGroup
	versions *modelVersions
	stats    *serviceStats
	model    string
	// Response of the prompt index, by key; nil: the index was not queried or did not respond.
	found map[prefix.Key]*wire.LookupResult
	now   time.Duration
	// Indexes of the candidate workers that may be selected.
	usable []int
	// Whether an earlier attempt of the request was sent to another worker.
	isRetry bool

	// Latency target of the request in milliseconds.
	targetMs float64
	// Extra cost per token, in milliseconds, of prefilling a part that another worker or a store caches.
	duplicatePrefillMsPerToken float64
	// Prefix sums of the prompt parts' token counts: element i is the number of tokens before part i.
	cumulativeTokens []float64
	// Number of prompt tokens after the parts that the selection considers.
	remainingTokens float64
	// Mean number of running and waiting requests of the workers that may be selected.
	meanLoad float64
	// Hash of the request ID.
	requestHash uint64
	// Newest weights version that the usable workers serve, if the prompt is assigned to it; else 0.
	assignedVersion uint64
}

// parts returns the prompt parts that the selection considers, at most maxParts because sets of parts are
// uint64 bitmaps.
func (r *Request) parts() []PromptPart { return r.Parts[:min(len(r.Parts), maxParts)] }

// selectBest selects the usable candidate with the lowest cost. At least one candidate has to be usable.
func (s *scorer) selectBest() Choice {
	s.assignToNewestVersion()
	s.setTarget()
	s.countTokens()
	s.updateStoreHealth()
	s.estimateLoads()
	// prompts has one prompt state per weights version that usable candidates serve, newest version first.
	var prompts []*promptState
	for _, version := range s.servedVersions() {
		prompts = append(prompts, s.newPromptState(version))
	}

	best, bestIndex := workerCost{totalMs: math.Inf(1)}, -1
	s.requestHash = rendezvous.Hash(s.request.ID)
	evaluate := func(index int) {
		prompt := promptOf(prompts, s.versions.byCandidate[index])
		if cost := s.score(index, prompt, best.totalMs); cost.totalMs < best.totalMs {
			best, bestIndex = cost, index
		}
	}
	// The home worker of the affinity part likely has the lowest cost: scoring home workers first lets score
	// stop early for the other candidates.
	for _, prompt := range prompts {
		if prompt.home >= 0 {
			evaluate(prompt.home)
		}
	}
	for _, index := range s.usable {
		evaluate(index)
	}
	choice := s.newChoice(promptOf(prompts, s.versions.byCandidate[bestIndex]), bestIndex, best)
	if waitMs := s.table.backlogMs(s.group.candidates[bestIndex].stats, s.now); waitMs > loadTuning.maxWaitRatio*s.targetMs {
		choice.RetryAfter = fromMilliseconds(waitMs)
	}
	return choice
}

// promptOf returns the prompt state for a weights version, or nil if there is none. It searches linearly, as
// there are few versions.
func promptOf(prompts []*promptState, version uint64) *promptState {
	for _, prompt := range prompts {
		if prompt.version == version {
			return prompt
		}
	}
	return nil
}

// assignToNewestVersion decides whether the prompt is assigned to the newest weights version. The fraction of
// prompts that are is somewhat larger than the fraction of workers that serve this version, so that workers on
// older versions drain. The decision depends only on that fraction and on a hash of the last shared prompt
// part: all edge machines assign the same prompts, and a part moves to the newer version only once.
func (s *scorer) assignToNewestVersion() {
	newest, count := uint64(0), 0
	for _, index := range s.usable {
		switch version := s.versions.byCandidate[index]; {
		case version > newest:
			newest, count = version, 1
		case version == newest:
			count++
		}
	}
	ratio := float64(count) / float64(max(1, len(s.usable)))
	if count == len(s.usable) || ratio < rolloutTuning.minNewestRatio {
		return
	}
	id := s.request.ID
	if parts := s.request.parts(); len(parts) > 0 {
		id = parts[max(0, len(parts)-2)].ID
	}
	if float64(rendezvous.Hash(id)>>11)/(1<<53) < ratio*rolloutTuning.assignedMultiple {
		s.assignedVersion = newest
	}
}

// servedVersions returns the weights versions that usable candidates serve, newest first.
func (s *scorer) servedVersions() (served []uint64) {
	for _, version := range s.versions.distinct {
		for _, index := range s.usable {
			if s.versions.byCandidate[index] == version {
				served = append(served, version)
				break
			}
		}
	}
	return served
}

// setTarget sets the latency target of the request and the costs that are derived from it.
func (s *scorer) setTarget() {
	s.targetMs = milliseconds(s.table.bounds.Recovery(loadTuning.defaultTargetRatio))
	if s.request.Route != nil && s.request.Route.LatencyTarget > 0 {
		s.targetMs = milliseconds(s.request.Route.LatencyTarget)
	}
	s.duplicatePrefillMsPerToken = s.targetMs * affinityTuning.duplicatePrefillRatio
}

// countTokens computes the prefix sums of the token counts of the considered prompt parts, and the number of
// tokens after these parts.
func (s *scorer) countTokens() {
	parts := s.request.parts()
	s.cumulativeTokens = make([]float64, len(parts)+1)
	for i, part := range parts {
		s.cumulativeTokens[i+1] = s.cumulativeTokens[i] + float64(max(0, part.Tokens))
	}
	s.remainingTokens = max(0, float64(s.request.PromptTokens)-s.cumulativeTokens[len(parts)])
}

// updateStoreHealth records which stores are available: the prompt index returns a holder for the health key
// of an available store and none for that of an unavailable one.
func (s *scorer) updateStoreHealth() {
	for _, store := range s.group.stores {
		if found, ok := s.found[promptindex.StoreHealthKey(store.service.Name)]; ok {
			s.table.unavailableStores[store.service.Name] = len(found.GetHolders()) == 0
		}
	}
}

// estimateLoads resets the table's per-candidate slices for this selection, and estimates the loads of the
// usable candidates.
func (s *scorer) estimateLoads() {
	t, count := s.table, len(s.group.candidates)
	t.confirmedParts = zeroed(t.confirmedParts, count)
	t.presumedParts = zeroed(t.presumedParts, count)
	t.prefillingParts = zeroed(t.prefillingParts, count)
	t.loads = zeroed(t.loads, count)
	for _, index := range s.usable {
		t.loads[index] = t.estimatedLoad(s.group.candidates[index].stats, s.snapshot.EdgeCount, s.now)
		s.meanLoad += t.loads[index] / float64(len(s.usable))
	}
}

// zeroed returns a slice of count zero elements that reuses the memory of l if its capacity suffices.
func zeroed[T any](l []T, count int) []T {
	if cap(l) < count {
		return make([]T, count)
	}
	l = l[:count]
	clear(l)
	return l
}

// cacheSalt returns the salt of the prompt's cache keys for a weights version. If the control state has a
// target version of the model but workers don't report which version they serve, each request gets a salt of its
// own, so that no cached parts are shared.
func (s *scorer) cacheSalt(version uint64) string {
	salt := CacheSalt(s.model, version, s.cacheDomain())
	if !s.versions.reported && s.snapshot.TargetVersions[s.model] > 0 {
		salt += "/" + url.QueryEscape(s.request.ID)
	}
	return salt
}
