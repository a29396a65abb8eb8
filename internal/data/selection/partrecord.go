package selection

import (
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/fleet"
)

// partRecord is what this edge machine itself knows of a part.
type partRecord struct {
	holders     [maxRecentHolders]recentHolder // the latest first
	lastRequest string                         // ID of the request that used it last
	isReused    bool                           // another request used it before
	savedAt     time.Duration                  // when it was sent to a store; 0: never
	savedIn     string                         // the store's name
}

// recentHolder is a worker that was sent a part. It is confirmed once its first event came.
type recentHolder struct {
	worker     string // "": none
	recordedAt time.Duration
	confirmed  bool
}

// addHolder makes a worker the latest holder; a confirmed one stays confirmed. The oldest one gives way.
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

// removePresumedHolder removes a worker, unless it is confirmed.
func (p *partRecord) removePresumedHolder(worker string) {
	for i, holder := range p.holders {
		if holder.worker == worker && !holder.confirmed {
			copy(p.holders[i:], p.holders[i+1:])
			p.holders[maxRecentHolders-1] = recentHolder{}
			return
		}
	}
}

// lookupKeys lists the keys to look up for a request, under the two newest versions that workers serve;
// none if this edge machine knows enough.
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
	for _, store := range group.stores { // these show which stores respond
		keys = append(keys, promptindex.StoreHealthKey(store.service.Name))
	}
	return keys
}

// knowsHolder reports whether a prompt needs no lookup: it has nothing shared, or this edge machine
// recently saw a worker on the version that caches everything shared.
func (s *scorer) knowsHolder(version uint64, keys []prefix.Key) bool {
	t, lastIndex := s.table, len(keys)-1
	lastShared := lastIndex - 1
	if last, _ := t.parts.get(keys[lastIndex]); last.lastRequest != "" {
		lastShared = lastIndex // a session's
	}
	if lastShared < 0 {
		return true
	}
	part, ok := t.parts.get(keys[lastShared])
	if !ok {
		return false
	}
	isSaved := part.savedAt != 0 && s.now-part.savedAt <= t.bounds.Heal(recordTuning.savedRatio)
	if len(s.group.stores) > 0 && !isSaved {
		return false
	}
	for _, holder := range part.holders {
		index, isCandidate := s.group.index[holder.worker]
		if !isCandidate || !holder.confirmed || s.now-holder.recordedAt >= t.bounds.Heal(recordTuning.lookupRatio) {
			continue
		}
		if s.versions.byCandidate[index] == version && s.now >= s.group.candidates[index].stats.ejectedUntil {
			return true
		}
	}
	return false
}
