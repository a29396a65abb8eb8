package roster

import (
	"testing"
	"time"

	"pebbleloom/internal/settings"
)

// A site says how often it beats; nobody is judged sooner for that.
func TestASiteSetsThePace(t *testing.T) {
	p := settings.Place{Bounds: settings.Default()}
	if b := pace(p); b != settings.Default() {
		t.Errorf("without a site: %+v", b)
	}
	for ms, want := range map[int]time.Duration{100: 300 * time.Millisecond, 1200: 1200 * time.Millisecond} {
		p.Site = &settings.Site{BeatMs: ms}
		if b := pace(p); b.Leave(beatPart) != want || b.Heal(1) != settings.Default().Heal(1) {
			t.Errorf("beats of %d ms: %v", ms, b.Leave(beatPart))
		}
	}
}
