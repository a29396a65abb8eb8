package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strings"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/sim/loadgen"
	"pebbleloom/internal/sim/workersim"
)

// settle checks a finished run against what must never happen.
func (p *play) settle(ctx context.Context, book *loadgen.Book, closed int64, heal int) error {
	js, err := p.f.Journals()
	if err != nil {
		return errs.Wrap(err, "journals")
	}
	p.rep.Sum = book.Settle(js, true)
	for _, f := range p.rep.Sum.Faults {
		p.fault("%s", f)
	}
	p.shares(book, closed, int64(heal))
	p.keys(book, js)
	p.workers(js)
	p.extra(book, js)
	orders, err := p.f.Orders()
	if err != nil {
		return errs.Wrap(err, "orders")
	}
	for _, f := range append(commands(orders), p.retired(js, orders)...) {
		p.fault("%s", f)
	}
	if p.sc.ReadAll {
		p.readAll(ctx)
	}
	p.placed(ctx)
	p.judge()
	sort.Strings(p.rep.Faults)
	return nil
}

// placed notes the placement that is in force in the end.
func (p *play) placed(ctx context.Context) {
	_, said := p.f.Get(ctx, p.f.Site.Operators[0], "/v1/placements/"+p.f.Site.Traffic.Model+"-main")
	var s struct {
		Placement struct {
			RMax       float64  `json:"r_max"`
			Replicated []string `json:"replicated"`
		} `json:"placement"`
	}
	if json.Unmarshal([]byte(said), &s) == nil { // else nobody can say, which other checks look at
		p.rep.RMax, p.rep.Copied = s.Placement.RMax, len(s.Placement.Replicated)
	}
}

// tally adds up how many prompt tokens were found kept.
type tally struct{ hit, all int }

func (t *tally) add(o loadgen.Outcome) {
	t.hit += o.Last.CachedTokens
	t.all += o.Last.CachedTokens + o.Last.FetchedTokens + o.Last.PrefilledTokens
}

func (t *tally) share() float64 { return float64(t.hit) / float64(max(1, t.all)) }

// shares: service is back within the bound, and only allowed denials occur.
func (p *play) shares(book *loadgen.Book, closed, heal int64) {
	n, ok, dn, dok := 0, 0, 0, 0
	var before, during, after tally
	first := closed
	for _, x := range p.sc.Steps {
		if x.Do != "patch" {
			first = min(first, p.began+int64(x.At))
		}
	}
	for _, o := range book.All() {
		switch {
		case o.SentMs < first:
			before.add(o)
		case o.SentMs < closed+heal: // trouble and what it takes to get over it
			during.add(o)
		default:
			after.add(o)
		}
		if _, gone := p.revoked[o.Request.Key]; gone {
			continue
		}
		if o.SentMs >= closed+heal {
			if n++; o.Sealed {
				ok++
			}
		} else if dn++; o.Sealed {
			dok++
		}
		if o.Denied == "" {
			continue
		}
		allowed := len(p.sc.Kinds) == 0
		for _, k := range p.sc.Kinds {
			allowed = allowed || k == o.Denied
		}
		if !allowed || strings.HasPrefix(o.Denied, "untyped") {
			p.fault("%s: rejected as %s", o.Request.ID, o.Denied)
		}
	}
	p.rep.Hits = [3]float64{before.share(), during.share(), after.share()}
	if n > 0 {
		p.rep.Healed = float64(ok) / float64(n)
	}
	if dn > 0 {
		p.rep.During = float64(dok) / float64(dn)
	}
	if p.rep.Healed < 0.97 {
		p.fault("service is not back: %.3f of %d requests sealed from %d ms after the last step on", p.rep.Healed, n, heal)
	}
	if all := float64(p.rep.Sum.Sealed) / float64(max(1, p.rep.Sum.Requests)); all < p.sc.Least {
		p.fault("only %.3f of all requests sealed, at least %.3f are due", all, p.sc.Least)
	}
}

// keys: a revoked key works no longer than its bound, by when its requests were sent and by when
// workers began them.
func (p *play) keys(book *loadgen.Book, js map[string][]workersim.Run) {
	gone := map[string]int64{} // request -> when its key was revoked
	for _, o := range book.All() {
		if at, ok := p.revoked[o.Request.Key]; ok {
			gone[o.Request.ID] = at
		}
	}
	for name, l := range js {
		for _, r := range l {
			if at, ok := gone[r.RequestID]; ok && r.AtMs > at+int64(p.f.Site.Processes[0].Place.Bounds.KeyRevocationMs) {
				p.fault("%s started %s %d ms after its key was revoked", name, r.RequestID, r.AtMs-at)
			}
		}
	}
	bound := int64(p.f.Site.Processes[0].Place.Bounds.KeyRevocationMs)
	late, rejected := 0, 0
	for _, o := range book.All() {
		at, gone := p.revoked[o.Request.Key]
		if !gone || o.SentMs < at+bound {
			continue
		}
		if o.Sealed || o.Broken != "" {
			late++
			p.fault("%s: a key revoked %d ms before was let in", o.Request.ID, o.SentMs-at)
		} else if o.Denied == "bad-key" {
			rejected++
		}
	}
	if len(p.revoked) > 0 && late == 0 && rejected == 0 {
		p.fault("no request came with the revoked key: the check saw nothing")
	}
}

