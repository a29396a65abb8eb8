//go:build !race

package controlstate

// groupSeeds is how many runs of a group's simulator a test makes.
const groupSeeds = 40

// historySeeds is how many runs of real nodes a test makes.
const historySeeds = 6
