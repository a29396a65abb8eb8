package clustermembership

import (
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/settings"
)

// What a node sends at 1, 4 and 16 times today's 26 nodes, at rest and while ten fail: the heartbeats
// per second don't grow, and a heartbeat's size is bounded by the number of recent changes.
func TestTrafficPerNodeStaysBounded(t *testing.T) {
	period := settings.DefaultBounds().Leave(0.1)
	sizes := []int{26, 104}
	if os.Getenv("GROWTH") != "" { // slow under the race detector
		sizes = append(sizes, 416)
	}
	for _, n := range sizes {
		s := newSite(n, 9)
		s.maxNumber = n
		s.run(14 * time.Second) // until all updates of the joining have spread
		restHeartbeats, restBytes := s.measureTraffic(n, 4*time.Second)
		for i := range 10 {
			s.down[addr(3+i)] = true
		}
		failureHeartbeats, failureBytes := s.measureTraffic(n, 4*time.Second)
		t.Logf("%3d nodes, a heartbeat every %v: at rest %.1f heartbeats, %.0f bytes a second and node; ten fail: %.1f heartbeats, %.0f bytes",
			n, period, restHeartbeats, restBytes, failureHeartbeats, failureBytes)
		if restHeartbeats > 12 || failureHeartbeats > 14 || restBytes > 2048 {
			t.Errorf("%d nodes: %.1f heartbeats and %.0f bytes a second and node at rest, %.1f heartbeats when ten fail",
				n, restHeartbeats, restBytes, failureHeartbeats)
		}
	}
}

// measureTraffic returns what each of n nodes sends per second, on average over a time.
func (s *simulatedSite) measureTraffic(n int, d time.Duration) (heartbeats, bytes float64) {
	s.heartbeats, s.bytes = 0, 0
	s.run(d)
	nodeSeconds := float64(n) * d.Seconds()
	return float64(s.heartbeats) / nodeSeconds, float64(s.bytes) / nodeSeconds
}

func size(m proto.Message) int { return proto.Size(m) }