// workers: older weights start no later than their bound; drained workers get nothing.
func (p *play) workers(js map[string][]workersim.Run) {
	b := p.f.Site.Processes[0].Place.Bounds
	newer := map[uint64]int{}
	for name, l := range js {
		for _, r := range l {
			for w, at := range p.weights {
				if r.Weights < w && r.AtMs > at+int64(b.WeightsMs) {
					p.fault("%s started %s on weights %d, %d ms after %d were acknowledged", name, r.RequestID, r.Weights, r.AtMs-at, w)
				}
				if r.Weights >= w {
					newer[w]++
				}
			}
			if at, ok := p.drained[name]; ok && r.AtMs > at+int64(b.LeaveMs) {
				p.fault("%s started %s %d ms after it was drained", name, r.RequestID, r.AtMs-at)
			}
		}
	}
	for w := range p.weights {
		if newer[w] == 0 {
			p.fault("nothing ever ran on weights %d", w)
		}
	}
}

// extra: second runs of a service's requests, in any ten seconds, against the share of its
// requests and the site's allowance.
func (p *play) extra(book *loadgen.Book, js map[string][]workersim.Run) {
	b := p.f.Site.Processes[0].Place.Bounds
	seen := map[string]bool{}
	var all []workersim.Run
	for _, l := range js {
		all = append(all, l...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].AtMs < all[j].AtMs })
	var extra, first []int64
	for _, r := range all {
		if seen[r.RequestID] {
			extra = append(extra, r.AtMs)
		}
		seen[r.RequestID] = true
	}
	for _, o := range book.All() {
		if !o.Request.App {
			first = append(first, o.SentMs)
		}
	}
	p.rep.Extra = len(extra)
	allow := float64(max(b.RetryAllowance, len(p.f.Site.Edges))) // an edge's part is one at least
	if e, f := worst(extra, first, int64(b.RetryWindowMs), float64(b.RetryPercent)/100); float64(e) > float64(b.RetryPercent)/100*float64(f)+allow {
		p.fault("%d extra runs on %d requests in ten seconds", e, f)
	}
}

// worst finds the window, wherever it begins, that holds the most extra runs over the share of
// its requests. A run may begin up to a tenth of the window after its request earned it.
func worst(extra, first []int64, span int64, share float64) (e, f int) {
	slices.Sort(extra)
	slices.Sort(first)
	count := func(l []int64, from, to int64) int { // from <= t < to
		at := func(t int64) int { i, _ := slices.BinarySearch(l, t); return i }
		return at(to) - at(from)
	}
	var begins []int64
	for _, t := range extra {
		begins = append(begins, t, t-span+1)
	}
	for _, t := range first {
		begins = append(begins, t+1)
	}
	most := 0.0
	for _, t := range begins {
		n, m := count(extra, t, t+span), count(first, t-span/10, t+span)
		if over := float64(n) - share*float64(m); n > 0 && (over > most || e == 0) {
			most, e, f = over, n, m
		}
	}
	return e, f
}

// readAll: every operator address tells the same setup, no older than what was acknowledged.
func (p *play) readAll(ctx context.Context) {
	bodies := map[string][]string{}
	for _, a := range p.f.Site.Operators {
		code, said := p.f.Get(ctx, a, "/v1/setup")
		var s struct {
			Epoch int64           `json:"epoch"`
			Setup json.RawMessage `json:"setup"`
		}
		if code != 200 || json.Unmarshal([]byte(said), &s) != nil {
			p.fault("%s doesn't read the setup back: %d %.200s", a, code, said)
			continue
		}
		if s.Epoch < p.acked {
			p.fault("%s reads epoch %d back, %d was acknowledged", a, s.Epoch, p.acked)
		}
		k := fmt.Sprintf("%d %s", s.Epoch, s.Setup)
		bodies[k] = append(bodies[k], a)
	}
	if len(bodies) > 1 {
		p.fault("%d different setups are read back", len(bodies))
	}
}

// relay puts links into the path of a site: others are told a relay's address.
func (s *Site) relay(l *Links, net int) error {
	old, via := fmt.Sprintf("127.%d.", net), fmt.Sprintf("127.%d.", net+100)
	to := func(a string) string { return strings.Replace(a, old, via, 1) }
	var b errs.Batch
	for i := range s.Processes {
		p := &s.Processes[i].Place
		l.Name(strings.Split(p.Listen, ":")[0], p.Name)
		b.Add("relay", l.Relay(to(p.Listen), p.Listen, p.Name))
		p.Advertise = to(p.Listen)
		switch s.Processes[i].Program {
		case programs.WorkerSim, programs.StoreSim, programs.AppServiceSim, programs.PlatformSim:
			b.Add("relay", l.Relay(to(p.Public), p.Public, p.Name))
		}
		for j := range p.Seeds {
			p.Seeds[j] = strings.Replace(p.Seeds[j], old, via, 1)
		}
		p.WorkerList = to(p.WorkerList)
	}
	for i := range s.List {
		s.List[i].Addr = to(s.List[i].Addr)
	}
	return b.Err()
}
