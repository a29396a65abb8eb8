package desk

import "testing"

// plainly marks a test that runs a whole site in a bubble: it runs without the race detector, as
// internal/tabletop does; CI runs both.
func plainly(t *testing.T) {
	t.Helper()
	if raced {
		t.Skip("without the race detector: see README")
	}
}
