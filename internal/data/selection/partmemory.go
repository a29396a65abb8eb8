package selection

import (
	"slices"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/fleet"
)

// partMemory is what this edge machine itself knows of a part.
type partMemory struct {
	holders [holders]recentHolder // the latest first
	by      string                // the request that used it last
	again   bool                  // another request used it before
	saved   time.Duration         // when it was saved in a store; 0: never
	store   string
}

const holders = 3

type recentHolder struct {
	id   string
	at   time.Duration
	sure bool // its first event came
}

func (m *partMemory) hold(id string, sure bool, now time.Duration) {
	at := holders - 1
	for i, h := range m.holders {
		if h.id == id {
			at, sure = i, sure || h.sure
			break
		}
	}
	copy(m.holders[1:at+1], m.holders[:at])
	m.holders[0] = recentHolder{id, now, sure}
}

func (m *partMemory) drop(id string) {
	for i, h := range m.holders {
		if h.id == id && !h.sure {
			copy(m.holders[i:], m.holders[i+1:])
			m.holders[holders-1] = recentHolder{}
			return
		}
	}
}

// lookupKeys lists the keys to look up for a request; none if this edge machine knows enough.
func (t *table) lookupKeys(s *fleet.Snapshot, r *Request, now time.Duration) []prefix.Key {
	g := t.layOut(s).groups[r.Service]
	if g == nil || g.service.Engine == nil || len(r.Parts) == 0 {
		return nil
	}
	model := g.model(r)
	m := g.serve(model)
	var cs []int
	for i, x := range g.candidates {
		if !x.worker.Draining {
			cs = append(cs, i)
		}
	}
	q := &query{table: t, snapshot: s, request: r, group: g, serving: m, model: model, now: now, usable: cs}
	q.draw()
	vs := q.weights()
	var keys []prefix.Key
	for _, v := range vs[:min(2, len(vs))] {
		text := q.text(v)
		ks := make([]prefix.Key, len(r.parts()))
		for i, x := range r.parts() {
			ks[i] = promptindex.KeyOf(text, x.ID)
		}
		if !t.knows(q, v, ks) {
			keys = append(keys, ks...)
		}
	}
	if len(keys) > 0 {
		keys = append(keys, upKeys(g)...)
	}
	return keys
}

// knows reports whether a prompt needs no lookup: it has nothing shared, or this edge machine recently
// saw a worker that caches everything shared.
func (t *table) knows(q *query, v uint64, ks []prefix.Key) bool {
	last, _ := t.parts.get(ks[len(ks)-1])
	d := len(ks) - 2
	if last.by != "" {
		d = len(ks) - 1 // a session's
	}
	if d < 0 {
		return true
	}
	x, ok := t.parts.get(ks[d])
	if !ok {
		return false
	}
	if len(q.group.stores) > 0 && (x.saved == 0 || q.now-x.saved > t.bounds.Heal(savedPart)) {
		return false
	}
	for _, h := range x.holders {
		if i, ok := q.group.index[h.id]; ok && h.sure && q.now-h.at < t.bounds.Heal(freshPart) && q.serving.versions[i] == v && q.now >= q.group.candidates[i].stats.outUntil {
			return true
		}
	}
	return false
}

// send records an attempt in flight and returns what its selection expected.
func (t *table) send(r *Request, c Choice, now time.Duration) attempt {
	k := attemptKey{r.ID, c.Worker.ID}
	w, ok := t.chosen.get(k)
	if _, dup := t.sent[k]; !ok || dup {
		return attempt{}
	}
	t.chosen.drop(k)
	w.at = now
	w.stats.inFlight++
	w.reading = time.Duration(w.read * w.stats.service.b * float64(time.Millisecond))
	w.stats.readingUntil = max(w.stats.readingUntil, now) + w.reading
	if w.from != nil {
		d := time.Duration(w.moved * float64(time.Millisecond))
		w.from.linkBusyUntil = max(w.from.linkBusyUntil, now) + d
		w.stats.linkBusyUntil = max(w.stats.linkBusyUntil, now) + d
	}
	w.due = now + t.firstEventTimeout(&w, r, now)
	t.sent[k] = w
	if w.kept {
		w.stats.unread = append(w.stats.unread, unread{k, now, w.stats.service.a + w.stats.service.b*w.read + w.moved})
	}
	for _, key := range w.keys {
		m, _ := t.parts.get(key)
		m.again = m.again || m.by != "" && m.by != r.ID
		m.by = r.ID
		m.hold(c.Worker.ID, false, now)
		if w.store != "" {
			m.saved, m.store = now, w.store
		}
		t.parts.put(key, m)
	}
	t.forget(now)
	return w
}

