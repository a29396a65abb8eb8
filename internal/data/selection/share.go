package selection

import (
	"hash/fnv"
	"math"
	"time"

	"pebbleloom/internal/fleet"
	"pebbleloom/internal/wire"
)

// Ratios of the load reports that edge machines share through the index.
const (
	tallyRatio      = 0.1 // of the heal bound: how fast endings decay
	minFailures     = 1.5 // recent failures, of all edge machines, that make a worker suspect
	minFailureShare = 0.2 // and their share of its endings,
	failureMultiple = 3.0 // as a multiple of that of the service's other workers
	suspectRatio    = 1.0 / 48
	overdueMultiple = 4.0 // of the expected time of a first event: it is overdue then, but not within the target
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

// listOf hashes a list of workers, so that reports can refer to workers by their position in it.
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

// firstEventTimeout is how long an attempt's first event may take before it counts as overdue.
func (t *table) firstEventTimeout(w *attempt, r *Request, now time.Duration) time.Duration {
	h := w.stats.service
	d := time.Duration(overdueMultiple * (h.a + h.b*w.read + t.backlog(w.stats, now)) * float64(time.Millisecond))
	if r.Route != nil {
		d = max(d, r.Route.Target)
	}
	return d
}

// judgeEnding counts an ending for or against its worker. A client that disconnected says nothing,
// unless the first event was overdue then; nor does a worker that rejects requests for lack of a slot.
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

// localLoads is the load of this edge machine at the workers now.
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

// applyOthersLoads applies the loads of the other edge machines.
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

// suspect avoids a worker that fails far more often than the others of its service, by the reports of
// all edge machines, for as long as that holds and a little longer.
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
