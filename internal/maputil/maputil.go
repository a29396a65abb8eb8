// Package maputil helps to iterate over maps in a deterministic order.
package maputil

import (
	"maps"
	"slices"
)

// SortedKeys returns the keys of a map in ascending order.
//
// Example: for _, key := range maputil.SortedKeys(m) { use(key, m[key]) }
func SortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
