package controlstate

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// stalledMember is a peer that accepts small messages, and stalls large ones until a channel is closed. It counts the
// messages.
type stalledMember struct {
	wire.ControlNode
	mu                           sync.Mutex
	stalled                      chan struct{} // channel for whose closing the delivery of large messages waits; nil: they do not stall
	smallMessages, largeMessages int
	largeStarted                 int // number of large messages whose delivery has started
}

func (s *stalledMember) Deliver(ctx context.Context, b *wire.MessageBatch) (*wire.BatchReceipt, error) {
	isLarge := payloadBytes(b.Messages[0]) >= largeMessageBytes
	s.mu.Lock()
	stalled := s.stalled
	if isLarge {
		s.largeStarted++
	}
	s.mu.Unlock()
	if isLarge && stalled != nil {
		select {
		case <-stalled:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if isLarge {
		s.largeMessages++
	} else {
		s.smallMessages += len(b.Messages)
	}
	return &wire.BatchReceipt{Format: 1}, nil
}

// counts returns the numbers of small and large messages that were delivered completely, and of large messages whose
// delivery has started.
func (s *stalledMember) counts() (small, large, largeStarted int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.smallMessages, s.largeMessages, s.largeStarted
}

// stalledAddress is the address of the stalledMember, which is machine 2 of the test cluster.
const stalledAddress = "10.0.0.2:7360"

// runTransportTest runs a function in a synctest bubble with a transport, the shard that uses it and the peer that it sends
// to.
func runTransportTest(t *testing.T, run func(*transport, *shard, *stalledMember, *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		config := settings.Process{Name: "core-1", Listen: cluster.addr(1), Bounds: settings.DefaultBounds(), Options: []string{"log=off"}}
		process := daemon.NewIn(cluster.environment(cluster.addr(1), func() uint64 { return 1 }), "archive", config)
		member := &stalledMember{}
		server := &http.Server{Handler: wire.NewControlNodeServer(member)}
		go server.Serve(cluster.listen(stalledAddress))
		replica, _ := newTestMember(t)
		node := &Node{process: process, shards: map[uint32]*shard{0: replica}, clients: daemon.NewClients(process)}
		run(newTransport(process.Ctx, node), replica, member, cluster)
		process.Stop(time.Second)
		server.Close()
	})
}

// smallMessage returns a message without a payload, like a heartbeat.
func smallMessage() *wire.Message {
	return &wire.Message{To: stalledAddress + "/0", Kind: wire.MessageKind_APPEND_REQUEST}
}

// largeMessage returns a message with a payload above largeMessageBytes.
func largeMessage() *wire.Message {
	return &wire.Message{To: stalledAddress + "/0", Kind: wire.MessageKind_APPEND_REQUEST, Entries: []*wire.Entry{{Index: 1, Body: make([]byte, 600<<10)}}}
}

// Small messages, such as heartbeats, are delivered while a large message stalls.
func TestHeartbeatsBypassLargeMessages(t *testing.T) {
	runTransportTest(t, func(sender *transport, _ *shard, member *stalledMember, _ *testCluster) {
		member.stalled = make(chan struct{})
		sender.send(largeMessage())
		for range 10 {
			sender.send(smallMessage())
			clock.Sleep(context.Background(), 100*time.Millisecond)
		}
		if small, large, largeStarted := member.counts(); small != 10 || large != 0 || largeStarted != 1 {
			t.Errorf("while a large message stalls: %d small and %d large messages delivered, delivery of %d large ones started; want 10, 0 and 1", small, large, largeStarted)
		}
		close(member.stalled)
		synctest.Wait()
		if _, large, _ := member.counts(); large != 1 {
			t.Errorf("%d large messages delivered after the stall, want 1", large)
		}
	})
}

// The time-out of a large message grows with its size. A large message that times out is reported to the consensus core.
func TestLostLargeMessageIsReported(t *testing.T) {
	runTransportTest(t, func(sender *transport, replica *shard, member *stalledMember, _ *testCluster) {
		member.stalled = make(chan struct{})
		sender.send(largeMessage())
		clock.Sleep(context.Background(), 5*time.Second) // with the recovery time bound of 12 s, the time-out for 600 KiB is about 7.5 s
		if replica.commands.Len() != 0 {
			t.Errorf("%d failures of a large message reported to the core after 5s, want 0 before its time-out of about 7.5s", replica.commands.Len())
		}
		clock.Sleep(context.Background(), 5*time.Second)
		if replica.commands.Len() != 1 {
			t.Errorf("%d failures of a large message reported to the core after 10s, want 1", replica.commands.Len())
		}
		close(member.stalled)
	})
}

// If a large message stalls while its peer is unreachable, its request is canceled as soon as the peer responds to a small
// message again, so that the contents can be sent again without waiting for the time-out.
func TestLargeMessageAbortsWhenThePeerAnswersAgain(t *testing.T) {
	runTransportTest(t, func(sender *transport, replica *shard, member *stalledMember, cluster *testCluster) {
		member.stalled = make(chan struct{})
		sender.send(largeMessage())
		synctest.Wait()
		cluster.setUnreachable(2, true)
		sender.send(smallMessage())
		clock.Sleep(context.Background(), time.Second)
		cluster.setUnreachable(2, false)
		sender.send(smallMessage())
		clock.Sleep(context.Background(), time.Second)
		if replica.commands.Len() != 1 {
			t.Errorf("%d failures of a large message reported to the core 1s after the peer became reachable again, want 1", replica.commands.Len())
		}
		close(member.stalled)
	})
}
