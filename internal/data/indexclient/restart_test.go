package indexclient

import (
	"context"
	"testing"

	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/wire"
)

// Index nodes that have just begun can't say that nobody keeps a part: that is a miss, not an
// answer.
func TestAColdIndexKnowsOfNobody(t *testing.T) {
	x := &index{held: map[prefix.Key]string{key(3): "w"}}
	run(t, x, func(s *Client, serving []*wire.Node) {
		for _, n := range serving {
			x.set(n.Addr, "cold")
		}
		if m := s.Lookup(context.Background(), keys(5), wait); len(m) != 0 {
			t.Errorf("%d answers from nodes that know nothing yet", len(m))
		}
		for _, n := range serving {
			x.set(n.Addr, "")
		}
		pass(s.bounds.Heal(lateNodeRatio))
		if m := s.Lookup(context.Background(), keys(5), wait); len(m) != 5 || len(m[key(3)].GetHolders()) != 1 {
			t.Errorf("warm again: %d answers", len(m))
		}
	})
}
