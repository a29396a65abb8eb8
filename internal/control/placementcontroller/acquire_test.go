package placementcontroller

import (
	"testing"
	"testing/synctest"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// After a lease was lost and acquired again, or after a write of the placement failed, the controller still has the
// previous placement in memory but not its stored document. Until it has read the document again, it must neither
// advance the rollout nor write the placement.
func TestRolloutWaitsForStoredPlacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clk := clock.Synctest()
		process := daemon.NewIn(daemon.Environment{Clock: clk}, "placement", settings.Process{Name: "core-1", Bounds: settings.DefaultBounds(), Options: []string{"log=off"}})
		defer process.Stop(0)
		controller := &Controller{process: process, clock: clk}
		lease := controlclient.NewLease(nil, clk, "d", 1, "core-1/1", process.Settings.Bounds.Recovery(settings.LeaseRatio))
		lease.HandleResponse(clk.Now(), &wire.ChangeResponse{Outcome: wire.OutcomeDone, Fence: 4})
		service := &serviceController{name: "s", lease: lease, placement: &placement.Placement{Service: "s"}}
		snapshot := &updatestream.Snapshot{
			Workers: []*wire.Worker{{Name: "w1", Service: "s", Kind: languageModelKind, Model: "m", Weights: 1}},
			Weights: map[string]updatestream.WeightsHistory{"m": {Version: 2}},
		}
		if err := controller.stepRollout(service, snapshot, serviceconfig.Service{Model: "m"}); err != nil || len(service.rollout.Batch) != 0 {
			t.Errorf("rollout without a stored placement: batch %v, error %v, want an empty batch and no error", service.rollout.Batch, err)
		}
	})
}
