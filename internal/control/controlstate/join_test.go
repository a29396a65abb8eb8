package controlstate

import (
	"fmt"
	"testing"
)

// A machine sends its join requests in rotation to those that answered the last one, and to a silent one where
// fewer than two answered, or each fourth turn: a silent one may be the leader that has returned.
func TestJoinCandidates(t *testing.T) {
	all := []string{"a", "b", "c", "d"}
	for _, test := range []struct {
		silent string
		want   string // by the turns 0 to 8
	}{
		{"", "[[a b] [b c] [c d] [d a] [a b] [b c] [c d] [d a] [a b]]"},
		{"a", "[[b c] [c d] [d b] [b a] [c d] [d b] [b c] [c a] [d b]]"},
		{"ac", "[[b d] [d b] [b d] [d a] [b d] [d b] [b d] [d c] [b d]]"},
		{"abc", "[[d a] [d a] [d a] [d a] [d b] [d b] [d b] [d b] [d c]]"},
		{"abcd", "[[a b] [a b] [a b] [a b] [b c] [b c] [b c] [b c] [c d]]"},
	} {
		isSilent := func(addr string) bool {
			for _, s := range test.silent {
				if string(s) == addr {
					return true
				}
			}
			return false
		}
		var asked [][]string
		for turn := range 9 {
			asked = append(asked, joinCandidates(all, isSilent, turn))
		}
		if got := fmt.Sprint(asked); got != test.want {
			t.Errorf("silent %q: %s, want %s", test.silent, got, test.want)
		}
	}
	if got := joinCandidates(nil, func(string) bool { return false }, 3); len(got) != 0 {
		t.Errorf("no address is known, and the candidates are %v", got)
	}
}
