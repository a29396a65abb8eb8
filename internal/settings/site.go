package settings

import (
	"net"
	"strconv"
	"time"
)

// Site holds the settings of a process on a site with consensus-managed membership: the core machines
// aren't named. Place.Seeds then holds three addresses of core machines, towards pebbleloom's
// processes.
type Site struct {
	FirstStart         bool   // the first start of the whole system: empty disks are no data loss
	Counts             bool   // this machine counts against Tolerate
	ToleratedFailures  int    // machines that may be lost at once
	ControlPlaneListen string // own address towards operators, where this process serves them
	ReadinessListen    string // own address of the readiness check
	PortRange          [2]int // free on every machine, from the first to the second; the same everywhere
	IP                 string // own
	Region             string
	MemoryLimitMB      int // the process is killed above it
	Files              int // descriptors
	Core               float64
	HeartbeatMs        int // between two heartbeats of the cluster membership
	WorkerListRate     float64
	EnforceRevocation  bool // a revoked key is bounded by Bounds.KeyRevocationMs, even without contact
	GraceMs            int  // from SIGTERM until the process is killed
	LeaseMs            int  // duration of a lease
	AckTimeoutMs       int
	ContactWindowMs    int
	TransitMs          int // an event is forwarded within this
}

// The offsets of the processes' ports from the first of Site.Ports, the same on every machine.
const (
	PortState    = 0 // the control state; the node agent on an edge machine
	PortIndex    = 1 // index and placement
	PortOperator = 2 // the operator's API, where the control state is
)

// Port is the address of a process of this or another machine.
//
// Example: site.Port("10.1.0.14", settings.PortIndex)
func (s *Site) Port(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.PortRange[0]+offset))
}

// Fraction is a ratio of a bound in milliseconds.
//
// Example: settings.Of(site.GraceMs, 0.5)
func Fraction(ms int, ratio float64) time.Duration {
	return time.Duration(float64(ms) * ratio * float64(time.Millisecond))
}
