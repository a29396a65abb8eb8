package agent

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pebbleloom/internal/wire"
)

var abc = []string{"1:1/a", "1:2/b", "1:3/c"}

func says(member string, term, index uint64, members ...string) *wire.FollowResponse {
	return &wire.FollowResponse{Member: member, NothingNewer: true, MembersTerm: term, MembersIndex: index, Members: members}
}

type answer struct {
	response *wire.FollowResponse
	version  uint64
	asked    time.Duration
}

func everyOrder[T any](l []T, f func([]T)) (n int) {
	var walk func(left, done []T)
	walk = func(left, done []T) {
		if len(left) == 0 {
			n++
			f(done)
			return
		}
		for i := range left {
			walk(append(slices.Clone(left[:i]), left[i+1:]...), append(slices.Clone(done), left[i]))
		}
	}
	walk(l, nil)
	return n
}

// vouched is the latest instant that the answers heard so far vouch for, by the claim's own words:
// a majority of one membership, all of whom reported just that one and had nothing newer than v.
func vouched(l []answer, v uint64) (best time.Duration) {
	for _, x := range l {
		need := len(x.response.Members)/2 + 1
		for _, t := range l {
			by := map[string]bool{}
			for _, a := range l {
				if a.response.NothingNewer && a.asked >= t.asked && a.version <= v && slices.Contains(x.response.Members, a.response.Member) &&
					a.response.MembersTerm == x.response.MembersTerm && a.response.MembersIndex == x.response.MembersIndex {
					by[a.response.Member] = true
				}
			}
			if len(by) >= need {
				best = max(best, t.asked)
			}
		}
	}
	return best
}

// Every order of eight answers, in which a member is taken in meanwhile: no proof is ever later
// than what a majority vouched for, none falls, and in the end there is the newest.
func TestEveryOrderOfAnswers(t *testing.T) {
	four := append(slices.Clone(abc), "1:4/d")
	silent := says(abc[2], 1, 9, four...)
	silent.NothingNewer = false
	as := []answer{
		{says(abc[0], 1, 1, abc...), 7, 10},
		{says(abc[1], 1, 1, abc...), 7, 20},
		{says(abc[2], 1, 1, abc...), 7, 30},
		{says(abc[0], 1, 9, four...), 7, 40},
		{says(abc[1], 1, 9, four...), 8, 50}, // received a newer plan
		{silent, 7, 60},
		{says("1:4/d", 1, 9, four...), 7, 70},
		{says(abc[2], 1, 9, four...), 7, 80},
	}
	n := everyOrder(as, func(l []answer) {
		p := NewFreshnessProof()
		before := time.Duration(0)
		for i, a := range l {
			p.AddResponse(a.response, a.version, a.asked)
			at := p.FreshUntil(7)
			if at < before || at > vouched(l[:i+1], 7) {
				t.Fatalf("%v: proof at %v, vouched for at %v, before it %v", l[:i+1], at, vouched(l[:i+1], 7), before)
			}
			before = at
		}
		if before != 40 {
			t.Fatalf("%v: proof at %v in the end", l, before)
		}
		if at := p.FreshUntil(8); at != 50 {
			t.Fatalf("%v: proof of the newer plan at %v", l, at)
		}
	})
	if n != 40320 {
		t.Fatalf("%d orders tried", n)
	}
}

func TestMinorityProvesNothing(t *testing.T) {
	p := NewFreshnessProof()
	for i := range 5 {
		p.AddResponse(says(abc[0], 1, 1, abc...), 7, time.Duration(10+i))
	}
	if at := p.FreshUntil(7); at != 0 {
		t.Fatalf("one of three proves %v", at)
	}
	p.AddResponse(says("1:1/x", 1, 1, abc...), 7, 90) // the same address, another incarnation: its disk was lost
	p.AddResponse(says("9:9/z", 1, 1, abc...), 7, 95)
	p.AddResponse(&wire.FollowResponse{Member: abc[1], NothingNewer: true}, 7, 99)
	if at := p.FreshUntil(7); at != 0 {
		t.Fatalf("strangers and one who knows no members prove %v", at)
	}
}

