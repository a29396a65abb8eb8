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

// onceClaims is what a request needs of the claimer.
type onceClaims interface {
	acquire(ctx context.Context, id []byte) (nonce uint64, granted bool, err error)
	release(id []byte, nonce uint64)
}

// claimer takes once-only ids at the control state before anything starts, so that one id
// can't run through two dispatchers. Ids are spread over the parts; what waits for a part
// goes into one command.
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

// Claim ids are told apart by tenant and request id.
func onceID(tenant, request string) []byte {
	h := sha256.Sum256([]byte(tenant + "\x00" + request))
	return h[:16]
}

func newClaimer(l *daemon.Process, fol func() *updatestream.Snapshot, calls *daemon.Clients, inc uint64) *claimer {
	view := func() clustermembership.View {
		if s := fol(); s != nil {
			return clustermembership.View{Nodes: s.Nodes}
		}
		return clustermembership.View{}
	}
	c := &claimer{control: controlclient.New(l.Settings.Core, view, calls, l.Settings.Bounds), timeout: l.Settings.Bounds.Heal(1.0 / 6)}
	c.lastNonce.Store(inc) // a nonce is never used again, also not by a later life
	for i := range c.queues {
		c.queues[i] = queue.NewRing[pendingClaim](l.Settings.Bounds.MaxConcurrentRequests)
		l.Go(func() { c.runShard(l.Ctx, uint32(i)) })
	}
	return c
}

// acquire claims an id. An error means that it isn't known whether the claim was granted; the
// request must not start then.
func (c *claimer) acquire(ctx context.Context, id []byte) (nonce uint64, granted bool, err error) {
	nonce = c.lastNonce.Add(1)
	result := make(chan claimResult, 1)
	if !c.queueOf(id).Offer(pendingClaim{&wire.Claim{Id: id, Nonce: nonce}, result}) {
		return nonce, false, errs.New(errs.Overloaded, "too many claims wait")
	}
	select {
	case r := <-result:
		return nonce, r.granted, r.err
	case <-ctx.Done():
		return nonce, false, errs.WrapAs(ctx.Err(), errs.DeadlineExceeded, "claim")
	}
}

// release gives an id back whose request is proved not to have run.
func (c *claimer) release(id []byte, nonce uint64) {
	c.queueOf(id).Offer(pendingClaim{claim: &wire.Claim{Id: id, Nonce: nonce, Release: true}}) // when full, the id stays taken: safe
}

func (c *claimer) queueOf(id []byte) *queue.Ring[pendingClaim] {
	return c.queues[1+binary.LittleEndian.Uint64(id)%(controlclient.ShardCount-1)]
}

// runShard carries one part's claims, one command at a time; what comes meanwhile joins the next.
func (c *claimer) runShard(ctx context.Context, part uint32) {
	for {
		select {
		case <-ctx.Done():
			return
		case x := <-c.queues[part].Out():
			l := append([]pendingClaim{x}, c.queues[part].Drain(255)...)
			cs := &wire.Claims{}
			for _, y := range l {
				cs.Claims = append(cs.Claims, y.claim)
			}
			one, end := context.WithTimeout(ctx, c.timeout)
			t, err := c.control.Change(one, &wire.ChangeRequest{Shard: part, Command: &wire.Command{Kind: &wire.Command_Claims{Claims: cs}}})
			end()
			if err == nil && len(t.Granted) != len(l) {
				err = errs.New(errs.Internal, "%d claims, %d answers", len(l), len(t.Granted))
			}
			for i, y := range l {
				r := claimResult{err == nil && t.Granted[i], err}
				if err == nil && i < len(t.Full) && t.Full[i] {
					r.err = errs.New(errs.Overloaded, "the part remembers as many once-only ids as it may")
				}
				if y.result != nil {
					y.result <- r
				}
			}
		}
	}
}
