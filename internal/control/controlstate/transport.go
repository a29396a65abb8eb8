package controlstate

import (
	"context"
	"sync"
	"time"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// transport carries a group's messages: for each address a queue of small messages and one of large
// ones, each with a goroutine of its own, so no heartbeat waits behind a snapshot. It belongs to the
// shard's goroutine.
type transport struct {
	ctx      context.Context
	node     *Node
	outboxes map[string]*outbox
	sent     int
}

type outbox struct {
	small, large *queue.Ring[*wire.Message]
	lastUsed     int // number of the message that was queued last, counted over all
	stop         context.CancelFunc
}

// Bounds of the transport. Time is in parts of the heal bound.
const (
	maxOutboxes  = 16 // addresses that get messages at once; the one that got none for longest gives way
	maxSmall     = 64 // queued messages for one address
	maxLarge     = 2
	maxBatch     = 16
	largeBytes   = 16 << 10
	sendTimePart = 1.0 / 24
	megabytePart = 1.0 // beside that, for each megabyte
)

func newTransport(ctx context.Context, n *Node) *transport {
	return &transport{ctx: ctx, node: n, outboxes: map[string]*outbox{}}
}

// send queues a message for the address in its receiver's name. A full queue drops it: messages may
// be lost.
func (t *transport) send(m *wire.Message) {
	to := controlclient.Addr(m.To)
	b := t.outboxes[to]
	if b == nil {
		if len(t.outboxes) >= maxOutboxes {
			t.dropOldest()
		}
		b = t.open(to)
	}
	t.sent++
	b.lastUsed = t.sent
	if len(m.GetPiece().GetData()) > 0 || payloadBytes(m) >= largeBytes {
		b.large.Offer(m)
	} else {
		b.small.Offer(m)
	}
}

func (t *transport) open(to string) *outbox {
	ctx, stop := context.WithCancel(t.ctx)
	b := &outbox{small: queue.NewRing[*wire.Message](maxSmall), large: queue.NewRing[*wire.Message](maxLarge), stop: stop}
	t.outboxes[to] = b
	d := &delivery{node: t.node, to: to}
	go d.sendSmall(ctx, b.small)
	go d.sendLarge(ctx, b.large)
	return b
}

func (t *transport) dropOldest() {
	oldest := ""
	for addr, b := range t.outboxes {
		if oldest == "" || b.lastUsed < t.outboxes[oldest].lastUsed {
			oldest = addr
		}
	}
	t.outboxes[oldest].stop()
	delete(t.outboxes, oldest)
}

// payloadBytes is about how large a message is.
func payloadBytes(m *wire.Message) int {
	size := len(m.GetSnapshot().GetState()) + len(m.GetPiece().GetData())
	for _, e := range m.Entries {
		size += len(e.Body)
	}
	return size
}

// delivery sends one address its messages.
type delivery struct {
	node       *Node
	to         string
	mu         sync.Mutex         // guards what follows
	failed     bool               // the last small message didn't arrive
	abortLarge context.CancelFunc // ends the large message that is being sent; nil: none is
}

// timeFor is how long a message of so many bytes may take.
func (d *delivery) timeFor(size int) time.Duration {
	return d.node.process.Place.Bounds.Heal(sendTimePart + megabytePart*float64(size)/(1<<20))
}

func (d *delivery) post(ctx context.Context, messages []*wire.Message) error {
	_, err := d.node.calls.ControlNode(d.to).Post(ctx, &wire.MessageBatch{Format: 1, Messages: messages})
	if err != nil {
		d.node.process.Log.Debug("messages lost", "to", d.to, "messages", len(messages), "error", err)
	}
	return err
}

func (d *delivery) sendSmall(ctx context.Context, queued *queue.Ring[*wire.Message]) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queued.Out():
			one, end := context.WithTimeout(ctx, d.timeFor(0))
			err := d.post(one, append([]*wire.Message{m}, queued.Drain(maxBatch-1)...))
			end()
			d.noteSmall(err != nil)
		}
	}
}

// noteSmall ends a large message that was begun before its address could be reached again: its
// connection may stay silent for long.
func (d *delivery) noteSmall(failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failed && !failed && d.abortLarge != nil {
		d.abortLarge()
	}
	d.failed = failed
}

// sendLarge sends large messages one by one; the core hears of each that is lost.
func (d *delivery) sendLarge(ctx context.Context, queued *queue.Ring[*wire.Message]) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queued.Out():
			one, end := context.WithTimeout(ctx, d.timeFor(payloadBytes(m)))
			d.setAbort(end)
			err := d.post(one, []*wire.Message{m})
			d.setAbort(nil)
			if end(); err != nil {
				d.node.shards[m.Shard].reportLost(m)
			}
		}
	}
}

func (d *delivery) setAbort(abort context.CancelFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.abortLarge = abort
}
