package wire

import (
	"context"
)

// This file wraps the generated services and methods under the names that the rest of the code uses. The
// .proto file keeps their original names, because twirp derives the HTTP paths from them and nodes of older
// releases call these paths:
//
//	path                           Go
//	ArchivePathPrefix              ControlNode
//	ArchivePathPrefix + "Post"     ControlNode.Deliver
//	ArchivePathPrefix + "News"     ControlNode.Watch
//	ArchivePathPrefix + "Stand"    ControlNode.Status
//	RosterPathPrefix               Membership
//	RosterPathPrefix + "Hear"      Membership.Exchange
//	CataloguePathPrefix            PromptIndex
//	CataloguePathPrefix + "Seek"   PromptIndex.Lookup
//	RunnerPathPrefix               NodeAgent
//
// Methods that aren't listed have the same name in both. testdata/paths.txt lists all paths.

// HTTP path prefixes below which an HTTP server registers the services.
const (
	ControlNodePathPrefix = ArchivePathPrefix
	MembershipPathPrefix  = RosterPathPrefix
	PromptIndexPathPrefix = CataloguePathPrefix
	NodeAgentPathPrefix   = RunnerPathPrefix
)

// ControlNode is the RPC service of the control nodes: replication among them, and changes, reads and watches of
// the control state.
type ControlNode interface {
	Join(context.Context, *JoinRequest) (*JoinResponse, error)
	Follow(context.Context, *FollowRequest) (*FollowResponse, error)
	Deliver(context.Context, *MessageBatch) (*BatchReceipt, error)
	Change(context.Context, *ChangeRequest) (*ChangeResponse, error)
	Read(context.Context, *ReadRequest) (*ReadResponse, error)
	Watch(context.Context, *WatchRequest) (*WatchResponse, error)
	Time(context.Context, *TimeRequest) (*TimeResponse, error)
	Status(context.Context, *StatusRequest) (*StatusResponse, error)
}

// NewControlNodeClient returns a client for the control node at a base URL.
//
// Example: response, err := wire.NewControlNodeClient("http://10.0.0.1:7001", client).Status(ctx, &wire.StatusRequest{})
func NewControlNodeClient(url string, client HTTPClient) ControlNode {
	return controlNodeClient{NewArchiveProtobufClient(url, client)}
}

// NewControlNodeServer returns an HTTP handler that serves a control node below ControlNodePathPrefix.
//
// Example: mux.Handle(wire.ControlNodePathPrefix, wire.NewControlNodeServer(node))
func NewControlNodeServer(node ControlNode) TwirpServer {
	return NewArchiveServer(controlNodeServer{node})
}

type controlNodeClient struct{ Archive }

// Deliver implements ControlNode.
func (c controlNodeClient) Deliver(ctx context.Context, batch *MessageBatch) (*BatchReceipt, error) {
	return c.Post(ctx, batch)
}

// Watch implements ControlNode.
func (c controlNodeClient) Watch(ctx context.Context, request *WatchRequest) (*WatchResponse, error) {
	return c.News(ctx, request)
}

// Status implements ControlNode.
func (c controlNodeClient) Status(ctx context.Context, request *StatusRequest) (*StatusResponse, error) {
	return c.Stand(ctx, request)
}

type controlNodeServer struct{ ControlNode }

// Post serves the RPC method that is named Post in the .proto file and Deliver in Go.
func (s controlNodeServer) Post(ctx context.Context, batch *MessageBatch) (*BatchReceipt, error) {
	return s.Deliver(ctx, batch)
}

// News serves the RPC method that is named News in the .proto file and Watch in Go.
func (s controlNodeServer) News(ctx context.Context, request *WatchRequest) (*WatchResponse, error) {
	return s.Watch(ctx, request)
}

// Stand serves the RPC method that is named Stand in the .proto file and Status in Go.
func (s controlNodeServer) Stand(ctx context.Context, request *StatusRequest) (*StatusResponse, error) {
	return s.Status(ctx, request)
}

