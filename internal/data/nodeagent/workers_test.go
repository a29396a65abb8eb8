package nodeagent

import (
	"testing"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

var (
	listedWorker = contract.ListedWorker{Name: "worker-1", Addr: "127.0.0.1:1", Kind: "lm", Service: "s"}
	healthyState = contract.WorkerState{Name: "worker-1", Weights: 1, Slots: 4}
	failedReport = []*wire.AttemptReport{{Worker: "worker-1", Failures: 1}}
)

// afterProbe is an instant after the first successful probe, by a ratio of the leave bound.
func afterProbe(ratio float64) time.Duration {
	return time.Second + settings.DefaultBounds().Leave(ratio)
}

// newProbedTable makes a table with one worker, which was probed successfully.
func newProbedTable() *WorkerTable {
	workers := NewWorkerTable(settings.DefaultBounds())
	workers.ApplyList([]contract.ListedWorker{listedWorker}, time.Second)
	workers.StartProbes()
	workers.RecordProbe(listedWorker, healthyState, true, time.Second, time.Second)
	return workers
}

const notInTable = -1

// healthOf is the state of the only worker of a table.
func healthOf(workers *WorkerTable, draining map[string]bool, now time.Duration) int {
	rows := workers.Rows(draining, now)
	if len(rows) == 0 {
		return notInTable
	}
	return int(rows[0].State)
}

// What changes a worker's health, as proxies see it.
func TestWorkerHealth(t *testing.T) {
	draining, moved, drainingState := listedWorker, listedWorker, healthyState
	draining.Draining, drainingState.Draining = true, true
	moved.Addr = "127.0.0.1:2"
	afterward := afterProbe(0.1)
	for _, test := range []struct {
		name  string
		event func(*WorkerTable)
		now   time.Duration
		want  int
	}{
		{"listed and probed", func(*WorkerTable) {}, afterward, int(updatestream.WorkerUp)},
		{"silent for longer than the ratio", func(*WorkerTable) {}, afterProbe(0.7), int(updatestream.WorkerGone)},
		{"not listed any more", func(workers *WorkerTable) { workers.ApplyList(nil, afterward) }, afterward, notInTable},
		{"draining by the platform's list", func(workers *WorkerTable) {
			workers.ApplyList([]contract.ListedWorker{draining}, afterward)
		}, afterward, int(updatestream.WorkerDraining)},
		{"draining by its own report", func(workers *WorkerTable) {
			workers.RecordProbe(listedWorker, drainingState, true, afterward, afterward)
		}, afterward, int(updatestream.WorkerDraining)},
		{"an attempt failed after its last probe", func(workers *WorkerTable) {
			workers.RecordAttempts(failedReport, afterward)
		}, afterward, int(updatestream.WorkerSuspect)},
		{"a successful probe clears a failed attempt", func(workers *WorkerTable) {
			workers.RecordAttempts(failedReport, afterward)
			workers.RecordProbe(listedWorker, healthyState, true, afterProbe(0.2), afterProbe(0.2))
		}, afterProbe(0.2), int(updatestream.WorkerUp)},
		{"another worker at its address", func(workers *WorkerTable) {
			workers.RecordProbe(listedWorker, contract.WorkerState{Name: "worker-9"}, true, afterward, afterward)
		}, afterward, int(updatestream.WorkerSuspect)},
		{"listed at another address: another incarnation", func(workers *WorkerTable) {
			workers.ApplyList([]contract.ListedWorker{moved}, afterward)
		}, afterward, int(updatestream.WorkerGone)},
		{"an old address's probe comes late", func(workers *WorkerTable) {
			workers.ApplyList([]contract.ListedWorker{moved}, afterward)
			workers.RecordProbe(listedWorker, healthyState, true, afterward, afterward)
		}, afterward, int(updatestream.WorkerGone)},
	} {
		t.Run(test.name, func(t *testing.T) {
			workers := newProbedTable()
			test.event(workers)
			if got := healthOf(workers, nil, test.now); got != test.want {
				t.Errorf("state %d, want %d", got, test.want)
			}
		})
	}
	if got := healthOf(newProbedTable(), map[string]bool{"worker-1": true}, afterward); got != int(updatestream.WorkerDraining) {
		t.Errorf("draining by the configuration: state %d", got)
	}
}

// A worker is draining by the platform's list, by the configuration and by its own report, and is no longer
// listed, in every order: from the first of these on it gets no new requests, and an unlisted one has no row.
func TestDrainingWorkerGetsNoRequestsInEveryOrder(t *testing.T) {
	bounds := settings.DefaultBounds()
	listed := contract.ListedWorker{Name: "w", Addr: "127.0.0.1:1", Kind: "lm"}
	orders := 0
	var visit func(done []int, used int)
	visit = func(done []int, used int) {
		if len(done) < 4 {
			for i := range 4 {
				if used&(1<<i) == 0 {
					visit(append(append([]int(nil), done...), i), used|1<<i)
				}
			}
			return
		}
		orders++
		workers, now := NewWorkerTable(bounds), time.Second
		workers.ApplyList([]contract.ListedWorker{listed}, now)
		workers.StartProbes()
		workers.RecordProbe(listed, contract.WorkerState{Name: "w", Weights: 1}, true, now, now)
		var draining map[string]bool
		if workers.Rows(draining, now)[0].State != updatestream.WorkerUp {
			t.Fatal("it isn't up at the start")
		}
		changed, state, unlisted := listed, contract.WorkerState{Name: "w", Weights: 1}, false
		for _, i := range done {
			now += 10 * time.Millisecond
			switch i {
			case 0:
				changed.Draining = true
			case 1:
				draining = map[string]bool{"w": true}
			case 2:
				state.Draining = true
			case 3:
				unlisted = true
			}
			if !unlisted {
				workers.ApplyList([]contract.ListedWorker{changed}, now)
			} else {
				workers.ApplyList(nil, now)
			}
			workers.RecordProbe(changed, state, true, now, now)
			rows := workers.Rows(draining, now)
			if unlisted != (len(rows) == 0) || !unlisted && rows[0].State != updatestream.WorkerDraining {
				t.Fatalf("after %v, at %d: %v", done, i, rows)
			}
		}
	}
	visit(nil, 0)
	if orders != 24 {
		t.Fatalf("%d orders", orders)
	}
}
