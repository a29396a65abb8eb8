package rendezvous

import (
	"slices"
	"testing"
)

// Removing a name doesn't change the relative order of the other names for any key, so that only keys that had
// the removed name first move.
func TestRendezvousMovesOnlyKeysOfARemovedName(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	for _, key := range []string{"1", "2", "3", "4", "5", "6", "7", "8"} {
		ordered := Order(key, names)
		for _, removed := range names {
			rest := Order(key, slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == removed }))
			want := slices.DeleteFunc(slices.Clone(ordered), func(name string) bool { return name == removed })
			if !slices.Equal(rest, want) {
				t.Fatalf("Order of the names for key %s after removing name %s: got %v, want %v", key, removed, rest, want)
			}
		}
	}
}
