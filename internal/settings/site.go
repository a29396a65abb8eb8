package settings

import (
	"net"
	"strconv"
	"time"
)

// Site is what a process of a site with agreed membership is told beside its place: nobody names
// the core machines to it. Place.Seeds then holds three addresses of core machines, towards
// pebbleloom's processes.
type Site struct {
	First     bool   // the first start of the whole system: empty disks are no loss
	Counts    bool   // this machine is one of those whose loss is counted
	Tolerate  int    // machines that may be lost at once
	Control   string // own address towards operators, where this process serves them
	Ready     string // own address where the platform asks whether it is ready
	Ports     [2]int // free on every machine, from the first to the second; the same everywhere
	IP        string // own
	Region    string
	MemoryMB  int // the process is killed above it
	Files     int // descriptors
	Core      float64
	BeatMs    int // between two beats of the roster
	ListRate  float64
	StretchMs int  // how much longer a plan's bound is while the core is unsettled
	Revokes   bool // a key taken away is bounded by Bounds.KeyMs, in touch or not
	GraceMs   int  // from SIGTERM until the process is killed
	LeaseMs   int  // of a duty
	ThawMs    int
	AckMs     int
	ContactMs int
	TransitMs int // an event is handed on within this
	SlackMs   int // a request that was read is not cut later than this around planned work
}

// The offsets of the processes' ports from the first of Site.Ports, the same on every machine.
const (
	PortState = 0 // the control state, and the agent on an edge machine
	PortIndex = 1 // index and placement
	PortDesk  = 2 // the operator's API, where the control state is
)

// Port is the address of a process of this or another machine.
//
// Example: site.Port("10.1.0.14", settings.PortIndex)
func (s *Site) Port(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(s.Ports[0]+offset))
}

// Of is a ratio of a bound in milliseconds.
//
// Example: settings.Of(site.GraceMs, 0.5)
func Of(ms int, ratio float64) time.Duration {
	return time.Duration(float64(ms) * ratio * float64(time.Millisecond))
}
