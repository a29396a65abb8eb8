package controlstate

import (
	"context"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// Limits of the queues of consensus messages between members of a cluster with fixed members.
const (
	maxQueuedMessages   = 1024 // maximum number of messages queued for one peer; further ones are dropped
	maxMessagesPerBatch = 128  // maximum number of messages sent in one Deliver request
)

// startPeerQueues creates an outgoing queue of consensus messages for each peer and starts the goroutine that
// sends from it.
func (n *Node) startPeerQueues() {
	for _, member := range n.coreMembers {
		if member == n.process.Settings.Name {
			continue
		}
		queued := queue.NewRing[*wire.Message](maxQueuedMessages)
		n.outgoing[member] = queued
		n.process.Go(func() { n.sendQueued(member, queued) })
	}
}

// enqueue adds a consensus message to the outgoing queue of its receiver. A message is dropped if the queue is
// full: the consensus core tolerates lost messages.
func (n *Node) enqueue(message *wire.Message) {
	if queued := n.outgoing[message.To]; queued != nil {
		queued.Offer(message)
	}
}

// sendQueued sends the queued consensus messages of a peer in batches until the process ends. Messages to a peer
// whose address is unknown are dropped.
func (n *Node) sendQueued(peer string, queued *queue.Ring[*wire.Message]) {
	for {
		select {
		case <-n.process.Ctx.Done():
			return
		case message := <-queued.Out():
			batch := append([]*wire.Message{message}, queued.Drain(maxMessagesPerBatch-1)...)
			if addr, known := n.membership.View().Addr(clustermembership.RoleControlNode + "/" + peer); known {
				n.sendBatch(peer, addr, batch)
			}
		}
	}
}

// sendBatch sends consensus messages to a peer in one Deliver request. Messages of a failed request are not sent
// again.
func (n *Node) sendBatch(peer, addr string, batch []*wire.Message) {
	ctx, cancel := context.WithTimeout(n.process.Ctx, n.process.Settings.Bounds.Recovery(sendTimeoutRatio))
	defer cancel()
	_, err := n.clients.ControlNode(addr).Deliver(ctx, &wire.MessageBatch{Format: messageFormat, Messages: batch})
	if err != nil {
		n.process.Log.Debug("failed to deliver consensus messages to peer; messages dropped", "to", peer, "messages", len(batch), "error", err)
	}
}
