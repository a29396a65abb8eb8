// Package placementcontroller decides a service's placement under a lease, and brings named weights
// to its workers one by one.
package placementcontroller

import (
	"sort"
	"time"

	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/wire"
)

// The constants of the choice, as ratios.
const (
	stay     = 0.7     // an entry leaves the replicated set only below this share of the threshold
	burst    = 1.3     // an entry swaps in between recomputations only above this multiple of the coldest
	roomPart = 0.5     // of a worker's room the replicated set may take
	coldB    = 50000.0 // tokens a second, believed until fetches have shown more
	coldS    = 0.02    // seconds of fetching that the belief weighs as much as
)

// Facts are what a choice is made from.
type Facts struct {
	Service string
	Mode    string
	Alpha   float64
	Workers []string
	Room    int // tokens, of the smallest worker
	Hot     []*wire.Hot
	Links   []*wire.LinkSeen
	Curve   placement.Curve
}

// Pick makes a placement: the ratio by the paper's Algorithm 1, the set by the hottest,
// with some patience for those that are in it already.
//
// Example: p := appraiser.Pick(facts, old)
func Pick(f Facts, old *placement.Placement) *placement.Placement {
	p := &placement.Placement{Service: f.Service, Mode: f.Mode, Workers: f.Workers, Prefill: f.Curve, Replicated: []string{}}
	fs, requests, tokens := freqs(f.Hot)
	p.Entries = len(fs)
	p.B, p.Floor = bandwidth(f.Links), floor(f.Hot)
	if requests > 0 {
		p.MeanLen = tokens / requests
	}
	t := f.Curve.At(p.MeanLen) / 1e6
	p.RMax = placement.RMax(f.Alpha, t, p.B, p.MeanLen, len(f.Workers))
	sorted, n := placement.Scan(fs, p.RMax)
	if n > 0 {
		was := map[string]bool{}
		if old != nil {
			for _, k := range old.Replicated {
				was[k] = true
			}
		}
		edge := sorted[n-1].F
		room := int(float64(f.Room) * roomPart)
		var in []placement.Freq
		for i, x := range sorted {
			if i < n || was[x.Key] && x.F >= stay*edge {
				in = append(in, x)
			}
		}
		for _, x := range in {
			if room -= x.Tokens; room < 0 {
				p.Why = "cut to the workers' room"
				break
			}
			p.Replicated = append(p.Replicated, x.Key)
		}
	}
	if len(fs) > 0 {
		p.Ratio = float64(len(p.Replicated)) / float64(len(fs))
	}
	return p
}

// Swap brings bursting entries in for the coldest ones, between recomputations. It says
// whether anything changed.
//
// Example: next, changed := appraiser.Swap(old, hot)
func Swap(old *placement.Placement, hot []*wire.Hot) (*placement.Placement, bool) {
	fs, _, _ := freqs(hot)
	at := map[string]placement.Freq{}
	for _, x := range fs {
		at[x.Key] = x
	}
	in := append([]string(nil), old.Replicated...)
	sort.SliceStable(in, func(i, j int) bool { return at[in[i]].F > at[in[j]].F })
	has := map[string]bool{}
	for _, k := range in {
		has[k] = true
	}
	sorted, _ := placement.Scan(fs, 0)
	changed := false
	for _, x := range sorted {
		if len(in) == 0 || has[x.Key] {
			continue
		}
		last := in[len(in)-1]
		if x.F <= burst*at[last].F || x.Tokens > at[last].Tokens && at[last].Tokens > 0 {
			break
		}
		in = append([]string{x.Key}, in[:len(in)-1]...)
		has[x.Key], has[last], changed = true, false, true
	}
	n := *old
	n.Replicated, n.Why = in, "burst swapped in"
	return &n, changed
}

func freqs(hot []*wire.Hot) (fs []placement.Freq, requests, tokens float64) {
	for _, h := range hot {
		fs = append(fs, placement.Freq{Key: hexOf(h.Key), F: h.Hotness, Tokens: int(h.Tokens)})
		if h.Head {
			requests += h.Hotness
		}
		if h.Hotness >= 1.5 { // seen by more than one request lately: shared
			tokens += h.Hotness * float64(h.Tokens)
		}
	}
	return fs, requests, tokens
}

// floor is the hotness of the coldest entry that is cached somewhere and that no prompt
// begins with: a session's prefix has to be hotter to be admitted.
func floor(hot []*wire.Hot) float64 {
	least := -1.0
	for _, h := range hot {
		if !h.Head && h.Holders > 0 && (least < 0 || h.Hotness < least) {
			least = h.Hotness
		}
	}
	return max(0, least)
}

// bandwidth is what fetches from other workers have shown; a starting value until then.
func bandwidth(l []*wire.LinkSeen) float64 {
	tok, ns := coldB*coldS, coldS*float64(time.Second)
	for _, x := range l {
		if x.Class != "store" {
			tok, ns = tok+x.Tokens, ns+x.Ns
		}
	}
	return tok / ns * float64(time.Second)
}

const hexDigits = "0123456789abcdef"

func hexOf(b []byte) string {
	s := make([]byte, 0, 2*len(b))
	for _, x := range b {
		s = append(s, hexDigits[x>>4], hexDigits[x&15])
	}
	return string(s)
}
