package history

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// randomHistory plays a few operators and readers on one register, and now and then has it lie.
func randomHistory(random *rand.Rand) *History {
	history := &History{}
	state := register{bodyKnown: true}
	var orders []Change
	var open []func()
	lies := random.IntN(3) > 0
	for range 10 + random.IntN(14) {
		switch random.IntN(5) {
		case 0, 1:
			change := newChange(fmt.Sprint("t", len(orders)), state.version, state.version+1+random.Uint64N(2))
			if len(orders) > 0 && random.IntN(3) == 0 {
				change = orders[random.IntN(len(orders))]
			}
			orders = append(orders, change)
			open = append(open, attempt(random, history, &state, change, lies)...)
		case 2:
			read := history.BeginRead(key)
			v, b := state.version, state.body
			if lies && random.IntN(12) == 0 && v > 0 {
				v--
			}
			open = append(open, func() { read.Complete(v, b) })
		default:
			if len(open) > 0 {
				i := random.IntN(len(open))
				open[i]()
				open = append(open[:i], open[i+1:]...)
			}
		}
	}
	for _, f := range open {
		f()
	}
	return history
}

// attempt sends an order; what is left to do is its answer, if it gets one.
func attempt(random *rand.Rand, history *History, state *register, change Change, lies bool) []func() {
	attempt := history.BeginAttempt(change)
	version, found := state.applied.find(change.Token)
	outcome := Acknowledged
	switch {
	case found:
	case state.isApplicable(&change) && random.IntN(6) > 0:
		*state = state.apply(&change)
		version = state.version
	case state.isApplicable(&change):
		return nil // lost on its way
	default:
		outcome, version = Rejected, state.version
	}
	if lies && random.IntN(10) == 0 {
		outcome = Acknowledged + Rejected - outcome
	}
	if random.IntN(4) == 0 {
		return nil
	}
	return []func(){func() { attempt.Complete(outcome, version) }}
}

// What is left out of a history never changes the verdict.
func TestReductionKeepsTheResult(t *testing.T) {
	const limit, runs = 5 * time.Second, 3000
	random := rand.New(rand.NewPCG(17, 1))
	good, bad, fewer := 0, 0, 0
	for i := range runs {
		history := randomHistory(random)
		whole, _ := operations(history.observations, false)
		part, _ := operations(history.observations, true)
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
