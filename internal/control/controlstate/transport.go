package controlstate

import (
	"context"
	"sync"
	"time"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// Limits of the transport between members of a group. The ratios are fractions of settings.Bounds.Recovery, the
// configured time to restore service after a fault.
const (
	maxOutboxes          = 16       // maximum number of addresses that have message queues at one time
	maxQueuedSmall       = 64       // maximum number of small messages queued for one address
	maxQueuedLarge       = 2        // maximum number of large messages queued for one address
	maxBatchMessages     = 16       // maximum number of small messages sent in one Deliver request
	largeMessageBytes    = 16 << 10 // payload size in bytes from which a message counts as large
	sendTimeoutRatio     = 1.0 / 24 // time-out of a Deliver request without a payload, as a fraction of Bounds.Recovery
	megabyteTimeoutRatio = 1.0      // time added to the time-out of a Deliver request for each MiB of payload, as a fraction of Bounds.Recovery
)

// transport sends the consensus messages of a group. Each address has a queue for small messages and one for large
// messages, each with its own sending goroutine, so that a heartbeat never waits behind a snapshot. Only the
// shard's goroutine may use the transport; the sending goroutines end with ctx.
type transport struct {
	ctx      context.Context
	node     *Node
	outboxes map[string]*outbox // message queues by address
	sent     int                // number of calls of send so far, for all addresses
}

// outbox holds the queues of outgoing consensus messages for one address.
type outbox struct {
	small, large *queue.Ring[*wire.Message]
	lastUsed     int // value of transport.sent after the last call of send for this address
	stop         context.CancelFunc
}

// newTransport returns a transport whose sending goroutines run until ctx ends.
func newTransport(ctx context.Context, node *Node) *transport {
	return &transport{ctx: ctx, node: node, outboxes: map[string]*outbox{}}
}

// send queues a consensus message for the address of its receiver. The message is dropped if the queue is full:
// the consensus core tolerates lost messages.
func (t *transport) send(message *wire.Message) {
	to := controlclient.MemberAddr(message.To)
	box := t.outboxes[to]
	if box == nil {
		if len(t.outboxes) >= maxOutboxes {
			t.evictLongestIdle()
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

// openOutbox creates the message queues for an address and starts their sending goroutines.
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

// evictLongestIdle closes the outbox that has been unused for the longest time and drops its messages.
func (t *transport) evictLongestIdle() {
	oldest := ""
	for addr, box := range t.outboxes {
		if oldest == "" || box.lastUsed < t.outboxes[oldest].lastUsed {
			oldest = addr
		}
	}
	t.outboxes[oldest].stop()
	delete(t.outboxes, oldest)
}

// payloadBytes returns the approximate size of a consensus message: that of its log entries, snapshot state and
// snapshot chunk.
func payloadBytes(message *wire.Message) int {
	size := len(message.GetSnapshot().GetState()) + len(message.GetChunk().GetData())
	for _, entry := range message.Entries {
		size += len(entry.Body)
	}
	return size
}

// peerSender sends the consensus messages for one address. mu guards the fields that its two goroutines share.
type peerSender struct {
	node *Node
	to   string

	mu              sync.Mutex
	lastSmallFailed bool               // whether the last request with small messages failed
	abortLarge      context.CancelFunc // function that cancels the request that sends a large message; nil if none is in progress
}

// timeout returns the time-out of a Deliver request with a payload of size bytes.
func (p *peerSender) timeout(size int) time.Duration {
	return p.node.process.Settings.Bounds.Recovery(sendTimeoutRatio + megabyteTimeoutRatio*float64(size)/(1<<20))
}

// deliver sends consensus messages to the peer in one Deliver request. Messages of a failed request are not sent
// again.
func (p *peerSender) deliver(ctx context.Context, messages []*wire.Message) error {
	_, err := p.node.clients.ControlNode(p.to).Deliver(ctx, &wire.MessageBatch{Format: messageFormat, Messages: messages})
	if err != nil {
		p.node.process.Log.Debug("failed to deliver consensus messages to peer; messages dropped", "to", p.to, "messages", len(messages), "error", err)
	}
	return err
}

// sendSmall sends the queued small messages in batches until ctx ends.
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

// recordSmallResult records whether a request with small messages failed. When one succeeds after a failure, it
// aborts a large message in progress, which may be stuck on a connection from before the failure.
func (p *peerSender) recordSmallResult(failed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastSmallFailed && !failed && p.abortLarge != nil {
		p.abortLarge()
	}
	p.lastSmallFailed = failed
}

// sendLarge sends the queued large messages one at a time until ctx ends. It notifies the consensus core of each
// message that could not be delivered.
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

// setAbort sets the function that aborts the request with a large message in progress; nil if there is none.
func (p *peerSender) setAbort(abort context.CancelFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.abortLarge = abort
}
