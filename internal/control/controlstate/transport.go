package controlstate

import (
	"context"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// mail carries a group's letters: a ring and a thread for each address that gets any. It
// belongs to the part's thread.
type transport struct {
	ctx      context.Context
	node     *Node
	outboxes map[string]*outbox
	posted   int
}

type outbox struct {
	messages *queue.Ring[*wire.Message]
	lastUsed int // the letter that was posted last, counted over all
	stop     context.CancelFunc
}

// maxBoxes is how many addresses get letters at once; the one that got none for longest gives way.
const maxOutboxes = 16

func newTransport(ctx context.Context, n *Node) *transport {
	return &transport{ctx: ctx, node: n, outboxes: map[string]*outbox{}}
}

// post hands a letter to the thread of the address in its receiver's name. A full ring drops
// it: letters may be lost.
func (m *transport) send(l *wire.Message) {
	to := controlclient.Addr(l.To)
	b := m.outboxes[to]
	if b == nil {
		if len(m.outboxes) >= maxOutboxes {
			m.dropOldest()
		}
		ctx, end := context.WithCancel(m.ctx)
		b = &outbox{messages: queue.NewRing[*wire.Message](64), stop: end}
		m.outboxes[to] = b
		go m.deliver(ctx, to, b.messages)
	}
	m.posted++
	b.lastUsed = m.posted
	b.messages.Offer(l)
}

func (m *transport) dropOldest() {
	old := ""
	for a, b := range m.outboxes {
		if old == "" || b.lastUsed < m.outboxes[old].lastUsed {
			old = a
		}
	}
	m.outboxes[old].stop()
	delete(m.outboxes, old)
}

func (m *transport) deliver(ctx context.Context, to string, r *queue.Ring[*wire.Message]) {
	life := m.node.life
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-r.Out():
			ls := append([]*wire.Message{l}, r.Drain(15)...)
			one, end := context.WithTimeout(ctx, life.Place.Bounds.Heal(1.0/24))
			_, err := m.node.calls.ControlNode(to).Post(one, &wire.MessageBatch{Format: 1, Messages: ls})
			end()
			if err != nil {
				life.Log.Debug("letters lost", "to", to, "letters", len(ls), "error", err)
			}
		}
	}
}
