// Package routingconfig is a site's configuration for requests of any shape: routes by host and prefix,
// services, tenants with their keys, limits. It knows nothing of the form it was written in.
package routingconfig

import "time"

// DocumentKey is the document that holds the plan, in shard 0; its version is the plan's own.
const DocumentKey = "plan"

// Plan is one whole version of the routing configuration.
type Plan struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Tenants  []Tenant
	// Limits bound what a client may send.
	Limits Limits

	routesByHost   map[string]*hostRoutes
	tenantsByKey   map[string]*Tenant
	servicesByName map[string]*Service
}

// Kind is whether requests may be repeated.
type Kind int

// The kinds of a route.
const (
	Idempotent  Kind = iota // may run more than once
	AtMostOnce              // at most once an attempt
	EventStream             // a series of events; once, unless it may be resumed
)

// Route sends requests of a host and prefix to services.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	Timeout            time.Duration // the longest duration of an attempt
	LatencyTarget      time.Duration // a response within this counts in full
	MaxEventGap        time.Duration // the longest gap between events that is in time
	Priority           int           // 0 is highest
	Split              []WeightedService
	MaxAttempts        int // the most workers that one request may be sent to
	Public             bool
	NamesPromptParts   bool // requests name the parts of their prompt
	Resumable          bool
}

// WeightedService is one service's weight among those of a route.
type WeightedService struct {
	// Service is a group of workers, or a store of cached prompts.
	Service string
	Weight  int
}

// Service is a group of workers, or a store of kept prompts.
type Service struct {
	Name       string
	HealthPath string // path
	MaxConns   int    // of one worker, from all callers together
	// Engine holds the properties of a service's model workers.
	Engine *Engine
	// Store caches prompt parts that workers hand it.
	Store *Store
}

// Engine is what a service's model workers are like.
type Engine struct {
	Slots          int
	CapacityTokens int     // tokens that running requests and cached parts share
	TokenBytes     int     // of a cached token
	LinkMbps       float64 // transfers of cached parts
	MaxPolls       int     // calls for events that one worker holds at once, from all callers
	Models         []string
}

// Store keeps parts that workers hand it.
type Store struct {
	Addr, Zone     string
	CapacityTokens int // tokens
	LinkMbps       float64
	MaxPolls       int
}

// Tenant is one user's tenant with its keys.
type Tenant struct {
	Name     string
	Keys     []string
	Priority int // overrides the route's; -1: unset
	Isolated bool
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}
