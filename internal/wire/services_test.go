package wire

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
)

// Each client method calls the HTTP path in testdata/paths.txt. Nodes of older releases use these paths, so they
// must not change when a method is renamed in Go.
func TestServicesKeepTheirPaths(t *testing.T) {
	raw, err := os.ReadFile("testdata/paths.txt")
	if err != nil {
		t.Fatalf("read the list of HTTP paths: %v", err)
	}
	var path string
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { path = request.URL.Path }))
	defer server.Close()
	controlNode := NewControlNodeClient(server.URL, server.Client())
	membership := NewMembershipClient(server.URL, server.Client())
	promptIndex := NewPromptIndexClient(server.URL, server.Client())
	nodeAgent := NewNodeAgentClient(server.URL, server.Client())
	calls := []struct {
		name   string
		prefix string
		call   func(context.Context) error
	}{
		{"ControlNode.Join", ControlNodePathPrefix, func(ctx context.Context) error { _, err := controlNode.Join(ctx, &JoinRequest{}); return err }},
		{"ControlNode.Follow", ControlNodePathPrefix, func(ctx context.Context) error { _, err := controlNode.Follow(ctx, &FollowRequest{}); return err }},
		{"ControlNode.Deliver", ControlNodePathPrefix, func(ctx context.Context) error { _, err := controlNode.Deliver(ctx, &MessageBatch{}); return err }},
		{"ControlNode.Change", ControlNodePathPrefix, func(ctx context.Context) error { _, err := controlNode.Change(ctx, &ChangeRequest{}); return err }},
		{"ControlNode.Read", ControlNodePathPrefix, func(ctx context.Context) error { _, err := controlNode.Read(ctx, &ReadRequest{}); return err }},
		{"ControlNode.Watch", ControlNodePathPrefix, func(ctx context.Context) error { _, err := controlNode.Watch(ctx, &WatchRequest{}); return err }},
		{"ControlNode.Time", ControlNodePathPrefix, func(ctx context.Context) error { _, err := controlNode.Time(ctx, &TimeRequest{}); return err }},
		{"ControlNode.Status", ControlNodePathPrefix, func(ctx context.Context) error { _, err := controlNode.Status(ctx, &StatusRequest{}); return err }},
		{"Membership.Exchange", MembershipPathPrefix, func(ctx context.Context) error { _, err := membership.Exchange(ctx, &Heartbeat{}); return err }},
		{"PromptIndex.Lookup", PromptIndexPathPrefix, func(ctx context.Context) error { _, err := promptIndex.Lookup(ctx, &LookupRequest{}); return err }},
		{"PromptIndex.Count", PromptIndexPathPrefix, func(ctx context.Context) error { _, err := promptIndex.Count(ctx, &CountRequest{}); return err }},
		{"PromptIndex.Hottest", PromptIndexPathPrefix, func(ctx context.Context) error {
			_, err := promptIndex.Hottest(ctx, &HottestRequest{})
			return err
		}},
		{"NodeAgent.Feed", NodeAgentPathPrefix, func(ctx context.Context) error { _, err := nodeAgent.Feed(ctx, &FeedRequest{}); return err }},
		{"NodeAgent.Explain", NodeAgentPathPrefix, func(ctx context.Context) error { _, err := nodeAgent.Explain(ctx, &ExplainRequest{}); return err }},
	}
	paths := strings.Fields(string(raw))
	if len(paths) != 2*len(calls) {
		t.Fatalf("testdata/paths.txt lists %d methods, want %d", len(paths)/2, len(calls))
	}
	for i, x := range calls {
		t.Run(x.name, func(t *testing.T) {
			path = ""
			if err := x.call(t.Context()); err != nil {
				t.Fatalf("call %s: %v", x.name, err)
			}
			if name, want := paths[2*i], paths[2*i+1]; name != x.name || path != want || !strings.HasPrefix(path, x.prefix) {
				t.Errorf("%s called HTTP path %q, want %q (path of %s in testdata/paths.txt) below prefix %q", x.name, path, want, name, x.prefix)
			}
		})
	}
}

type controlNodeStub struct {
	ControlNode
	called string
}

func (s *controlNodeStub) Deliver(context.Context, *MessageBatch) (*BatchReceipt, error) {
	s.called = "Deliver"
	return &BatchReceipt{}, nil
}

func (s *controlNodeStub) Watch(context.Context, *WatchRequest) (*WatchResponse, error) {
	s.called = "Watch"
	return &WatchResponse{}, nil
}

func (s *controlNodeStub) Status(context.Context, *StatusRequest) (*StatusResponse, error) {
	s.called = "Status"
	return &StatusResponse{}, nil
}

// A client's call reaches the server's method of the same Go name, though the method has another name in the
// .proto file and in the HTTP path.
func TestControlNodeServerCallsTheMethodOfTheSameName(t *testing.T) {
	stub := &controlNodeStub{}
	server := httptest.NewServer(NewControlNodeServer(stub))
	defer server.Close()
	client := NewControlNodeClient(server.URL, server.Client())
	for want, call := range map[string]func() error{
		"Deliver": func() error { _, err := client.Deliver(t.Context(), &MessageBatch{}); return err },
		"Watch":   func() error { _, err := client.Watch(t.Context(), &WatchRequest{}); return err },
		"Status":  func() error { _, err := client.Status(t.Context(), &StatusRequest{}); return err },
	} {
		t.Run(want, func(t *testing.T) {
			if err := call(); err != nil || stub.called != want {
				t.Errorf("client method %s called server method %q, error %v; want server method %s", want, stub.called, err, want)
			}
		})
	}
}
