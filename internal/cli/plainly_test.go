package cli

import "testing"

// plainly marks a test that runs a whole site in a bubble: it runs without the race detector, as
// internal/sim/clustersim does; CI runs both.
func plainly(t *testing.T) {
	t.Helper()
	if raced {
		t.Skip("without the race detector: see README")
	}
}