// forget drops attempts whose ending was never recorded.
func (t *table) forget(now time.Duration) {
	if now-t.sweep < t.bounds.Heal(memoPart) {
		return
	}
	t.sweep = now
	for k, w := range t.sent {
		if now-w.at > t.bounds.Once(1.0/2) {
			w.stats.inFlight--
			w.stats.unread = slices.DeleteFunc(w.stats.unread, func(u unread) bool { return u.k == k })
			delete(t.sent, k)
		}
	}
}

// begin records an attempt's first event: the prompt is read and cached.
func (t *table) begin(r *Request, c Choice, l *Load, first, now time.Duration) {
	k := attemptKey{r.ID, c.Worker.ID}
	w, ok := t.sent[k]
	if !ok || w.begun {
		return
	}
	w.begun = true
	t.read(&w, k, now)
	t.sent[k] = w
	if l != nil {
		t.recordLoad(w.stats, l, now)
	}
	t.confirm(c, w, now)
	if !w.kept {
		return
	}
	w.stats.service.readTokens = towards(w.stats.service.readTokens, w.read, meanPart)
	w.stats.lateness, w.stats.latenessAt = max(0, first.Seconds()*1e3-w.stats.service.a-w.stats.service.b*w.read), now
	if l == nil || l.Waiting == 0 { // waiting for others says nothing about the time of reading
		t.learn(w.stats, w.read, first, now)
	}
}

// read records that a worker has stopped reading a prompt.
func (t *table) read(w *attempt, k attemptKey, now time.Duration) {
	w.stats.unread = slices.DeleteFunc(w.stats.unread, func(u unread) bool { return u.k == k })
	if left := w.reading - (now - w.at); left > 0 {
		w.stats.readingUntil -= left
	}
	w.reading = 0
}

// done records an attempt's ending.
func (t *table) done(r *Request, c Choice, e Ending, l *Load, first, now time.Duration) {
	k := attemptKey{r.ID, c.Worker.ID}
	if first > 0 {
		t.begin(r, c, l, first, now)
	}
	w, ok := t.sent[k]
	if !ok {
		return
	}
	t.read(&w, k, now)
	delete(t.sent, k)
	w.stats.inFlight--
	if l != nil && !w.begun {
		t.recordLoad(w.stats, l, now)
	}
	t.judgeEnding(&w, e, now)
	if w.begun || e == Served {
		t.confirm(c, w, now)
	} else if e != Left && e != Unsure {
		for _, key := range w.keys {
			if m, ok := t.parts.get(key); ok {
				m.drop(c.Worker.ID)
				if w.store != "" && m.saved == w.at {
					m.saved = 0
				}
				t.parts.put(key, m)
			}
		}
	}
	switch e {
	case Served:
		t.recordSuccess(w.stats, now)
		w.stats.service.attemptMs = towards(w.stats.service.attemptMs, (now-w.at).Seconds()*1e3, meanPart)
	case Full:
		w.stats.fullUntil = now + t.bounds.Heal(fullPart)
	case Loading:
		w.stats.loadingUntil, w.stats.loadingVersion = now+t.bounds.Heal(loadPart), c.Weights
	case Moved:
		w.stats.outUntil = max(w.stats.outUntil, now+t.bounds.Heal(movedPart))
	case Unfit:
		t.recordFailure(w.stats, now)
	case Unsure:
		if first == 0 {
			t.recordFailure(w.stats, now)
		}
	}
}

// confirm records that a worker caches what it was sent: its first event came.
func (t *table) confirm(c Choice, w attempt, now time.Duration) {
	for _, key := range w.keys {
		m, _ := t.parts.get(key)
		m.hold(c.Worker.ID, true, now)
		t.parts.put(key, m)
	}
}
