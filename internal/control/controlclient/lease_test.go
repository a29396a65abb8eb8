package controlclient

import (
	"testing"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/wire"
)

// A holder regards its lease as expired before another process can get it, and immediately when a response shows
// that another process holds it.
func TestLeaseEndsAtHolderBeforeNextGrant(t *testing.T) {
	clk := &clock.Manual{Time: time.Minute}
	lease := NewLease(nil, clk, "d", 1, "a", 8*time.Second)
	if _, ok := lease.FencingToken(); ok {
		t.Fatal("FencingToken reports a lease as held before its first request")
	}
	requestedAt := clk.Time
	clk.Time += time.Second // the response arrives after 1 s, but the 8 s of the lease count from the request
	lease.HandleResponse(requestedAt, &wire.ChangeResponse{Outcome: wire.OutcomeDone, Fence: 3})
	for after, want := range map[time.Duration]bool{0: true, 5 * time.Second: true, 6 * time.Second: false, time.Hour: false} {
		clk.Time = requestedAt + time.Second + after
		if token, ok := lease.FencingToken(); ok != want || token != 3 {
			t.Errorf("FencingToken %v after the response that granted the lease: held = %v, token %d, want held only for less than 6 s, token 3", after, ok, token)
		}
	}
	clk.Time = requestedAt + 2*time.Second
	lease.HandleResponse(clk.Time, &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: 4, Leader: "b"})
	if _, ok := lease.FencingToken(); ok || lease.GrantRequest().IfFence != 4 {
		t.Errorf("after a response that process b holds the lease with fencing token 4: held by a = %v, want false; token in the next request %d, want 4", ok, lease.GrantRequest().IfFence)
	}
}

// A conflict response with a lower fencing token than the holder's, which comes from a control node that was cut off
// from the others, does not end the lease. One with a higher token does.
func TestStaleConflictDoesNotEndLease(t *testing.T) {
	clk := &clock.Manual{Time: time.Minute}
	lease := NewLease(nil, clk, "d", 1, "a", 8*time.Second)
	lease.HandleResponse(clk.Time, &wire.ChangeResponse{Outcome: wire.OutcomeDone, Fence: 5})
	lease.HandleResponse(clk.Time, &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: 4, Leader: "b"})
	if token, ok := lease.FencingToken(); !ok || token != 5 || lease.GrantRequest().IfFence != 5 {
		t.Errorf("lease with fencing token 5 after a conflict response with token 4: held = %v, token %d, want held, token 5", ok, token)
	}
	lease.HandleResponse(clk.Time, &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: 6, Leader: "b"})
	if token, ok := lease.FencingToken(); ok || token != 6 {
		t.Errorf("lease with fencing token 5 after a conflict response with token 6: held = %v, token %d, want not held, token 6", ok, token)
	}
}
