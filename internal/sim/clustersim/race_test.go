//go:build race

package clustersim

// raceDetector reports that the race detector is on: its runtime doesn't support so long a run of so many goroutines in
// a bubble of virtual time.
const raceDetector = true
