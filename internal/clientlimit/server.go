package clientlimit

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
)

// Attach makes an HTTP server that serves this listener report the progress of each connection to it, and lets the listener
// limit headers and idle times in place of the server. It has to be called before the server starts. The server's handler
// has to call Conn.FinishReading once it has read the body of a request; TrackBodies does that for handlers that don't know
// of it.
//
// Example: listener.Attach(server); go server.Serve(listener)
func (l *Listener) Attach(server *http.Server) {
	server.Handler = trackedHandler{server.Handler}
	server.MaxHeaderBytes = math.MaxInt32 // Conn.Read applies the limit in force
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if limited, ok := conn.(*Conn); ok && state == http.StateIdle {
			limited.becomeIdle()
		}
	}
}

// trackedHandler reports the begin and the end of each request to its connection.
type trackedHandler struct{ next http.Handler }

// ServeHTTP serves one request.
func (h trackedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if conn := FromContext(r.Context()); conn != nil {
		conn.startRequest()
		defer conn.endRequest()
	}
	h.next.ServeHTTP(w, r)
}

// bodyByteCost is the memory that a byte of a body may take in a handler that TrackBodies serves: in a buffer that doubles as
// it grows, and decoded.
const bodyByteCost = 4

// largestRead limits what a handler may read at once, so that its memory is reserved shortly before it is used.
const largestRead = 16 << 10

// TrackBodies returns a handler that reserves the memory of each request's body for another one before the body is read, and
// calls Conn.FinishReading at its end. A request for whose body there is no memory gets status 503.
//
// Example: server := &http.Server{Handler: clientlimit.TrackBodies(mux)}
func TrackBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := FromContext(r.Context())
		switch {
		case conn == nil:
		case r.Body == http.NoBody:
			conn.FinishReading()
		default:
			// net/http looks at the body of its own request, so that only a copy may have another one.
			tracked := *r
			tracked.Body = &trackedBody{ReadCloser: r.Body, conn: conn}
			r = &tracked
		}
		next.ServeHTTP(w, r)
	})
}

// trackedBody is a request body that reserves memory for what is read of it, and reports its end to the connection.
type trackedBody struct {
	io.ReadCloser
	conn     *Conn
	reserved int // bytes for which memory is reserved and that aren't read yet
}

// Read reads a part of the body.
func (b *trackedBody) Read(buffer []byte) (int, error) {
	buffer = buffer[:min(len(buffer), largestRead)]
	if more := len(buffer) - b.reserved; more > 0 {
		if err := b.conn.reservation.Grow(int64(more) * bodyByteCost); err != nil {
			b.conn.refuse()
			return 0, err
		}
		b.reserved += more
	}
	n, err := b.ReadCloser.Read(buffer)
	b.reserved -= n
	if err == io.EOF {
		b.conn.FinishReading()
	}
	return n, err
}