func TestRemovedMemberVouchesForNothing(t *testing.T) {
	four := append(slices.Clone(abc), "1:4/d")
	p := NewFreshnessProof()
	p.AddResponse(says(abc[0], 1, 1, four...), 7, 10)
	p.AddResponse(says("1:4/d", 1, 1, four...), 7, 20)
	p.AddResponse(says(abc[0], 1, 5, abc...), 7, 30) // d was taken out
	p.AddResponse(says("1:4/d", 1, 1, four...), 7, 40)
	p.AddResponse(says(abc[1], 1, 1, four...), 7, 50) // hasn't heard of that
	if at := p.FreshUntil(7); at != 0 {
		t.Fatalf("a removed member, and one behind, prove %v", at)
	}
	p.AddResponse(says(abc[1], 1, 5, abc...), 7, 60)
	if at := p.FreshUntil(7); at != 30 {
		t.Fatalf("two of three prove %v", at)
	}
}

// {a,3,4} of a membership that will never be committed don't outvote {1,2} of a committed one.
func TestMembershipThatWasLost(t *testing.T) {
	old, lost := []string{"1", "2", "3", "4"}, []string{"1", "2", "3", "4", "a"}
	p := NewFreshnessProof()
	p.AddResponse(says("a", 2, 5, lost...), 7, 10)
	p.AddResponse(says("4", 2, 5, lost...), 7, 10)
	// 3 has heard from the leader of term 3, which cut the lost membership off its log.
	p.AddResponse(says("3", 1, 1, old...), 7, 20)
	if at := p.FreshUntil(7); at != 0 {
		t.Fatalf("proof at %v, while {1,2} of {1,2,3} may have acknowledged a newer plan", at)
	}
}

// ---- a small group whose members change, and one that follows it ----

type line struct {
	term    int
	version uint64
	members []string
}

type host struct {
	term, commit int
	log          []line
}

type leader struct {
	name         string
	term, commit int
	match        map[string]int
}

type group struct {
	r         *rand.Rand
	now       int
	hosts     map[string]*host
	names     []string
	leaders   []*leader
	committed map[uint64]int // when each plan was
	born      int
	proof     *FreshnessProof
	asks      []asked
	have      uint64
	blind     bool // planted: takes each answer as if it held the newest membership
	wrong     bool
	proofs    int
}

type asked struct {
	name string
	have uint64
	at   int
}

func newest(l []line) (at int, members []string) {
	for i, x := range l {
		if x.members != nil {
			at, members = i, x.members
		}
	}
	return at, members
}

func plans(l []line) (v uint64) {
	for _, x := range l {
		v = max(v, x.version)
	}
	return v
}

func (g *group) elect(name string) {
	c := g.hosts[name]
	_, ms := newest(c.log)
	if !slices.Contains(ms, name) {
		return
	}
	term := c.term + 1
	last := func(h *host) line { return h.log[len(h.log)-1] }
	var yes []*host
	for _, m := range ms {
		v := g.hosts[m]
		fits := len(v.log) == 0 || last(v).term < last(c).term || last(v).term == last(c).term && len(v.log) <= len(c.log)
		if v.term < term && fits && (m == name || g.r.IntN(3) > 0) {
			yes = append(yes, v)
		}
	}
	for _, v := range yes {
		v.term = term
	}
	if len(yes) >= len(ms)/2+1 {
		c.log = append(slices.Clone(c.log), line{term: term})
		g.leaders = append(g.leaders, &leader{name: name, term: term, commit: c.commit, match: map[string]int{name: len(c.log)}})
	}
}

