package controlstate

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/storage"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// stalledMember takes small messages, and holds large ones while it is told to.
type stalledMember struct {
	wire.ControlNode
	mu                           sync.Mutex
	stalled                      chan struct{}
	smallMessages, largeMessages int
	largeBegun                   int // large messages that have begun to arrive
}

func (s *stalledMember) Deliver(ctx context.Context, b *wire.MessageBatch) (*wire.BatchReceipt, error) {
	large := payloadBytes(b.Messages[0]) >= largeMessageBytes
	s.mu.Lock()
	hold := s.stalled
	if large {
		s.largeBegun++
	}
	s.mu.Unlock()
	if large && hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if large {
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

const stalledAddress = "10.0.0.2:7360"

// runTransportTest is a transport and the member that it sends to, in a test's bubble.
func runTransportTest(t *testing.T, f func(*transport, *shard, *stalledMember, *testCluster)) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t)
		config := settings.Process{Name: "core-1", Listen: cluster.addr(1), Bounds: settings.DefaultBounds(), Options: []string{"log=off"}}
		environment := daemon.Environment{Clock: clock.Synctest(), WallClock: time.Now, Seed: func() uint64 { return 1 }, Disk: func(string) storage.Disk { return newSimDisk() },
			Dial: func(ctx context.Context, _, to string) (net.Conn, error) {
				return cluster.dial(ctx, cluster.addr(1), to)
			},
			Journal: func(string) (io.Writer, error) { return io.Discard, nil }}
		process := daemon.NewIn(environment, "archive", config)
		member := &stalledMember{}
		door := &pipeListener{cluster: cluster, addr: stalledAddress, connections: make(chan net.Conn), closed: make(chan struct{})}
		cluster.listeners[stalledAddress] = door
		server := &http.Server{Handler: wire.NewControlNodeServer(member)}
		go server.Serve(door)
		replica, _ := newTestMember(t)
		node := &Node{process: process, shards: map[uint32]*shard{0: replica}, clients: daemon.NewClients(process)}
		f(newTransport(process.Ctx, node), replica, member, cluster)
		process.Stop(time.Second)
		server.Close()
	})
}

func smallMessage() *wire.Message {
	return &wire.Message{To: stalledAddress + "/0", Kind: wire.MessageKind_APPEND_REQUEST}
}

func largeMessage() *wire.Message {
	return &wire.Message{To: stalledAddress + "/0", Kind: wire.MessageKind_APPEND_REQUEST, Entries: []*wire.Entry{{Index: 1, Body: make([]byte, 600<<10)}}}
}

// Heartbeats pass beside a large message that hangs.
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

// A large message has time by its size; what is given up is reported to the core.
func TestLostLargeMessageIsReported(t *testing.T) {
	runTransportTest(t, func(sender *transport, replica *shard, member *stalledMember, _ *testCluster) {
		member.stalled = make(chan struct{})
		sender.send(largeMessage())
		clock.Sleep(context.Background(), 5*time.Second) // 600 KB may take some 7.5 s of a heal bound of 12 s
		if replica.commands.Len() != 0 {
			t.Error("it was given up too early")
		}
		clock.Sleep(context.Background(), 5*time.Second)
		if replica.commands.Len() != 1 {
			t.Errorf("%d reports to the core, one is due", replica.commands.Len())
		}
		close(member.stalled)
	})
}

// A large message that was begun while its address said nothing ends as soon as the address answers
// again, so that what it carries is sent anew at once.
func TestLargeMessageAbortsWhenThePeerAnswersAgain(t *testing.T) {
	runTransportTest(t, func(sender *transport, replica *shard, member *stalledMember, cluster *testCluster) {
		set := func(dark bool) {
			cluster.mu.Lock()
			cluster.unreachable[stalledAddress] = dark
			cluster.mu.Unlock()
		}
		member.stalled = make(chan struct{})
		sender.send(largeMessage())
		synctest.Wait()
		set(true)
		sender.send(smallMessage())
		clock.Sleep(context.Background(), time.Second)
		set(false)
		sender.send(smallMessage())
		clock.Sleep(context.Background(), time.Second)
		if replica.commands.Len() != 1 {
			t.Errorf("%d reports to the core 2 s after the message was begun, one is due", replica.commands.Len())
		}
		close(member.stalled)
	})
}
