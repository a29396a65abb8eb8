package controlstate

import (
	"fmt"
	"testing"
)

// Join requests rotate among the addresses that responded to the previous one. An unresponsive address is included if fewer
// than two are responsive, and after every fourth failure, since it may belong to a leader that is available again.
func TestJoinCandidates(t *testing.T) {
	all := []string{"a", "b", "c", "d"}
	for _, test := range []struct {
		unresponsive string // addresses that did not respond to their last join request, one character each
		want         string // candidates for the next join requests, after 0 to 8 failed ones
	}{
		{"", "[[a b] [b c] [c d] [d a] [a b] [b c] [c d] [d a] [a b]]"},
		{"a", "[[b c] [c d] [d b] [b a] [c d] [d b] [b c] [c a] [d b]]"},
		{"ac", "[[b d] [d b] [b d] [d a] [b d] [d b] [b d] [d c] [b d]]"},
		{"abc", "[[d a] [d a] [d a] [d a] [d b] [d b] [d b] [d b] [d c]]"},
		{"abcd", "[[a b] [a b] [a b] [a b] [b c] [b c] [b c] [b c] [c d]]"},
	} {
		isUnresponsive := func(addr string) bool {
			for _, char := range test.unresponsive {
				if string(char) == addr {
					return true
				}
			}
			return false
		}
		var candidates [][]string
		for failures := range 9 {
			candidates = append(candidates, joinCandidates(all, isUnresponsive, failures))
		}
		if got := fmt.Sprint(candidates); got != test.want {
			t.Errorf("join candidates after 0 to 8 failures with unresponsive addresses %q: got %s, want %s", test.unresponsive, got, test.want)
		}
	}
	if got := joinCandidates(nil, func(string) bool { return false }, 3); len(got) != 0 {
		t.Errorf("join candidates without any known address: got %v, want none", got)
	}
}
