package controlstate

import (
	"context"
	"sync"
	"time"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// Bounds of the transport. The ratios are of the heal bound.
const (
	maxOutboxes          = 16       // addresses with queues at once
	maxQueuedSmall       = 64       // messages for one address
	maxQueuedLarge       = 2        // messages for one address
	maxBatchMessages     = 16       // small messages in one request
	largeMessageBytes    = 16 << 10 // from which on a message counts as large
	sendTimeoutRatio     = 1.0 / 24 // for a request without a payload
	megabyteTimeoutRatio = 1.0      // added for each megabyte of payload
)

// transport sends a group's messages. Each address has one queue of small messages and one of large
// ones, each with a goroutine of its own, so that no heartbeat waits behind a snapshot. The transport
// belongs to the shard's goroutine; the senders' goroutines end with ctx.
type transport struct {
	ctx      context.Context
	node     *Node
	outboxes map[string]*outbox // by address
	sent     int                // messages queued so far, for all addresses
}

// outbox holds the queues of one address.
type outbox struct {
	small, large *queue.Ring[*wire.Message]
	lastUsed     int // transport.sent when a message was last queued
	stop         context.CancelFunc
}

func newTransport(ctx context.Context, node *Node) *transport {
	return &transport{ctx: ctx, node: node, outboxes: map[string]*outbox{}}
}

// send queues a message for the address of its receiver. A full queue drops it: the consensus core
// tolerates lost messages.
func (t *transport) send(message *wire.Message) {
	to := controlclient.MemberAddr(message.To)
	box := t.outboxes[to]
	if box == nil {
		if len(t.outboxes) >= maxOutboxes {
			t.evictLeastRecentlyUsed()
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
	box := &outbox{
		small: queue.NewRing[*wire.Message](maxQueuedSmall),
		large: queue.NewRing[*wire.Message](maxQueuedLarge),
		stop:  stop,
	}
	t.outboxes[to] = box
	sender := &peerSender{node: t.node, to: to}
	go sender.sendSmall(ctx, box.small)
	go sender.sendLarge(ctx, box.large)
	return box
}

// evictLeastRecentlyUsed closes the outbox that got no message for longest, and drops what it holds.
func (t *transport) evictLeastRecentlyUsed() {
	idlest := ""
	for addr, box := range t.outboxes {
		if idlest == "" || box.lastUsed < t.outboxes[idlest].lastUsed {
			idlest = addr
		}
	}
	t.outboxes[idlest].stop()
	delete(t.outboxes, idlest)
}

// payloadBytes is the approximate size of a message: that of its entries, snapshot and chunk.
func payloadBytes(message *wire.Message) int {
	size := len(message.GetSnapshot().GetState()) + len(message.GetChunk().GetData())
	for _, entry := range message.Entries {
		size += len(entry.Body)
	}
	return size
}

// peerSender sends the messages for one address. Its two goroutines share what mu guards.
type peerSender struct {
	node *Node
	to   string

	mu              sync.Mutex
	lastSmallFailed bool               // the last small messages didn't arrive
	abortLarge      context.CancelFunc // aborts the large message in flight; nil if there is none
}

// timeout is how long a request with a payload of so many bytes may take.
func (p *peerSender) timeout(size int) time.Duration {
	return p.node.process.Settings.Bounds.Heal(sendTimeoutRatio + megabyteTimeoutRatio*float64(size)/(1<<20))
}

func (p *peerSender) deliver(ctx context.Context, messages []*wire.Message) error {
	_, err := p.node.clients.ControlNode(p.to).Deliver(ctx, &wire.MessageBatch{Format: messageFormat, Messages: messages})
	if err != nil {
		p.node.process.Log.Debug("messages lost", "to", p.to, "messages", len(messages), "error", err)
	}
	return err
}

// sendSmall sends small messages in batches until ctx ends.
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

// recordSmallResult aborts a large message in flight when small ones get through again: it was begun on
// a connection that may stay silent for long.
func (p *peerSender) recordSmallResult(failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastSmallFailed && !failed && p.abortLarge != nil {
		p.abortLarge()
	}
	p.lastSmallFailed = failed
}

// sendLarge sends large messages one by one until ctx ends. The core is notified of each that is lost.
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
			cancel()
			if err != nil {
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
