package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// reply is a response as received by a test client.
type reply struct {
	status     int
	header     http.Header
	body       string
	err        error // error if no response came or its body is incomplete, else nil
	closesConn bool  // whether the response has the header field "Connection: close"
}

// clientConn is a connection of a test client.
type clientConn struct {
	net.Conn
	br *bufio.Reader
}

func (s *testSite) dialClient() *clientConn {
	c, err := s.network.Dial(context.Background(), "tcp", clientAddr)
	if err != nil {
		s.t.Fatalf("dial the proxy's listener for clients: %v", err)
	}
	return &clientConn{c, bufio.NewReader(c)}
}

// roundTrip sends one request and reads its response.
func (client *clientConn) roundTrip(text string) reply {
	go func() { _, _ = io.WriteString(client, text) }()
	return client.readReply(text)
}

func (client *clientConn) readReply(text string) reply {
	method, _, _ := strings.Cut(text, " ")
	a, err := http.ReadResponse(client.br, &http.Request{Method: method})
	if err == nil && a.StatusCode == http.StatusContinue {
		a, err = http.ReadResponse(client.br, &http.Request{Method: method})
	}
	if err != nil {
		return reply{err: err}
	}
	all, err := io.ReadAll(a.Body)
	return reply{a.StatusCode, a.Header, string(all), err, a.Close}
}

// send sends one request on a new client connection and returns its response.
func (s *testSite) send(text string) reply {
	client := s.dialClient()
	defer client.Close()
	return client.roundTrip(text)
}

// postRequest returns the text of a POST request with a deadline of 4 s; more holds extra header lines.
func postRequest(route, id, body string, more ...string) string {
	return "POST /" + route + "/x HTTP/1.1\r\nHost: " + testHost + "\r\nGo-Id: " + id + "\r\nGo-Left: 4000\r\n" +
		strings.Join(append(more, ""), "\r\n") + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// readinessStatus sends a readiness check for a path and returns the response status.
func (s *testSite) readinessStatus(path string) int {
	c, err := s.network.Dial(context.Background(), "tcp", readinessAddr)
	if err != nil {
		s.t.Fatalf("dial the proxy's listener for readiness checks: %v", err)
	}
	defer c.Close()
	return (&clientConn{c, bufio.NewReader(c)}).roundTrip("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n").status
}
