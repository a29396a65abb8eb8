//go:build !race

package tabletop

const raced = false
