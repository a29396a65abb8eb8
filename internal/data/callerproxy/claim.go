package callerproxy

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"sync/atomic"
	"time"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

const (
	// claimTimeoutRatio is the timeout of a command that sends claims to the control state, as a fraction of Bounds.Recovery,
	// the bound on recovery time.
	claimTimeoutRatio = 1.0 / 6
	// maxClaimsPerCommand is the maximum number of claims sent to a control state shard in one command.
	maxClaimsPerCommand = 256
	// claimKeyBytes is the length of the truncated hash under which a shard stores an at-most-once request ID.
	claimKeyBytes = 16
)

// idClaims acquires and releases exclusive claims on the IDs of at-most-once requests.
type idClaims interface {
	// acquire claims a request ID by its claimKey, under a new nonce. After an error the claim may have been
	// granted nevertheless: the request must not start, and the claim should be released.
	acquire(ctx context.Context, key []byte) (nonce uint64, granted bool, err error)
	// release gives up the claim on an ID whose request is proven not to have been executed.
	release(key []byte, nonce uint64)
}

// claimer claims request IDs in the control state before an attempt starts, so that the same ID cannot be
// executed through two proxies. IDs are distributed over the control state's shards, and pending claims of a
// shard are batched into one command.
type claimer struct {
	control   *controlclient.Client
	queues    [controlclient.ShardCount]*queue.Ring[pendingClaim]
	lastNonce atomic.Uint64
	timeout   time.Duration
}

// pendingClaim is a claim or a release that waits to be sent to its control state shard.
type pendingClaim struct {
	claim  *wire.Claim
	result chan claimResult // receives the outcome; nil for a release, which nobody waits for
}

// claimResult is the outcome of one claim on a request ID; granted is valid only if err is nil.
type claimResult struct {
	granted bool
	err     error
}

// claimKey returns the key under which the control state stores a claimed request ID: a truncated hash of the
// tenant and the ID.
func claimKey(tenant, request string) []byte {
	sum := sha256.Sum256([]byte(tenant + "\x00" + request))
	return sum[:claimKeyBytes]
}

// newClaimer creates a claimer and starts one sender goroutine per control state shard. A nonce must never be
// reused, so the seed has to be greater than every nonce of earlier incarnations of this process.
func newClaimer(process *daemon.Process, snapshot func() *updatestream.Snapshot, rpcClients *daemon.Clients, seed uint64) *claimer {
	view := func() clustermembership.View {
		if current := snapshot(); current != nil {
			return clustermembership.View{Nodes: current.Nodes}
		}
		return clustermembership.View{}
	}
	bounds := process.Settings.Bounds
	c := &claimer{control: controlclient.New(process.Settings.Core, view, rpcClients, bounds), timeout: bounds.Recovery(claimTimeoutRatio)}
	c.lastNonce.Store(seed)
	for shard := range c.queues {
		c.queues[shard] = queue.NewRing[pendingClaim](bounds.MaxConcurrentRequests)
		process.Go(func() { c.sendShardClaims(process.Ctx, uint32(shard)) })
	}
	return c
}

// acquire queues a claim for its control state shard and waits for the result.
func (c *claimer) acquire(ctx context.Context, key []byte) (nonce uint64, granted bool, err error) {
	nonce = c.lastNonce.Add(1)
	result := make(chan claimResult, 1)
	if !c.queueFor(key).Offer(pendingClaim{&wire.Claim{Id: key, Nonce: nonce}, result}) {
		return nonce, false, errs.New(errs.Overloaded, "request ID claim not queued: too many claims are pending")
	}
	select {
	case claimed := <-result:
		return nonce, claimed.granted, claimed.err
	case <-ctx.Done():
		return nonce, false, errs.WrapAs(ctx.Err(), errs.DeadlineExceeded, "claim")
	}
}

// release queues the release of a claim without waiting for it. If the queue is full, the ID stays claimed.
// That is safe, because it only keeps the client from sending the same ID again.
func (c *claimer) release(key []byte, nonce uint64) {
	c.queueFor(key).Offer(pendingClaim{claim: &wire.Claim{Id: key, Nonce: nonce, Release: true}})
}

// queueFor returns the queue of the control state shard that stores a claim key. Shard 0 stores no claims.
func (c *claimer) queueFor(key []byte) *queue.Ring[pendingClaim] {
	return c.queues[1+binary.LittleEndian.Uint64(key)%(controlclient.ShardCount-1)]
}

// sendShardClaims sends the queued claims of one control state shard, one command at a time. Claims that are queued
// while a command is in progress go into the next one.
func (c *claimer) sendShardClaims(ctx context.Context, shard uint32) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-c.queues[shard].Out():
			batch := append([]pendingClaim{first}, c.queues[shard].Drain(maxClaimsPerCommand-1)...)
			response, err := c.send(ctx, shard, batch)
			deliverResults(batch, response, err)
		}
	}
}

// send submits a batch of claims in one control state command. Without an error, the response has one result for
// each claim.
func (c *claimer) send(ctx context.Context, shard uint32, batch []pendingClaim) (*wire.ChangeResponse, error) {
	claims := &wire.Claims{}
	for _, pending := range batch {
		claims.Claims = append(claims.Claims, pending.claim)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	command := &wire.Command{Kind: &wire.Command_Claims{Claims: claims}}
	response, err := c.control.Change(ctx, &wire.ChangeRequest{Shard: shard, Command: command})
	if err == nil && len(response.Granted) != len(batch) {
		err = errs.New(errs.Internal, "sent %d request ID claims to the control state, got %d results", len(batch), len(response.Granted))
	}
	return response, err
}

// deliverResults passes the result of each claim in a batch to the request that waits for it.
func deliverResults(batch []pendingClaim, response *wire.ChangeResponse, err error) {
	for i, pending := range batch {
		result := claimResult{err: err}
		if err == nil {
			result.granted = response.Granted[i]
			if i < len(response.Full) && response.Full[i] {
				result.err = errs.New(errs.Overloaded, "control state shard has reached its limit of stored at-most-once request IDs")
			}
		}
		if pending.result != nil {
			pending.result <- result
		}
	}
}
