//go:build race

package cli

// raced tells that the race detector is on: its runtime gives up now and then on a whole site in a
// bubble of virtual time (a segmentation fault in its own timers).
const raced = true
