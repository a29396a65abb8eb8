// Package routingconfig is a site's routing configuration, called the plan: routes by host and path
// prefix, the services they send requests to, tenants with their keys, and limits. It is independent
// of the format in which operators write it; its types are never encoded by their Go names.
package routingconfig

import "time"

// DocumentKey is the key of the document that holds the plan, in shard 0 of the control state. The
// document's version is the plan's own.
const DocumentKey = "plan"

// Plan is one version of the routing configuration. BuildIndex must be called before lookups; a plan
// must not be changed after that.
type Plan struct {
	Version  uint64 // from 1
	Routes   []Route
	Services []Service
	Tenants  []Tenant
	Limits   Limits

	routesByHost   map[string]*hostRoutes
	tenantsByKey   map[string]*Tenant
	servicesByName map[string]*Service
}

// Kind says whether a route's requests may be retried.
type Kind int

// The kinds of a route.
const (
	Idempotent  Kind = iota // may run more than once
	AtMostOnce              // an attempt that may have run isn't retried
	EventStream             // a series of events; at most once, unless it is resumable
)

// Route sends the requests to a host and path prefix to services.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	Timeout            time.Duration // of an attempt
	LatencyTarget      time.Duration // a response within this counts in full
	MaxEventGap        time.Duration // between two events, for a stream to be in time
	Priority           int           // 0 is highest
	Split              []WeightedService
	MaxAttempts        int  // the most workers that one request may be sent to
	Public             bool // requests need no tenant's key
	NamesPromptParts   bool // requests name the parts of their prompt
	Resumable          bool // an event stream may be resumed at another worker
}

// WeightedService is a service's weight among those of a route.
type WeightedService struct {
	Service string // by name
	Weight  int    // its share of attempts is this over the sum of the route's weights; negative: 0
}

// Service is a group of workers, or a store of cached prompt parts.
type Service struct {
	Name       string
	HealthPath string  // of health checks
	MaxConns   int     // connections to one worker, from all proxies together; 0: no bound
	Engine     *Engine // properties of its model workers; nil if they serve no model
	Store      *Store  // nil unless workers hand their cached prompt parts to one
}

// Engine holds the properties of a service's model workers.
type Engine struct {
	Slots          int     // requests that one worker runs concurrently
	CapacityTokens int     // tokens that running requests and cached prompt parts share on one worker
	TokenBytes     int     // size of a cached token
	LinkMbps       float64 // bandwidth of a worker's transfers of cached prompt parts, in Mbit/s
	MaxPolls       int     // polls for events that one worker holds open, from all proxies together
	Models         []string
}

// Store is where workers put cached prompt parts for other workers.
type Store struct {
	Addr, Zone     string
	CapacityTokens int
	LinkMbps       float64 // bandwidth of its transfers, in Mbit/s
	MaxPolls       int     // polls for events that it holds open, from all proxies together
}

// Tenant is one tenant with its keys.
type Tenant struct {
	Name     string
	Keys     []string
	Priority int  // overrides the route's; -1: unset
	Isolated bool // shares no cached prompt parts with other tenants
}

// Limits bound what a client may send, and how slowly.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}
