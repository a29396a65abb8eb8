package controlstate

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/agent"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// cutWorld is one row being played: real nodes, operators, an edge and two lease holders.
type cutWorld struct {
	*ground
	t      *testing.T
	row    cutRow
	victim int
	// companion is cut off together with the victim, and still reaches it; 0: there is none.
	companion int
	others    []int

	mu      sync.Mutex
	version uint64        // the newest acknowledged
	acks    map[uint64]at // when each version was acknowledged
	edges   []*cutEdge
	holders [2]*controlclient.Lease // one at the cut-off member, one at the others
	held    [2]time.Duration        // when each was seen to hold the lease last
	longest time.Duration           // that an order waited for the other side
	// restarted tells whether the row's restarts are over.
	restarted bool
	begun     time.Time
}

type at = time.Time

// cutEdge follows some members by long polls, as an edge's agent does.
type cutEdge struct {
	at      []int // the machines that it reaches
	mu      sync.Mutex
	proof   *agent.FreshnessProof
	version uint64
}

func (w *cutWorld) now() time.Duration { return time.Since(w.begun) }

func (w *cutWorld) node(i int) *Node {
	w.ground.mu.Lock()
	defer w.ground.mu.Unlock()
	return w.nodes[w.addr(i)]
}

// cutOff begins the cut between the victim, with its companion if it has one, and all others.
func (w *cutWorld) cutOff() {
	w.net.set(func(cut map[[2]string]bool) {
		for _, i := range []int{w.victim, w.companion} {
			for j := range 9 {
				if i == 0 || j+1 == w.victim || j+1 == w.companion {
					continue
				}
				if w.row.direction != "in" {
					cut[[2]string{w.addr(i), w.addr(j + 1)}] = true
				}
				if w.row.direction != "out" {
					cut[[2]string{w.addr(j + 1), w.addr(i)}] = true
				}
			}
		}
	})
}

func (w *cutWorld) kill(i int) {
	l := w.processes[w.addr(i)]
	w.ground.mu.Lock()
	delete(w.nodes, w.addr(i))
	w.ground.mu.Unlock()
	l.Stop(0)
}

// restarts restarts what the row says; those of the majority's side one after the other.
func (w *cutWorld) restarts() {
	var l []int
	switch w.row.restart {
	case "itself":
		l = []int{w.victim}
	case "another":
		l = w.others[:1]
	case "all":
		l = append([]int{w.victim}, w.others[:2]...)
	}
	if w.row.seeds {
		w.seeds = []string{w.addr(w.victim)}
	}
	for _, i := range l {
		w.kill(i)
		w.start(i, false)
	}
}

// poll has an edge follow one member until the end.
func (w *cutWorld) poll(ctx context.Context, e *cutEdge, i int) {
	for ctx.Err() == nil {
		n := w.node(i)
		if n == nil {
			clock.Sleep(ctx, 50*time.Millisecond)
			continue
		}
		e.mu.Lock()
		have, asked := e.version, w.now()
		e.mu.Unlock()
		x, err := n.Follow(ctx, &wire.FollowRequest{Known: []*wire.KnownVersion{{Key: routingconfig.Key, Version: have}}, MaxWaitNs: uint64(300 * time.Millisecond), ProofKey: routingconfig.Key})
		if err != nil {
			clock.Sleep(ctx, 50*time.Millisecond)
			continue
		}
		e.mu.Lock()
		heard := have
		for _, d := range x.Documents {
			heard = max(heard, d.Version)
		}
		e.version = max(e.version, heard)
		e.proof.AddResponse(x, heard, asked)
		proven := e.proof.FreshUntil(e.version)
		version := e.version
		e.mu.Unlock()
		w.mu.Lock()
		for v, when := range w.acks {
			if v > version && when.Sub(w.begun) < proven {
				w.t.Errorf("%v: an edge of %v has the proof for version %d up to %v, yet %d was acknowledged at %v", w.now(), e.at, version, proven, v, when.Sub(w.begun))
			}
		}
		w.mu.Unlock()
	}
}

