package selection

import (
	"hash/fnv"
	"math"
	"time"

	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/wire"
)

// Units of the numbers in load reports between edge machines. All releases that run together have to agree on
// them.
const (
	// Number of tokens in one unit of the pending prompt tokens, those still to be prefilled, in load reports.
	pendingTokensUnit = 64
	// Number by which outcome counts are multiplied in load reports: they are reported in eighths.
	outcomesPerCount = 8
)

// workerListHash returns a hash of a list of workers, so that load reports can refer to workers by their
// position in the list.
func (t *table) workerListHash(workers []fleet.Worker) uint64 {
	if t.layout != nil && isSameList(t.layout.snapshot.Workers, workers) {
		return t.layout.workerListHash
	}
	hash := fnv.New64a()
	for i := range workers {
		_, _ = hash.Write([]byte(workers[i].ID))
		_, _ = hash.Write([]byte{0})
	}
	return hash.Sum64()
}

// isSameList reports whether two slices share their memory. That suffices to detect the same list of workers,
// because lists in snapshots are immutable.
func isSameList(a, b []fleet.Worker) bool {
	return len(a) > 0 && len(a) == len(b) && &a[0] == &b[0]
}

// localLoads returns the load report of this edge machine: its current requests, prompt tokens to prefill and
// recent outcomes at each worker. Workers for which all of these are 0 are omitted.
func (t *table) localLoads(now time.Duration) *wire.WorkerLoads {
	if t.layout == nil {
		return nil
	}
	overdue, pendingTokens := t.pendingFirstEvents(now)
	loads := &wire.WorkerLoads{WorkerListHash: t.layout.workerListHash}
	for i := range t.layout.snapshot.Workers {
		worker := t.workers[t.layout.snapshot.Workers[i].ID]
		if worker == nil {
			continue
		}
		worker.outcomes.add(0, 0, now, t.outcomeDecayTime())
		succeeded := uint32(math.Round(worker.outcomes.succeeded * outcomesPerCount))
		failed := uint32(math.Round((worker.outcomes.failed + overdue[worker]) * outcomesPerCount))
		pending := uint32(pendingTokens[worker] / pendingTokensUnit)
		if worker.inFlight <= 0 && pending == 0 && succeeded == 0 && failed == 0 {
			continue
		}
		loads.WorkerIndexes = append(loads.WorkerIndexes, uint32(i))
		loads.InFlight = append(loads.InFlight, uint32(max(0, worker.inFlight)))
		loads.PendingPrefill = append(loads.PendingPrefill, pending)
		loads.Successes = append(loads.Successes, succeeded)
		loads.Failures = append(loads.Failures, failed)
	}
	return loads
}

// pendingFirstEvents returns, by worker, the number of attempts whose first response event is overdue, and the
// prompt tokens to prefill of all attempts without a first response event.
func (t *table) pendingFirstEvents(now time.Duration) (overdue, tokens map[*workerStats]float64) {
	overdue, tokens = map[*workerStats]float64{}, map[*workerStats]float64{}
	for _, sent := range t.inFlight {
		if sent.firstEventSeen {
			continue
		}
		tokens[sent.stats] += sent.prefillTokens
		if now >= sent.firstEventDue {
			overdue[sent.stats]++
		}
	}
	return overdue, tokens
}

// applyOthersLoads applies the summed load report of the other edge machines. The report is ignored if it
// refers to a different list of workers, is malformed, or has no reporting edge machine.
func (t *table) applyOthersLoads(loads *wire.WorkerLoads, now time.Duration) {
	if t.layout == nil || loads.WorkerListHash != t.layout.workerListHash || loads.Reporters == 0 || !promptindex.IsValidReport(loads) {
		return
	}
	rows := make(map[uint32]int, len(loads.WorkerIndexes))
	for i, index := range loads.WorkerIndexes {
		rows[index] = i
	}
	for _, group := range t.layout.groups {
		t.applyGroupLoads(group, loads, rows, now)
	}
}

// applyGroupLoads applies the loads that other edge machines reported to the workers of one service. rows maps
// a worker's position in the snapshot's list of workers to its position in the report.
func (t *table) applyGroupLoads(group *serviceGroup, loads *wire.WorkerLoads, rows map[uint32]int, now time.Duration) {
	totalLoad, totalSucceeded, totalFailed := 0.0, 0.0, 0.0
	for i := range group.candidates {
		worker := group.candidates[i].stats
		worker.othersLoad, worker.othersPendingTokens, worker.othersSucceeded, worker.othersFailed = 0, 0, 0, 0
		if row, isReported := rows[group.candidates[i].index]; isReported {
			worker.othersLoad = float64(loads.InFlight[row])
			worker.othersPendingTokens = float64(loads.PendingPrefill[row]) * pendingTokensUnit
			worker.othersSucceeded = float64(loads.Successes[row]) / outcomesPerCount
			worker.othersFailed = float64(loads.Failures[row]) / outcomesPerCount
		}
		worker.reportedAt, worker.hasReported = now, true
		worker.outcomes.add(0, 0, now, t.outcomeDecayTime())
		totalLoad += worker.othersLoad
		totalSucceeded = totalSucceeded + worker.othersSucceeded + worker.outcomes.succeeded
		totalFailed = totalFailed + worker.othersFailed + worker.outcomes.failed
	}
	if len(group.candidates) > 0 {
		service := group.candidates[0].stats.service
		service.reportsLoad, service.meanOthersLoad = true, totalLoad/float64(len(group.candidates))
	}
	for i := range group.candidates {
		t.ejectIfSuspect(group.candidates[i].stats, totalSucceeded, totalFailed, now)
	}
}
