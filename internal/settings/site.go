package settings

import (
	"net"
	"strconv"
)

// Site holds the settings of a process on a site with consensus-managed membership: the core machines
// aren't named. Process.Seeds then holds three addresses at which core machines listen for pebbleloom's
// processes.
type Site struct {
	FirstStart         bool    // the first start of the whole system: empty disks are no data loss
	ToleratedFailures  int     // machines that may fail at once
	ControlPlaneListen string  // listens here for operators of the platform's interface; empty: doesn't serve them
	ReadinessListen    string  // listens here for the readiness check
	PortRange          [2]int  // first and last port for pebbleloom's processes; the same on every machine
	IP                 string  // own address
	MemoryLimitMB      int     // the process is killed above it
	HeartbeatMs        int     // between two heartbeats of the cluster membership
	WorkerListRate     float64 // calls per second that the platform's worker list allows
	EnforceRevocation  bool    // Bounds.KeyRevocationMs holds even without contact to the control state
	GraceMs            int     // from SIGTERM until the process is killed
	LeaseMs            int     // duration of a lease
	AckTimeoutMs       int     // an operator's change is acknowledged or rejected within this
	ContactWindowMs    int     // a process must have been in contact for this long before the bounds hold for it
	TransitMs          int     // an event of a stream is forwarded within this
}

// Offsets of the processes' ports from the first port of Site.PortRange.
const (
	PortState    = 0 // control state; on an edge machine the agent
	PortIndex    = 1 // prompt index and controllers
	PortOperator = 2 // operator API, beside the control state
)

// Port returns the address of a process on a machine, by the offset of its port.
//
// Example: addr := site.Port("10.1.0.14", settings.PortIndex)
func (s *Site) Port(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.PortRange[0]+offset))
}
