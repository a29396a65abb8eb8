package controlclient

import (
	"testing"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/wire"
)

// A lease ends at its holder before it can be granted to another one, and immediately on a conflict.
func TestLeaseEndsAtHolderBeforeNextGrant(t *testing.T) {
	clk := &clock.Manual{Time: time.Minute}
	lease := NewLease(nil, clk, "d", 1, "a", 8*time.Second)
	if _, ok := lease.FencingToken(); ok {
		t.Fatal("the lease is held before it was requested")
	}
	requestedAt := clk.Time
	clk.Time += time.Second // the response takes 1 s, but the duration of the lease counts from the request
	lease.HandleResponse(requestedAt, &wire.ChangeResponse{Outcome: wire.OutcomeDone, Fence: 3})
	for after, want := range map[time.Duration]bool{0: true, 5 * time.Second: true, 6 * time.Second: false, time.Hour: false} {
		clk.Time = requestedAt + time.Second + after
		if token, ok := lease.FencingToken(); ok != want || token != 3 {
			t.Errorf("%v after the response: lease held = %v, fencing token %d, want token 3 and the lease held for less than 6 s", after, ok, token)
		}
	}
	clk.Time = requestedAt + 2*time.Second
	lease.HandleResponse(clk.Time, &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: 4, Leader: "b"})
	if _, ok := lease.FencingToken(); ok || lease.GrantRequest().IfFence != 4 {
		t.Error("after a conflict, the lease is still held or the next request lacks the new fencing token")
	}
}

// A conflict with a lower fencing token, which comes from a member that was partitioned, does not end the lease.
func TestStaleConflictDoesNotEndLease(t *testing.T) {
	clk := &clock.Manual{Time: time.Minute}
	lease := NewLease(nil, clk, "d", 1, "a", 8*time.Second)
	lease.HandleResponse(clk.Time, &wire.ChangeResponse{Outcome: wire.OutcomeDone, Fence: 5})
	lease.HandleResponse(clk.Time, &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: 4, Leader: "b"})
	if token, ok := lease.FencingToken(); !ok || token != 5 || lease.GrantRequest().IfFence != 5 {
		t.Errorf("after a conflict with the lower fencing token 4: lease held = %v with token %d, want held with token 5", ok, token)
	}
	lease.HandleResponse(clk.Time, &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: 6, Leader: "b"})
	if token, ok := lease.FencingToken(); ok || token != 6 {
		t.Errorf("after a conflict with the higher fencing token 6: lease held = %v with token %d, want not held, token 6", ok, token)
	}
}
