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

// stalledMember accepts small messages, and stalls large ones until a channel is closed.
type stalledMember struct {
	wire.ControlNode
	mu                           sync.Mutex
	stalled                      chan struct{} // nil: it doesn't stall
	smallMessages, largeMessages int
	largeBegun                   int // large messages that have begun to arrive
}

func (s *stalledMember) Deliver(ctx context.Context, b *wire.MessageBatch) (*wire.BatchReceipt, error) {
	isLarge := payloadBytes(b.Messages[0]) >= largeMessageBytes
	s.mu.Lock()
	stalled := s.stalled
	if isLarge {
		s.largeBegun++
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

func (s *stalledMember) counts() (small, large, begun int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.smallMessages, s.largeMessages, s.largeBegun
}

// stalledAddress is the address of machine 2.
const stalledAddress = "10.0.0.2:7360"

// runTransportTest runs a test of a transport and of the member that it sends to, in a synctest bubble.
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

func smallMessage() *wire.Message {
	return &wire.Message{To: stalledAddress + "/0", Kind: wire.MessageKind_APPEND_REQUEST}
}

// largeMessage is above largeMessageBytes.
func largeMessage() *wire.Message {
	return &wire.Message{To: stalledAddress + "/0", Kind: wire.MessageKind_APPEND_REQUEST, Entries: []*wire.Entry{{Index: 1, Body: make([]byte, 600<<10)}}}
}

// Heartbeats are sent while a large message stalls.
func TestHeartbeatsBypassLargeMessages(t *testing.T) {
	runTransportTest(t, func(sender *transport, _ *shard, member *stalledMember, _ *testCluster) {
		member.stalled = make(chan struct{})
		sender.send(largeMessage())
		for range 10 {
			sender.send(smallMessage())
			clock.Sleep(context.Background(), 100*time.Millisecond)
		}
		if small, large, begun := member.counts(); small != 10 || large != 0 || begun != 1 {
			t.Errorf("%d small and %d large messages arrived, %d had begun", small, large, begun)
		}
		close(member.stalled)
		synctest.Wait()
		if _, large, _ := member.counts(); large != 1 {
			t.Errorf("%d large messages arrived", large)
		}
	})
}

// The time-out of a large message grows with its size; one that timed out is reported to the core.
func TestLostLargeMessageIsReported(t *testing.T) {
	runTransportTest(t, func(sender *transport, replica *shard, member *stalledMember, _ *testCluster) {
		member.stalled = make(chan struct{})
		sender.send(largeMessage())
		clock.Sleep(context.Background(), 5*time.Second) // 600 KB may take some 7.5 s of a heal bound of 12 s
		if replica.commands.Len() != 0 {
			t.Error("it timed out too early")
		}
		clock.Sleep(context.Background(), 5*time.Second)
		if replica.commands.Len() != 1 {
			t.Errorf("%d reports to the core, one is due", replica.commands.Len())
		}
		close(member.stalled)
	})
}

// A large message that stalls while its peer doesn't answer is aborted as soon as the peer answers again, so
// that its content is sent again at once.
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
			t.Errorf("%d reports to the core 2 s after the message was begun, one is due", replica.commands.Len())
		}
		close(member.stalled)
	})
}
