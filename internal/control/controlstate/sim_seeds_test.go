//go:build !race

package controlstate

// groupSeeds is the number of seeds that a test of the group simulator runs.
const groupSeeds = 40

// historySeeds is the number of seeds that a test of real nodes runs.
const historySeeds = 6
