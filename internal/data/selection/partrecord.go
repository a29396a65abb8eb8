package selection

import (
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/fleet"
)

// partRecord is what this edge machine knows of a prompt part from the requests that it sent.
type partRecord struct {
	// The last workers that the prompt part was sent to, most recent first.
	holders [maxRecentHolders]recentHolder
	// ID of the last request that contained the prompt part.
	lastRequest string
	// Whether at least two different requests contained the prompt part.
	isReused bool
	// Time at which the prompt part was last sent to a store; 0: never.
	savedAt time.Duration
	// Name of the store that the prompt part was last sent to.
	savedIn string
}

// recentHolder is a worker that a prompt part was sent to. It is confirmed to cache the part once it has sent
// the first response event of a request that contains the part.
type recentHolder struct {
	// ID of the worker; empty: the entry is unused.
	worker     string
	recordedAt time.Duration
	confirmed  bool
}

// addHolder records a worker as the most recent of those that cache the prompt part, and removes the least
// recent one if there are more than maxRecentHolders. A worker that was confirmed to cache the part stays
// confirmed.
func (p *partRecord) addHolder(worker string, confirmed bool, now time.Duration) {
	replaced := maxRecentHolders - 1
	for i, holder := range p.holders {
		if holder.worker == worker {
			replaced, confirmed = i, confirmed || holder.confirmed
			break
		}
	}
	copy(p.holders[1:replaced+1], p.holders[:replaced])
	p.holders[0] = recentHolder{worker, now, confirmed}
}

// removePresumedHolder removes a worker from those that cache the prompt part, unless it is confirmed to cache
// it.
func (p *partRecord) removePresumedHolder(worker string) {
	for i, holder := range p.holders {
		if holder.worker == worker && !holder.confirmed {
			copy(p.holders[i:], p.holders[i+1:])
			p.holders[maxRecentHolders-1] = recentHolder{}
			return
		}
	}
}

// lookupKeys returns the keys to look up in the prompt index for a request: those of its prompt parts for the
// two newest weights versions that workers serve, and the health keys of the stores. It returns none if the
// records of this edge machine suffice.
func (t *table) lookupKeys(snapshot *fleet.Snapshot, request *Request, now time.Duration) []prefix.Key {
	group := t.layoutFor(snapshot).groups[request.Service]
	if group == nil || group.service.Engine == nil || len(request.Parts) == 0 {
		return nil
	}
	model := group.modelOf(request)
	var usable []int
	for i, candidate := range group.candidates {
		if !candidate.worker.Draining {
			usable = append(usable, i)
		}
	}
	s := &scorer{table: t, snapshot: snapshot, request: request, group: group, versions: group.versionsOf(model), model: model, now: now, usable: usable}
	versions := s.servedVersions()
	var keys []prefix.Key
	for _, version := range versions[:min(2, len(versions))] {
		salt := s.cacheSalt(version)
		partKeys := make([]prefix.Key, len(request.parts()))
		for i, part := range request.parts() {
			partKeys[i] = promptindex.PartKey(salt, part.ID)
		}
		if !s.knowsHolder(version, partKeys) {
			keys = append(keys, partKeys...)
		}
	}
	if len(keys) == 0 {
		return nil
	}
	// The prompt index returns a holder for the health key of each available store.
	for _, store := range group.stores {
		keys = append(keys, promptindex.StoreHealthKey(store.service.Name))
	}
	return keys
}

// knowsHolder reports whether a prompt needs no lookup in the prompt index: either no part is shared, or the
// records of this edge machine contain a recently confirmed worker on the given weights version that caches all
// shared parts. If there are stores, the last shared part must also have been saved recently.
func (s *scorer) knowsHolder(version uint64, keys []prefix.Key) bool {
	t, lastIndex := s.table, len(keys)-1
	lastShared := lastIndex - 1
	if last, _ := t.parts.get(keys[lastIndex]); last.lastRequest != "" {
		// The last part of the prompt was used before, so it belongs to a session and is shared.
		lastShared = lastIndex
	}
	if lastShared < 0 {
		return true
	}
	part, ok := t.parts.get(keys[lastShared])
	if !ok {
		return false
	}
	isSaved := part.savedAt != 0 && s.now-part.savedAt <= t.bounds.Recovery(recordTuning.savedRatio)
	if len(s.group.stores) > 0 && !isSaved {
		return false
	}
	for _, holder := range part.holders {
		index, isCandidate := s.group.index[holder.worker]
		if !isCandidate || !holder.confirmed || s.now-holder.recordedAt >= t.bounds.Recovery(recordTuning.lookupRatio) {
			continue
		}
		if s.versions.byCandidate[index] == version && s.now >= s.group.candidates[index].stats.ejectedUntil {
			return true
		}
	}
	return false
}
