package controlclient

import (
	"testing"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/wire"
)

// The lease ends at its holder before it can be granted to another, and a conflict ends it at once.
func TestLeaseEndsAtHolderBeforeNextGrant(t *testing.T) {
	clk := &clock.Manual{Time: time.Minute}
	lease := NewLease(nil, clk, "d", 1, "a", 8*time.Second)
	if _, ok := lease.FencingToken(); ok {
		t.Fatal("held before it was requested")
	}
	requestedAt := clk.Time
	clk.Time += time.Second // the response takes a second: the lease is counted from the request
	lease.HandleResponse(requestedAt, &wire.ChangeResponse{Outcome: wire.OutcomeDone, Fence: 3})
	for after, want := range map[time.Duration]bool{0: true, 5 * time.Second: true, 6 * time.Second: false, time.Hour: false} {
		clk.Time = requestedAt + time.Second + after
		if token, ok := lease.FencingToken(); ok != want || token != 3 {
			t.Errorf("%v after the response: held %v, fencing token %d", after, ok, token)
		}
	}
	clk.Time = requestedAt + 2*time.Second
	lease.HandleResponse(clk.Time, &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: 4, Leader: "b"})
	if _, ok := lease.FencingToken(); ok || lease.GrantRequest().IfFence != 4 {
		t.Error("held here although another process holds it")
	}
}

// A conflict under a lower fencing token, from a member that was partitioned, doesn't end the lease.
func TestStaleConflictDoesNotEndLease(t *testing.T) {
	clk := &clock.Manual{Time: time.Minute}
	lease := NewLease(nil, clk, "d", 1, "a", 8*time.Second)
	lease.HandleResponse(clk.Time, &wire.ChangeResponse{Outcome: wire.OutcomeDone, Fence: 5})
	lease.HandleResponse(clk.Time, &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: 4, Leader: "b"})
	if token, ok := lease.FencingToken(); !ok || token != 5 || lease.GrantRequest().IfFence != 5 {
		t.Errorf("held %v with fencing token %d", ok, token)
	}
	lease.HandleResponse(clk.Time, &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: 6, Leader: "b"})
	if token, ok := lease.FencingToken(); ok || token != 6 {
		t.Errorf("another process holds it: held %v with fencing token %d", ok, token)
	}
}
