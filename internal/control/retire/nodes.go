package retire

import (
	"fmt"
	"maps"
	"slices"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/queue"
)

func holdsModel(n Node, base string) bool {
	return slices.ContainsFunc(n.Holds, func(l contract.Loaded) bool { return l.Model == base })
}

func (t *turn) order(n Node, o contract.Order) {
	o.Incarnation, o.Plan, o.Step = n.Life, Key(t.r.Service, t.r.Name), t.w.Version
	t.acts = append(t.acts, Act{Node: n.Name, Order: &o})
}

// catchUp brings every node to a set: its base, from level 1 on its adapters, from level 2 on a proof
// of this round or a later one. Whoever isn't there yet holds the retirement up, and is named.
func (t *turn) catchUp(x Set, level, round int) {
	busy := 0
	for _, n := range t.w.Nodes {
		if n.Loading != "" {
			busy++
		}
	}
	for _, n := range t.w.Nodes {
		if !n.Answers {
			t.hold(n.Name, "it doesn't answer, and may come back", "bring it back, or have the platform take it out of its list")
			continue
		}
		need, o := "base model "+x.Base, contract.Order{Kind: "load", Model: x.Base, Weights: x.Weights, Room: x.Room}
		have := x.held(n.Holds)
		if have != nil && level > 0 {
			if a := x.lacking(have); a != nil {
				need = "adapter " + a.Name
				o = contract.Order{Kind: "load", Model: x.Base, Weights: x.Weights, Adapter: a.Name, Build: a.Build, Room: a.Room}
			} else {
				need = ""
			}
		} else if have != nil {
			need = ""
		}
		switch {
		case need != "" && n.Loading != "":
			t.hold(n.Name, "it loads "+n.Loading, "nothing to do; if it stays so, see the worker's log")
		case need != "" && n.Room > 0 && n.Free < o.Room:
			t.hold(n.Name, fmt.Sprintf("%s takes %d MB, %d of %d are free", need, o.Room, n.Free, n.Room), "unload there what isn't needed, or give it more memory and start it again")
		case need != "":
			t.hold(n.Name, "it lacks "+need, "nothing to do: it is loaded in its turn")
			if busy < t.r.atOnce() {
				busy++
				t.order(n, o)
			}
		case level > 1:
			t.proof(n, x, round, &busy)
		}
	}
}

// proof asks a node that isn't proved yet in this life, under this set and round.
func (t *turn) proof(n Node, x Set, round int, busy *int) {
	if p, ok := t.r.Proofs[n.Name]; ok && p.Life == n.Life && p.Set == t.sum && p.Round >= round {
		return
	}
	why, remedy := "it hasn't answered under every adapter yet", "nothing to do: it is asked in its turn"
	if f := t.failed[n.Name]; f != "" {
		why, remedy = "its proof failed: "+f, "see the worker's log; replace it if it stays so"
	}
	if n.Draining {
		remedy = "it is draining: let the platform replace it"
	}
	t.hold(n.Name, why, remedy)
	if *busy < t.r.atOnce() {
		*busy++
		t.acts = append(t.acts, Act{Node: n.Name, Life: n.Life, Prove: &x})
	}
}

// back takes a retirement back: requests, what still runs, then the new base.
func (t *turn) back() {
	switch t.r.Phase {
	case Return:
		ways := object{}
		for _, n := range queue.Keys(t.r.Before) {
			if _, ok := t.w.Setup.Ways[n]; !ok {
				continue
			}
			use := any(nil)
			if t.r.Before[n] != "" {
				use = t.r.Before[n]
			}
			ways[n] = object{"use": use, "move": nil, "moved": nil}
		}
		t.change(true, object{"ways": ways}, func() { t.to(Aborting, Settle) })
	case Settle:
		if t.idle(t.r.To) && t.lasted(Settle, t.w.Follow) {
			t.to(Aborting, Clean)
		}
	case Clean:
		t.catchUp(t.was, 1, 0) // whoever came in with the new base alone has to have the old one
		behind := map[string]bool{}
		for _, h := range t.holds {
			behind[h.Node] = true
		}
		maps.DeleteFunc(t.r.Clean, func(n, life string) bool {
			return !slices.ContainsFunc(t.w.Nodes, func(x Node) bool { return x.Name == n && (!x.Answers || x.Life == life) })
		})
		for _, n := range t.w.Nodes {
			if !behind[n.Name] && (t.r.Clean[n.Name] != n.Life || holdsModel(n, t.r.To)) {
				t.hold(n.Name, "it is to drop "+t.r.To+" again", "nothing to do; if it stays so, see the worker's log")
				t.order(n, contract.Order{Kind: "unload", Model: t.r.To})
			}
		}
		if len(t.holds) == 0 {
			t.to(Aborted, "")
		}
	}
}

// Keep says what a service's workers lack of the set that the setup names, while nothing is retired:
// whoever restarts empty, or with what was retired long ago, is brought back. A service without
// adapters is left as its workers start. What was retired before leaves a worker again that came back
// with it, once the worker has the whole set.
//
// Example: acts := retire.Keep(s, "lector-main", nodes, []string{"lector"})
func Keep(s *serviceconfig.Setup, service string, nodes []Node, retired []string) []Act {
	v, ok := s.Services[service]
	l := depending(s, service, v.Model)
	if !ok || len(l) == 0 {
		return nil
	}
	t := &turn{Pacer: NewPacer(), r: &Retirement{Service: service, AtOnce: len(nodes)}, w: World{Nodes: nodes}}
	t.catchUp(SetOf(s, v.Model, l), 1, 0)
	behind := map[string]bool{}
	for _, h := range t.holds {
		behind[h.Node] = true
	}
	for _, n := range nodes {
		for _, base := range retired {
			if base != v.Model && !behind[n.Name] && holdsModel(n, base) && !answers(s, service, base) {
				t.order(n, contract.Order{Kind: "unload", Model: base})
			}
		}
	}
	for _, a := range t.acts {
		a.Order.Plan, a.Order.Step = "", 0
	}
	return t.acts
}

// answers tells whether any route of a service leads to a base, or is being moved there.
func answers(s *serviceconfig.Setup, service, base string) bool {
	for n, v := range s.Ways {
		for _, x := range []string{v.Answers(n), v.Move} {
			if t, ok := s.Named(x); ok && t.Model == base && (v.Service == service || v.Next == service) {
				return true
			}
		}
	}
	return false
}
