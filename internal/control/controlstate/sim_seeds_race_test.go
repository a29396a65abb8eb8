//go:build race

package controlstate

// groupSeeds is the number of seeds that a test of the group simulator runs. It is low here because the simulator takes
// ten times as long under the race detector; CI also runs the tests without it, with the full number.
const groupSeeds = 6

// historySeeds is the number of seeds that a test of real nodes runs.
const historySeeds = 2
