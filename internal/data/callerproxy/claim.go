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

// claims is what a request needs of the claimer.
type claims interface {
	take(ctx context.Context, id []byte) (nonce uint64, granted bool, err error)
	back(id []byte, nonce uint64)
}

// claimer takes once-only ids at the control state before anything starts, so that one id
// can't run through two dispatchers. Ids are spread over the parts; what waits for a part
// goes into one command.
type claimer struct {
	ctl   *controlclient.Client
	rings [controlclient.Shards]*queue.Ring[claim]
	last  atomic.Uint64
	hold  time.Duration
}

type claim struct {
	c      *wire.Claim
	result chan claimed // nil: nobody waits
}

type claimed struct {
	granted bool
	err     error
}

// Claim ids are told apart by tenant and request id.
func claimID(tenant, request string) []byte {
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
	c := &claimer{ctl: controlclient.New(l.Place.Core, view, calls, l.Place.Bounds), hold: l.Place.Bounds.Heal(1.0 / 6)}
	c.last.Store(inc) // a nonce is never used again, also not by a later life
	for i := range c.rings {
		c.rings[i] = queue.NewRing[claim](l.Place.Bounds.Waiting)
		l.Go(func() { c.run(l.Ctx, uint32(i)) })
	}
	return c
}

// take claims an id. An error means that it isn't known whether the claim was granted; the
// request must not start then.
func (c *claimer) take(ctx context.Context, id []byte) (nonce uint64, granted bool, err error) {
	nonce = c.last.Add(1)
	result := make(chan claimed, 1)
	if !c.ring(id).Offer(claim{&wire.Claim{Id: id, Nonce: nonce}, result}) {
		return nonce, false, errs.New(errs.Overloaded, "too many claims wait")
	}
	select {
	case r := <-result:
		return nonce, r.granted, r.err
	case <-ctx.Done():
		return nonce, false, errs.As(ctx.Err(), errs.Expired, "claim")
	}
}

// back gives an id back whose request is proved not to have run.
func (c *claimer) back(id []byte, nonce uint64) {
	c.ring(id).Offer(claim{c: &wire.Claim{Id: id, Nonce: nonce, Release: true}}) // when full, the id stays taken: safe
}

func (c *claimer) ring(id []byte) *queue.Ring[claim] {
	return c.rings[1+binary.LittleEndian.Uint64(id)%(controlclient.Shards-1)]
}

// run carries one part's claims, one command at a time; what comes meanwhile joins the next.
func (c *claimer) run(ctx context.Context, part uint32) {
	for {
		select {
		case <-ctx.Done():
			return
		case x := <-c.rings[part].Out():
			l := append([]claim{x}, c.rings[part].Drain(255)...)
			cs := &wire.Claims{}
			for _, y := range l {
				cs.Claims = append(cs.Claims, y.c)
			}
			one, end := context.WithTimeout(ctx, c.hold)
			t, err := c.ctl.Change(one, &wire.ChangeRequest{Shard: part, Command: &wire.Command{Kind: &wire.Command_Claims{Claims: cs}}})
			end()
			if err == nil && len(t.Granted) != len(l) {
				err = errs.New(errs.Inside, "%d claims, %d answers", len(l), len(t.Granted))
			}
			for i, y := range l {
				r := claimed{err == nil && t.Granted[i], err}
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
