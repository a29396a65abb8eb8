package settings

import (
	"net"
	"strconv"
)

// Site holds further settings of a process on a site whose control state members are managed by consensus, instead of
// being listed in Process.Core. Process.Seeds then holds three addresses at which core machines listen for other
// pebbleloom processes.
type Site struct {
	FirstStart         bool    // true when the entire site starts for the first time, so that empty disks do not count as data loss
	ToleratedFailures  int     // number of machines that may fail at the same time
	ControlPlaneListen string  // address to listen at for operator requests in the platform's format; empty: none are served
	ReadinessListen    string  // address to listen at for the platform's readiness checks
	PortRange          [2]int  // first and last port for calls between pebbleloom processes; the same on every machine
	IP                 string  // IP address of this machine
	MemoryLimitMB      int     // memory use above which the process is killed
	MaxDescriptors     int     // number of file descriptors that the process may have open; 0: not limited
	HeartbeatMs        int     // interval between the heartbeats of each member of the cluster
	WorkerListRate     float64 // rate limit of the platform's worker list, in calls per second
	EnforceRevocation  bool    // whether Bounds.KeyRevocationMs applies even while the control state is unreachable
	GraceMs            int     // time from SIGTERM until the process is killed
	LeaseMs            int     // duration of the lease under which the controllers of the site work
	AckTimeoutMs       int     // longest time until an operator's change is acknowledged or rejected
	ContactWindowMs    int     // time that a process must have been connected to the site before the bounds apply to it
	TransitMs          int     // longest time that a proxy may take to forward one event of a streamed response
}

// Offsets of the internal ports from the first port of Site.PortRange.
const (
	PortState    = 0 // port of the control state; on an edge machine, of the node agent
	PortIndex    = 1 // port of the prompt index and the controllers
	PortOperator = 2 // port of the operator API, which the control state process serves
)

// Port returns the address of a process on a machine, given the machine's IP address and the port's offset.
//
// Example: addr := site.Port("10.1.0.14", settings.PortIndex)
func (s *Site) Port(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.PortRange[0]+offset))
}

// MemoryLimitBytes returns MemoryLimitMB in bytes.
//
// Example: budget := site.MemoryLimitBytes() / 3
func (s *Site) MemoryLimitBytes() int64 { return int64(s.MemoryLimitMB) << 20 }

// reservedDescriptors is the number of descriptors that the platform keeps for files outside of the data directory.
const reservedDescriptors = 200

// Descriptors returns a ratio of the descriptors that sockets and data files may share, at least 1; 0 if they are not
// limited.
//
// Example: maxConnections := site.Descriptors(0.4)
func (s *Site) Descriptors(ratio float64) int {
	if s.MaxDescriptors <= 0 {
		return 0
	}
	return max(1, int(float64(s.MaxDescriptors-reservedDescriptors)*ratio))
}
