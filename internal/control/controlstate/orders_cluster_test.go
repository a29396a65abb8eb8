package controlstate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/wire"
)

// orderCluster is a group of three real shards whose goroutines, messages and ticks a test moves by
// hand, inside a synctest bubble: requests run the shard's own change, and stand wherever the test
// leaves them. It watches over what operators may rely on.
type orderCluster struct {
	mu       sync.Mutex // guards what the orders came to, and newest
	t        *testing.T
	key      string // the document that is watched
	members  []*orderMember
	mail     []*wire.Message
	cutOff   *orderMember // nothing reaches it, and nothing it sends arrives
	versions map[uint64]string
	newest   uint64 // the highest version that was acknowledged
	orders   []*testOrder
	faults   []string
}

type orderMember struct {
	addr string
	disk *simDisk
	p    *shard
	stop context.CancelFunc
	seen uint64 // the highest version that it applied
}

// testOrder is one operator's change, whose copies may be sent at any time.
type testOrder struct {
	name           string
	base, version  uint64
	acked, refused bool
	inForce        bool
}

func newOrderCluster(t *testing.T, key string) *orderCluster {
	c := &orderCluster{t: t, key: key, versions: map[uint64]string{}}
	for i := range 3 {
		c.members = append(c.members, &orderMember{addr: fmt.Sprintf("m%d:1", i+1), disk: newSimDisk()})
	}
	for _, m := range c.members {
		c.boot(m, true)
	}
	return c
}

func (c *orderCluster) boot(m *orderMember, first bool) {
	ctx, stop := context.WithCancel(context.Background())
	m.stop = stop
	p := newShard(ctx, 0, &clock.Manual{}, hclog.NewNullLogger(), func(message *wire.Message) {
		c.mail = append(c.mail, proto.Clone(message).(*wire.Message))
	})
	openGroup(p, &group{codec: versions{}, disk: m.disk, targetSize: 3, reopenTicks: 3, zoneOf: func(string) string { return "" },
		consensusConfig: consensus.Config{HeartbeatTicks: heartbeatTicks, ElectionTicks: electionTicks, MaxBatchBytes: 4096, Rand: rand.New(rand.NewPCG(uint64(m.addr[1]), 1))},
		initialSnapshot: func() *wire.Snapshot {
			return initialGroupSnapshot(first, m.addr, []string{"m1:1", "m2:1", "m3:1"}, func() uint64 { return 7 })
		}})
	m.p = p
}

// run lets a member do what it was asked to, and looks at what it applied.
func (c *orderCluster) run(m *orderMember) {
	for {
		select {
		case f := <-m.p.commands.Out():
			f()
			continue
		default:
		}
		break
	}
	m.p.handleReady()
	doc := m.p.state.documents[c.key]
	if doc.GetVersion() < m.seen {
		c.fault("versions climb: %s goes from %d back to %d", m.addr, m.seen, doc.GetVersion())
	}
	m.seen = doc.GetVersion()
	if doc == nil {
		return
	}
	if other, ok := c.versions[doc.Version]; ok && other != string(doc.Body) {
		c.fault("one content a version: %d is %s and %s", doc.Version, other, doc.Body)
	}
	c.versions[doc.Version] = string(doc.Body)
	c.noteInForce(doc)
	c.check()
}

func (c *orderCluster) noteInForce(doc *wire.Document) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.orders {
		o.inForce = o.inForce || string(doc.Body) == string(o.body())
	}
}

func (o *testOrder) body() []byte { return body(o.version, o.name) }

// check looks at all orders: what was answered must hold together, at any moment.
func (c *orderCluster) check() {
	c.mu.Lock()
	defer c.mu.Unlock()
	byBase := map[uint64]string{}
	for _, o := range c.orders {
		if o.refused && (o.acked || o.inForce) {
			c.fault("a refused order never comes into force, and an acknowledged one is never refused: %+v", *o)
		}
		if !o.acked {
			continue
		}
		if other := byBase[o.base]; other != "" {
			c.fault("one acknowledged change a base: %s and %s on %d", other, o.name, o.base)
		}
		byBase[o.base] = o.name
	}
}

