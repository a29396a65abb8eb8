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

// afterProbe returns the time at which a ratio of Bounds.Leave has passed since the successful probe of
// newProbedTable.
func afterProbe(ratio float64) time.Duration {
	return time.Second + settings.DefaultBounds().Leave(ratio)
}

// newProbedTable returns a table with one worker, which was probed successfully at time 1 s.
func newProbedTable() *WorkerTable {
	workers := NewWorkerTable(settings.DefaultBounds())
	workers.ApplyList([]contract.ListedWorker{listedWorker}, time.Second)
	workers.StartProbes()
	workers.RecordProbe(listedWorker, healthyState, true, time.Second, time.Second)
	return workers
}

// notInTable is the result of healthOf for an empty table.
const notInTable = -1

// healthOf returns the health state of the only worker in a table, or notInTable if the table is empty.
func healthOf(workers *WorkerTable, draining map[string]bool, now time.Duration) int {
	rows := workers.Rows(draining, now)
	if len(rows) == 0 {
		return notInTable
	}
	return int(rows[0].State)
}

// The platform's worker list, health probes, failed attempts of the proxy and the configuration determine the health
// state of a worker that proxies see.
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
		{"worker is listed and was probed successfully", func(*WorkerTable) {}, afterward, int(updatestream.WorkerUp)},
		{"last successful probe of the worker is too long ago", func(*WorkerTable) {}, afterProbe(0.7), int(updatestream.WorkerGone)},
		{"worker was removed from the platform's list", func(workers *WorkerTable) { workers.ApplyList(nil, afterward) }, afterward, notInTable},
		{"worker is draining in the platform's list", func(workers *WorkerTable) {
			workers.ApplyList([]contract.ListedWorker{draining}, afterward)
		}, afterward, int(updatestream.WorkerDraining)},
		{"worker reports itself as draining in a probe", func(workers *WorkerTable) {
			workers.RecordProbe(listedWorker, drainingState, true, afterward, afterward)
		}, afterward, int(updatestream.WorkerDraining)},
		{"attempt of the proxy failed after the last probe of the worker", func(workers *WorkerTable) {
			workers.RecordAttempts(failedReport, afterward)
		}, afterward, int(updatestream.WorkerSuspect)},
		{"successful probe of the worker after a failed attempt of the proxy", func(workers *WorkerTable) {
			workers.RecordAttempts(failedReport, afterward)
			workers.RecordProbe(listedWorker, healthyState, true, afterProbe(0.2), afterProbe(0.2))
		}, afterProbe(0.2), int(updatestream.WorkerUp)},
		{"a different worker responds to a probe of the listed address", func(workers *WorkerTable) {
			workers.RecordProbe(listedWorker, contract.WorkerState{Name: "worker-9"}, true, afterward, afterward)
		}, afterward, int(updatestream.WorkerSuspect)},
		{"worker is listed with a new address and not probed there yet", func(workers *WorkerTable) {
			workers.ApplyList([]contract.ListedWorker{moved}, afterward)
		}, afterward, int(updatestream.WorkerGone)},
		{"late successful probe of the old address of a worker listed with a new one", func(workers *WorkerTable) {
			workers.ApplyList([]contract.ListedWorker{moved}, afterward)
			workers.RecordProbe(listedWorker, healthyState, true, afterward, afterward)
		}, afterward, int(updatestream.WorkerGone)},
	} {
		t.Run(test.name, func(t *testing.T) {
			workers := newProbedTable()
			test.event(workers)
			if got := healthOf(workers, nil, test.now); got != test.want {
				t.Errorf("health state of the only worker in the table: got %d, want %d (0 up, 1 suspect, 2 draining, 3 gone, -1 not in the table)", got, test.want)
			}
		})
	}
	if got := healthOf(newProbedTable(), map[string]bool{"worker-1": true}, afterward); got != int(updatestream.WorkerDraining) {
		t.Errorf("health state of a worker that is draining in the configuration: got %d, want 2 (draining)", got)
	}
}

// A worker is marked as draining in the platform's list, in the configuration and in its own report, and is removed from
// the list, in every order of these four events. From the first event on it must get no new requests, and after its
// removal it must have no row.
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
			t.Fatalf("health state of a listed and successfully probed worker that is not draining: got %d, want 0 (WorkerUp)", workers.Rows(draining, now)[0].State)
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
				t.Fatalf("order of events %v, after event %d (0 to 2: draining, 3: removal): got worker rows %v, want one draining worker, or no row after the removal", done, i, rows)
			}
		}
	}
	visit(nil, 0)
	if orders != 24 {
		t.Fatalf("number of tested orders of the 3 events that drain a worker and of its removal: got %d, want 24", orders)
	}
}
