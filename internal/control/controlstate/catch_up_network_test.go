package controlstate

import (
	"sort"
	"time"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/wire"
)

// catchUpMessage is a message on its way.
type catchUpMessage struct {
	deliverAt      time.Duration
	sequence       int
	receiverStarts int // of the receiver when it was sent
	message        *wire.Message
	isLost         bool // it times out
	link           *simLink
}

// simLink carries large messages one after another, as the transport sends them.
type simLink struct {
	freeAt         time.Duration
	queuedMessages int
}

// largeMessageTimeout is the transport's time-out for a large message.
func largeMessageTimeout(size int) time.Duration {
	return time.Duration(float64(catchUpHeal) * (sendTimeoutRatio + megabyteTimeoutRatio*float64(size)/(1<<20)))
}

// isLargeMessage reports whether the transport sends a message by itself, as product code decides it.
func isLargeMessage(message *wire.Message) bool {
	return len(message.GetChunk().GetData()) > 0 || payloadBytes(message) >= largeMessageBytes
}

// send puts a message on its way. Large ones share the link between two machines, one after another; one
// that takes longer than its time-out is lost.
func (w *catchUpWorld) send(message *wire.Message) {
	from, to := controlclient.MemberAddr(message.From), controlclient.MemberAddr(message.To)
	receiver := w.node(to)
	if receiver == nil || w.isolated[from] || w.isolated[to] {
		return
	}
	queued := catchUpMessage{deliverAt: w.now + linkDelay, receiverStarts: receiver.starts, message: message}
	if isLargeMessage(message) {
		link := w.link(from, to)
		if link.queuedMessages > maxQueuedLarge {
			return // the queue is full, and one more is being sent
		}
		size := payloadBytes(message)
		sendTime, timeout := time.Duration(float64(size)/float64(w.bytesPerSecond)*float64(time.Second)), largeMessageTimeout(size)
		receiver.receivedBytes += size
		link.queuedMessages++
		link.freeAt = max(link.freeAt, w.now) + min(sendTime, timeout)
		queued.deliverAt, queued.isLost, queued.link = link.freeAt+linkDelay, sendTime > timeout, link
	}
	w.sentMessages++
	queued.sequence = w.sentMessages
	w.queued = append(w.queued, queued)
}

// link is the link from one machine to another.
func (w *catchUpWorld) link(from, to string) *simLink {
	name := from + ">" + to
	if w.links[name] == nil {
		w.links[name] = &simLink{}
	}
	return w.links[name]
}

// deliver hands over the messages that are due. The sender of a large one that is lost gets a report.
func (w *catchUpWorld) deliver() {
	sort.SliceStable(w.queued, func(i, j int) bool { return w.queued[i].deliverAt < w.queued[j].deliverAt })
	due := w.queued
	w.queued = nil
	for index, queued := range due {
		if queued.deliverAt > w.now {
			w.queued = append(w.queued, due[index:]...)
			break
		}
		from, to := w.node(controlclient.MemberAddr(queued.message.From)), w.node(controlclient.MemberAddr(queued.message.To))
		if queued.link != nil {
			queued.link.queuedMessages--
		}
		if queued.isLost || to.shard == nil || to.starts != queued.receiverStarts || w.isolated[to.addr] || w.isolated[from.addr] {
			if queued.link != nil && w.isHealthy(from) {
				from.shard.core.ReportSendFailure(queued.message)
			}
		} else if w.isHealthy(to) {
			to.shard.core.Step(queued.message)
			w.runStep(to)
		}
	}
}
