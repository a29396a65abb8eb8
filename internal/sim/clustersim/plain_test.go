//go:build !race

package clustersim

// raceDetector is true if the test binary was built with -race.
const raceDetector = false
