//go:build race

package clustersim

// raceDetector is true if the test binary was built with -race. Simulations are then skipped: the race detector's
// runtime doesn't support runs of this length and this many goroutines in a testing/synctest bubble.
const raceDetector = true
