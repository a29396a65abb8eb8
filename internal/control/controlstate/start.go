package controlstate

import (
	"net/http"
	"path/filepath"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/storage"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/wire"
)

// maxMessageBatchBytes limits the total size of the log entries in one replication message, in bytes.
const maxMessageBatchBytes = 256 << 10

// newNode returns a control node without shards.
func newNode(process *daemon.Process) *Node {
	return &Node{process: process, shards: map[uint32]*shard{}, clients: daemon.NewClients(process)}
}

// startMembership starts this node's member of the cluster membership, in the role of a control node.
func (n *Node) startMembership() {
	process := n.process
	n.membership = clustermembership.Start(process.Ctx, clustermembership.Config{
		Process: process.Settings,
		Role:    clustermembership.RoleControlNode,
		Clock:   process.Clock,
		Log:     process.Log,
		Client:  n.clients.Membership,
	})
}

// peerHandler returns the HTTP handler for requests from other nodes of the site.
func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.ControlNodePathPrefix, wire.NewControlNodeServer(n))
	mux.Handle(wire.MembershipPathPrefix, wire.NewMembershipServer(n.membership))
	return mux
}

// shardDisk opens the directory of one shard in the node's data directory. If the option "faults" is set, it injects
// disk faults, for tests of a complete site.
func shardDisk(process *daemon.Process, directory string) storage.Disk {
	disk := process.Disk(filepath.Join(process.Settings.Data, directory))
	if faults := process.Settings.Option("faults", ""); faults != "" {
		return storage.WithFaults(disk, faults)
	}
	return disk
}
