package testbed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
)

// Trouble is one thing that goes wrong in a mixture, with the steps that bring it about and
// end it.
type Trouble struct {
	Name  string
	Steps []Step
	Links bool
	Cab   []string
}

// mixer draws troubles that a site must bear together: one core machine at a time, a few
// workers and edges, each machine in one trouble at a time.
type mixer struct {
	r       *rand.Rand
	from    int // when this trouble begins
	to      int // and ends
	core    int // when a core machine may get into trouble next
	busy    map[string]bool
	weights int
	kinds   map[string]bool
}

const (
	mixFrom = 1000
	mixTo   = 9000
	mixCore = 5000 // a core machine's next trouble begins that long after the last one ended
)

// free picks n machines of a kind that are in no trouble yet.
func (m *mixer) free(kind string, of, n int) (l []string) {
	for _, i := range m.r.Perm(of) {
		if x := fmt.Sprintf("%s-%d", kind, i+1); len(l) < n && !m.busy[x] {
			m.busy[x] = true
			l = append(l, x)
		}
	}
	return l
}

func each(form string, names []string) string {
	var l []string
	for _, n := range names {
		l = append(l, strings.ReplaceAll(form, "%", n))
	}
	return strings.Join(l, " ")
}

const (
	onEdge = "runner-% catalogue-% dispatcher-%"
	onCore = "archive-% appraiser-%"
)

// one is a core machine's trouble: these come one after the other.
func (m *mixer) one() ([]string, bool) {
	if m.core > mixTo || m.kinds["power"] {
		return nil, false
	}
	m.from = max(m.from, m.core)
	m.to = max(m.to, m.from+500)
	m.core = m.to + mixCore
	return []string{fmt.Sprintf("core-%d", 1+m.r.IntN(4))}, true
}

func (m *mixer) pair(do, undo, who string) []Step {
	return []Step{{At: m.from, Do: do, Who: who}, {At: m.to, Do: undo, Who: who}}
}

var mixKinds = []string{"workers-killed", "workers-vanish", "edge-killed", "edge-frozen", "edge-cut", "edge-half-cut", "edges-killed", "worker-frozen", "core-killed", "core-frozen",
	"core-cut", "disk-lost", "disk-full", "disk-stalls", "power", "clock", "weights", "weights-again", "revoke", "drain", "warn", "storm", "race", "grow", "store", "slow", "gaps", "late", "mute", "seeds", "index"}

