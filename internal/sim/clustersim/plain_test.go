//go:build !race

package clustersim

// raceDetector reports that the race detector is off.
const raceDetector = false
