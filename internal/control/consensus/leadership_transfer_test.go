package consensus

import (
	"strings"
	"testing"
)

// Leadership is transferred to the peer whose contact with the leader is the most recent, and never to an excluded
// peer. Guards against a transfer to the first peer by name, which may just have failed.
func TestLeadershipIsTransferredToMostRecentContact(t *testing.T) {
	group := newTestGroup(t, "a b c", "")
	group.elect("a")
	group.tick(4)
	group.tick(4, "b")
	for _, transfer := range []struct{ excluded, target string }{
		{excluded: "", target: "c"},
		{excluded: "c", target: "b"},
		{excluded: "bc", target: ""},
	} {
		target := ""
		if group.cores["a"].TransferLeadershipExcept(func(name string) bool { return strings.Contains(transfer.excluded, name) }) {
			messages := group.cores["a"].Ready().Messages
			target = messages[len(messages)-1].To
		}
		if target != transfer.target {
			t.Errorf("TransferLeadershipExcept with excluded peers %q transferred the leadership to %q, want %q", transfer.excluded, target, transfer.target)
		}
	}
}
