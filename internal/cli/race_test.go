//go:build race

package cli

// raceDetector reports whether the race detector is on: its runtime sometimes crashes on a whole site in a
// bubble of virtual time (a segmentation fault in its own timers).
const raceDetector = true
