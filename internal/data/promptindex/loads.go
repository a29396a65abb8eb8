package promptindex

import (
	"sort"
	"time"

	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// loadPart of the heal bound is how long an edge machine's word on workers' load counts.
const loadPart = 1.0 / 15

// Loads adds up what edge machines have at workers: each sees a small part of the traffic, and
// none can tell from its own how loaded or how ill a worker is.
type Loads struct {
	b     settings.Bounds
	by    map[string]*word
	since time.Duration // words have come without a break
	heard time.Duration // the last one
}

// word is the last one of an edge machine.
type word struct {
	l  *wire.Loads
	at time.Duration
}

// NewLoads begins with nobody's word.
//
// Example: l := catalogue.NewLoads(bounds)
func NewLoads(b settings.Bounds) *Loads { return &Loads{b: b, by: map[string]*word{}} }

// Hear takes an edge machine's word in place of its last one. Words with arrays of unequal length
// are none.
//
// Example: l.Hear("edge/edge-1", ask.Loads, now)
func (l *Loads) Hear(teller string, w *wire.Loads, now time.Duration) {
	if n := len(w.GetAt()); w == nil || len(w.Active) != n || len(w.Unread) != n || len(w.Ok) != n || len(w.Bad) != n {
		return
	}
	if l.by[teller] == nil && len(l.by) >= maxTellers {
		for n, x := range l.by {
			if now-x.at > l.b.Heal(loadPart) {
				delete(l.by, n)
			}
		}
		if len(l.by) >= maxTellers {
			return
		}
	}
	if len(l.by) == 0 || now-l.heard > l.b.Heal(loadPart) {
		l.since = now
	}
	l.heard = now
	l.by[teller] = &word{w, now}
}

// Others adds up what all but one edge machine told lately, of the same list of workers. While not
// all of them can have told yet, it tells of nobody: half of the load is worse than none.
//
// Example: tell.Loads = l.Others("edge/edge-1", ask.Loads.List, now)
func (l *Loads) Others(teller string, list uint64, now time.Duration) *wire.Loads {
	type row struct{ active, unread, ok, bad uint32 }
	sum := map[uint32]*row{}
	t := &wire.Loads{List: list}
	if now-l.since < l.b.Heal(loadPart) {
		return t
	}
	for name, x := range l.by {
		if name == teller || x.l.List != list || now-x.at > l.b.Heal(loadPart) {
			continue
		}
		t.Tellers++
		for i, at := range x.l.At {
			r := sum[at]
			if r == nil {
				r = &row{}
				sum[at] = r
				t.At = append(t.At, at)
			}
			r.active += x.l.Active[i]
			r.unread += x.l.Unread[i]
			r.ok += x.l.Ok[i]
			r.bad += x.l.Bad[i]
		}
	}
	sort.Slice(t.At, func(i, j int) bool { return t.At[i] < t.At[j] })
	for _, at := range t.At {
		r := sum[at]
		t.Active, t.Unread = append(t.Active, r.active), append(t.Unread, r.unread)
		t.Ok, t.Bad = append(t.Ok, r.ok), append(t.Bad, r.bad)
	}
	return t
}
