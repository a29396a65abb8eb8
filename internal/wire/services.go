package wire

import (
	"context"
)

// This file gives the generated services and their methods the names that the rest of the code uses.
// The .proto keeps the first names, because twirp makes the HTTP paths of them and running releases
// call these paths:
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

// Prefixes of the services' HTTP paths, with which a mux mounts them.
const (
	ControlNodePathPrefix = ArchivePathPrefix
	MembershipPathPrefix  = RosterPathPrefix
	PromptIndexPathPrefix = CataloguePathPrefix
	NodeAgentPathPrefix   = RunnerPathPrefix
)

// ControlNode is the service of the control nodes.
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

// NewControlNodeClient calls the control node at a base URL.
//
// Example: response, err := wire.NewControlNodeClient("http://10.0.0.1:7001", client).Status(ctx, &wire.StatusRequest{})
func NewControlNodeClient(url string, client HTTPClient) ControlNode {
	return controlNodeClient{NewArchiveProtobufClient(url, client)}
}

// NewControlNodeServer serves a control node below ControlNodePathPrefix.
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

// Post serves the method of that name in the .proto.
func (s controlNodeServer) Post(ctx context.Context, batch *MessageBatch) (*BatchReceipt, error) {
	return s.Deliver(ctx, batch)
}

// News serves the method of that name in the .proto.
func (s controlNodeServer) News(ctx context.Context, request *WatchRequest) (*WatchResponse, error) {
	return s.Watch(ctx, request)
}

// Stand serves the method of that name in the .proto.
func (s controlNodeServer) Stand(ctx context.Context, request *StatusRequest) (*StatusResponse, error) {
	return s.Status(ctx, request)
}

// Membership is the gossip service of every node.
type Membership interface {
	Exchange(context.Context, *Heartbeat) (*Heartbeat, error)
}

// NewMembershipClient calls the node at a base URL.
//
// Example: response, err := wire.NewMembershipClient("http://10.0.0.1:7001", client).Exchange(ctx, heartbeat)
func NewMembershipClient(url string, client HTTPClient) Membership {
	return membershipClient{NewRosterProtobufClient(url, client)}
}

// NewMembershipServer serves a member below MembershipPathPrefix.
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

// Hear serves the method of that name in the .proto.
func (s membershipServer) Hear(ctx context.Context, heartbeat *Heartbeat) (*Heartbeat, error) {
	return s.member.Exchange(ctx, heartbeat)
}

// PromptIndex is the service of the nodes that know which worker caches which prefix.
type PromptIndex interface {
	Lookup(context.Context, *LookupRequest) (*LookupResponse, error)
	Count(context.Context, *CountRequest) (*CountResponse, error)
	Hottest(context.Context, *HottestRequest) (*HottestResponse, error)
}

// NewPromptIndexClient calls the index node at a base URL.
//
// Example: response, err := wire.NewPromptIndexClient("http://10.0.0.1:7001", client).Lookup(ctx, request)
func NewPromptIndexClient(url string, client HTTPClient) PromptIndex {
	return promptIndexClient{NewCatalogueProtobufClient(url, client)}
}

// NewPromptIndexServer serves an index node below PromptIndexPathPrefix.
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

// Seek serves the method of that name in the .proto.
func (s promptIndexServer) Seek(ctx context.Context, request *LookupRequest) (*LookupResponse, error) {
	return s.Lookup(ctx, request)
}

// NodeAgent is the service of the node agent on loopback.
type NodeAgent = Runner

// NewNodeAgentClient calls the node agent at a base URL.
//
// Example: response, err := wire.NewNodeAgentClient("http://127.0.0.1:7003", client).Feed(ctx, request)
func NewNodeAgentClient(url string, client HTTPClient) NodeAgent {
	return NewRunnerProtobufClient(url, client)
}

// NewNodeAgentServer serves a node agent below NodeAgentPathPrefix.
//
// Example: mux.Handle(wire.NodeAgentPathPrefix, wire.NewNodeAgentServer(agent))
func NewNodeAgentServer(agent NodeAgent) TwirpServer { return NewRunnerServer(agent) }
