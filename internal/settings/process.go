// Package settings holds the settings of a process: its addresses, its zone, its seeds, its data folder
// and the bounds that all durations are ratios of. They come from a JSON file and from flags (Read), or
// from the platform's own file (package platform).
package settings

import (
	"net"
	"net/netip"
	"strings"
	"time"
)

// Process holds the settings of one process.
type Process struct {
	Name        string   `json:"name"`         // the machine's or worker's name; it survives restarts
	Zone        string   `json:"district"`     // one of the site's zones
	Listen      string   `json:"listen"`       // listens here (IP:port) for pebbleloom's processes
	Advertise   string   `json:"tell"`         // address given to other processes; empty: Listen
	Public      string   `json:"public"`       // listens here for clients; a simulator's own address
	Operator    string   `json:"operator"`     // listens here for operators
	OperatorKey string   `json:"operator_key"` // key that operators must present; empty: none
	Seeds       []string `json:"seeds"`        // three addresses of other processes
	Core        []string `json:"core"`         // the names of the core machines
	Data        string   `json:"data"`         // the data folder; empty on machines without a disk
	NodeAgent   string   `json:"runner"`       // address of the node agent beside a proxy, on loopback
	WorkerList  string   `json:"rank"`         // address where the platform lists workers
	Options     []string `json:"extra"`        // the program's own options, "key=value"
	Bounds      Bounds   `json:"bounds"`
	Site        *Site    `json:"-"` // nil if the core machines are named
}

// Required lists the optional settings that a program can't do without.
type Required struct {
	Seeds, Core, Data, NodeAgent, WorkerList, Public, Operator bool
}

// AdvertisedAddr returns the address under which other processes reach this one.
//
// Example: node.Addr = process.AdvertisedAddr()
func (p Process) AdvertisedAddr() string {
	if p.Advertise != "" {
		return p.Advertise
	}
	return p.Listen
}

// dialTimeoutRatio is how long a connection may take to open, as a ratio of the leave bound.
const dialTimeoutRatio = 1.0 / 3

// DialTimeout returns how long a connection may take to open.
//
// Example: dialer := net.Dialer{Timeout: process.DialTimeout()}
func (p Process) DialTimeout() time.Duration { return p.Bounds.Leave(dialTimeoutRatio) }

// Dialer returns a dialer that connects from this process's own address.
//
// Example: conn, err := process.Dialer().DialContext(ctx, "tcp", addr)
func (p Process) Dialer() *net.Dialer {
	dialer := &net.Dialer{Timeout: p.DialTimeout()}
	if own, err := netip.ParseAddrPort(p.Listen); err == nil {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(own.Addr(), 0))
	}
	return dialer
}

// Option returns the value of one of the program's own options, or a default.
//
// Example: process.Option("slots", "2") returns "4" if the options contain "slots=4"
func (p Process) Option(key, defaultValue string) string {
	for _, option := range p.Options {
		if value, ok := strings.CutPrefix(option, key+"="); ok {
			return value
		}
	}
	return defaultValue
}
