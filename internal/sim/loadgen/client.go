package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// Client sends requests to the edge nodes of a site and checks the responses.
type Client struct {
	Edges []string
	http  *http.Client
}

// NewClient returns a client for edge nodes, given by address.
//
// Example: client := loadgen.NewClient([]string{"127.10.1.1:8080"})
func NewClient(edges []string) *Client {
	return NewClientWithDialer((&net.Dialer{Timeout: dialTimeout}).DialContext, edges)
}

// NewClientWithDialer returns a client for edge nodes that opens its connections with dial.
//
// Example: client := loadgen.NewClientWithDialer(environment.Dial, []string{"127.10.1.1:8080"})
func NewClientWithDialer(dial func(ctx context.Context, network, addr string) (net.Conn, error), edges []string) *Client {
	return &Client{edges, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DialContext: dial}}}
}

// Close closes idle connections.
//
// Example: defer client.Close()
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Values of Outcome.Rejected for requests without a response.
const (
	connectionRefused = "refused"        // the edge node refused the connection, so the request was not sent
	unreachable       = "unreachable"    // the connection failed, or the URL was invalid
	deadlinePassed    = "held-past-wait" // no response within the request's wait time plus clientGrace
)

const (
	dialTimeout      = time.Second
	clientGrace      = 2 * time.Second // time that the client waits beyond a request's wait time
	maxRejectionBody = 1 << 16         // maximum size of a rejection's body in bytes
)

// Send sends a request to the edge node with index edge and checks the response. If a node refuses the connection,
// Send tries the next one.
//
// Example: outcome := client.Send(ctx, 0, request)
func (c *Client) Send(ctx context.Context, edge int, request Request) Outcome {
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMs)*time.Millisecond+clientGrace)
	defer cancel()
	outcome := c.sendTo(ctx, c.Edges[edge%len(c.Edges)], request)
	for i := 1; i < len(c.Edges) && outcome.Rejected == connectionRefused; i++ {
		outcome = c.sendTo(ctx, c.Edges[(edge+i)%len(c.Edges)], request) // safe to retry: a refused connection means that the request wasn't sent
	}
	outcome.SentMs, outcome.DurationMs = sentAt.UnixMilli(), time.Since(sentAt).Milliseconds()
	if !outcome.FirstChunkAt.IsZero() {
		outcome.FirstChunkMs = outcome.FirstChunkAt.Sub(sentAt).Milliseconds()
	}
	return outcome
}

// sendTo sends a request to the edge node at an address and checks the response.
func (c *Client) sendTo(ctx context.Context, edge string, request Request) Outcome {
	outcome := Outcome{Request: request}
	raw, err := json.Marshal(map[string]any{"request_id": request.ID, "model": request.Model, "parts": request.Parts, "wait_ms": request.WaitMs, "once": request.Once, "pieces": request.Chunks})
	if err != nil {
		outcome.Faults = append(outcome.Faults, "request can't be encoded as JSON: "+err.Error())
		return outcome
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge+"/v1/answers", bytes.NewReader(raw))
	if err != nil {
		outcome.Rejected = unreachable
		return outcome
	}
	post.GetBody = nil
	post.Header.Set("Content-Type", "application/json")
	post.Header.Set("X-Tenant-Key", request.Key)
	response, err := c.http.Do(post)
	if err != nil {
		outcome.Rejected = unreachable
		if errors.Is(err, syscall.ECONNREFUSED) {
			outcome.Rejected = connectionRefused
		}
		if errors.Is(err, context.DeadlineExceeded) {
			outcome.Rejected = deadlinePassed
		}
		return outcome
	}
	defer response.Body.Close()
	if response.StatusCode != 200 {
		var rejection struct {
			Kind         string `json:"kind"`
			Message      string `json:"message"`
			RetryAfterMs int    `json:"retry_after_ms"`
		}
		raw, err := io.ReadAll(io.LimitReader(response.Body, maxRejectionBody))
		if err == nil {
			err = json.Unmarshal(raw, &rejection)
		}
		if err != nil || rejection.Kind == "" {
			rejection.Kind = fmt.Sprintf("untyped-%d", response.StatusCode)
			outcome.Faults = append(outcome.Faults, fmt.Sprintf("rejection with status %d has no kind", response.StatusCode))
		}
		outcome.Rejected, outcome.RetryAfterMs, outcome.Message = rejection.Kind, rejection.RetryAfterMs, rejection.Message
		return outcome
	}
	return ReadStream(request, response.Header.Get("X-Worker"), response.Body)
}
