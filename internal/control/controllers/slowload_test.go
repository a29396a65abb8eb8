package controllers

import (
	"fmt"
	"testing"
	"time"

	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/fleet"
)

// A load that takes a fifth of the bound is no reason for haste: the last ones may go on when the
// older weights are no longer selected. Until then a quarter of the workers is out at the most.
func TestSlowLoadsDontRaiseConcurrency(t *testing.T) {
	b := bounds()
	b.WeightsMs = 15000
	r := NewRollout(b, nil)
	const n = 18
	ws := make([]fleet.Worker, n)
	for i := range ws {
		ws[i] = worker(fmt.Sprintf("%03d", i), 1)
	}
	done := map[string]time.Duration{}
	for now := time.Duration(0); now < b.Weights(1.2); now += 25 * time.Millisecond {
		a := r.Step(RolloutInputs{Now: now, Workers: ws, NamedVersions: map[string]uint64{"daka": 2}, NamedAt: map[string]time.Duration{"daka": 0}, UpdatedServices: map[string]bool{"reading": true}})
		r.ConfirmCordoned(a.Cordoned["reading"], now)
		for _, o := range a.Orders {
			done[o.Worker.ID] = now + 2600*time.Millisecond
			r.HandleOrderOutcome(o, backend.OutcomeStarted, now)
		}
		busy, old := 0, 0
		for i, w := range ws {
			if at, ok := done[w.ID]; ok && at > now {
				busy++
			}
			if ws[i].Weights["daka"] == 1 {
				old++
			}
		}
		if busy > n/4+1 {
			t.Fatalf("%d load at %v", busy, now)
		}
		if now == b.Weights(0.85)/(25*time.Millisecond)*(25*time.Millisecond) && old > n/3 {
			t.Errorf("%d have old weights when those are selected no more", old)
		}
		for _, w := range a.Reports {
			v := uint64(1)
			if now >= done[w.ID] {
				v = 2
			}
			if _, v := r.HandleReport(w.ID, backend.Report{Busy: v == 1, Weights: map[string]uint64{"daka": v}}, true, now); v > 0 {
				for i := range ws {
					if ws[i].ID == w.ID {
						ws[i] = worker(w.ID, v)
					}
				}
			}
		}
	}
	for _, w := range ws {
		if w.Weights["daka"] != 2 {
			t.Errorf("%s has old weights", w.ID)
		}
	}
}
