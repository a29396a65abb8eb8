//go:build !race

package desk

const raced = false
