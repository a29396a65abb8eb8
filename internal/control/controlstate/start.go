package controlstate

import (
	"net/http"
	"path/filepath"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/storage"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/wire"
)

// maxMessageBatchBytes bounds the log entries that one replication message carries, in bytes.
const maxMessageBatchBytes = 256 << 10

func newNode(process *daemon.Process) *Node {
	return &Node{process: process, shards: map[uint32]*shard{}, clients: daemon.NewClients(process)}
}

// startMembership announces this node to the cluster membership.
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

// peerHandler serves the requests of other nodes.
func (n *Node) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.ControlNodePathPrefix, wire.NewControlNodeServer(n))
	mux.Handle(wire.MembershipPathPrefix, wire.NewMembershipServer(n.membership))
	return mux
}

// shardDisk is the directory of one shard below the node's data directory. The option "faults" wraps
// it so that tests of a whole site can make the disk fail.
func shardDisk(process *daemon.Process, directory string) storage.Disk {
	disk := process.Disk(filepath.Join(process.Settings.Data, directory))
	if faults := process.Settings.Option("faults", ""); faults != "" {
		return storage.WithFaults(disk, faults)
	}
	return disk
}
