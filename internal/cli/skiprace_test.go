package cli

import "testing"

// skipUnderRace skips a test that runs a whole site in a synctest bubble: it runs without the race detector, as
// internal/sim/clustersim does; CI runs both.
func skipUnderRace(t *testing.T) {
	t.Helper()
	if raceDetector {
		t.Skip("without the race detector: see README")
	}
}
