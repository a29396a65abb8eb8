//go:build !race

package clustersim

const raceDetector = false
