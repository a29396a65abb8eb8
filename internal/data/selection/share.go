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
	tallyRatio      = 0.1 // of the heal bound: how fast endings are forgotten
	minFailures     = 1.5 // bad endings lately, of all edges, that make a worker suspect
	minFailureShare = 0.2 // and their share of its endings,
	failureMultiple = 3.0 // as a multiple of what the service's other workers have
	suspectRatio    = 1.0 / 48
	overdueMultiple = 4.0 // what a first piece was expected to take: it is overdue then, but not within the target
	tokenUnit       = 64  // tokens
	eighth          = 8
)

// tally counts endings, the old ones less and less.
type tally struct {
	ok, failed float64
	at         time.Duration
}

func (x *tally) add(ok, bad float64, now, over time.Duration) {
	f := fade(now-x.at, over)
	x.ok, x.failed, x.at = x.ok*f+ok, x.failed*f+bad, now
	if x.ok < nothing {
		x.ok = 0
	}
	if x.failed < nothing {
		x.failed = 0
	}
}

// listOf numbers a list of workers, so that the same rows can be told by their places.
func (t *table) listOf(ws []fleet.Worker) uint64 {
	if t.view != nil && len(ws) > 0 && len(t.view.snapshot.Workers) == len(ws) && &t.view.snapshot.Workers[0] == &ws[0] {
		return t.view.list
	}
	h := fnv.New64a()
	for i := range ws {
		_, _ = h.Write([]byte(ws[i].ID))
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// patience is how long an attempt's first piece may take before it counts as overdue.
func (t *table) firstEventTimeout(w *attempt, r *Request, now time.Duration) time.Duration {
	h := w.stats.service
	d := time.Duration(overdueMultiple * (h.a + h.b*w.read + t.backlog(w.stats, now)) * float64(time.Millisecond))
	if r.Route != nil {
		d = max(d, r.Route.Target)
	}
	return d
}

// judge counts an ending for or against its worker. A downstream that left says nothing, unless
// the first piece was overdue then; nor does a worker that turns away what it has no place for.
func (t *table) judgeEnding(w *attempt, e Ending, now time.Duration) {
	ok, bad := 0.0, 0.0
	switch {
	case e == Served:
		ok = 1
	case e == Unfit, (e == Left || e == Unsure) && !w.begun && now >= w.due:
		bad = 1
	}
	if ok+bad > 0 {
		w.stats.tally.add(ok, bad, now, t.bounds.Heal(tallyRatio))
	}
}

// word is what this edge has at workers now.
func (t *table) localLoads(now time.Duration) *wire.Loads {
	if t.view == nil {
		return nil
	}
	late, tokens := map[*workerStats]float64{}, map[*workerStats]float64{}
	for _, w := range t.sent {
		if w.begun {
			continue
		}
		if tokens[w.stats] += w.read; now >= w.due {
			late[w.stats]++
		}
	}
	l := &wire.Loads{List: t.view.list}
	for i := range t.view.snapshot.Workers {
		x := t.workers[t.view.snapshot.Workers[i].ID]
		if x == nil {
			continue
		}
		x.tally.add(0, 0, now, t.bounds.Heal(tallyRatio))
		ok, bad := uint32(math.Round(x.tally.ok*eighth)), uint32(math.Round((x.tally.failed+late[x])*eighth))
		unread := uint32(tokens[x] / tokenUnit)
		if x.inFlight <= 0 && unread == 0 && ok == 0 && bad == 0 {
			continue
		}
		l.At, l.Active, l.Unread = append(l.At, uint32(i)), append(l.Active, uint32(max(0, x.inFlight))), append(l.Unread, unread)
		l.Ok, l.Bad = append(l.Ok, ok), append(l.Bad, bad)
	}
	return l
}

// hear takes what the other edges have at workers.
func (t *table) applyOthersLoads(l *wire.Loads, now time.Duration) {
	n := len(l.At)
	if t.view == nil || l.List != t.view.list || l.Tellers == 0 || len(l.Active) != n || len(l.Unread) != n || len(l.Ok) != n || len(l.Bad) != n {
		return
	}
	row := make(map[uint32]int, n)
	for i, at := range l.At {
		row[at] = i
	}
	for _, g := range t.view.groups {
		sum, ok, bad := 0.0, 0.0, 0.0
		for i := range g.candidates {
			x := g.candidates[i].stats
			x.othersLoad, x.othersUnread, x.othersOK, x.othersBad = 0, 0, 0, 0
			if j, has := row[g.candidates[i].index]; has {
				x.othersLoad, x.othersUnread = float64(l.Active[j]), float64(l.Unread[j])*tokenUnit
				x.othersOK, x.othersBad = float64(l.Ok[j])/eighth, float64(l.Bad[j])/eighth
			}
			x.reportedAt, x.reported = now, true
			x.tally.add(0, 0, now, t.bounds.Heal(tallyRatio))
			sum, ok, bad = sum+x.othersLoad, ok+x.othersOK+x.tally.ok, bad+x.othersBad+x.tally.failed
		}
		if len(g.candidates) > 0 {
			h := g.candidates[0].stats.service
			h.reportsLoad, h.meanOthersLoad = true, sum/float64(len(g.candidates))
		}
		for i := range g.candidates {
			t.suspect(g.candidates[i].stats, ok, bad, now)
		}
	}
}

// suspect leaves out a worker that fails far more than the others of its service do, by what all
// edges saw, for as long as that is so and a little longer.
func (t *table) suspect(x *workerStats, ok, bad float64, now time.Duration) {
	b, o := x.othersBad+x.tally.failed, x.othersOK+x.tally.ok
	if b < minFailures {
		return
	}
	rest := 0.0
	if n := ok + bad - b - o; n > 0 {
		rest = max(0, bad-b) / n
	}
	if share := b / (b + o); share > max(minFailureShare, failureMultiple*rest) {
		x.failureShare = max(x.failureShare, share)
		x.outFor = max(x.outFor, t.bounds.Heal(suspectRatio))
		x.outUntil = max(x.outUntil, now+t.bounds.Heal(suspectRatio))
	}
}

func (p *selector) loads() (l *wire.Loads) {
	p.actor.Ask(func(t *table) { l = t.localLoads(p.clock.Now()) })
	return l
}

func (p *selector) receiveLoads(l *wire.Loads) {
	p.actor.TrySend(func(t *table) { t.applyOthersLoads(l, p.clock.Now()) })
}
