package selection

import (
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/rendezvous"
)

// newChoice applies the placement to the selected worker, and remembers what the selection expects of the
// attempt.
func (s *scorer) newChoice(prompt *promptState, index int, cost workerCost) Choice {
	t, selected := s.table, s.group.candidates[index]
	choice := Choice{Worker: *selected.worker, Weights: prompt.version, Salt: prompt.salt,
		Urgency: t.layout.priorityLevel(urgency(s.request), s.promptSizeClass(cost.prefillTokens))}
	expected := attempt{stats: selected.stats, prefillTokens: cost.prefillTokens, keys: prompt.keys, usesCache: s.request.PromptTokens > 0}
	if cost.source != nil {
		choice.Fetch, expected.source, expected.transferMs = cost.source.addr, cost.source.stats, cost.transferMs
	}
	for i, key := range prompt.keys[:prompt.sharedParts] {
		expected.sharedParts = append(expected.sharedParts, prefix.Entry{Key: key,
			Tokens: int(s.cumulativeTokens[i+1] - s.cumulativeTokens[i]), CumulativeTokens: int(s.cumulativeTokens[i+1])})
	}
	if storeIndex := s.storeFor(prompt); storeIndex >= 0 {
		store := s.group.stores[storeIndex].service
		sharedTokens := s.cumulativeTokens[prompt.sharedParts]
		if sharedTokens >= transferTuning.minSavedTokens && !s.isStored(prompt) {
			choice.Save, expected.store = store.Store.Addr, store.Name
		}
		cached := consecutiveParts(t.presumedParts[index], 0)
		if choice.Fetch == "" && cached < prompt.sharedParts && s.mayBeStored(prompt) &&
			sharedTokens-s.cumulativeTokens[cached] >= 2*transferTuning.minSavedTokens {
			choice.Fetch = store.Store.Addr // it probably has them: a miss costs next to nothing
		}
	}
	t.selected.put(attemptKey{s.request.ID, selected.worker.ID}, expected)
	return choice
}

// mayBeStored reports whether a store may have the shared parts although no holder is known: the index
// didn't respond, or the deciding part was used recently.
func (s *scorer) mayBeStored(prompt *promptState) bool {
	if !prompt.indexResponded {
		return true
	}
	return prompt.affinityPart >= 0 && s.found[prompt.keys[prompt.affinityPart]].GetHotness() > 0
}

// storeFor is the store that a prompt's shared parts belong to, of those that respond; -1 if there is
// none, or nothing is shared. Each part has one store, so that together they cache as much as possible.
func (s *scorer) storeFor(prompt *promptState) int {
	if prompt.sharedParts == 0 {
		return -1
	}
	best, greatest := -1, uint64(0)
	part := keyHash(prompt.keys[max(0, prompt.affinityPart)])
	for i, store := range s.group.stores {
		if s.table.unavailableStores[store.service.Name] {
			continue
		}
		if weight := rendezvousWeight(part, rendezvous.Hash(store.service.Name)); best < 0 || weight > greatest {
			best, greatest = i, weight
		}
	}
	return best
}

// isStored reports whether a store that responds has all shared parts.
func (s *scorer) isStored(prompt *promptState) bool {
	shared := uint64(1)<<prompt.sharedParts - 1
	for i, store := range s.group.stores {
		if prompt.storeParts[i]&shared == shared && !s.table.unavailableStores[store.service.Name] {
			return true
		}
	}
	return false
}

// promptSizeClass is 0 for a prompt that is read within a small share of its target, 1 for a medium
// share, 2 for more.
func (s *scorer) promptSizeClass(prefillTokens float64) int {
	switch ratio := prefillTokens * s.stats.msPerToken / s.targetMs; {
	case ratio < sizeTuning.smallRatio:
		return 0
	case ratio < sizeTuning.mediumRatio:
		return 1
	}
	return 2
}
