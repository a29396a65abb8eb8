package controlclient

import (
	"context"
	"sync"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// Lease tracks a lease on the side of its holder. The duration is counted from the time of the request, on a
// clock that continues while the machine is suspended. The lease therefore ends at the holder before it can
// be granted to another one.
type Lease struct {
	Name   string
	Shard  uint32 // shard that grants the lease
	Holder string
	TTL    time.Duration

	mu           sync.Mutex
	clock        clock.Clock
	client       *Client
	fencingToken uint64 // highest known fencing token
	deadline     time.Duration
}

// NewLease returns a lease that has not been requested yet.
//
// Example: l := controlclient.NewLease(client, clk, "appraise/lector", controlclient.ShardOf("lector"), "core-1/8f", 3*time.Second)
func NewLease(client *Client, clk clock.Clock, name string, shard uint32, holder string, ttl time.Duration) *Lease {
	return &Lease{Name: name, Shard: shard, Holder: holder, TTL: ttl, clock: clk, client: client}
}

// FencingToken returns the fencing token of the lease, and whether the lease is currently held. It should be
// called immediately before each action that requires the lease.
//
// Example: if token, held := l.FencingToken(); held { order(token) }
func (l *Lease) FencingToken() (token uint64, held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fencingToken, l.clock.Now() < l.deadline
}

// GrantRequest returns the command that requests or renews the lease.
//
// Example: grant := l.GrantRequest()
func (l *Lease) GrantRequest() *wire.Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &wire.Grant{Lease: l.Name, Holder: l.Holder, TtlNs: uint64(l.TTL), IfFence: l.fencingToken}
}

// HandleResponse applies the response to a grant request that was sent at requestedAt. Since fencing tokens
// never decrease, a conflict with a lower token than the highest known one comes from a member that was
// partitioned, and is ignored.
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
		// Another process holds the lease, or an earlier response was lost. The next request uses this token.
		if l.fencingToken = response.Fence; response.Leader != l.Holder {
			l.deadline = 0
		}
	}
}

// Renew requests the lease or, if it is held, extends it.
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
