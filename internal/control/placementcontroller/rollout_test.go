package placementcontroller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// workersWithOldWeights returns n workers with version 1 of the weights.
func workersWithOldWeights(n int) []*wire.Worker {
	var workers []*wire.Worker
	for i := range n {
		workers = append(workers, &wire.Worker{Name: fmt.Sprintf("w%02d", i), Weights: 1})
	}
	return workers
}

// A rollout cordons a batch before it orders it, keeps two thirds of the workers in service, and is done within
// eight tenths of the weights bound. This must also hold if another lease holder takes over in the middle, if a
// worker does not obey its first orders, and for weights bounds of both 20 s and 25 s.
func TestRolloutIsPaced(t *testing.T) {
	for _, bound := range []int{20000, 25000} {
		bounds := settings.DefaultBounds()
		bounds.WeightsMs = bound
		workers := workersWithOldWeights(18)
		rollout, orders, largest, done := &Rollout{}, map[string]int{}, 0, time.Duration(0)
		cordonedAt := map[string]time.Duration{}
		for now := time.Duration(0); now < 30*time.Second; now += 500 * time.Millisecond {
			if now == 4*time.Second {
				rollout = &Rollout{Batch: rollout.Batch, CordonedAt: now} // another lease holder resumes from the stored placement
			}
			due, changed := rollout.Step(workers, 2, func(uint64) time.Duration { return now }, now, bounds)
			if changed {
				for _, name := range rollout.Batch {
					cordonedAt[name] = now
				}
			}
			largest = max(largest, len(rollout.Batch))
			for _, worker := range due {
				if now-cordonedAt[worker.Name] < bounds.Recovery(cordonRatio) {
					t.Fatalf("worker %s got its order only %v after it was cordoned, want the time that proxies need to learn of the cordon", worker.Name, now-cordonedAt[worker.Name])
				}
				if orders[worker.Name]++; worker.Name != "w03" || orders[worker.Name] > 2 {
					worker.Weights = 2
				}
			}
			outdated := slices.ContainsFunc(workers, func(worker *wire.Worker) bool { return worker.Weights < 2 })
			if !outdated && done == 0 {
				done = now
			}
		}
		if limit := time.Duration(bound) * time.Millisecond * 8 / 10; done == 0 || done > limit {
			t.Errorf("rollout with a weights bound of %d ms: done after %v (0 means never), want at most %v", bound, done, limit)
		}
		if largest > 6 || len(rollout.Batch) > 0 {
			t.Errorf("%d workers were cordoned at the same time and %v remain cordoned, want at most 6 of 18 and none at the end", largest, rollout.Batch)
		}
	}
}

// If a second version of the weights follows during a rollout, the workers with the oldest weights are updated
// first. Their time limit counts from when their own weights were superseded, not from the latest version.
func TestRolloutOfWeightsNamedAgain(t *testing.T) {
	bounds := settings.DefaultBounds()
	workers := workersWithOldWeights(18)
	rollout, want := &Rollout{}, uint64(2)
	for now := time.Duration(0); now < 30*time.Second; now += 500 * time.Millisecond {
		if now == 6*time.Second {
			want = 3
		}
		since := func(weights uint64) time.Duration { return now - 6*time.Second*time.Duration(weights-1) }
		due, _ := rollout.Step(workers, want, since, now, bounds)
		for _, worker := range due {
			worker.Weights = want
		}
		for _, worker := range workers {
			if limit := bounds.Weights(0.8) + 6*time.Second*time.Duration(worker.Weights-1); worker.Weights < want && now > limit {
				t.Fatalf("worker %s still has version %d of the weights after %v, beyond eight tenths of the weights bound", worker.Name, worker.Weights, now)
			}
		}
	}
}
