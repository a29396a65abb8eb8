package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// clientRequest is one try of a client, which opens a connection of its own for it.
type clientRequest struct {
	id, key, path, prompt string
	deadline              time.Duration
	body                  int           // size of the body in bytes
	chunked               bool          // whether the body comes in chunks
	sendFor               time.Duration // time over which the body is sent evenly
}

const (
	host        = "ficu95.example"
	model       = "daka510000"
	bodyPieces  = 40 // writes in which a body is sent
	dialTimeout = time.Second
)

// clientAnswer is what the client got: a status, or 0 and why there was none.
type clientAnswer struct {
	status   int
	retry    string
	received int64
	complete bool
	err      error
}

func (a clientAnswer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer: %v", a.err)
	}
	return fmt.Sprintf("%d, %d bytes, whole: %v, Retry-After %q", a.status, a.received, a.complete, a.retry)
}

// send sends the request to an edge machine and reads the answer.
func (c clientRequest) send(address string) (answer clientAnswer) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return clientAnswer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(c.deadline))
	sent := make(chan error, 1)
	go func() { sent <- c.write(conn) }()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return clientAnswer{err: err}
	}
	defer response.Body.Close()
	received, err := io.Copy(io.Discard, response.Body)
	return clientAnswer{status: response.StatusCode, retry: response.Header.Get("Retry-After"), received: received, complete: err == nil, err: err}
}

func (c clientRequest) write(conn net.Conn) error {
	var header strings.Builder
	fmt.Fprintf(&header, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Model: %s\r\n", c.path, host, c.id, model)
	fmt.Fprintf(&header, "X-Deadline-Remaining: %d\r\nAuthorization: Bearer %s\r\n", c.deadline.Milliseconds(), c.key)
	if c.prompt != "" {
		fmt.Fprintf(&header, "X-Token-Usage: 1460,80\r\nX-Prompt-Prefix: %s\r\n", c.prompt)
	}
	if c.chunked {
		header.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	} else {
		fmt.Fprintf(&header, "Content-Length: %d\r\n\r\n", c.body)
	}
	if _, err := io.WriteString(conn, header.String()); err != nil {
		return err
	}
	return c.writeBody(conn)
}

// writeBody sends the body in equal pieces at equal intervals.
func (c clientRequest) writeBody(conn net.Conn) error {
	piece := make([]byte, c.body/bodyPieces)
	begin := time.Now()
	for i := range bodyPieces {
		if len(piece) == 0 {
			break
		}
		time.Sleep(time.Until(begin.Add(c.sendFor * time.Duration(i) / bodyPieces)))
		if err := c.writePiece(conn, piece); err != nil {
			return err
		}
	}
	if rest := c.body % bodyPieces; rest > 0 {
		if err := c.writePiece(conn, make([]byte, rest)); err != nil {
			return err
		}
	}
	if c.chunked {
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err
	}
	return nil
}

func (c clientRequest) writePiece(conn net.Conn, piece []byte) error {
	if c.chunked {
		if _, err := fmt.Fprintf(conn, "%x\r\n", len(piece)); err != nil {
			return err
		}
	}
	if _, err := conn.Write(piece); err != nil {
		return err
	}
	if c.chunked {
		_, err := io.WriteString(conn, "\r\n")
		return err
	}
	return nil
}
