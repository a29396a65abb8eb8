package rendezvous

import (
	"slices"
	"testing"
)

// A name that is removed moves only the keys that it was first for.
func TestRendezvousMovesOnlyKeysOfARemovedName(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	for _, key := range []string{"1", "2", "3", "4", "5", "6", "7", "8"} {
		ordered := Order(key, names)
		for _, removed := range names {
			rest := Order(key, slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == removed }))
			want := slices.DeleteFunc(slices.Clone(ordered), func(name string) bool { return name == removed })
			if !slices.Equal(rest, want) {
				t.Fatalf("key %s without %s: %v, want %v", key, removed, rest, want)
			}
		}
	}
}
