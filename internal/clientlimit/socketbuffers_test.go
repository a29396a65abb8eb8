package clientlimit

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// Accepted connections have receive and send buffers of the size that the listener sets, as the kernel counts it.
func TestConnectionsInheritSocketBuffers(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	listener := newTestListener(inner)
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
	raw, err := socketOf(conn).SyscallConn()
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

func newTestListener(inner net.Listener) net.Listener { return NewListener(inner) }

func socketOf(conn net.Conn) syscall.Conn { return conn.(*net.TCPConn) }
