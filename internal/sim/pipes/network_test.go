package pipes

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

// Connections reach the newest listener of their address; without one, or after it was closed, they are refused.
func TestDialReachesTheNewestListener(t *testing.T) {
	network, ctx := NewNetwork(), context.Background()
	if _, err := network.Dial(ctx, "tcp", "10.0.0.1:1"); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatalf("dial without a listener: error %v, want connection refused", err)
	}
	first, _ := network.Listen("10.0.0.1:1")
	second, _ := network.Listen("10.0.0.1:1")
	if err := first.Close(); err != nil {
		t.Fatalf("close the first listener: %v", err)
	}
	go func() {
		conn, err := second.Accept()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "second")
		_ = conn.Close()
	}()
	conn, err := network.Dial(ctx, "tcp", "10.0.0.1:1")
	if err != nil {
		t.Fatalf("dial with a listener: %v", err)
	}
	if read, err := io.ReadAll(conn); err != nil || string(read) != "second" {
		t.Errorf("read from the connection: %q, error %v, want what the second listener sent", read, err)
	}
	_ = second.Close()
	if _, err := second.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("accept on a closed listener: error %v, want %v", err, net.ErrClosed)
	}
	if _, err := network.Dial(ctx, "tcp", "10.0.0.1:1"); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial after the listener was closed: error %v, want connection refused", err)
	}
}

// A dial ends with its context if nobody accepts the connection.
func TestDialEndsWithItsContext(t *testing.T) {
	network := NewNetwork()
	if _, err := network.Listen("10.0.0.1:1"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := network.Dial(ctx, "tcp", "10.0.0.1:1"); !errors.Is(err, context.Canceled) {
		t.Errorf("dial with a canceled context: error %v, want %v", err, context.Canceled)
	}
}
