package controlstate

import (
	"context"

	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// enqueue hands a message to the thread that carries messages to its receiver. A full ring
// drops it: messages may be lost.
func (n *Node) enqueue(message *wire.Message) {
	if messages := n.outgoing[message.To]; messages != nil {
		messages.Offer(message)
	}
}

func (n *Node) sendQueued(to string, messages *queue.Ring[*wire.Message]) {
	for {
		select {
		case <-n.process.Ctx.Done():
			return
		case message := <-messages.Out():
			batch := append([]*wire.Message{message}, messages.Drain(127)...)
			addr, known := n.membership.View().Addr("archive/" + to)
			if !known {
				continue
			}
			ctx, cancel := context.WithTimeout(n.process.Ctx, n.process.Settings.Bounds.Heal(1.0/24))
			_, err := n.clients.ControlNode(addr).Deliver(ctx, &wire.MessageBatch{Format: 1, Messages: batch})
			cancel()
			if err != nil {
				n.process.Log.Debug("messages lost", "to", to, "messages", len(batch), "error", err)
			}
		}
	}
}
