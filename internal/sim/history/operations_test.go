package history

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"
)

// randomHistory returns a history of random concurrent changes and reads of one document. In two of three histories,
// responses may be wrong.
func randomHistory(random *rand.Rand) *History {
	simulator := &documentSimulator{random: random, history: &History{}, state: register{bodyKnown: true}}
	simulator.givesWrongResponses = random.IntN(3) > 0
	for range 10 + random.IntN(14) {
		switch random.IntN(5) {
		case 0, 1:
			simulator.sendChange()
		case 2:
			simulator.sendRead()
		default:
			simulator.respondToOne()
		}
	}
	for _, respond := range simulator.pendingResponses {
		respond()
	}
	return simulator.history
}

// documentSimulator simulates a document and its clients, and records their operations.
type documentSimulator struct {
	random              *rand.Rand
	history             *History
	state               register
	changes             []Change
	pendingResponses    []func()
	givesWrongResponses bool
}

// sendChange sends a new change, or retries one that was sent before.
func (p *documentSimulator) sendChange() {
	change := newChange(fmt.Sprint("t", len(p.changes)), p.state.version, p.state.version+1+p.random.Uint64N(2))
	if len(p.changes) > 0 && p.random.IntN(3) == 0 {
		change = p.changes[p.random.IntN(len(p.changes))]
	}
	p.changes = append(p.changes, change)
	p.pendingResponses = append(p.pendingResponses, p.attempt(change)...)
}

func (p *documentSimulator) sendRead() {
	read := p.history.BeginRead(key)
	version, body := p.state.version, p.state.body
	if p.givesWrongResponses && p.random.IntN(12) == 0 && version > 0 {
		version--
	}
	p.pendingResponses = append(p.pendingResponses, func() { read.Complete(version, body) })
}

func (p *documentSimulator) respondToOne() {
	if len(p.pendingResponses) == 0 {
		return
	}
	index := p.random.IntN(len(p.pendingResponses))
	p.pendingResponses[index]()
	p.pendingResponses = append(p.pendingResponses[:index], p.pendingResponses[index+1:]...)
}

// attempt sends a change. It returns a function that delivers the response, or none if the request or the response is
// lost.
func (p *documentSimulator) attempt(change Change) []func() {
	attempt := p.history.BeginAttempt(change)
	version, found := p.state.applied.find(change.Token)
	outcome := Acknowledged
	switch {
	case found:
	case p.state.isApplicable(&change) && p.random.IntN(6) > 0:
		p.state = p.state.apply(&change)
		version = p.state.version
	case p.state.isApplicable(&change):
		return nil // the request is lost: the change isn't applied
	default:
		outcome, version = Rejected, p.state.version
	}
	if p.givesWrongResponses && p.random.IntN(10) == 0 {
		outcome = Acknowledged + Rejected - outcome
	}
	if p.random.IntN(4) == 0 {
		return nil // the response is lost
	}
	return []func(){func() { attempt.Complete(outcome, version) }}
}

// A check of the reduced operations of a history gives the same result as a check of all of them.
func TestReductionKeepsTheResult(t *testing.T) {
	const runs = 3000
	random := rand.New(rand.NewPCG(17, 1))
	linearizable, illegal, reduced := 0, 0, 0
	for run := range runs {
		history := randomHistory(random)
		allOps, _ := operations(history.observations, false)
		reducedOps, _ := operations(history.observations, true)
		want, got := porcupine.CheckOperationsTimeout(model(), allOps, limit), porcupine.CheckOperationsTimeout(model(), reducedOps, limit)
		if want != got {
			t.Fatalf("check of random history %d: %s with all operations, %s after reduction: %s", run, want, got, explain(model(), allOps, limit))
		}
		if len(reducedOps) < len(allOps) {
			reduced++
		}
		if want == porcupine.Ok {
			linearizable++
		} else {
			illegal++
		}
	}
	t.Logf("random histories: %d linearizable, %d not linearizable, %d with fewer operations after reduction", linearizable, illegal, reduced)
	if linearizable < runs/5 || illegal < runs/5 || reduced < runs/2 {
		t.Errorf("random histories: %d linearizable (want at least %d), %d not linearizable (want at least %d), %d with fewer operations after reduction (want at least %d)", linearizable, runs/5, illegal, runs/5, reduced, runs/2)
	}
}
