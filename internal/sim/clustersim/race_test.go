//go:build race

package clustersim

// raced tells that the race detector is on: its runtime gives up on so long a run of so many
// threads in a bubble of virtual time.
const raced = true
