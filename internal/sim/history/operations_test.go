package history

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// randomHistory plays a few operators and readers on one register, and now and then has it lie.
func randomHistory(r *rand.Rand) *History {
	h := &History{}
	state := register{bodyKnown: true}
	var orders []Change
	var open []func()
	lies := r.IntN(3) > 0
	for range 10 + r.IntN(14) {
		switch r.IntN(5) {
		case 0, 1:
			o := newChange(fmt.Sprint("t", len(orders)), state.version, state.version+1+r.Uint64N(2))
			if len(orders) > 0 && r.IntN(3) == 0 {
				o = orders[r.IntN(len(orders))]
			}
			orders = append(orders, o)
			open = append(open, attempt(r, h, &state, o, lies)...)
		case 2:
			q := h.BeginRead(key)
			v, b := state.version, state.body
			if lies && r.IntN(12) == 0 && v > 0 {
				v--
			}
			open = append(open, func() { q.Complete(v, b) })
		default:
			if len(open) > 0 {
				i := r.IntN(len(open))
				open[i]()
				open = append(open[:i], open[i+1:]...)
			}
		}
	}
	for _, f := range open {
		f()
	}
	return h
}

// attempt sends an order; what is left to do is its answer, if it gets one.
func attempt(r *rand.Rand, h *History, state *register, o Change, lies bool) []func() {
	a := h.BeginAttempt(o)
	version, found := state.applied.find(o.Token)
	outcome := Acknowledged
	switch {
	case found:
	case state.isApplicable(&o) && r.IntN(6) > 0:
		*state = state.apply(&o)
		version = state.version
	case state.isApplicable(&o):
		return nil // lost on its way
	default:
		outcome, version = Rejected, state.version
	}
	if lies && r.IntN(10) == 0 {
		outcome = Acknowledged + Rejected - outcome
	}
	if r.IntN(4) == 0 {
		return nil
	}
	return []func(){func() { a.Complete(outcome, version) }}
}

// What is left out of a history never changes the verdict.
func TestReductionKeepsTheVerdict(t *testing.T) {
	const limit, runs = 5 * time.Second, 3000
	r := rand.New(rand.NewPCG(17, 1))
	good, bad, fewer := 0, 0, 0
	for i := range runs {
		h := randomHistory(r)
		whole, _ := operations(h.observations, false)
		part, _ := operations(h.observations, true)
		x, y := porcupine.CheckOperationsTimeout(model(), whole, limit), porcupine.CheckOperationsTimeout(model(), part, limit)
		if x != y {
			t.Fatalf("history %d: %s whole, %s reduced: %s", i, x, y, explain(model(), whole, limit))
		}
		if len(part) < len(whole) {
			fewer++
		}
		if x == porcupine.Ok {
			good++
		} else {
			bad++
		}
	}
	if good < runs/5 || bad < runs/5 || fewer < runs/2 {
		t.Errorf("%d good, %d bad, %d reduced: the test doesn't reach both", good, bad, fewer)
	}
}
