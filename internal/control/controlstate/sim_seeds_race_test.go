//go:build race

package controlstate

// groupSeeds is how many runs of a group's simulator a test makes. The race detector takes ten times
// as long; CI makes the whole number without it.
const groupSeeds = 6

// historySeeds is how many runs of real nodes a test makes.
const historySeeds = 2
