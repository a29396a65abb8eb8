package controlclient

import (
	"context"
	"sync"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// Lease is a lease as its holder sees it. Its time is counted from when it was requested, by a clock
// that counts sleep: it ends here before it can be granted to another holder.
type Lease struct {
	Name   string
	Shard  uint32 // that grants it
	Holder string
	TTL    time.Duration

	mu           sync.Mutex
	clock        clock.Clock
	client       *Client
	fencingToken uint64 // the highest known
	deadline     time.Duration
}

// NewLease prepares to hold a lease; nothing is requested yet.
//
// Example: l := controlclient.NewLease(client, clk, "appraise/lector", controlclient.ShardOf("lector"), "core-1/8f", 3*time.Second)
func NewLease(client *Client, clk clock.Clock, name string, shard uint32, holder string, ttl time.Duration) *Lease {
	return &Lease{Name: name, Shard: shard, Holder: holder, TTL: ttl, clock: clk, client: client}
}

// FencingToken returns the lease's fencing token, and whether the lease is held now. Call it right
// before acting under the lease.
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

// HandleResponse records the response to a grant that was requested at an instant. Fencing tokens
// never decrease: a conflict under a lower one than is known here comes from a member that was
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
		// Another process holds it, or an earlier response was lost: the next request names this token.
		if l.fencingToken = response.Fence; response.Leader != l.Holder {
			l.deadline = 0
		}
	}
}

// Renew requests the lease, or extends it.
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
