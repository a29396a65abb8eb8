// Package settings defines the settings of a process: its addresses, zone, seeds, data directory and time limits.
// They are read from a JSON file and from flags (Read), or from the settings file of the platform on which the
// process runs (package platform).
package settings

import (
	"net"
	"net/netip"
	"strings"
	"time"
)

// Process holds the settings of one process.
type Process struct {
	Name        string   `json:"name"`         // name of the machine or worker; stays the same after a restart
	Zone        string   `json:"district"`     // zone of the site that the machine or worker is in
	Listen      string   `json:"listen"`       // address (IP:port) to listen at for other pebbleloom processes
	Advertise   string   `json:"tell"`         // address at which other processes reach this one; empty: same as Listen
	Public      string   `json:"public"`       // address to listen at for clients; the only address that a simulator listens at
	Operator    string   `json:"operator"`     // address to listen at for operators
	OperatorKey string   `json:"operator_key"` // key that operators must present; empty: no key is required
	Seeds       []string `json:"seeds"`        // addresses of three other processes, to join the cluster through
	Core        []string `json:"core"`         // names of the core machines, which hold the control state
	Data        string   `json:"data"`         // data directory; empty on machines without a disk
	NodeAgent   string   `json:"runner"`       // loopback address of the node agent on the same machine
	WorkerList  string   `json:"rank"`         // address of the platform's worker list
	Options     []string `json:"extra"`        // program-specific options, each "key=value"
	Bounds      Bounds   `json:"bounds"`
	Site        *Site    `json:"-"` // settings of a site without a fixed list of core machines; nil if Core lists them
}

// Required selects the settings that a program can't run without, among those that other programs may leave empty.
type Required struct {
	Seeds, Core, Data, NodeAgent, WorkerList, Public, Operator bool
}

// AdvertisedAddr returns the address at which other processes reach this one.
//
// Example: node.Addr = process.AdvertisedAddr()
func (p Process) AdvertisedAddr() string {
	if p.Advertise != "" {
		return p.Advertise
	}
	return p.Listen
}

// dialTimeoutRatio is the timeout for opening a TCP connection, as a ratio of Bounds.LeaveMs.
const dialTimeoutRatio = 1.0 / 3

// DialTimeout returns the timeout for opening a TCP connection to another process.
//
// Example: dialer := net.Dialer{Timeout: process.DialTimeout()}
func (p Process) DialTimeout() time.Duration { return p.Bounds.Leave(dialTimeoutRatio) }

// Dialer returns a dialer whose connections come from the IP address that this process listens at.
//
// Example: conn, err := process.Dialer().DialContext(ctx, "tcp", addr)
func (p Process) Dialer() *net.Dialer {
	dialer := &net.Dialer{Timeout: p.DialTimeout()}
	if own, err := netip.ParseAddrPort(p.Listen); err == nil {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(own.Addr(), 0))
	}
	return dialer
}

// Option returns the value of a program-specific option, or a default value if the option is not given.
//
// Example: process.Option("slots", "2") returns "4" if the options contain "slots=4", else "2"
func (p Process) Option(key, defaultValue string) string {
	for _, option := range p.Options {
		if value, ok := strings.CutPrefix(option, key+"="); ok {
			return value
		}
	}
	return defaultValue
}
