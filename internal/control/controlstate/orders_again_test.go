package controlstate

import (
	"context"
	"os"
	"slices"
	"testing"
	"testing/synctest"

	"pebbleloom/internal/control/routingconfig"
)

// The events of TestTwoOrdersInEveryOrder: two operators send a change each, on the same version and
// under the same number, and each sends it again; the leader changes, and all members go through a
// snapshot and a restart.
const (
	firstCopyA = iota
	secondCopyA
	firstCopyB
	secondCopyB
	newLeader
	snapshotAndRestart
	eventCount
	secondNewLeader = eventCount // in the long search alone
)

// ordersLongVar, set to anything, adds a second change of leader to every order of events.
const ordersLongVar = "ORDERS_LONG"

// progressAfterSend is how many rounds of messages follow a copy: none (the quorum is being asked), two
// (it is proposed), three (it is on other disks, uncommitted), or all that there are.
var progressAfterSend = []int{0, 2, 3, 100}

// sendsTo is whom a copy is sent to.
type sendsTo int

const (
	toTheLeader sendsTo = iota
	toOneCutOff         // as long as one is, else to the leader
)

// otherKey is a document that is neither merged nor validated ahead.
const otherKey = "other"

// Two orders on one version, two copies each, a change of leader, a snapshot and a restart, in every
// order, each copy left wherever it stands when the next event comes. At the end a third change is made
// on top, and both are sent once more.
func TestTwoOrdersInEveryOrder(t *testing.T) {
	for _, key := range []string{otherKey, routingconfig.DocumentKey} {
		t.Run(key, func(t *testing.T) {
			t.Logf("%d runs", twoOrdersInEveryOrder(t, key))
		})
	}
}

func twoOrdersInEveryOrder(t *testing.T, key string) (runs int) {
	events := eventCount
	if os.Getenv(ordersLongVar) != "" {
		events++
	}
	orders(events, func(sequence []int) {
		inOrder := func(first, second int) bool {
			return !slices.Contains(sequence, second) || slices.Index(sequence, first) < slices.Index(sequence, second)
		}
		if !inOrder(firstCopyA, secondCopyA) || !inOrder(firstCopyB, secondCopyB) || !inOrder(firstCopyA, firstCopyB) || !inOrder(newLeader, secondNewLeader) {
			return // by symmetry
		}
		for i := range len(progressAfterSend) * len(progressAfterSend) {
			progress := []int{progressAfterSend[i%len(progressAfterSend)], progressAfterSend[i/len(progressAfterSend)]}
			for _, target := range []sendsTo{toTheLeader, toOneCutOff} {
				runs++
				synctest.Test(t, func(t *testing.T) {
					if faults := twoOrders(t, key, sequence, progress, target); len(faults) > 0 {
						t.Errorf("run %d: %s, %v, rounds %v, to %d: %v", runs, key, sequence, progress, target, faults)
					}
				})
				if t.Failed() {
					t.FailNow()
				}
			}
		}
	})
	return runs
}

func twoOrders(t *testing.T, key string, sequence []int, progress []int, target sendsTo) []string {
	c := newOrderCluster(t, key)
	ctx, cancel := context.WithCancel(t.Context())
	defer c.stop(cancel)
	c.elect()
	number := uint64(1) // any document counts its versions itself, the configuration bears its own number
	if key == routingconfig.DocumentKey {
		number = 2
	}
	a, b := &testOrder{name: "a", version: number}, &testOrder{name: "b", version: number}
	c.orders = []*testOrder{a, b}
	for _, event := range sequence {
		switch event {
		case newLeader, secondNewLeader:
			c.changeLeader()
		case snapshotAndRestart:
			c.restart()
		default:
			if c.leader() == nil { // one that was cut off is back, and has just stepped down
				c.elect()
			}
			to := c.leader()
			if target == toOneCutOff && c.cutOff != nil {
				to = c.cutOff
			}
			c.send(ctx, c.orders[event/2], to)
			for range progress[event%2] { // of first copies, of second ones
				if !c.round() {
					break
				}
			}
		}
	}
	c.heal()
	if !a.acked && !b.acked && !a.inForce && !b.inForce { // all copies were lost
		c.send(ctx, a, c.leader())
		c.settle()
	}
	third := &testOrder{name: "third", base: number, version: 2 * number}
	c.orders = append(c.orders, third)
	c.send(ctx, third, c.leader())
	c.settle()
	c.send(ctx, a, c.leader())
	c.send(ctx, b, c.leader())
	c.settle()
	c.final(third)
	if a.inForce != a.acked || b.inForce != b.acked || a.acked == b.acked || a.refused == b.refused {
		c.fault("the one in force is acknowledged when it is sent again, the other one is refused: %+v, %+v", *a, *b)
	}
	return c.faults
}

