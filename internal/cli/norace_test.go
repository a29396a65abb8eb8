//go:build !race

package cli

const raceDetector = false
