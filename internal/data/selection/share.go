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

// outcomeCounts counts endings, the old ones less and less.
type outcomeCounts struct {
	succeeded, failed float64
	updatedAt         time.Duration
}

func (x *outcomeCounts) add(ok, bad float64, now, over time.Duration) {
	f := decayWeight(now-x.updatedAt, over)
	x.succeeded, x.failed, x.updatedAt = x.succeeded*f+ok, x.failed*f+bad, now
	if x.succeeded < nothing {
		x.succeeded = 0
	}
	if x.failed < nothing {
		x.failed = 0
	}
}

// workerListHash hashes a list of workers, so that reports can refer to workers by their position in it.
func (t *table) workerListHash(ws []fleet.Worker) uint64 {
	if t.layout != nil && len(ws) > 0 && len(t.layout.snapshot.Workers) == len(ws) && &t.layout.snapshot.Workers[0] == &ws[0] {
		return t.layout.workerListHash
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
	d := time.Duration(overdueMultiple * (h.firstEventMs + h.msPerToken*w.prefillTokens + t.backlog(w.stats, now)) * float64(time.Millisecond))
	if r.Route != nil {
		d = max(d, r.Route.LatencyTarget)
	}
	return d
}

// countOutcome counts an ending for or against its worker. A client that disconnected says nothing,
// unless the first event was overdue then; nor does a worker that rejects requests for lack of a slot.
func (t *table) countOutcome(w *attempt, e Outcome, now time.Duration) {
	ok, bad := 0.0, 0.0
	switch {
	case e == Completed:
		ok = 1
	case e == Failed, (e == ClientGone || e == TimedOut) && !w.firstEventSeen && now >= w.firstEventDue:
		bad = 1
	}
	if ok+bad > 0 {
		w.stats.outcomes.add(ok, bad, now, t.bounds.Heal(tallyRatio))
	}
}

// localLoads is the load of this edge machine at the workers now.
func (t *table) localLoads(now time.Duration) *wire.WorkerLoads {
	if t.layout == nil {
		return nil
	}
	late, tokens := map[*workerStats]float64{}, map[*workerStats]float64{}
	for _, w := range t.inFlight {
		if w.firstEventSeen {
			continue
		}
		if tokens[w.stats] += w.prefillTokens; now >= w.firstEventDue {
			late[w.stats]++
		}
	}
	l := &wire.WorkerLoads{WorkerListHash: t.layout.workerListHash}
	for i := range t.layout.snapshot.Workers {
		x := t.workers[t.layout.snapshot.Workers[i].ID]
		if x == nil {
			continue
		}
		x.outcomes.add(0, 0, now, t.bounds.Heal(tallyRatio))
		ok, bad := uint32(math.Round(x.outcomes.succeeded*eighth)), uint32(math.Round((x.outcomes.failed+late[x])*eighth))
		unread := uint32(tokens[x] / tokenUnit)
		if x.inFlight <= 0 && unread == 0 && ok == 0 && bad == 0 {
			continue
		}
		l.WorkerIndexes, l.InFlight, l.PendingPrefill = append(l.WorkerIndexes, uint32(i)), append(l.InFlight, uint32(max(0, x.inFlight))), append(l.PendingPrefill, unread)
		l.Successes, l.Failures = append(l.Successes, ok), append(l.Failures, bad)
	}
	return l
}

// applyOthersLoads applies the loads of the other edge machines.
func (t *table) applyOthersLoads(l *wire.WorkerLoads, now time.Duration) {
	n := len(l.WorkerIndexes)
	if t.layout == nil || l.WorkerListHash != t.layout.workerListHash || l.Reporters == 0 || len(l.InFlight) != n || len(l.PendingPrefill) != n || len(l.Successes) != n || len(l.Failures) != n {
		return
	}
	row := make(map[uint32]int, n)
	for i, at := range l.WorkerIndexes {
		row[at] = i
	}
	for _, g := range t.layout.groups {
		sum, ok, bad := 0.0, 0.0, 0.0
		for i := range g.candidates {
			x := g.candidates[i].stats
			x.othersLoad, x.othersPendingTokens, x.othersSucceeded, x.othersFailed = 0, 0, 0, 0
			if j, has := row[g.candidates[i].index]; has {
				x.othersLoad, x.othersPendingTokens = float64(l.InFlight[j]), float64(l.PendingPrefill[j])*tokenUnit
				x.othersSucceeded, x.othersFailed = float64(l.Successes[j])/eighth, float64(l.Failures[j])/eighth
			}
			x.reportedAt, x.reported = now, true
			x.outcomes.add(0, 0, now, t.bounds.Heal(tallyRatio))
			sum, ok, bad = sum+x.othersLoad, ok+x.othersSucceeded+x.outcomes.succeeded, bad+x.othersFailed+x.outcomes.failed
		}
		if len(g.candidates) > 0 {
			h := g.candidates[0].stats.service
			h.reportsLoad, h.meanOthersLoad = true, sum/float64(len(g.candidates))
		}
		for i := range g.candidates {
			t.ejectIfSuspect(g.candidates[i].stats, ok, bad, now)
		}
	}
}

// ejectIfSuspect avoids a worker that fails far more often than the others of its service, by the reports of
// all edge machines, for as long as that holds and a little longer.
func (t *table) ejectIfSuspect(x *workerStats, ok, bad float64, now time.Duration) {
	b, o := x.othersFailed+x.outcomes.failed, x.othersSucceeded+x.outcomes.succeeded
	if b < minFailures {
		return
	}
	rest := 0.0
	if n := ok + bad - b - o; n > 0 {
		rest = max(0, bad-b) / n
	}
	if share := b / (b + o); share > max(minFailureShare, failureMultiple*rest) {
		x.failureRatio = max(x.failureRatio, share)
		x.ejectionTime = max(x.ejectionTime, t.bounds.Heal(suspectRatio))
		x.ejectedUntil = max(x.ejectedUntil, now+t.bounds.Heal(suspectRatio))
	}
}

func (p *selector) loads() (l *wire.WorkerLoads) {
	p.actor.Ask(func(t *table) { l = t.localLoads(p.clock.Now()) })
	return l
}

func (p *selector) receiveLoads(l *wire.WorkerLoads) {
	p.actor.TrySend(func(t *table) { t.applyOthersLoads(l, p.clock.Now()) })
}
