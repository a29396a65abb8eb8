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

// Client sends requests to the edge.
type Client struct {
	Edges []string
	http  *http.Client
}

// NewClient makes a caller of some edge addresses.
//
// Example: c := loadgen.NewClient([]string{"127.10.1.1:8080"})
func NewClient(edges []string) *Client {
	return NewClientWithDialer((&net.Dialer{Timeout: time.Second}).DialContext, edges)
}

// NewClientWithDialer makes a caller that connects as it is told to.
//
// Example: c := loadgen.NewClientWithDialer(world.Dial, []string{"127.10.1.1:8080"})
func NewClientWithDialer(dial func(ctx context.Context, network, addr string) (net.Conn, error), edges []string) *Client {
	return &Client{edges, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DialContext: dial}}}
}

// Close lets go of idle connections.
//
// Example: defer c.Close()
func (c *Client) Close() { c.http.CloseIdleConnections() }

const connectionRefused = "refused" // no connection was made

// Send sends one request to an edge and checks the answer.
//
// Example: out := c.Ask(ctx, 0, q)
func (c *Client) Send(ctx context.Context, edge int, request Request) Outcome {
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(request.WaitMs)*time.Millisecond+2*time.Second)
	defer cancel()
	outcome := c.sendTo(ctx, c.Edges[edge%len(c.Edges)], request)
	for i := 1; i < len(c.Edges) && outcome.Rejected == connectionRefused; i++ {
		outcome = c.sendTo(ctx, c.Edges[(edge+i)%len(c.Edges)], request) // nothing was sent: another edge may be asked
	}
	outcome.SentMs, outcome.TookMs = sentAt.UnixMilli(), time.Since(sentAt).Milliseconds()
	if !outcome.FirstChunkAt.IsZero() {
		outcome.FirstChunkMs = outcome.FirstChunkAt.Sub(sentAt).Milliseconds()
	}
	return outcome
}

func (c *Client) sendTo(ctx context.Context, edge string, request Request) Outcome {
	outcome := Outcome{Request: request}
	raw, err := json.Marshal(map[string]any{"request_id": request.ID, "model": request.Model, "parts": request.Parts, "wait_ms": request.WaitMs, "once": request.Once, "pieces": request.Chunks})
	if err != nil {
		outcome.Faults = append(outcome.Faults, "request can't be written: "+err.Error())
		return outcome
	}
	post, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge+"/v1/answers", bytes.NewReader(raw))
	if err != nil {
		outcome.Rejected = "unreachable"
		return outcome
	}
	post.GetBody = nil
	post.Header.Set("Content-Type", "application/json")
	post.Header.Set("X-Tenant-Key", request.Key)
	response, err := c.http.Do(post)
	if err != nil {
		outcome.Rejected = "unreachable"
		if errors.Is(err, syscall.ECONNREFUSED) {
			outcome.Rejected = connectionRefused
		}
		if errors.Is(err, context.DeadlineExceeded) {
			outcome.Rejected = "held-past-wait"
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
		raw, err := io.ReadAll(io.LimitReader(response.Body, 1<<16))
		if err == nil {
			err = json.Unmarshal(raw, &rejection)
		}
		if err != nil || rejection.Kind == "" {
			rejection.Kind = fmt.Sprintf("untyped-%d", response.StatusCode)
			outcome.Faults = append(outcome.Faults, "a denial without a kind")
		}
		outcome.Rejected, outcome.RetryAfterMs, outcome.Message = rejection.Kind, rejection.RetryAfterMs, rejection.Message
		return outcome
	}
	return ReadStream(request, response.Header.Get("X-Worker"), response.Body)
}
