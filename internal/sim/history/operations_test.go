package history

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/anishathalye/porcupine"
)

// randomHistory plays a few operators and readers on one register, which at times gives false answers.
func randomHistory(random *rand.Rand) *History {
	player := &historyPlayer{random: random, history: &History{}, state: register{bodyKnown: true}}
	player.givesFalseAnswers = random.IntN(3) > 0
	for range 10 + random.IntN(14) {
		switch random.IntN(5) {
		case 0, 1:
			player.sendChange()
		case 2:
			player.sendRead()
		default:
			player.answerOne()
		}
	}
	for _, answer := range player.unanswered {
		answer()
	}
	return player.history
}

// historyPlayer is a register with its clients.
type historyPlayer struct {
	random            *rand.Rand
	history           *History
	state             register
	changes           []Change
	unanswered        []func()
	givesFalseAnswers bool
}

// sendChange sends a new change, or one again that was sent before.
func (p *historyPlayer) sendChange() {
	change := newChange(fmt.Sprint("t", len(p.changes)), p.state.version, p.state.version+1+p.random.Uint64N(2))
	if len(p.changes) > 0 && p.random.IntN(3) == 0 {
		change = p.changes[p.random.IntN(len(p.changes))]
	}
	p.changes = append(p.changes, change)
	p.unanswered = append(p.unanswered, p.attempt(change)...)
}

func (p *historyPlayer) sendRead() {
	read := p.history.BeginRead(key)
	version, body := p.state.version, p.state.body
	if p.givesFalseAnswers && p.random.IntN(12) == 0 && version > 0 {
		version--
	}
	p.unanswered = append(p.unanswered, func() { read.Complete(version, body) })
}

func (p *historyPlayer) answerOne() {
	if len(p.unanswered) == 0 {
		return
	}
	index := p.random.IntN(len(p.unanswered))
	p.unanswered[index]()
	p.unanswered = append(p.unanswered[:index], p.unanswered[index+1:]...)
}

// attempt sends a change, and returns its answer, if it gets one.
func (p *historyPlayer) attempt(change Change) []func() {
	attempt := p.history.BeginAttempt(change)
	version, found := p.state.applied.find(change.Token)
	outcome := Acknowledged
	switch {
	case found:
	case p.state.isApplicable(&change) && p.random.IntN(6) > 0:
		p.state = p.state.apply(&change)
		version = p.state.version
	case p.state.isApplicable(&change):
		return nil // the request is lost
	default:
		outcome, version = Rejected, p.state.version
	}
	if p.givesFalseAnswers && p.random.IntN(10) == 0 {
		outcome = Acknowledged + Rejected - outcome
	}
	if p.random.IntN(4) == 0 {
		return nil // the answer is lost
	}
	return []func(){func() { attempt.Complete(outcome, version) }}
}

// The reduction of a history doesn't change the result.
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
			t.Fatalf("history %d: %s, reduced: %s: %s", run, want, got, explain(model(), allOps, limit))
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
	t.Logf("%d linearizable, %d not, %d reduced", linearizable, illegal, reduced)
	if linearizable < runs/5 || illegal < runs/5 || reduced < runs/2 {
		t.Errorf("%d linearizable, %d not, %d reduced: the test doesn't reach both", linearizable, illegal, reduced)
	}
}
