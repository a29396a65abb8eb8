// Package routingconfig defines the routing configuration of a site, called the plan: routes by host and path
// prefix, the services that they send requests to, tenants with their API keys, and limits. It does not depend on
// the format in which operators write a plan, and its types are never encoded by their Go names.
package routingconfig

import "time"

// DocumentKey is the key of the document that holds the routing configuration, in shard 0 of the replicated control
// state. The document has the same version as the routing configuration.
const DocumentKey = "plan"

// Plan is one version of the routing configuration. BuildIndex must be called before lookups, and the plan must not
// be changed after that call.
type Plan struct {
	Version  uint64 // version of the routing configuration; 1 or higher
	Routes   []Route
	Services []Service
	Tenants  []Tenant
	Limits   Limits
	// Identifier of the cache domain of all tenants that are not isolated, from the tenant history that is stored with
	// the plan; empty for the first one. See CacheDomain.
	SharedDomain string
	ListsTenants bool // whether the configuration has a list of tenants, which may be empty
	HadTenants   bool // whether this version or an earlier one has tenants, from the tenant history that is stored with the plan

	routesByHost   map[string]*hostRoutes
	tenantsByKey   map[string]*Tenant
	isolatedByName map[string]bool // whether each tenant is isolated, by the tenant's name
	servicesByName map[string]*Service
}

// Kind is the kind of a route. It determines whether the route's requests may be retried.
type Kind int

// Kinds of routes, by how often a request may run.
const (
	Idempotent  Kind = iota // kind of a route whose requests may run more than once
	AtMostOnce              // kind of a route whose requests are not retried after an attempt that may have run
	EventStream             // kind of a route whose responses are streams of events; a request runs at most once, unless the route is Resumable
)

// Route sends requests for a host and path prefix to one or more services.
type Route struct {
	Name, Host, Prefix   string
	Kind                 Kind
	Timeout              time.Duration     // timeout of one attempt to send a request to a worker
	LatencyTarget        time.Duration     // response time up to which a response counts as fully successful
	MaxEventGap          time.Duration     // time between two events of a stream up to which the later event counts as on time
	Priority             int               // priority of the route's requests; 0 is the highest
	Split                []WeightedService // services that share the route's requests, with their weights
	MaxAttempts          int               // maximum number of workers that one request may be sent to
	Public               bool              // whether requests of the route are accepted without a tenant's API key
	CarriesPromptPartIDs bool              // whether requests of the route carry the IDs of their prompt parts
	Resumable            bool              // whether an event stream of the route may be resumed on another worker
}

// WeightedService is a service with its weight within a route.
type WeightedService struct {
	Service string // name of the service that gets a share of the attempts
	Weight  int    // share of the route's attempts, relative to the sum of the route's weights; a negative weight counts as 0
}

// Service is a group of workers, optionally with a shared store for their cached prompt parts.
type Service struct {
	Name       string
	HealthPath string  // HTTP path of the workers' health checks
	MaxConns   int     // maximum number of connections to one worker from all proxies together; 0 means no limit
	Engine     *Engine // properties of the workers that run a model; nil if the service's workers run none
	Store      *Store  // shared store to which the workers copy cached prompt parts; nil if there is none
}

// Engine holds the properties of a service's model workers.
type Engine struct {
	Slots          int      // maximum number of requests that one worker runs concurrently
	CapacityTokens int      // maximum number of tokens that running requests and cached prompt parts occupy on one worker
	TokenBytes     int      // size in bytes of one token in a worker's cache
	LinkMbps       float64  // bandwidth of a worker's transfers of cached prompt parts, in Mbit/s
	MaxPolls       int      // maximum number of long polls for cache events that one worker holds open, from all proxies together
	Models         []string // names of the models that the workers run
}

// Store describes a shared store in which workers put cached prompt parts for other workers.
type Store struct {
	Addr, Zone     string
	CapacityTokens int     // maximum number of tokens in the prompt parts that the store holds
	LinkMbps       float64 // bandwidth of the store's transfers, in Mbit/s
	MaxPolls       int     // maximum number of long polls for cache events that the store holds open, from all proxies together
}

// Tenant is one tenant of the site with its API keys and priority.
type Tenant struct {
	Name     string
	Keys     []string // API keys that identify the tenant's requests
	Priority int      // priority of the tenant's requests, in place of the route's priority; -1 if unset
	Isolated bool     // whether the tenant shares no cached prompt parts with other tenants
}

// Limits bounds the size of client requests and the time that clients may take to send them.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}
