package selection

import (
	"slices"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/fleet"
)

// partRecord is what this edge machine itself knows of a part.
type partRecord struct {
	holders     [maxRecentHolders]recentHolder // the latest first
	lastRequest string                         // the request that used it last
	isReused    bool                           // another request used it before
	savedAt     time.Duration                  // when it was saved in a store; 0: never
	savedIn     string
}

const maxRecentHolders = 3

type recentHolder struct {
	worker     string
	recordedAt time.Duration
	confirmed  bool // its first event came
}

func (m *partRecord) addHolder(id string, sure bool, now time.Duration) {
	at := maxRecentHolders - 1
	for i, h := range m.holders {
		if h.worker == id {
			at, sure = i, sure || h.confirmed
			break
		}
	}
	copy(m.holders[1:at+1], m.holders[:at])
	m.holders[0] = recentHolder{id, now, sure}
}

func (m *partRecord) removePresumedHolder(id string) {
	for i, h := range m.holders {
		if h.worker == id && !h.confirmed {
			copy(m.holders[i:], m.holders[i+1:])
			m.holders[maxRecentHolders-1] = recentHolder{}
			return
		}
	}
}

// lookupKeys lists the keys to look up for a request; none if this edge machine knows enough.
func (t *table) lookupKeys(s *fleet.Snapshot, r *Request, now time.Duration) []prefix.Key {
	g := t.layoutFor(s).groups[r.Service]
	if g == nil || g.service.Engine == nil || len(r.Parts) == 0 {
		return nil
	}
	model := g.modelOf(r)
	m := g.versionsOf(model)
	var cs []int
	for i, x := range g.candidates {
		if !x.worker.Draining {
			cs = append(cs, i)
		}
	}
	q := &scorer{table: t, snapshot: s, request: r, group: g, versions: m, model: model, now: now, usable: cs}
	q.assignToNewestVersion()
	vs := q.servedVersions()
	var keys []prefix.Key
	for _, v := range vs[:min(2, len(vs))] {
		text := q.cacheSalt(v)
		ks := make([]prefix.Key, len(r.parts()))
		for i, x := range r.parts() {
			ks[i] = promptindex.PartKey(text, x.ID)
		}
		if !t.knowsHolder(q, v, ks) {
			keys = append(keys, ks...)
		}
	}
	if len(keys) > 0 {
		keys = append(keys, storeHealthKeys(g)...)
	}
	return keys
}

// knowsHolder reports whether a prompt needs no lookup: it has nothing shared, or this edge machine recently
// saw a worker that caches everything shared.
func (t *table) knowsHolder(q *scorer, v uint64, ks []prefix.Key) bool {
	last, _ := t.parts.get(ks[len(ks)-1])
	d := len(ks) - 2
	if last.lastRequest != "" {
		d = len(ks) - 1 // a session's
	}
	if d < 0 {
		return true
	}
	x, ok := t.parts.get(ks[d])
	if !ok {
		return false
	}
	if len(q.group.stores) > 0 && (x.savedAt == 0 || q.now-x.savedAt > t.bounds.Heal(savedPart)) {
		return false
	}
	for _, h := range x.holders {
		if i, ok := q.group.index[h.worker]; ok && h.confirmed && q.now-h.recordedAt < t.bounds.Heal(freshPart) && q.versions.versions[i] == v && q.now >= q.group.candidates[i].stats.ejectedUntil {
			return true
		}
	}
	return false
}

// recordSent records an attempt in flight and returns what its selection expected.
func (t *table) recordSent(r *Request, c Choice, now time.Duration) attempt {
	k := attemptKey{r.ID, c.Worker.ID}
	w, ok := t.selected.get(k)
	if _, dup := t.inFlight[k]; !ok || dup {
		return attempt{}
	}
	t.selected.remove(k)
	w.sentAt = now
	w.stats.inFlight++
	w.prefillTime = time.Duration(w.prefillTokens * w.stats.service.msPerToken * float64(time.Millisecond))
	w.stats.prefillUntil = max(w.stats.prefillUntil, now) + w.prefillTime
	if w.source != nil {
		d := time.Duration(w.transferMs * float64(time.Millisecond))
		w.source.linkBusyUntil = max(w.source.linkBusyUntil, now) + d
		w.stats.linkBusyUntil = max(w.stats.linkBusyUntil, now) + d
	}
	w.firstEventDue = now + t.firstEventTimeout(&w, r, now)
	t.inFlight[k] = w
	if w.usesCache {
		w.stats.pendingPrefills = append(w.stats.pendingPrefills, pendingPrefill{k, now, w.stats.service.firstEventMs + w.stats.service.msPerToken*w.prefillTokens + w.transferMs})
	}
	for _, key := range w.keys {
		m, _ := t.parts.get(key)
		m.isReused = m.isReused || m.lastRequest != "" && m.lastRequest != r.ID
		m.lastRequest = r.ID
		m.addHolder(c.Worker.ID, false, now)
		if w.store != "" {
			m.savedAt, m.savedIn = now, w.store
		}
		t.parts.put(key, m)
	}
	t.dropAbandoned(now)
	return w
}

