package controlclient

import (
	"context"
	"sync"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// Lease tracks a lease on the side of its holder. The duration of the lease is counted from the time when the holder
// sent the request, on a clock that continues while the machine is suspended. The holder therefore regards the lease
// as expired before the control state can grant it to another process.
type Lease struct {
	Name   string        // name of the lease in the control state
	Shard  uint32        // shard of the control state that grants the lease
	Holder string        // name under which this process requests the lease
	TTL    time.Duration // duration for which the lease is granted

	mu           sync.Mutex
	clock        clock.Clock
	client       *Client
	fencingToken uint64        // highest fencing token of the lease that this process knows
	deadline     time.Duration // clock time from which this process no longer holds the lease
}

// NewLease returns a lease that has not been requested yet.
//
// Example: l := controlclient.NewLease(client, clk, "appraise/lector", controlclient.ShardOf("lector"), "core-1/8f", 3*time.Second)
func NewLease(client *Client, clk clock.Clock, name string, shard uint32, holder string, ttl time.Duration) *Lease {
	return &Lease{Name: name, Shard: shard, Holder: holder, TTL: ttl, clock: clk, client: client}
}

// FencingToken returns the highest known fencing token of the lease, and whether this process holds the lease now. It
// should be called immediately before each action that requires the lease.
//
// Example: if token, held := l.FencingToken(); held { order(token) }
func (l *Lease) FencingToken() (token uint64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fencingToken, l.clock.Now() < l.deadline
}

// GrantRequest returns the command with which this process requests or renews the lease.
//
// Example: grant := l.GrantRequest()
func (l *Lease) GrantRequest() *wire.Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &wire.Grant{Lease: l.Name, Holder: l.Holder, TtlNs: uint64(l.TTL), IfFence: l.fencingToken}
}

// HandleResponse applies the response to a request for the lease that was sent at requestedAt. Fencing tokens never
// decrease. A conflict response with a lower token than the highest known one therefore comes from a
// control node that was cut off from the others, and is ignored.
//
// Example: l.HandleResponse(requestedAt, response)
func (l *Lease) HandleResponse(requestedAt time.Duration, response *wire.ChangeResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch response.GetOutcome() {
	case wire.OutcomeDone:
		margin := time.Duration(float64(l.TTL) * settings.LeaseMarginRatio)
		l.fencingToken = response.Fence
		l.deadline = max(l.deadline, requestedAt+l.TTL-margin)
	case wire.OutcomeConflict:
		if response.Fence < l.fencingToken {
			return
		}
		// Another process holds the lease, or the response to an earlier request of this process was lost. The
		// next request carries the fencing token of this response.
		if l.fencingToken = response.Fence; response.Leader != l.Holder {
			l.deadline = 0
		}
	}
}

// Renew requests the lease or, if this process already holds it, extends it.
//
// Example: err := l.Renew(ctx)
func (l *Lease) Renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, l.TTL/2)
	defer cancel()
	requestedAt := l.clock.Now()
	response, err := l.client.Change(ctx, &wire.ChangeRequest{Shard: l.Shard, Command: &wire.Command{Kind: &wire.Command_Grant{Grant: l.GrantRequest()}}})
	l.HandleResponse(requestedAt, response)
	return err
}
