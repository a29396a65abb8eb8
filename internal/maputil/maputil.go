// Package maputil iterates over maps in an order that doesn't change from run to run.
package maputil

import (
	"maps"
	"slices"
)

// SortedKeys returns the keys of a map, sorted.
//
// Example: for _, key := range maputil.SortedKeys(m) { use(key, m[key]) }
func SortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
