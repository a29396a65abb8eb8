package selection

import (
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/rendezvous"
)

// newChoice derives the choice from the selected worker and the prompt state: from where the worker fetches
// prompt parts and to which store it saves them. It stores the expected prefill and transfers of the attempt
// until the attempt is sent.
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
			// The store isn't known to have the shared parts but may have them, and a failed fetch costs next
			// to nothing.
			choice.Fetch = store.Store.Addr
		}
	}
	t.selected.put(attemptKey{s.request.ID, selected.worker.ID}, expected)
	return choice
}

// mayBeStored reports whether a store may have the prompt's shared parts although it isn't known to: the prompt
// index did not respond, or it knows that the affinity part was used recently.
func (s *scorer) mayBeStored(prompt *promptState) bool {
	if !prompt.indexResponded {
		return true
	}
	return prompt.affinityPart >= 0 && s.found[prompt.keys[prompt.affinityPart]].GetHotness() > 0
}

// storeFor returns the index of the available store to which rendezvous hashing assigns the prompt's shared
// parts; -1 if no store is available or no part is shared. Each part is assigned to one store only, so that the
// stores together cache as many parts as possible.
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

// isStored reports whether one of the available stores has all shared parts of the prompt.
func (s *scorer) isStored(prompt *promptState) bool {
	shared := uint64(1)<<prompt.sharedParts - 1
	for i, store := range s.group.stores {
		if prompt.storeParts[i]&shared == shared && !s.table.unavailableStores[store.service.Name] {
			return true
		}
	}
	return false
}

// promptSizeClass returns 0 for a prompt whose prefill takes a small fraction of the latency target, 1 for a
// medium fraction and 2 for a large one. The limits between them are those of sizeTuning.
func (s *scorer) promptSizeClass(prefillTokens float64) int {
	switch ratio := prefillTokens * s.stats.msPerToken / s.targetMs; {
	case ratio < sizeTuning.smallRatio:
		return 0
	case ratio < sizeTuning.mediumRatio:
		return 1
	}
	return 2
}
