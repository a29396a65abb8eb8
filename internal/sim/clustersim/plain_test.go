//go:build !race

package clustersim

const raced = false
