package clientlimit

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"

	"pebbleloom/internal/clock"
)

// Accepted connections have receive and send buffers of the size that the listener sets, as the kernel counts it.
func TestConnectionsInheritSocketBuffers(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	listener := NewListener(inner, Config{Clock: clock.BootTime(), MaxConnections: 1, Budget: NewBudget(clock.BootTime(), testLimit)})
	client, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	raw, err := conn.(*Conn).Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for name, option := range map[string]int{"receive": unix.SO_RCVBUF, "send": unix.SO_SNDBUF} {
		var size int
		_ = raw.Control(func(fd uintptr) { size, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, option) })
		if err != nil || size > 2*socketBufferBytes {
			t.Errorf("size of the %s buffer: %d, error %v; want at most %d", name, size, err, 2*socketBufferBytes)
		}
	}
}
