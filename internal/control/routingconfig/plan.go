// Package routingconfig is a site's configuration for requests of any shape: routes by host and prefix,
// services, tenants with their keys, limits. It knows nothing of the form it was written in.
package routingconfig

import "time"

// Key is the document that holds the plan, in part 0; its version is the plan's own.
const Key = "plan"

// Plan is one whole version.
type Plan struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Tenants  []Tenant
	Limits   Limits

	hosts map[string]*host
	keys  map[string]*Tenant
	names map[string]*Service
}

// Kind says what may be repeated.
type Kind int

// The kinds of a route.
const (
	Repeatable Kind = iota // may run more than once
	Once                   // at most once an attempt
	Stream                 // a series of events; once, unless it may be resumed
)

// Route leads requests of a host and prefix to services.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	Timeout            time.Duration // the longest an attempt may be held
	Target             time.Duration // within this an answer earns its full worth
	Gap                time.Duration // the longest pause between events that keeps it in time
	Priority           int           // 0 is highest
	Split              []Share
	Attempts           int // the most workers that one request may go to
	Public             bool
	Session            bool // requests name the parts of their prompt
	Resumable          bool
}

// Share is one service's weight among those of a route.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of workers, or a store of kept prompts.
type Service struct {
	Name     string
	Health   string // path
	MaxConns int    // of one worker, from all callers together
	Engine   *Engine
	Store    *Store
}

// Engine is what a service's model workers are like.
type Engine struct {
	Slots      int
	Room       int     // tokens that running requests and kept parts share
	TokenBytes int     // of a kept token
	LinkMbps   float64 // moves of kept parts
	Polls      int     // calls for events that one worker holds at once, from all callers
	Models     []string
}

// Store keeps parts that workers hand it.
type Store struct {
	Addr, District string
	Room           int // tokens
	LinkMbps       float64
	Polls          int
}

// Tenant is one user's tenant with its keys.
type Tenant struct {
	Name     string
	Keys     []string
	Priority int // goes before the route's; -1: none set
	Isolated bool
}

// Limits bound what a downstream may send.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTime, IdleTime   time.Duration
}