// hold has a holder ask for the lease again and again, at the cut-off member or at the others.
func (w *cutWorld) hold(ctx context.Context, k int) {
	l := w.holders[k]
	for ; ctx.Err() == nil; clock.Sleep(ctx, leaseTTL*2/5) {
		asked := w.now() + time.Hour
		ask := &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Grant{Grant: l.Ask()}}}
		one, end := context.WithTimeout(ctx, leaseTTL)
		var r *wire.ChangeResponse
		near := w.others
		if k == 0 {
			near = []int{w.victim}
		}
		for _, i := range near {
			if n := w.node(i); n != nil {
				r, _ = n.controlClient.Change(one, ask)
				break
			}
		}
		end()
		l.Tell(asked, r)
	}
}

// watchHolders sees to it that nobody holds the lease beside another.
func (w *cutWorld) watchHolders(ctx context.Context) {
	for ; ctx.Err() == nil; clock.Sleep(ctx, 20*time.Millisecond) {
		_, a := w.holders[0].Held()
		_, b := w.holders[1].Held()
		if a && b {
			w.t.Errorf("%v: two hold the lease at once", w.now())
			return
		}
		w.mu.Lock()
		if a {
			w.held[0] = w.now()
		}
		if b {
			w.held[1] = w.now()
		}
		w.mu.Unlock()
	}
}

// acked notes an acknowledgement.
func (w *cutWorld) acked(v uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version = max(w.version, v)
	if _, ok := w.acks[v]; !ok {
		w.acks[v] = time.Now()
	}
}

// order sends one order to a machine, and says what came of it; it is never refused, nor held long.
func (w *cutWorld) order(i int, base uint64, b []byte) error {
	begun := time.Now()
	v, err := w.node(i).PutRoutingConfig(context.Background(), base, b, false)
	if d := time.Since(begun); d > answerWithin {
		w.t.Errorf("%v: machine %d answers an order after %v", w.now(), i, d)
	}
	if err != nil && errs.KindOf(err).HTTP != 503 {
		w.t.Errorf("%v: machine %d refuses an order on version %d: %v", w.now(), i, base, err)
	}
	if err == nil {
		w.acked(v)
	}
	return err
}

// read reads the plan at a machine, never older than what was acknowledged before.
func (w *cutWorld) read(i int) error {
	w.mu.Lock()
	least := w.version
	w.mu.Unlock()
	begun := time.Now()
	_, v, err := w.node(i).ReadRoutingConfig(context.Background())
	if d := time.Since(begun); d > answerWithin {
		w.t.Errorf("%v: machine %d answers a read after %v", w.now(), i, d)
	}
	if err == nil && v < least {
		w.t.Errorf("%v: machine %d serves version %d after %d was acknowledged", w.now(), i, v, least)
	}
	if err != nil && errs.KindOf(err).HTTP != 503 {
		w.t.Errorf("%v: a read at machine %d: %v", w.now(), i, err)
	}
	return err
}

func newCutWorld(t *testing.T, r cutRow) *cutWorld {
	w := &cutWorld{ground: newGround(t), t: t, row: r, acks: map[uint64]at{}, begun: time.Now()}
	w.net = newNetwork()
	clk := clock.Synctest()
	for k := range w.holders {
		w.holders[k] = controlclient.NewLease(nil, clk, "site", 0, fmt.Sprintf("holder-%d", k), leaseTTL)
	}
	return w
}

// term is the highest term that a machine is in.
func (w *cutWorld) term() (term uint64) {
	for i := range 5 {
		if n := w.node(i + 1); n != nil {
			p := n.shards[0]
			term = max(term, query(context.Background(), p, 0, func() uint64 { return p.core.Status().Term }))
		}
	}
	return term
}

// chooseVictim picks the member to cut off, the leader or a follower, and its companion.
func (w *cutWorld) chooseVictim(machines int) {
	for i := range machines {
		switch isLeader := i+1 == w.leader(); {
		case w.victim == 0 && isLeader == w.row.leader:
			w.victim = i + 1
		case w.row.pair && w.companion == 0 && !isLeader:
			w.companion = i + 1
		default:
			w.others = append(w.others, i+1)
		}
	}
}
