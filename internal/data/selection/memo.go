package selection

import (
	"slices"
	"time"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/fleet"
)

// memo is what this edge itself knows of a part.
type memo struct {
	holders [holders]holding // the latest first
	by      string           // the request that used it last
	again   bool             // another request used it before
	saved   time.Duration    // handed to a store then; 0: never
	store   string
}

const holders = 3

type holding struct {
	id   string
	at   time.Duration
	sure bool // its first piece came
}

func (m *memo) hold(id string, sure bool, now time.Duration) {
	at := holders - 1
	for i, h := range m.holders {
		if h.id == id {
			at, sure = i, sure || h.sure
			break
		}
	}
	copy(m.holders[1:at+1], m.holders[:at])
	m.holders[0] = holding{id, now, sure}
}

func (m *memo) drop(id string) {
	for i, h := range m.holders {
		if h.id == id && !h.sure {
			copy(m.holders[i:], m.holders[i+1:])
			m.holders[holders-1] = holding{}
			return
		}
	}
}

// ask lists what to look up for a request; nothing where this edge knows enough.
func (t *table) ask(s *fleet.Snapshot, r *Request, now time.Duration) []prefix.Key {
	g := t.lay(s).groups[r.Service]
	if g == nil || g.svc.Engine == nil || len(r.Parts) == 0 {
		return nil
	}
	model := g.model(r)
	m := g.serve(model)
	var cs []int
	for i, x := range g.seats {
		if !x.w.Draining {
			cs = append(cs, i)
		}
	}
	q := &query{t: t, s: s, r: r, g: g, m: m, model: model, now: now, cs: cs}
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

// knows tells whether this edge needs no index for a prompt: it has nothing shared, or this edge
// saw a worker lately that keeps all that is.
func (t *table) knows(q *query, v uint64, ks []prefix.Key) bool {
	last, _ := t.memo.get(ks[len(ks)-1])
	d := len(ks) - 2
	if last.by != "" {
		d = len(ks) - 1 // a session's
	}
	if d < 0 {
		return true
	}
	x, ok := t.memo.get(ks[d])
	if !ok {
		return false
	}
	if len(q.g.stores) > 0 && (x.saved == 0 || q.now-x.saved > t.b.Heal(savedPart)) {
		return false
	}
	for _, h := range x.holders {
		if i, ok := q.g.at[h.id]; ok && h.sure && q.now-h.at < t.b.Heal(freshPart) && q.m.by[i] == v && q.now >= q.g.seats[i].st.outUntil {
			return true
		}
	}
	return false
}

// send notes an attempt under way and gives what it was picked by.
func (t *table) send(r *Request, c Choice, now time.Duration) promise {
	k := ticket{r.ID, c.Worker.ID}
	w, ok := t.plans.get(k)
	if _, dup := t.sent[k]; !ok || dup {
		return promise{}
	}
	t.plans.drop(k)
	w.at = now
	w.st.under++
	w.reading = time.Duration(w.read * w.st.h.b * float64(time.Millisecond))
	w.st.busy = max(w.st.busy, now) + w.reading
	if w.from != nil {
		d := time.Duration(w.moved * float64(time.Millisecond))
		w.from.moves = max(w.from.moves, now) + d
		w.st.moves = max(w.st.moves, now) + d
	}
	w.due = now + t.patience(&w, r, now)
	t.sent[k] = w
	if w.kept {
		w.st.unread = append(w.st.unread, unread{k, now, w.st.h.a + w.st.h.b*w.read + w.moved})
	}
	for _, key := range w.keys {
		m, _ := t.memo.get(key)
		m.again = m.again || m.by != "" && m.by != r.ID
		m.by = r.ID
		m.hold(c.Worker.ID, false, now)
		if w.store != "" {
			m.saved, m.store = now, w.store
		}
		t.memo.put(key, m)
	}
	t.forget(now)
	return w
}

// forget drops attempts whose endings nobody told.
func (t *table) forget(now time.Duration) {
	if now-t.sweep < t.b.Heal(memoPart) {
		return
	}
	t.sweep = now
	for k, w := range t.sent {
		if now-w.at > t.b.Once(1.0/2) {
			w.st.under--
			w.st.unread = slices.DeleteFunc(w.st.unread, func(u unread) bool { return u.k == k })
			delete(t.sent, k)
		}
	}
}

// begin takes an attempt's first piece: the prompt is read and kept.
func (t *table) begin(r *Request, c Choice, l *Load, first, now time.Duration) {
	k := ticket{r.ID, c.Worker.ID}
	w, ok := t.sent[k]
	if !ok || w.begun {
		return
	}
	w.begun = true
	t.read(&w, k, now)
	t.sent[k] = w
	if l != nil {
		t.heard(w.st, l, now)
	}
	t.confirm(c, w, now)
	if !w.kept {
		return
	}
	w.st.h.tokens = towards(w.st.h.tokens, w.read, meanPart)
	w.st.late, w.st.lateAt = max(0, first.Seconds()*1e3-w.st.h.a-w.st.h.b*w.read), now
	if l == nil || l.Waiting == 0 { // what waited for others tells nothing of reading
		t.learn(w.st, w.read, first, now)
	}
}

// read notes that a worker reads no more of a prompt.
func (t *table) read(w *promise, k ticket, now time.Duration) {
	w.st.unread = slices.DeleteFunc(w.st.unread, func(u unread) bool { return u.k == k })
	if left := w.reading - (now - w.at); left > 0 {
		w.st.busy -= left
	}
	w.reading = 0
}

// done takes an attempt's ending.
func (t *table) done(r *Request, c Choice, e Ending, l *Load, first, now time.Duration) {
	k := ticket{r.ID, c.Worker.ID}
	if first > 0 {
		t.begin(r, c, l, first, now)
	}
	w, ok := t.sent[k]
	if !ok {
		return
	}
	t.read(&w, k, now)
	delete(t.sent, k)
	w.st.under--
	if l != nil && !w.begun {
		t.heard(w.st, l, now)
	}
	t.judge(&w, e, now)
	if w.begun || e == Served {
		t.confirm(c, w, now)
	} else if e != Left && e != Unsure {
		for _, key := range w.keys {
			if m, ok := t.memo.get(key); ok {
				m.drop(c.Worker.ID)
				if w.store != "" && m.saved == w.at {
					m.saved = 0
				}
				t.memo.put(key, m)
			}
		}
	}
	switch e {
	case Served:
		t.fine(w.st, now)
		w.st.h.span = towards(w.st.h.span, (now-w.at).Seconds()*1e3, meanPart)
	case Full:
		w.st.full = now + t.b.Heal(fullPart)
	case Loading:
		w.st.loading, w.st.loadingV = now+t.b.Heal(loadPart), c.Weights
	case Moved:
		w.st.outUntil = max(w.st.outUntil, now+t.b.Heal(movedPart))
	case Unfit:
		t.strike(w.st, now)
	case Unsure:
		if first == 0 {
			t.strike(w.st, now)
		}
	}
}

// confirm notes that a worker keeps what it was sent: its first piece came.
func (t *table) confirm(c Choice, w promise, now time.Duration) {
	for _, key := range w.keys {
		m, _ := t.memo.get(key)
		m.hold(c.Worker.ID, true, now)
		t.memo.put(key, m)
	}
}