// dropAbandoned drops attempts whose ending was never recorded.
func (t *table) dropAbandoned(now time.Duration) {
	if now-t.lastSweep < t.bounds.Heal(memoPart) {
		return
	}
	t.lastSweep = now
	for k, w := range t.inFlight {
		if now-w.sentAt > t.bounds.RequestIDRetention(1.0/2) {
			w.stats.inFlight--
			w.stats.pendingPrefills = slices.DeleteFunc(w.stats.pendingPrefills, func(u pendingPrefill) bool { return u.attempt == k })
			delete(t.inFlight, k)
		}
	}
}

// recordFirstEvent records an attempt's first event: the prompt is read and cached.
func (t *table) recordFirstEvent(r *Request, c Choice, l *Load, first, now time.Duration) {
	k := attemptKey{r.ID, c.Worker.ID}
	w, ok := t.inFlight[k]
	if !ok || w.firstEventSeen {
		return
	}
	w.firstEventSeen = true
	t.recordPrefillEnd(&w, k, now)
	t.inFlight[k] = w
	if l != nil {
		t.recordLoad(w.stats, l, now)
	}
	t.confirmHolder(c, w, now)
	if !w.usesCache {
		return
	}
	w.stats.service.meanPrefillTokens = movingAverage(w.stats.service.meanPrefillTokens, w.prefillTokens, meanPart)
	w.stats.latenessMs, w.stats.latenessAt = max(0, first.Seconds()*1e3-w.stats.service.firstEventMs-w.stats.service.msPerToken*w.prefillTokens), now
	if l == nil || l.Waiting == 0 { // waiting for others says nothing about the time of reading
		t.learnFirstEvent(w.stats, w.prefillTokens, first, now)
	}
}

// recordPrefillEnd records that a worker has stopped reading a prompt.
func (t *table) recordPrefillEnd(w *attempt, k attemptKey, now time.Duration) {
	w.stats.pendingPrefills = slices.DeleteFunc(w.stats.pendingPrefills, func(u pendingPrefill) bool { return u.attempt == k })
	if left := w.prefillTime - (now - w.sentAt); left > 0 {
		w.stats.prefillUntil -= left
	}
	w.prefillTime = 0
}

// recordOutcome records an attempt's ending.
func (t *table) recordOutcome(r *Request, c Choice, e Outcome, l *Load, first, now time.Duration) {
	k := attemptKey{r.ID, c.Worker.ID}
	if first > 0 {
		t.recordFirstEvent(r, c, l, first, now)
	}
	w, ok := t.inFlight[k]
	if !ok {
		return
	}
	t.recordPrefillEnd(&w, k, now)
	delete(t.inFlight, k)
	w.stats.inFlight--
	if l != nil && !w.firstEventSeen {
		t.recordLoad(w.stats, l, now)
	}
	t.countOutcome(&w, e, now)
	if w.firstEventSeen || e == Completed {
		t.confirmHolder(c, w, now)
	} else if e != ClientGone && e != TimedOut {
		for _, key := range w.keys {
			if m, ok := t.parts.get(key); ok {
				m.removePresumedHolder(c.Worker.ID)
				if w.store != "" && m.savedAt == w.sentAt {
					m.savedAt = 0
				}
				t.parts.put(key, m)
			}
		}
	}
	switch e {
	case Completed:
		t.recordSuccess(w.stats, now)
		w.stats.service.meanAttemptMs = movingAverage(w.stats.service.meanAttemptMs, (now-w.sentAt).Seconds()*1e3, meanPart)
	case NoFreeSlot:
		w.stats.noFreeSlotUntil = now + t.bounds.Heal(fullPart)
	case NotReady:
		w.stats.notReadyUntil, w.stats.notReadyVersion = now+t.bounds.Heal(loadPart), c.Weights
	case Misdirected:
		w.stats.ejectedUntil = max(w.stats.ejectedUntil, now+t.bounds.Heal(movedPart))
	case Failed:
		t.recordFailure(w.stats, now)
	case TimedOut:
		if first == 0 {
			t.recordFailure(w.stats, now)
		}
	}
}

// confirmHolder records that a worker caches what it was sent: its first event came.
func (t *table) confirmHolder(c Choice, w attempt, now time.Duration) {
	for _, key := range w.keys {
		m, _ := t.parts.get(key)
		m.addHolder(c.Worker.ID, true, now)
		t.parts.put(key, m)
	}
}
