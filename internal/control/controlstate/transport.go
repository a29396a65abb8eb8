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
	maxOutboxes          = 16 // addresses that get messages at once; the one that got none for longest gives way
	maxQueuedSmall       = 64 // queued messages for one address
	maxQueuedLarge       = 2
	maxBatchMessages     = 16
	largeMessageBytes    = 16 << 10
	sendTimeoutRatio     = 1.0 / 24
	megabyteTimeoutRatio = 1.0 // beside that, for each megabyte
)

func newTransport(ctx context.Context, n *Node) *transport {
	return &transport{ctx: ctx, node: n, outboxes: map[string]*outbox{}}
}

// send queues a message for the address in its receiver's name. A full queue drops it: messages may
// be lost.
func (t *transport) send(m *wire.Message) {
	to := controlclient.MemberAddr(m.To)
	b := t.outboxes[to]
	if b == nil {
		if len(t.outboxes) >= maxOutboxes {
			t.evictIdlest()
		}
		b = t.openOutbox(to)
	}
	t.sent++
	b.lastUsed = t.sent
	if len(m.GetChunk().GetData()) > 0 || payloadBytes(m) >= largeMessageBytes {
		b.large.Offer(m)
	} else {
		b.small.Offer(m)
	}
}

func (t *transport) openOutbox(to string) *outbox {
	ctx, stop := context.WithCancel(t.ctx)
	b := &outbox{small: queue.NewRing[*wire.Message](maxQueuedSmall), large: queue.NewRing[*wire.Message](maxQueuedLarge), stop: stop}
	t.outboxes[to] = b
	d := &peerSender{node: t.node, to: to}
	go d.sendSmall(ctx, b.small)
	go d.sendLarge(ctx, b.large)
	return b
}

func (t *transport) evictIdlest() {
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
	size := len(m.GetSnapshot().GetState()) + len(m.GetChunk().GetData())
	for _, e := range m.Entries {
		size += len(e.Body)
	}
	return size
}

// peerSender sends one address its messages.
type peerSender struct {
	node            *Node
	to              string
	mu              sync.Mutex         // guards what follows
	lastSmallFailed bool               // the last small message didn't arrive
	abortLarge      context.CancelFunc // ends the large message that is being sent; nil: none is
}

// timeout is how long a message of so many bytes may take.
func (d *peerSender) timeout(size int) time.Duration {
	return d.node.process.Settings.Bounds.Heal(sendTimeoutRatio + megabyteTimeoutRatio*float64(size)/(1<<20))
}

func (d *peerSender) deliver(ctx context.Context, messages []*wire.Message) error {
	_, err := d.node.clients.ControlNode(d.to).Deliver(ctx, &wire.MessageBatch{Format: 1, Messages: messages})
	if err != nil {
		d.node.process.Log.Debug("messages lost", "to", d.to, "messages", len(messages), "error", err)
	}
	return err
}

func (d *peerSender) sendSmall(ctx context.Context, queued *queue.Ring[*wire.Message]) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queued.Out():
			one, end := context.WithTimeout(ctx, d.timeout(0))
			err := d.deliver(one, append([]*wire.Message{m}, queued.Drain(maxBatchMessages-1)...))
			end()
			d.recordSmallResult(err != nil)
		}
	}
}

// recordSmallResult ends a large message that was begun before its address could be reached again: its
// connection may stay silent for long.
func (d *peerSender) recordSmallResult(failed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastSmallFailed && !failed && d.abortLarge != nil {
		d.abortLarge()
	}
	d.lastSmallFailed = failed
}

// sendLarge sends large messages one by one; the core hears of each that is lost.
func (d *peerSender) sendLarge(ctx context.Context, queued *queue.Ring[*wire.Message]) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-queued.Out():
			one, end := context.WithTimeout(ctx, d.timeout(payloadBytes(m)))
			d.setAbort(end)
			err := d.deliver(one, []*wire.Message{m})
			d.setAbort(nil)
			if end(); err != nil {
				d.node.shards[m.Shard].reportSendFailure(m)
			}
		}
	}
}

func (d *peerSender) setAbort(abort context.CancelFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.abortLarge = abort
}
