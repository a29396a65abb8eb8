package controlstate

import (
	"sort"
	"time"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/wire"
)

// catchUpMessage is a message that the simulated network has accepted and not yet delivered.
type catchUpMessage struct {
	deliverAt      time.Duration
	sequence       int // number of the message in the order of sending
	receiverStarts int // the receiver's start count when the message was sent; a later process does not receive the message
	message        *wire.Message
	isLost         bool     // the message times out instead of arriving
	link           *simLink // link that transmits a large message; nil for a small one
}

// simLink is the link from one machine to another. It transmits large messages one at a time, as the transport does.
type simLink struct {
	freeAt         time.Duration // time at which the last queued message will have been transmitted
	queuedMessages int           // number of messages that wait or are being transmitted
}

// largeMessageTimeout returns the transport's time-out for a message with a payload of the given size in bytes.
func largeMessageTimeout(size int) time.Duration {
	return time.Duration(float64(catchUpHeal) * (sendTimeoutRatio + megabyteTimeoutRatio*float64(size)/(1<<20)))
}

// isLargeMessage reports whether the transport sends a message in a request of its own. It follows the rule of
// transport.send.
func isLargeMessage(message *wire.Message) bool {
	return len(message.GetChunk().GetData()) > 0 || payloadBytes(message) >= largeMessageBytes
}

// send queues a message for delivery. Large messages from one machine to another share a link, which transmits them
// one at a time; a message whose transmission takes longer than its time-out is lost.
func (s *catchUpSim) send(message *wire.Message) {
	from, to := controlclient.MemberAddr(message.From), controlclient.MemberAddr(message.To)
	receiver := s.node(to)
	if receiver == nil || s.isolated[from] || s.isolated[to] {
		return
	}
	queued := catchUpMessage{deliverAt: s.now + linkDelay, receiverStarts: receiver.starts, message: message}
	if isLargeMessage(message) {
		link := s.link(from, to)
		if link.queuedMessages > maxQueuedLarge {
			return // one message is being transmitted and the queue behind it is full
		}
		size := payloadBytes(message)
		sendTime, timeout := time.Duration(float64(size)/float64(s.bytesPerSecond)*float64(time.Second)), largeMessageTimeout(size)
		receiver.receivedBytes += size
		link.queuedMessages++
		link.freeAt = max(link.freeAt, s.now) + min(sendTime, timeout)
		queued.deliverAt, queued.isLost, queued.link = link.freeAt+linkDelay, sendTime > timeout, link
	}
	s.sentMessages++
	queued.sequence = s.sentMessages
	s.queued = append(s.queued, queued)
}

// link returns the link from one machine to another, and creates it at its first use.
func (s *catchUpSim) link(from, to string) *simLink {
	name := from + ">" + to
	if s.links[name] == nil {
		s.links[name] = &simLink{}
	}
	return s.links[name]
}

// deliver passes the messages that are due to their receivers. If a large message is lost, the failure is reported to
// its sender.
func (s *catchUpSim) deliver() {
	sort.SliceStable(s.queued, func(i, j int) bool { return s.queued[i].deliverAt < s.queued[j].deliverAt })
	due := s.queued
	s.queued = nil
	for index, queued := range due {
		if queued.deliverAt > s.now {
			s.queued = append(s.queued, due[index:]...)
			break
		}
		from, to := s.node(controlclient.MemberAddr(queued.message.From)), s.node(controlclient.MemberAddr(queued.message.To))
		if queued.link != nil {
			queued.link.queuedMessages--
		}
		if queued.isLost || to.shard == nil || to.starts != queued.receiverStarts || s.isolated[to.addr] || s.isolated[from.addr] {
			if queued.link != nil && s.isHealthy(from) {
				from.shard.core.ReportSendFailure(queued.message)
			}
		} else if s.isHealthy(to) {
			to.shard.core.Step(queued.message)
			s.runStep(to)
		}
	}
}