func (g *group) lead(l *leader) {
	c := g.hosts[l.name]
	if c.term != l.term {
		return
	}
	at, ms := newest(c.log)
	push := func(x line) {
		x.term = l.term
		c.log = append(slices.Clone(c.log), x)
		l.match[l.name] = len(c.log)
	}
	switch x := g.r.IntN(8); {
	case x == 0:
		push(line{version: plans(c.log) + 1})
	case x == 1 && l.commit > at && c.log[l.commit-1].term == l.term:
		if m := slices.Clone(ms); len(m) > 2 && g.r.IntN(2) == 0 {
			i := g.r.IntN(len(m))
			push(line{members: slices.Delete(m, i, i+1)})
		} else if len(m) < 6 {
			g.born++
			n := string(rune('f' + g.born))
			g.hosts[n] = &host{}
			g.names = append(g.names, n)
			push(line{members: append(m, n)})
		}
	default:
		m := ms[g.r.IntN(len(ms))]
		v := g.hosts[m]
		if m == l.name || v.term > l.term {
			break
		}
		v.term = l.term
		n := 1 + g.r.IntN(len(c.log))
		for i := range n {
			if i >= len(v.log) || v.log[i].term != c.log[i].term {
				v.log = slices.Clone(c.log[:n])
				break
			}
		}
		l.match[m] = max(l.match[m], n)
		v.commit = max(v.commit, min(l.commit, n))
	}
	_, ms = newest(c.log)
	for n := len(c.log); n > l.commit && c.log[n-1].term == l.term; n-- {
		have := 0
		for _, m := range ms {
			if l.match[m] >= n {
				have++
			}
		}
		if have >= len(ms)/2+1 {
			for _, x := range c.log[:n] {
				if _, ok := g.committed[x.version]; !ok && x.version > 0 {
					g.committed[x.version] = g.now
				}
			}
			l.commit, c.commit = n, max(c.commit, n)
			break
		}
	}
}

func (g *group) answer(q asked) {
	h := g.hosts[q.name]
	reported := plans(h.log[:min(h.commit, len(h.log))])
	at, ms := newest(h.log)
	if ms == nil {
		return
	}
	version := max(q.have, reported)
	response := &wire.FollowResponse{Member: q.name, NothingNewer: plans(h.log) <= version, Members: ms, MembersIndex: uint64(at), MembersTerm: uint64(h.log[at].term)}
	if p := g.proof; g.blind && (p.term > response.MembersTerm || p.term == response.MembersTerm && p.index > response.MembersIndex) {
		response.Members, response.MembersTerm, response.MembersIndex = p.members, p.term, p.index
	}
	g.have = max(g.have, reported)
	g.proof.AddResponse(response, version, time.Duration(q.at))
	t := g.proof.FreshUntil(g.have)
	if t > 0 {
		g.proofs++
	}
	for v, at := range g.committed {
		g.wrong = g.wrong || v > g.have && time.Duration(at) < t
	}
}

func walk(seed uint64, blind bool) *group {
	g := &group{r: rand.New(rand.NewPCG(seed, 1)), hosts: map[string]*host{}, committed: map[uint64]int{}, proof: NewFreshnessProof(), blind: blind}
	first := []line{{term: 1, members: []string{"a", "b", "c", "d"}[:3+g.r.IntN(2)]}}
	g.names = slices.Clone(first[0].members)
	for _, m := range first[0].members {
		g.hosts[m] = &host{term: 1, commit: 1, log: first}
	}
	for g.now = 1; g.now < 150 && !g.wrong; g.now++ {
		name := g.names[g.r.IntN(len(g.names))]
		switch x := g.r.IntN(20); {
		case x == 0 && len(g.hosts[name].log) > 0:
			g.elect(name)
		case x < 3:
			g.asks = append(g.asks, asked{name, g.have, g.now})
		case x < 7 && len(g.asks) > 0:
			i := g.r.IntN(len(g.asks))
			q := g.asks[i]
			g.asks = slices.Delete(g.asks, i, i+1)
			g.answer(q)
		case len(g.leaders) > 0:
			g.lead(g.leaders[max(0, len(g.leaders)-1-g.r.IntN(2))])
		}
	}
	return g
}

// A group whose leaders come and go and whose members change: whatever the order of its steps and
// of the answers, nothing newer than the plan in use was committed before the proof's instant.
func TestNoProofAgainstAChangingGroup(t *testing.T) {
	proofs, changed := 0, 0
	for seed := range uint64(40000) {
		g := walk(seed, false)
		if g.wrong {
			t.Fatalf("seed %d: a newer plan than %d was committed before the proof: %v", seed, g.have, g.committed)
		}
		proofs += g.proofs
		if g.proof.index > 0 {
			changed++
		}
	}
	if proofs < 100000 || changed < 10000 {
		t.Fatalf("%d proofs, %d groups changed: the walks show nothing", proofs, changed)
	}
}

// The same walks find a follower out that counts members who don't know the membership.
func TestWalksFindThePlantedFault(t *testing.T) {
	for seed := range uint64(40000) {
		if walk(seed, true).wrong {
			return
		}
	}
	t.Fatal("the planted fault was not found")
}
