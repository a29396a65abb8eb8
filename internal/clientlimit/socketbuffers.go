package clientlimit

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketBufferBytes is the size that is set for the receive and the send buffer of a connection in the kernel, which allows
// twice as much to include its own overhead.
const socketBufferBytes = 16 << 10

// limitSocketBuffers sets the sizes of the buffers in the kernel that the connections of a listener inherit. Without a size
// the kernel lets them grow to megabytes, and what waits there counts as memory of the process. A listener that isn't a
// socket, as in simulations, has no such buffers.
func limitSocketBuffers(listener net.Listener) {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		// The kernel's own limits still hold if these calls fail.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBufferBytes)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBufferBytes)
	})
}