// Membership is the RPC service, present on every node, that exchanges cluster membership by gossip.
type Membership interface {
	Exchange(context.Context, *Heartbeat) (*Heartbeat, error)
}

// NewMembershipClient returns a client for the membership service of the node at a base URL.
//
// Example: response, err := wire.NewMembershipClient("http://10.0.0.1:7001", client).Exchange(ctx, heartbeat)
func NewMembershipClient(url string, client HTTPClient) Membership {
	return membershipClient{NewRosterProtobufClient(url, client)}
}

// NewMembershipServer returns an HTTP handler that serves the membership service below MembershipPathPrefix.
//
// Example: mux.Handle(wire.MembershipPathPrefix, wire.NewMembershipServer(member))
func NewMembershipServer(member Membership) TwirpServer {
	return NewRosterServer(membershipServer{member})
}

type membershipClient struct{ generated Roster }

// Exchange implements Membership.
func (c membershipClient) Exchange(ctx context.Context, heartbeat *Heartbeat) (*Heartbeat, error) {
	return c.generated.Hear(ctx, heartbeat)
}

type membershipServer struct{ member Membership }

// Hear serves the RPC method that is named Hear in the .proto file and Exchange in Go.
func (s membershipServer) Hear(ctx context.Context, heartbeat *Heartbeat) (*Heartbeat, error) {
	return s.member.Exchange(ctx, heartbeat)
}

// PromptIndex is the RPC service of the index nodes, which track which workers have cached which prompt prefixes.
type PromptIndex interface {
	Lookup(context.Context, *LookupRequest) (*LookupResponse, error)
	Count(context.Context, *CountRequest) (*CountResponse, error)
	Hottest(context.Context, *HottestRequest) (*HottestResponse, error)
}

// NewPromptIndexClient returns a client for the index node at a base URL.
//
// Example: response, err := wire.NewPromptIndexClient("http://10.0.0.1:7001", client).Lookup(ctx, request)
func NewPromptIndexClient(url string, client HTTPClient) PromptIndex {
	return promptIndexClient{NewCatalogueProtobufClient(url, client)}
}

// NewPromptIndexServer returns an HTTP handler that serves an index node below PromptIndexPathPrefix.
//
// Example: mux.Handle(wire.PromptIndexPathPrefix, wire.NewPromptIndexServer(node))
func NewPromptIndexServer(node PromptIndex) TwirpServer {
	return NewCatalogueServer(promptIndexServer{node})
}

type promptIndexClient struct{ Catalogue }

// Lookup implements PromptIndex.
func (c promptIndexClient) Lookup(ctx context.Context, request *LookupRequest) (*LookupResponse, error) {
	return c.Seek(ctx, request)
}

type promptIndexServer struct{ PromptIndex }

// Seek serves the RPC method that is named Seek in the .proto file and Lookup in Go.
func (s promptIndexServer) Seek(ctx context.Context, request *LookupRequest) (*LookupResponse, error) {
	return s.Lookup(ctx, request)
}

// NodeAgent is the RPC service that the node agent of a machine serves to local processes over loopback.
type NodeAgent = Runner

// NewNodeAgentClient returns a client for the node agent at a base URL.
//
// Example: response, err := wire.NewNodeAgentClient("http://127.0.0.1:7003", client).Feed(ctx, request)
func NewNodeAgentClient(url string, client HTTPClient) NodeAgent {
	return NewRunnerProtobufClient(url, client)
}

// NewNodeAgentServer returns an HTTP handler that serves a node agent below NodeAgentPathPrefix.
//
// Example: mux.Handle(wire.NodeAgentPathPrefix, wire.NewNodeAgentServer(agent))
func NewNodeAgentServer(agent NodeAgent) TwirpServer { return NewRunnerServer(agent) }
