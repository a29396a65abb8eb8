package clustermembership

import (
	"os"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/settings"
)

// What a node sends at 1, 4 and 16 times today's 26 nodes, at rest and while ten come and
// go: beats a second stay as they are, and a beat's size is bounded by what is news.
func TestTrafficPerNodeStaysBounded(t *testing.T) {
	beat := settings.DefaultBounds().Leave(0.1)
	sizes := []int{26, 104}
	if os.Getenv("GROWTH") != "" { // slow under the race detector
		sizes = append(sizes, 416)
	}
	for _, n := range sizes {
		s := newSite(n, 9)
		s.limit = n
		s.run(14 * time.Second) // until all news of the joining has spread
		measure := func(d time.Duration) (beats, bytes float64) {
			s.sent, s.bytes = 0, 0
			s.run(d)
			per := float64(n) * d.Seconds()
			return float64(s.sent) / per, float64(s.bytes) / per
		}
		rb, rs := measure(4 * time.Second)
		for i := range 10 {
			s.down[addr(3+i)] = true
		}
		mb, ms := measure(4 * time.Second)
		t.Logf("%3d nodes, a beat every %v: at rest %.1f beats, %.0f bytes a second and node; ten gone: %.1f beats, %.0f bytes", n, beat, rb, rs, mb, ms)
		if rb > 12 || mb > 14 || rs > 2048 {
			t.Errorf("%d nodes: %.1f beats and %.0f bytes a second and node at rest, %.1f beats when ten go", n, rb, rs, mb)
		}
	}
}

func size(m proto.Message) int { return proto.Size(m) }
