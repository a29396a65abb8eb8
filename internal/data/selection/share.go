package selection

import (
	"hash/fnv"
	"math"
	"time"

	"pebbleloom/internal/fleet"
	"pebbleloom/internal/wire"
)

// What edges tell each other of workers by way of the index, as ratios.
const (
	tallyPart = 0.1 // of the heal bound: how fast endings are forgotten
	leastBad  = 1.5 // bad endings lately, of all edges, that make a worker suspect
	badShare  = 0.2 // and their share of its endings,
	badTimes  = 3.0 // as a multiple of what the service's other workers have
	heldPart  = 1.0 / 48
	dueTimes  = 4.0 // what a first piece was expected to take: it is overdue then, but not within the target
	unit      = 64  // tokens
	eighth    = 8
)

// tally counts endings, the old ones less and less.
type tally struct {
	ok, bad float64
	at      time.Duration
}

func (x *tally) add(ok, bad float64, now, over time.Duration) {
	f := fade(now-x.at, over)
	x.ok, x.bad, x.at = x.ok*f+ok, x.bad*f+bad, now
	if x.ok < nothing {
		x.ok = 0
	}
	if x.bad < nothing {
		x.bad = 0
	}
}

// listOf numbers a list of workers, so that the same rows can be told by their places.
func (t *table) listOf(ws []fleet.Worker) uint64 {
	if t.v != nil && len(ws) > 0 && len(t.v.snap.Workers) == len(ws) && &t.v.snap.Workers[0] == &ws[0] {
		return t.v.list
	}
	h := fnv.New64a()
	for i := range ws {
		_, _ = h.Write([]byte(ws[i].ID))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// patience is how long an attempt's first piece may take before it counts as overdue.
func (t *table) patience(w *promise, r *Request, now time.Duration) time.Duration {
	h := w.st.h
	d := time.Duration(dueTimes * (h.a + h.b*w.read + t.backlog(w.st, now)) * float64(time.Millisecond))
	if r.Route != nil {
		d = max(d, r.Route.Target)
	}
	return d
}

// judge counts an ending for or against its worker. A downstream that left says nothing, unless
// the first piece was overdue then; nor does a worker that turns away what it has no place for.
func (t *table) judge(w *promise, e Ending, now time.Duration) {
	ok, bad := 0.0, 0.0
	switch {
	case e == Served:
		ok = 1
	case e == Unfit, (e == Left || e == Unsure) && !w.begun && now >= w.due:
		bad = 1
	}
	if ok+bad > 0 {
		w.st.tally.add(ok, bad, now, t.b.Heal(tallyPart))
	}
}

// word is what this edge has at workers now.
func (t *table) word(now time.Duration) *wire.Loads {
	if t.v == nil {
		return nil
	}
	late, tokens := map[*stat]float64{}, map[*stat]float64{}
	for _, w := range t.sent {
		if w.begun {
			continue
		}
		if tokens[w.st] += w.read; now >= w.due {
			late[w.st]++
		}
	}
	l := &wire.Loads{List: t.v.list}
	for i := range t.v.snap.Workers {
		x := t.stats[t.v.snap.Workers[i].ID]
		if x == nil {
			continue
		}
		x.tally.add(0, 0, now, t.b.Heal(tallyPart))
		ok, bad := uint32(math.Round(x.tally.ok*eighth)), uint32(math.Round((x.tally.bad+late[x])*eighth))
		unread := uint32(tokens[x] / unit)
		if x.under <= 0 && unread == 0 && ok == 0 && bad == 0 {
			continue
		}
		l.At, l.Active, l.Unread = append(l.At, uint32(i)), append(l.Active, uint32(max(0, x.under))), append(l.Unread, unread)
		l.Ok, l.Bad = append(l.Ok, ok), append(l.Bad, bad)
	}
	return l
}

// hear takes what the other edges have at workers.
func (t *table) hear(l *wire.Loads, now time.Duration) {
	n := len(l.At)
	if t.v == nil || l.List != t.v.list || l.Tellers == 0 || len(l.Active) != n || len(l.Unread) != n || len(l.Ok) != n || len(l.Bad) != n {
		return
	}
	row := make(map[uint32]int, n)
	for i, at := range l.At {
		row[at] = i
	}
	for _, g := range t.v.groups {
		sum, ok, bad := 0.0, 0.0, 0.0
		for i := range g.seats {
			x := g.seats[i].st
			x.head, x.headUnread, x.othersOK, x.othersBad = 0, 0, 0, 0
			if j, has := row[g.seats[i].index]; has {
				x.head, x.headUnread = float64(l.Active[j]), float64(l.Unread[j])*unit
				x.othersOK, x.othersBad = float64(l.Ok[j])/eighth, float64(l.Bad[j])/eighth
			}
			x.headAt, x.spoke = now, true
			x.tally.add(0, 0, now, t.b.Heal(tallyPart))
			sum, ok, bad = sum+x.head, ok+x.othersOK+x.tally.ok, bad+x.othersBad+x.tally.bad
		}
		if len(g.seats) > 0 {
			h := g.seats[0].st.h
			h.told, h.mean = true, sum/float64(len(g.seats))
		}
		for i := range g.seats {
			t.suspect(g.seats[i].st, ok, bad, now)
		}
	}
}

// suspect leaves out a worker that fails far more than the others of its service do, by what all
// edges saw, for as long as that is so and a little longer.
func (t *table) suspect(x *stat, ok, bad float64, now time.Duration) {
	b, o := x.othersBad+x.tally.bad, x.othersOK+x.tally.ok
	if b < leastBad {
		return
	}
	rest := 0.0
	if n := ok + bad - b - o; n > 0 {
		rest = max(0, bad-b) / n
	}
	if share := b / (b + o); share > max(badShare, badTimes*rest) {
		x.bad = max(x.bad, share)
		x.outFor = max(x.outFor, t.b.Heal(heldPart))
		x.outUntil = max(x.outUntil, now+t.b.Heal(heldPart))
	}
}

func (p *picker) loads() (l *wire.Loads) {
	p.desk.Ask(func(t *table) { l = t.word(p.clk.Now()) })
	return l
}

func (p *picker) heard(l *wire.Loads) {
	p.desk.TrySend(func(t *table) { t.hear(l, p.clk.Now()) })
}
