package nodeagent

import (
	"sort"
	"testing"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

func same() *wire.WatchResponse { return &wire.WatchResponse{Outcome: wire.OutcomeUnchanged} }
func news(e uint64, settled bool) *wire.WatchResponse {
	return &wire.WatchResponse{Outcome: wire.OutcomeUpdated, NothingNewer: settled, Document: &wire.Document{Version: e, Body: []byte("x")}}
}

type answer struct {
	m     string
	have  uint64
	asked time.Duration
	t     *wire.WatchResponse
}

func everyOrder(l []answer, f func([]answer)) (n int) {
	var walk func(left, done []answer)
	walk = func(left, done []answer) {
		if len(left) == 0 {
			n++
			f(done)
			return
		}
		for i := range left {
			walk(append(append([]answer(nil), left[:i]...), left[i+1:]...), append(append([]answer(nil), done...), left[i]))
		}
	}
	walk(l, nil)
	return n
}

// Every order of six answers: a configuration is in use only once two members vouch for it, its
// proof is never later than what two of them vouched for, and it never goes back.
func TestEveryOrderOfAnswers(t *testing.T) {
	as := []answer{{"a", 1, 10, same()}, {"b", 1, 20, same()}, {"c", 1, 30, news(2, true)}, {"a", 1, 25, news(2, false)}, {"a", 2, 40, same()}, {"b", 1, 35, news(2, true)}}
	adopted := 0
	n := everyOrder(as, func(l []answer) {
		f := NewFreshnessProof()
		f.HandleResponse("a", 0, 1, news(1, true))
		f.HandleResponse("b", 0, 2, news(1, true))
		vouch := map[uint64]map[string]time.Duration{1: {"a": 1, "b": 2}, 2: {}}
		seen := uint64(1)
		for _, a := range l {
			f.HandleResponse(a.m, a.have, a.asked, a.t)
			if a.t.Outcome == wire.OutcomeUpdated {
				seen = 2
				if a.t.NothingNewer {
					vouch[2][a.m] = max(vouch[2][a.m], a.asked)
				}
			} else if a.have == seen {
				vouch[seen][a.m] = max(vouch[seen][a.m], a.asked)
			}
			use := uint64(1)
			if len(vouch[2]) >= 2 {
				use = 2
			}
			var ts []time.Duration
			for _, x := range vouch[use] {
				ts = append(ts, x)
			}
			sort.Slice(ts, func(i, j int) bool { return ts[i] > ts[j] })
			if f.Document().Version != use || f.FreshUntil() != ts[1] {
				t.Fatalf("after %v: epoch %d with proof %d, want %d with %d", l, f.Document().Version, f.FreshUntil(), use, ts[1])
			}
		}
		if f.Document().Version == 2 {
			adopted++
		}
	})
	if n != 720 || adopted < n/2 {
		t.Fatalf("%d orders, %d ended on the newer configuration", n, adopted)
	}
}

func TestOneMemberIsNoProof(t *testing.T) {
	f := NewFreshnessProof()
	f.HandleResponse("a", 0, 1, news(1, true))
	for i := range 5 {
		f.HandleResponse("a", 1, time.Duration(10+i), same())
	}
	f.HandleResponse("b", 1, 20, &wire.WatchResponse{Outcome: wire.OutcomeUnknown})
	if f.FreshUntil() != 0 || f.Document() != nil {
		t.Fatalf("one member's word was taken for a majority's: %d", f.FreshUntil())
	}
}

// What feeds the worker table, and what proxies are shown for it.
func TestWorkerTable(t *testing.T) {
	b := settings.DefaultBounds()
	x := contract.ListedWorker{Name: "worker-1", Addr: "127.0.0.1:1", Kind: "lm", Service: "s"}
	ok := contract.WorkerState{Name: "worker-1", Weights: 1, Slots: 4}
	at := func(f float64) time.Duration { return time.Second + b.Leave(f) }
	fresh := func() *WorkerTable {
		w := NewWorkerTable(b)
		w.ApplyList([]contract.ListedWorker{x}, time.Second)
		w.StartProbes()
		w.RecordProbe(x, ok, true, time.Second, time.Second)
		return w
	}
	state := func(w *WorkerTable, drains map[string]bool, now time.Duration) int {
		rows := w.Rows(drains, now)
		if len(rows) == 0 {
			return -1
		}
		return int(rows[0].State)
	}
	for _, c := range []struct {
		name string
		do   func(*WorkerTable)
		now  time.Duration
		want int
	}{
		{"listed and probed", func(*WorkerTable) {}, at(0.1), int(updatestream.WorkerUp)},
		{"silent for longer than the ratio", func(*WorkerTable) {}, at(0.7), int(updatestream.WorkerGone)},
		{"not listed any more", func(w *WorkerTable) { w.ApplyList(nil, at(0.1)) }, at(0.1), -1},
		{"warned by the platform", func(w *WorkerTable) { y := x; y.Draining = true; w.ApplyList([]contract.ListedWorker{y}, at(0.1)) }, at(0.1), int(updatestream.WorkerDraining)},
		{"says itself that it drains", func(w *WorkerTable) { s := ok; s.Draining = true; w.RecordProbe(x, s, true, at(0.1), at(0.1)) }, at(0.1), int(updatestream.WorkerDraining)},
		{"a go failed after its last probe", func(w *WorkerTable) {
			w.RecordAttempts([]*wire.AttemptReport{{Worker: "worker-1", Failures: 1}}, at(0.1))
		}, at(0.1), int(updatestream.WorkerSuspect)},
		{"a good probe clears a failed go", func(w *WorkerTable) {
			w.RecordAttempts([]*wire.AttemptReport{{Worker: "worker-1", Failures: 1}}, at(0.1))
			w.RecordProbe(x, ok, true, at(0.2), at(0.2))
		}, at(0.2), int(updatestream.WorkerUp)},
		{"a stranger at its address", func(w *WorkerTable) { w.RecordProbe(x, contract.WorkerState{Name: "worker-9"}, true, at(0.1), at(0.1)) }, at(0.1), int(updatestream.WorkerSuspect)},
		{"listed at another address: another incarnation", func(w *WorkerTable) { y := x; y.Addr = "127.0.0.1:2"; w.ApplyList([]contract.ListedWorker{y}, at(0.1)) }, at(0.1), int(updatestream.WorkerGone)},
		{"an old address's probe comes late", func(w *WorkerTable) {
			y := x
			y.Addr = "127.0.0.1:2"
			w.ApplyList([]contract.ListedWorker{y}, at(0.1))
			w.RecordProbe(x, ok, true, at(0.1), at(0.1))
		}, at(0.1), int(updatestream.WorkerGone)},
	} {
		w := fresh()
		c.do(w)
		if got := state(w, nil, c.now); got != c.want {
			t.Errorf("%s: state %d, want %d", c.name, got, c.want)
		}
	}
	if got := state(fresh(), map[string]bool{"worker-1": true}, at(0.1)); got != int(updatestream.WorkerDraining) {
		t.Errorf("drained by the configuration: state %d", got)
	}
}

// A worker is warned, drained, drains by itself and fails a probe, in every order: from the
// first of it on it gets nothing new, and once it isn't listed it isn't there.
func TestEveryOrderOfAWorkerLeaving(t *testing.T) {
	b := settings.DefaultBounds()
	x := contract.ListedWorker{Name: "w", Addr: "127.0.0.1:1", Kind: "lm"}
	n := 0
	var walk func(done []int, used int)
	walk = func(done []int, used int) {
		if len(done) < 4 {
			for i := range 4 {
				if used&(1<<i) == 0 {
					walk(append(append([]int(nil), done...), i), used|1<<i)
				}
			}
			return
		}
		n++
		w, now := NewWorkerTable(b), time.Second
		w.ApplyList([]contract.ListedWorker{x}, now)
		w.StartProbes()
		w.RecordProbe(x, contract.WorkerState{Name: "w", Weights: 1}, true, now, now)
		var drains map[string]bool
		if w.Rows(drains, now)[0].State != updatestream.WorkerUp {
			t.Fatal("it isn't up to begin with")
		}
		l, s, unlisted := x, contract.WorkerState{Name: "w", Weights: 1}, false
		for _, i := range done {
			now += 10 * time.Millisecond
			switch i {
			case 0:
				l.Draining = true
			case 1:
				drains = map[string]bool{"w": true}
			case 2:
				s.Draining = true
			case 3:
				unlisted = true
			}
			if !unlisted {
				w.ApplyList([]contract.ListedWorker{l}, now)
			} else {
				w.ApplyList(nil, now)
			}
			w.RecordProbe(l, s, true, now, now)
			rows := w.Rows(drains, now)
			if unlisted != (len(rows) == 0) || !unlisted && rows[0].State != updatestream.WorkerDraining {
				t.Fatalf("after %v, at %d: %v", done, i, rows)
			}
		}
	}
	walk(nil, 0)
	if n != 24 {
		t.Fatalf("%d orders", n)
	}
}
