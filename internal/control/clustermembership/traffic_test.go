package clustermembership

import (
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/settings"
)

// The number of heartbeats per second that a node causes does not grow with the number of nodes, and the size of a
// heartbeat depends only on the number of recent state changes. The test measures sites of 26 and 104 nodes (and of
// 416 if the environment variable GROWTH is set), at rest and while ten nodes fail.
func TestTrafficPerNodeStaysBounded(t *testing.T) {
	period := settings.DefaultBounds().Leave(0.1)
	sizes := []int{26, 104}
	if os.Getenv("GROWTH") != "" { // 416 nodes are simulated only on request, because that is slow under the race detector
		sizes = append(sizes, 416)
	}
	for _, n := range sizes {
		s := newSite(n, 9)
		s.numberLimit = n
		s.run(14 * time.Second) // enough time for all nodes to join and for gossip to come to rest
		restHeartbeats, restBytes := s.measureTraffic(n, 4*time.Second)
		for i := range 10 {
			s.down[addr(3+i)] = true
		}
		failureHeartbeats, failureBytes := s.measureTraffic(n, 4*time.Second)
		t.Logf("site of %3d nodes, heartbeat period %v: %.1f heartbeats and %.0f bytes per second and node at rest, %.1f and %.0f while ten nodes fail",
			n, period, restHeartbeats, restBytes, failureHeartbeats, failureBytes)
		if restHeartbeats > 12 || failureHeartbeats > 14 || restBytes > 2048 {
			t.Errorf("site of %d nodes: %.1f heartbeats and %.0f bytes per second and node at rest, want at most 12 and 2048; %.1f heartbeats while ten nodes fail, want at most 14",
				n, restHeartbeats, restBytes, failureHeartbeats)
		}
	}
}

// measureTraffic runs the simulated site for a duration of virtual time. It returns the average numbers of
// heartbeats and bytes that each of n nodes caused per second; the bytes include the responses to its heartbeats.
func (s *simulatedSite) measureTraffic(n int, d time.Duration) (heartbeats, bytes float64) {
	s.heartbeats, s.bytes = 0, 0
	s.run(d)
	nodeSeconds := float64(n) * d.Seconds()
	return float64(s.heartbeats) / nodeSeconds, float64(s.bytes) / nodeSeconds
}

func size(m proto.Message) int { return proto.Size(m) }
