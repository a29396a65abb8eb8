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
	// claimTimeoutRatio of the healing bound is how long a command with claims may take.
	claimTimeoutRatio = 1.0 / 6
	// maxClaimsPerCommand bounds the claims that are sent to a shard in one command.
	maxClaimsPerCommand = 256
	// onceIDBytes is the length of the hash by which a shard remembers a once-only request.
	claimKeyBytes = 16
)

// onceClaims claims the IDs of once-only requests.
type idClaims interface {
	// acquire claims an ID, with a nonce of its own. After an error the claim may have been granted: the
	// request must not start, and the claim should be released.
	acquire(ctx context.Context, key []byte) (nonce uint64, granted bool, err error)
	// release gives up a claim; its request was proven not to have been executed.
	release(key []byte, nonce uint64)
}

// claimer claims IDs at the control state before anything starts, so that one ID can't be executed through
// two proxies. The IDs are spread over the shards; the claims that wait for a shard go into one command.
type claimer struct {
	control   *controlclient.Client
	queues    [controlclient.ShardCount]*queue.Ring[pendingClaim]
	lastNonce atomic.Uint64
	timeout   time.Duration
}

type pendingClaim struct {
	claim  *wire.Claim
	result chan claimResult // nil: nobody waits
}

type claimResult struct {
	granted bool
	err     error
}

// onceID is the ID by which the control state remembers a tenant's request.
func claimKey(tenant, request string) []byte {
	sum := sha256.Sum256([]byte(tenant + "\x00" + request))
	return sum[:claimKeyBytes]
}

// newClaimer starts a claimer. The seed has to be above all nonces of earlier incarnations of this process: a
// nonce is never used twice.
func newClaimer(process *daemon.Process, snapshot func() *updatestream.Snapshot, rpcClients *daemon.Clients, seed uint64) *claimer {
	view := func() clustermembership.View {
		if current := snapshot(); current != nil {
			return clustermembership.View{Nodes: current.Nodes}
		}
		return clustermembership.View{}
	}
	bounds := process.Settings.Bounds
	c := &claimer{control: controlclient.New(process.Settings.Core, view, rpcClients, bounds), timeout: bounds.Heal(claimTimeoutRatio)}
	c.lastNonce.Store(seed)
	for shard := range c.queues {
		c.queues[shard] = queue.NewRing[pendingClaim](bounds.MaxConcurrentRequests)
		process.Go(func() { c.sendShardClaims(process.Ctx, uint32(shard)) })
	}
	return c
}

func (c *claimer) acquire(ctx context.Context, key []byte) (nonce uint64, granted bool, err error) {
	nonce = c.lastNonce.Add(1)
	result := make(chan claimResult, 1)
	if !c.queueFor(key).Offer(pendingClaim{&wire.Claim{Id: key, Nonce: nonce}, result}) {
		return nonce, false, errs.New(errs.Overloaded, "too many claims wait")
	}
	select {
	case claimed := <-result:
		return nonce, claimed.granted, claimed.err
	case <-ctx.Done():
		return nonce, false, errs.WrapAs(ctx.Err(), errs.DeadlineExceeded, "claim")
	}
}

// release doesn't wait. If the queue is full, the ID stays claimed, which is safe.
func (c *claimer) release(key []byte, nonce uint64) {
	c.queueFor(key).Offer(pendingClaim{claim: &wire.Claim{Id: key, Nonce: nonce, Release: true}})
}

// queueOf is the queue of an ID's shard. Shard 0 holds no claims.
func (c *claimer) queueFor(key []byte) *queue.Ring[pendingClaim] {
	return c.queues[1+binary.LittleEndian.Uint64(key)%(controlclient.ShardCount-1)]
}

// runShard sends one shard's claims, one command at a time; those that come meanwhile join the next.
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

// send sends claims in one command. The response has a result for each of them if there is no error.
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
		err = errs.New(errs.Internal, "%d claims, %d results", len(batch), len(response.Granted))
	}
	return response, err
}

// deliver passes each claim's result on to the request that waits for it.
func deliverResults(batch []pendingClaim, response *wire.ChangeResponse, err error) {
	for i, pending := range batch {
		result := claimResult{err: err}
		if err == nil {
			result.granted = response.Granted[i]
			if i < len(response.Full) && response.Full[i] {
				result.err = errs.New(errs.Overloaded, "the shard remembers as many once-only IDs as it may")
			}
		}
		if pending.result != nil {
			pending.result <- result
		}
	}
}
