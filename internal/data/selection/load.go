package selection

import (
	"math"
	"time"

	"pebbleloom/internal/settings"
)

// habit is what this edge knows of a service's workers together.
type habit struct {
	pace   pace
	a, b   float64 // ms to a first piece, and for each token read
	a0, b0 float64 // believed before any came
	tokens float64 // read for a request, lately
	span   float64 // ms of an attempt, lately
	told   bool    // the workers tell their load
	mean   float64 // of what others have at a worker
}

func newHabit(b settings.Bounds) *habit {
	h := &habit{a0: b.Heal(basePart).Seconds() * 1e3, b0: b.Heal(tokenPart).Seconds() * 1e3}
	h.a, h.b, h.span = h.a0, h.b0, 10*h.a0
	for range belief {
		for _, n := range []float64{0, believedTokens} {
			h.pace.add(n, h.a0+h.b0*n, 1)
		}
	}
	return h
}

// stat is what this edge knows of one worker.
type stat struct {
	h                   *habit        // of its service
	under               int           // attempts of this edge under way
	busy                time.Duration // until then it reads prompts of this edge
	head                float64       // what others had under way and waiting there, by its last word
	headUnread          float64       // tokens that it had to read for them still
	headAt              time.Duration
	spoke               bool
	tally               tally   // how attempts of this edge ended there
	othersOK, othersBad float64 // and of the others
	slow                float64 // its first pieces against the others', as a logarithm; 0: as fast
	slowAt              time.Duration
	bad                 float64 // share of bad endings, the last ones first
	strikes             int
	outUntil            time.Duration // its attempts broke: avoided
	outFor              time.Duration
	full                time.Duration // until then: it had no place
	loading             time.Duration // until then: it turned requests away for other weights
	loadingV            uint64        // the version that its row told then
	late                float64       // ms by which its last first piece was
	lateAt              time.Duration
	unread              []unread      // this edge's attempts there whose first piece hasn't come
	moves               time.Duration // until then its link is taken, as far as this edge knows
}

// unread is an attempt whose first piece hasn't come.
type unread struct {
	k    ticket
	at   time.Duration
	want float64 // ms until it, if nothing waited
}

// fade is how much a word of age d still says: about e to the power of -d, for less work.
func fade(d, over time.Duration) float64 {
	x := float64(d) / float64(over)
	if x > 8 {
		return 0
	}
	return 1 / (1 + x*(1+x*(0.5+x/6)))
}

// towards moves a mean to a new value. It never gets so small that the processor is slow at it.
func towards(mean, v, part float64) float64 {
	if mean += part * (v - mean); math.Abs(mean) < nothing {
		return 0
	}
	return mean
}

// load is about how many requests a worker has, waiting ones included: its last word of what
// others sent it, that fades into the mean of all, and this edge's own. Where workers tell no
// load, the own ones stand for those of the other edges too.
func (t *table) load(x *stat, edges int, now time.Duration) float64 {
	if !x.h.told {
		return float64(x.under * edges)
	}
	a := 0.0
	if x.spoke {
		a = fade(now-x.headAt, t.b.Heal(fadePart))
	}
	return a*x.head + (1-a)*x.h.mean + float64(x.under)
}

// heard takes a worker's word of its load.
func (t *table) heard(x *stat, l *Load, now time.Duration) {
	x.head = max(0, float64(l.Running+l.Waiting-x.under))
	x.headUnread = max(0, min(float64(l.Waiting), x.head)) * x.h.tokens
	x.headAt, x.spoke = now, true
	if !x.h.told {
		x.h.told, x.h.mean = true, x.head
	}
	x.h.mean = towards(x.h.mean, x.head, meanPart)
}

// pace is what first pieces have shown: milliseconds from a prompt's sending to its first piece,
// a + b for each token read. Older ones count less; a belief stands for some samples.
type pace struct{ n, x, y, xx, xy float64 }

func (p *pace) add(x, y, keep float64) {
	p.n, p.x, p.y, p.xx, p.xy = p.n*keep+1, p.x*keep+x, p.y*keep+y, p.xx*keep+x*x, p.xy*keep+x*y
}

// line fits it, within what is believable.
func (p *pace) line(a0, b0 float64) (a, b float64) {
	a, b = a0, b0
	if d := p.n*p.xx - p.x*p.x; d > 0 && p.n > 0 {
		b = min(max((p.n*p.xy-p.x*p.y)/d, b0/believe), b0*believe)
		a = min(max((p.y-b*p.x)/p.n, a0/believe), a0*believe)
	}
	return a, b
}

// learn takes a first piece's time.
func (t *table) learn(x *stat, tokens float64, first, now time.Duration) {
	ms := first.Seconds() * 1e3
	h := x.h
	if want := h.a + h.b*tokens; want > 0 {
		f := min(max(ms/want, 1/believe), believe)
		old := x.slow * fade(now-x.slowAt, t.b.Heal(forgetPart))
		if x.slow, x.slowAt = old+slowPart*(math.Log(f)-old), now; math.Abs(x.slow) < alike {
			x.slow = 0
		}
	}
	h.pace.add(tokens, min(ms, (h.a+h.b*tokens)*believe), keepPart)
	h.a, h.b = h.pace.line(h.a0, h.b0)
}

// slowness is a worker's first pieces against the others'; what is old is forgotten.
func (t *table) slowness(x *stat, now time.Duration) float64 {
	if x.slow == 0 {
		return 1
	}
	return math.Exp(x.slow * fade(now-x.slowAt, t.b.Heal(forgetPart)))
}

// strike notes a bad ending: the worker is avoided for a while that doubles with repeats and
// grows with its share of bad endings.
func (t *table) strike(x *stat, now time.Duration) {
	x.bad = towards(x.bad, 1, badPart)
	d := float64(t.b.Heal(outPart)) * math.Exp2(float64(min(x.strikes, 8))) * (1 + 2*x.bad)
	x.strikes++
	x.outFor = time.Duration(min(d, float64(t.b.Heal(outMost))))
	x.outUntil = max(x.outUntil, now+x.outFor)
}

// fine notes a good one: its strikes are taken back one by one, once it isn't avoided any more.
func (t *table) fine(x *stat, now time.Duration) {
	x.bad = towards(x.bad, 0, badPart)
	if now >= x.outUntil && x.strikes > 0 {
		x.strikes--
	}
}

// back is how far a worker is from being trusted again after it was avoided, 1 to 0.
func (x *stat) back(now time.Duration) float64 {
	if x.outFor <= 0 || now >= x.outUntil+x.outFor {
		return 0
	}
	return min(1, float64(x.outUntil+x.outFor-now)/float64(x.outFor)) * x.bad
}