func (c *orderCluster) fault(format string, args ...any) {
	if text := fmt.Sprintf(format, args...); !slices.Contains(c.faults, text) {
		c.faults = append(c.faults, text)
	}
}

// round lets all members run, and delivers what was sent before; false: nothing was left to do.
func (c *orderCluster) round() bool {
	synctest.Wait()
	for _, m := range c.members {
		c.run(m)
	}
	due := c.mail
	c.mail = nil
	for _, message := range due {
		from, to := c.member(message.From), c.member(message.To)
		if to != nil && from != c.cutOff && to != c.cutOff {
			to.p.core.Step(message)
			c.run(to)
		}
	}
	synctest.Wait()
	return len(due) > 0 || len(c.mail) > 0 || slices.ContainsFunc(c.members, func(m *orderMember) bool { return m.p.commands.Len() > 0 })
}

func (c *orderCluster) settle() {
	for range 200 {
		if !c.round() {
			return
		}
	}
	c.t.Fatal("the group doesn't come to rest")
}

func (c *orderCluster) member(name string) *orderMember {
	for _, m := range c.members {
		if m.addr == controlclient.MemberAddr(name) {
			return m
		}
	}
	return nil
}

// leader is the one of the highest term that isn't cut off.
func (c *orderCluster) leader() (best *orderMember) {
	for _, m := range c.members {
		if s := m.p.core.Status(); s.IsLeader && m != c.cutOff && (best == nil || s.Term > best.p.core.Status().Term) {
			best = m
		}
	}
	return best
}

// elect lets time pass until a member leads that isn't cut off.
func (c *orderCluster) elect() {
	for range 10 * electionTicks {
		if l := c.leader(); l != nil && l.p.core.HasAppliedCurrentTerm() {
			return
		}
		for _, m := range c.members {
			if m != c.cutOff {
				m.p.core.Tick()
			}
		}
		c.settle()
	}
	c.t.Fatal("no leader")
}

// heal joins all members again, and lets time pass until no leader of the past is left.
func (c *orderCluster) heal() {
	c.cutOff = nil
	for range 2 * heartbeatTicks {
		for _, m := range c.members {
			m.p.core.Tick()
		}
		c.settle()
	}
	c.elect()
}

// changeLeader cuts the leader off, if nobody is, and lets the others elect another: at the least
// possible progress, so that the new leader hasn't applied what the old one replicated.
func (c *orderCluster) changeLeader() {
	old := c.leader()
	if old == nil {
		c.cutOff = nil
		c.elect()
		return
	}
	c.cutOff = old
	for range 10 * electionTicks {
		if c.leader() != nil {
			return
		}
		for _, m := range c.members {
			if m != c.cutOff {
				m.p.core.Tick()
			}
		}
		c.round()
	}
	c.t.Fatal("no other leader")
}

// restart turns all logs into snapshots and starts all members again from their disks.
func (c *orderCluster) restart() {
	for _, m := range c.members {
		saved, err := m.p.state.save()
		if err == nil && m.p.core.Status().Applied > 0 {
			err = m.p.store.SaveSnapshot(m.p.core.Compact(saved))
		}
		if err != nil {
			c.t.Fatal(err)
		}
		m.stop()
		c.boot(m, false)
	}
	c.mail, c.cutOff = nil, nil
	synctest.Wait()
	c.elect()
}

// send sends a copy of an order to a member; its answer is noted whenever it comes.
func (c *orderCluster) send(ctx context.Context, o *testOrder, to *orderMember) {
	put := &wire.Put{Key: c.key, Body: o.body(), IfVersion: o.base, Token: o.name}
	request := &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}}
	p := to.p // as it is now: the member may be started again meanwhile
	go func() {
		response := p.change(ctx, request)
		c.mu.Lock()
		defer c.mu.Unlock()
		switch {
		case response.Outcome == wire.OutcomeDone:
			o.acked = true
			c.newest = max(c.newest, response.Version)
		case isDecidedByState(response.Outcome):
			o.refused = true
		}
	}()
}
