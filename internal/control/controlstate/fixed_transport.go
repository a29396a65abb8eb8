package controlstate

import (
	"context"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// Bounds of the message queues between fixed members.
const (
	maxQueuedMessages   = 1024 // for one peer; more are dropped
	maxMessagesPerBatch = 128  // in one request
)

// startPeerQueues starts a queue and its sender for each peer.
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

// enqueue hands a message to the sender of its receiver. A full queue drops it: the consensus core
// tolerates lost messages.
func (n *Node) enqueue(message *wire.Message) {
	if queued := n.outgoing[message.To]; queued != nil {
		queued.Offer(message)
	}
}

// sendQueued sends a peer its messages until the process ends. Messages to a peer whose address isn't
// known are dropped.
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

func (n *Node) sendBatch(peer, addr string, batch []*wire.Message) {
	ctx, cancel := context.WithTimeout(n.process.Ctx, n.process.Settings.Bounds.Heal(sendTimeoutRatio))
	defer cancel()
	_, err := n.clients.ControlNode(addr).Deliver(ctx, &wire.MessageBatch{Format: messageFormat, Messages: batch})
	if err != nil {
		n.process.Log.Debug("messages lost", "to", peer, "messages", len(batch), "error", err)
	}
}
