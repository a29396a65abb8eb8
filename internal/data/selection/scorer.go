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

// scorer selects among the workers of a service with a prompt cache, for one request.
type scorer struct {
	table    *table
	snapshot *fleet.Snapshot
	request  *Request
	group    *serviceGroup
	versions *modelVersions
	stats    *serviceStats
	model    string
	found    map[prefix.Key]*wire.LookupResult // the index's response; nil: none
	now      time.Duration
	usable   []int // candidates that may be selected
	isRetry  bool

	targetMs                   float64   // the request's latency target
	duplicatePrefillMsPerToken float64   // the cost of reading a token that another worker caches
	cumulativeTokens           []float64 // by part: tokens of the parts before it; at last, of all parts
	remainingTokens            float64   // tokens beside the parts
	meanLoad                   float64   // of the usable candidates
	requestHash                uint64
	assignedVersion            uint64 // newest version, if the prompt is assigned to it; else 0
}

// parts are the parts that the selection looks at: their sets are kept in a uint64.
func (r *Request) parts() []PromptPart { return r.Parts[:min(len(r.Parts), maxParts)] }

// selectBest selects the usable candidate with the least cost. There has to be one.
func (s *scorer) selectBest() Choice {
	s.assignToNewestVersion()
	s.setTarget()
	s.countTokens()
	s.updateStoreHealth()
	s.estimateLoads()
	var prompts []*promptState // by version that usable candidates serve, newest first
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
	for _, prompt := range prompts { // likely ones first: then scoring the others stops early
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

// promptOf returns the state of the prompt under a version: there are few versions.
func promptOf(prompts []*promptState, version uint64) *promptState {
	for _, prompt := range prompts {
		if prompt.version == version {
			return prompt
		}
	}
	return nil
}

// assignToNewestVersion assigns the request to the workers on the newest version, for as large a share of
// prompts as those can take: so the older ones drain. All edge machines assign the same prompts, by a hash
// of the last shared part, so that a part moves to the newer version once.
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

// servedVersions lists the versions that the usable candidates serve, newest first.
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

// setTarget sets the latency target and what is a ratio of it.
func (s *scorer) setTarget() {
	s.targetMs = milliseconds(s.table.bounds.Heal(loadTuning.defaultTargetRatio))
	if s.request.Route != nil && s.request.Route.LatencyTarget > 0 {
		s.targetMs = milliseconds(s.request.Route.LatencyTarget)
	}
	s.duplicatePrefillMsPerToken = s.targetMs * affinityTuning.duplicatePrefillRatio
}

// countTokens adds up the tokens of the prompt's parts.
func (s *scorer) countTokens() {
	parts := s.request.parts()
	s.cumulativeTokens = make([]float64, len(parts)+1)
	for i, part := range parts {
		s.cumulativeTokens[i+1] = s.cumulativeTokens[i] + float64(max(0, part.Tokens))
	}
	s.remainingTokens = max(0, float64(s.request.PromptTokens)-s.cumulativeTokens[len(parts)])
}

// updateStoreHealth updates which stores respond, by what the index found.
func (s *scorer) updateStoreHealth() {
	for _, store := range s.group.stores {
		if found, ok := s.found[promptindex.StoreHealthKey(store.service.Name)]; ok {
			s.table.unavailableStores[store.service.Name] = len(found.GetHolders()) == 0
		}
	}
}

// estimateLoads clears the table's scratch memory for this selection, and estimates the load of the
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

// cleared returns count zero elements, in the memory of l if there is room.
func zeroed[T any](l []T, count int) []T {
	if cap(l) < count {
		return make([]T, count)
	}
	l = l[:count]
	clear(l)
	return l
}

// cacheSalt is the salt of the parts under a version. Workers that don't report which of the named
// weights they serve can't share any: then each request has a salt of its own.
func (s *scorer) cacheSalt(version uint64) string {
	salt := CacheSalt(s.model, version, s.request.Tenant)
	if !s.versions.reported && s.snapshot.NamedVersions[s.model] > 0 {
		salt += "/" + url.QueryEscape(s.request.ID)
	}
	return salt
}
