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
func (t *transport) send(message *wire.Message) {
	to := controlclient.MemberAddr(message.To)
	box := t.outboxes[to]
	if box == nil {
		if len(t.outboxes) >= maxOutboxes {
			t.evictIdlest()
		}
		box = t.openOutbox(to)
	}
	t.sent++
	box.lastUsed = t.sent
	if len(message.GetChunk().GetData()) > 0 || payloadBytes(message) >= largeMessageBytes {
		box.large.Offer(message)
	} else {
		box.small.Offer(message)
	}
}

func (t *transport) openOutbox(to string) *outbox {
	ctx, stop := context.WithCancel(t.ctx)
	box := &outbox{small: queue.NewRing[*wire.Message](maxQueuedSmall), large: queue.NewRing[*wire.Message](maxQueuedLarge), stop: stop}
	t.outboxes[to] = box
	sender := &peerSender{node: t.node, to: to}
	go sender.sendSmall(ctx, box.small)
	go sender.sendLarge(ctx, box.large)
	return box
}

func (t *transport) evictIdlest() {
	oldest := ""
	for addr, box := range t.outboxes {
		if oldest == "" || box.lastUsed < t.outboxes[oldest].lastUsed {
			oldest = addr
		}
	}
	t.outboxes[oldest].stop()
	delete(t.outboxes, oldest)
}

// payloadBytes is about how large a message is.
func payloadBytes(message *wire.Message) int {
	size := len(message.GetSnapshot().GetState()) + len(message.GetChunk().GetData())
	for _, entry := range message.Entries {
		size += len(entry.Body)
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
func (p *peerSender) timeout(size int) time.Duration {
	return p.node.process.Settings.Bounds.Heal(sendTimeoutRatio + megabyteTimeoutRatio*float64(size)/(1<<20))
}

func (p *peerSender) deliver(ctx context.Context, messages []*wire.Message) error {
	_, err := p.node.clients.ControlNode(p.to).Deliver(ctx, &wire.MessageBatch{Format: 1, Messages: messages})
	if err != nil {
		p.node.process.Log.Debug("messages lost", "to", p.to, "messages", len(messages), "error", err)
	}
	return err
}

func (p *peerSender) sendSmall(ctx context.Context, queued *queue.Ring[*wire.Message]) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-queued.Out():
			sendCtx, cancel := context.WithTimeout(ctx, p.timeout(0))
			err := p.deliver(sendCtx, append([]*wire.Message{message}, queued.Drain(maxBatchMessages-1)...))
			cancel()
			p.recordSmallResult(err != nil)
		}
	}
}

// recordSmallResult ends a large message that was begun before its address could be reached again: its
// connection may stay silent for long.
func (p *peerSender) recordSmallResult(failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastSmallFailed && !failed && p.abortLarge != nil {
		p.abortLarge()
	}
	p.lastSmallFailed = failed
}

// sendLarge sends large messages one by one; the core hears of each that is lost.
func (p *peerSender) sendLarge(ctx context.Context, queued *queue.Ring[*wire.Message]) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-queued.Out():
			sendCtx, cancel := context.WithTimeout(ctx, p.timeout(payloadBytes(message)))
			p.setAbort(cancel)
			err := p.deliver(sendCtx, []*wire.Message{message})
			p.setAbort(nil)
			if cancel(); err != nil {
				p.node.shards[message.Shard].reportSendFailure(message)
			}
		}
	}
}

func (p *peerSender) setAbort(abort context.CancelFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abortLarge = abort
}
