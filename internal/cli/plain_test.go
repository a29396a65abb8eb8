//go:build !race

package cli

const raced = false
