//go:build race

package controlstate

// groupSeeds is how many runs of a group's simulator a test makes. The race detector takes ten times
// as long; CI makes the whole number without it.
const groupSeeds = 6
