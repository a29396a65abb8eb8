package controlclient

import (
	"context"
	"sync"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// Lease is a lease as its holder sees it. It is counted from when it was requested, by a clock that
// counts sleep; so it ends here before it can be granted to another.
type Lease struct {
	Name   string // of the lease
	Shard  uint32 // that keeps it
	Holder string
	TTL    time.Duration

	mu           sync.Mutex
	clock        clock.Clock
	client       *Client
	fencingToken uint64
	expiresAt    time.Duration
}

// NewLease prepares to hold a lease; nothing is requested yet.
//
// Example: l := controlclient.NewLease(ctl, clk, "appraise/lector", controlclient.ShardOf("lector"), "core-1/8f", 3*time.Second)
func NewLease(ctl *Client, clk clock.Clock, name string, shard uint32, holder string, ttl time.Duration) *Lease {
	return &Lease{Name: name, Shard: shard, Holder: holder, TTL: ttl, clock: clk, client: ctl}
}

// FencingToken gives the fence while the lease is held. Ask it right before acting.
//
// Example: if fence, ok := l.Held(); ok { order(fence) }
func (l *Lease) FencingToken() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fencingToken, l.clock.Now() < l.expiresAt
}

// GrantRequest is the grant to request at an instant.
//
// Example: g := l.Ask()
func (l *Lease) GrantRequest() *wire.Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	return &wire.Grant{Lease: l.Name, Holder: l.Holder, TtlNs: uint64(l.TTL), IfFence: l.fencingToken}
}

// HandleResponse takes the response to a grant requested at an instant. A fence never falls: a conflict under
// a lower one than is known here is of a member that was cut off, and says nothing about now.
//
// Example: l.Tell(requestedAt, response)
func (l *Lease) HandleResponse(asked time.Duration, t *wire.ChangeResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch t.GetOutcome() {
	case wire.OutcomeDone:
		l.fencingToken, l.expiresAt = t.Fence, max(l.expiresAt, asked+l.TTL-time.Duration(float64(l.TTL)*settings.LeaseMarginRatio))
	case wire.OutcomeConflict:
		if t.Fence < l.fencingToken {
			return
		}
		// Another holds it, or an earlier response was lost: learn the fence and ask again later.
		if l.fencingToken = t.Fence; t.Leader != l.Holder {
			l.expiresAt = 0
		}
	}
}

// Renew requests the lease, or more of it.
//
// Example: err := l.Renew(ctx)
func (l *Lease) Renew(ctx context.Context) error {
	ctx, end := context.WithTimeout(ctx, l.TTL/2)
	defer end()
	asked := l.clock.Now()
	t, err := l.client.Change(ctx, &wire.ChangeRequest{Shard: l.Shard, Command: &wire.Command{Kind: &wire.Command_Grant{Grant: l.GrantRequest()}}})
	l.HandleResponse(asked, t)
	return err
}
