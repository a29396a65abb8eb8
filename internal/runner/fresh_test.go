package runner

import (
	"testing"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/feed"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

func same() *wire.NewsTell { return &wire.NewsTell{Outcome: "same"} }
func news(e uint64) *wire.NewsTell {
	return &wire.NewsTell{Outcome: "news", Doc: &wire.Doc{Epoch: e, Body: []byte("x")}}
}

// Every order of four answers: the proof is never later than what two members vouched for
// under the epoch in use.
func TestEveryOrderOfAnswers(t *testing.T) {
	type ans struct {
		m     string
		have  uint64
		asked time.Duration
		t     *wire.NewsTell
	}
	as := []ans{{"a", 1, 10, same()}, {"b", 1, 20, same()}, {"c", 1, 30, news(2)}, {"a", 2, 40, same()}, {"b", 2, 50, same()}}
	orders := 0
	var walk func(left []ans, done []ans)
	walk = func(left, done []ans) {
		if len(left) > 0 {
			for i := range left {
				walk(append(append([]ans(nil), left[:i]...), left[i+1:]...), append(append([]ans(nil), done...), left[i]))
			}
			return
		}
		orders++
		f := NewFresh(3)
		f.Hear("c", 0, 1, news(1))
		vouch := map[string]time.Duration{}
		epoch := uint64(1)
		for _, a := range done {
			f.Hear(a.m, a.have, a.asked, a.t)
			if a.t.Outcome == "news" {
				epoch = 2
				clear(vouch)
			} else if a.have == epoch {
				vouch[a.m] = a.asked
			}
			want := time.Duration(0)
			if len(vouch) == 2 {
				want = min(vouch["a"], vouch["b"])
			}
			if f.Proof() != want || f.Epoch() != epoch {
				t.Fatalf("after %v: proof %d, want %d; epoch %d, want %d", done, f.Proof(), want, f.Epoch(), epoch)
			}
		}
	}
	walk(as, nil)
	if orders != 120 {
		t.Fatalf("%d orders", orders)
	}
}

func TestOneMemberIsNoProof(t *testing.T) {
	f := NewFresh(3)
	f.Hear("a", 0, 1, news(1))
	for i := range 5 {
		f.Hear("a", 1, time.Duration(10+i), same())
	}
	f.Hear("b", 1, 20, &wire.NewsTell{Outcome: "cant-say"})
	if f.Proof() != 0 {
		t.Fatalf("one member's word was taken for a majority's: %d", f.Proof())
	}
}

// What feeds the worker table, and what dispatchers are shown for it.
func TestWorkerTable(t *testing.T) {
	b := settings.Default()
	x := contract.Listed{Name: "cab-1", Addr: "127.0.0.1:1", Kind: "lm", Service: "s"}
	ok := contract.State{Name: "cab-1", Weights: 1, Slots: 4}
	at := func(f float64) time.Duration { return time.Second + b.Leave(f) }
	fresh := func() *Workers {
		w := NewWorkers(b)
		w.Listed([]contract.Listed{x}, time.Second)
		w.Probe()
		w.Probed(x, ok, true, time.Second, time.Second)
		return w
	}
	state := func(w *Workers, drains map[string]bool, now time.Duration) int {
		rows := w.Table(drains, now)
		if len(rows) == 0 {
			return -1
		}
		return int(rows[0].State)
	}
	for _, c := range []struct {
		name string
		do   func(*Workers)
		now  time.Duration
		want int
	}{
		{"listed and probed", func(*Workers) {}, at(0.1), int(feed.WorkerUp)},
		{"silent for longer than the ratio", func(*Workers) {}, at(0.7), int(feed.WorkerGone)},
		{"not listed any more", func(w *Workers) { w.Listed(nil, at(0.1)) }, at(0.1), -1},
		{"warned by the platform", func(w *Workers) { y := x; y.Draining = true; w.Listed([]contract.Listed{y}, at(0.1)) }, at(0.1), int(feed.WorkerDraining)},
		{"says itself that it drains", func(w *Workers) { s := ok; s.Draining = true; w.Probed(x, s, true, at(0.1), at(0.1)) }, at(0.1), int(feed.WorkerDraining)},
		{"a go failed after its last probe", func(w *Workers) { w.Goes([]*wire.GoReport{{Worker: "cab-1", Errors: 1}}, at(0.1)) }, at(0.1), int(feed.WorkerUnsure)},
		{"a good probe clears a failed go", func(w *Workers) {
			w.Goes([]*wire.GoReport{{Worker: "cab-1", Errors: 1}}, at(0.1))
			w.Probed(x, ok, true, at(0.2), at(0.2))
		}, at(0.2), int(feed.WorkerUp)},
		{"a stranger at its address", func(w *Workers) { w.Probed(x, contract.State{Name: "cab-9"}, true, at(0.1), at(0.1)) }, at(0.1), int(feed.WorkerUnsure)},
		{"listed at another address: another life", func(w *Workers) { y := x; y.Addr = "127.0.0.1:2"; w.Listed([]contract.Listed{y}, at(0.1)) }, at(0.1), int(feed.WorkerGone)},
		{"an old address's probe comes late", func(w *Workers) {
			y := x
			y.Addr = "127.0.0.1:2"
			w.Listed([]contract.Listed{y}, at(0.1))
			w.Probed(x, ok, true, at(0.1), at(0.1))
		}, at(0.1), int(feed.WorkerGone)},
	} {
		w := fresh()
		c.do(w)
		if got := state(w, nil, c.now); got != c.want {
			t.Errorf("%s: state %d, want %d", c.name, got, c.want)
		}
	}
	if got := state(fresh(), map[string]bool{"cab-1": true}, at(0.1)); got != int(feed.WorkerDraining) {
		t.Errorf("drained by the setup: state %d", got)
	}
}