func (m *mixer) draw(k string) (t Trouble) {
	at := func(do, who, to string) { t.Steps = append(t.Steps, Step{At: m.from, Do: do, Who: who, To: to}) }
	then := func(do, who, to string) { t.Steps = append(t.Steps, Step{At: m.to, Do: do, Who: who, To: to}) }
	onOff := func(do, undo, form, kind string, of, n int) {
		if l := m.free(kind, of, n); len(l) > 0 {
			t.Steps = m.pair(do, undo, each(form, l))
		}
	}
	onOne := func(do, undo, form string) {
		if l, ok := m.one(); ok {
			t.Steps = m.pair(do, undo, each(form, l))
		}
	}
	t.Name = k
	switch k {
	case "workers-killed":
		onOff("kill", "start", "%", "cab", 18, 1+m.r.IntN(4))
	case "workers-vanish":
		onOff("off", "mend", "%", "cab", 18, 1+m.r.IntN(2))
	case "worker-frozen":
		onOff("freeze", "thaw", "%", "cab", 18, 1+m.r.IntN(2))
	case "edge-killed":
		onOff("kill", "start", onEdge, "edge", 9, 1)
	case "edges-killed":
		onOff("kill", "start", onEdge, "edge", 9, 3)
	case "edge-frozen":
		onOff("freeze", "thaw", onEdge, "edge", 9, 1)
	case "edge-cut":
		onOff("off", "mend", "%", "edge", 9, 1)
	case "edge-half-cut":
		if l := m.free("edge", 9, 1); len(l) > 0 {
			at("cut", l[0], "core-1 core-2 core-3 core-4")
			then("mend", l[0], "core-1 core-2 core-3 core-4")
		}
	case "core-killed":
		onOne("kill", "start", onCore)
	case "core-frozen":
		onOne("freeze", "thaw", onCore)
	case "core-cut":
		onOne("off", "mend", "%")
	case "disk-lost":
		if l, ok := m.one(); ok {
			at("storm", "", "5")
			t.Steps = append(t.Steps, Step{At: m.from + 1, Do: "kill", Who: each(onCore, l)}, Step{At: m.from + 2, Do: "wipe", Who: each("archive-%", l)})
			if m.r.IntN(2) == 0 {
				t.Steps = append(t.Steps, Step{At: m.from + 3, Do: "move", Who: each("archive-%", l)})
			}
			then("start", each(onCore, l), "")
		}
	case "disk-full":
		if l, ok := m.one(); ok {
			at("disk", each("archive-%", l), "full")
			then("disk", each("archive-%", l), "")
			t.Steps = append(t.Steps, Step{At: m.to + 100, Do: "kill", Who: each("archive-%", l)}, Step{At: m.to + 200, Do: "start", Who: each("archive-%", l)})
		}
	case "disk-stalls":
		if l, ok := m.one(); ok {
			at("disk", each("archive-%", l), fmt.Sprint("stall ", 100+m.r.IntN(1500)))
			then("disk", each("archive-%", l), "")
		}
	case "power": // at all core machines, right after something was acknowledged
		if m.core == 0 {
			at("storm", "", "5")
			at("kill", "archive-*", "")
			t.Steps = append(t.Steps, Step{At: m.from + 300, Do: "start", Who: "archive-*"})
			m.core = mixTo + 1
		}
	case "clock":
		at("wall", fmt.Sprintf("archive-core-%d", 1+m.r.IntN(4)), fmt.Sprint(m.r.IntN(20000000)-10000000))
	case "weights", "weights-again":
		if m.weights++; k == "weights" && m.weights == 1 {
			at("weights", "", "2")
		} else if m.weights == 1 {
			at("weights", "", "2")
			t.Steps = append(t.Steps, Step{At: m.from + 1000 + m.r.IntN(3000), Do: "weights", To: "3"})
		}
	case "revoke":
		at("revoke", fmt.Sprintf("tenant-%d", 3+m.r.IntN(6)), "")
	case "drain":
		if l := m.free("cab", 18, 2); len(l) > 0 {
			at("drain", strings.Join(l, " "), "")
		}
	case "warn":
		if l := m.free("cab", 18, 1); len(l) > 0 {
			at("warn", l[0], "")
		}
	case "storm", "race":
		at(k, "", fmt.Sprint(3+m.r.IntN(12)))
	case "grow":
		at("grow", "", fmt.Sprint(20+m.r.IntN(60)))
	case "store":
		t.Steps = m.pair("kill", "start", "depot-1")
	case "slow":
		if l := m.free("cab", 18, 3); len(l) > 0 {
			at("slow", strings.Join(l, " "), fmt.Sprint(5000+m.r.IntN(100000)))
			then("mend", strings.Join(l, " "), "*")
		}
	case "gaps":
		t.Cab = []string{"drop=0.3"}
	case "late":
		t.Cab = []string{"late_ms=4000"}
	case "mute":
		t.Cab = []string{"mute=yes"}
	case "seeds":
		at("seeds", "", "127.{net}.2.1:7003 127.{net}.3.1:7003 127.{net}.2.11:7000")
	case "index":
		t.Steps = m.pair("kill", "start", fmt.Sprintf("catalogue-edge-%d", 1+m.r.IntN(9)))
		if n := strings.TrimPrefix(t.Steps[0].Who, "catalogue-"); m.busy[n] {
			t.Steps = nil
		} else {
			m.busy[n] = true
		}
	}
	for _, x := range t.Steps {
		t.Links = t.Links || slices.Contains([]string{"off", "cut", "slow"}, x.Do)
	}
	for i := range t.Steps {
		t.Steps[i].Aside = slices.Contains([]string{"weights", "revoke", "drain", "storm", "race", "grow", "seeds"}, t.Steps[i].Do)
	}
	return t
}

// Mix draws the troubles of a seed: three to seven kinds of the brief's list, within what a
// site must bear at once.
//
// Example: sc := testbed.Script("paramo", 7, testbed.Mix(7))
func Mix(seed uint64) (l []Trouble) {
	r := rand.New(rand.NewPCG(seed, 41))
	m := &mixer{r: r, busy: map[string]bool{}, kinds: map[string]bool{}}
	for n := 3 + r.IntN(5); len(l) < n; {
		k := mixKinds[r.IntN(len(mixKinds))]
		if m.kinds[k] {
			continue
		}
		m.kinds[k] = true
		m.from = mixFrom + r.IntN(mixTo-mixFrom)
		m.to = m.from + 300 + r.IntN(5000)
		if t := m.draw(k); len(t.Steps)+len(t.Cab) > 0 {
			l = append(l, t)
		}
	}
	return l
}

// Script makes a scenario of troubles.
//
// Example: rep, err := testbed.Play(ctx, testbed.Script("daegu", 7, testbed.Mix(7)), o)
func Script(site string, seed uint64, l []Trouble) Scenario {
	sc := Scenario{Name: fmt.Sprintf("mix-%d", seed), Site: site, Rate: 15, ReadAll: true, Least: 0.3}
	var names []string
	for _, t := range l {
		names = append(names, t.Name)
		sc.Steps = append(sc.Steps, t.Steps...)
		sc.Cab = append(sc.Cab, t.Cab...)
		sc.Links = sc.Links || t.Links
	}
	sort.SliceStable(sc.Steps, func(i, j int) bool { return sc.Steps[i].At < sc.Steps[j].At })
	sc.About = strings.Join(names, ", ")
	return sc
}