// stop ends what is under way.
func (c *orderCluster) stop(cancel context.CancelFunc) {
	cancel()
	for _, m := range c.members {
		m.stop()
	}
	synctest.Wait()
}

// final checks that the newest order that was acknowledged is what members read back.
func (c *orderCluster) final(newest *testOrder) {
	if !newest.acked || c.newest != newest.version {
		c.fault("the newest order isn't acknowledged: %+v, newest is %d", *newest, c.newest)
	}
	c.heal() // and the others hear what is committed
	for _, m := range c.members {
		if doc := m.p.state.documents[c.key]; doc.GetVersion() != newest.version || string(doc.GetBody()) != string(newest.body()) {
			c.fault("what is read back is the newest that was acknowledged: %s holds %d %s", m.addr, doc.GetVersion(), doc.GetBody())
		}
	}
	c.check()
}

// A document that isn't validated ahead: a leader of the past, cut off, is sent an order again that the
// next leader took on top of others. It can't say, and says so; its own state would have it refused.
func TestALeaderOfThePastRefusesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newOrderCluster(t, otherKey)
		ctx, cancel := context.WithCancel(t.Context())
		defer c.stop(cancel)
		c.elect()
		c.send(ctx, &testOrder{name: "1"}, c.leader())
		c.settle()
		past := c.leader()
		c.changeLeader()
		c.elect()
		taken := &testOrder{name: "3", base: 2}
		c.send(ctx, &testOrder{name: "2", base: 1}, c.leader())
		c.settle()
		c.send(ctx, taken, c.leader())
		c.settle()
		if !taken.acked || !past.p.core.Status().IsLeader {
			t.Fatalf("the order was to be taken, and the old leader to believe in itself: %+v", *taken)
		}
		c.send(ctx, taken, past)
		c.settle()
		if cancel(); taken.refused {
			t.Errorf("the old leader refuses what was taken: %+v", *taken)
		}
	})
}

// A new leader holds two orders that the one before had replicated, and has applied neither. The second
// one, sent again, builds on a version that isn't in force yet: it is taken a little later, not refused.
func TestANewLeaderRefusesNothingThatIsInItsLog(t *testing.T) {
	for _, key := range []string{otherKey, routingconfig.DocumentKey} {
		synctest.Test(t, func(t *testing.T) {
			c := newOrderCluster(t, key)
			ctx, cancel := context.WithCancel(t.Context())
			defer c.stop(cancel)
			c.elect()
			first, second := &testOrder{name: "1", version: 1}, &testOrder{name: "2", base: 1, version: 2}
			c.orders = append(c.orders, first, second)
			c.send(ctx, first, c.leader())
			c.settle()
			c.send(ctx, second, c.leader())
			for !slices.ContainsFunc(c.members, func(m *orderMember) bool { return m != c.leader() && len(m.p.core.UnappliedEntries()) > 0 }) {
				c.round()
			}
			c.changeLeader()
			c.send(ctx, second, c.leader())
			c.round()
			c.elect()
			c.send(ctx, second, c.leader())
			c.settle()
			if !second.acked || second.refused {
				t.Errorf("%s: %+v", key, *second)
			}
			if c.check(); len(c.faults) > 0 {
				t.Error(c.faults)
			}
		})
	}
}

// An order whose base is proposed and not yet in force is neither refused nor proposed: it is asked for
// again. One on a version that nobody has heard of is a conflict.
func TestAnOrderOnABaseThatIsProposed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newOrderCluster(t, otherKey)
		ctx, cancel := context.WithCancel(t.Context())
		defer c.stop(cancel)
		c.elect()
		next, early := &testOrder{name: "2", base: 1}, &testOrder{name: "9", base: 8}
		c.send(ctx, &testOrder{name: "1"}, c.leader())
		c.round()
		c.send(ctx, next, c.leader())
		c.settle()
		if next.refused || next.acked {
			t.Errorf("its base was under way: %+v", *next)
		}
		c.send(ctx, next, c.leader())
		c.settle()
		c.send(ctx, early, c.leader()) // nothing is under way now that its base might come from
		c.settle()
		if !next.acked || next.refused || !early.refused {
			t.Errorf("%+v, %+v", *next, *early)
		}
	})
}
