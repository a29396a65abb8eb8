package serviceconfig

// Rollout strategies: how the workers of a service load new model weights.
const (
	RolloutPaced  = "paced"   // default rollout strategy: a few workers at a time load the new weights
	RolloutAtOnce = "at-once" // rollout strategy in which all workers load the new weights at once; a baseline for comparisons
)

// Placement strategies: how cached prompt prefixes are placed on the workers of a service.
const (
	PlacementHRCS          = "hrcs"           // default placement strategy: frequently used prefixes are replicated, the others sharded
	PlacementAllReplicated = "all-replicated" // placement strategy in which all cached prefixes are replicated
	PlacementAllSharded    = "all-sharded"    // placement strategy in which all cached prefixes are sharded
	PlacementNoIndex       = "no-index"       // strategy in which requests are routed to workers without the index of cached prefixes
)

// Config is the service configuration of a site, as operators write it. Its JSON keys are those of the first
// release, for compatibility.
type Config struct {
	Tenants   map[string]Tenant  `json:"tenants,omitempty"`
	Models    map[string]Model   `json:"models,omitempty"`
	Adapters  map[string]Adapter `json:"adapters,omitempty"`
	Services  map[string]Service `json:"services,omitempty"`
	Routes    map[string]Route   `json:"ways,omitempty"`        // routes, by the name that requests give as their model or adapter
	Draining  map[string]bool    `json:"drains,omitempty"`      // names of workers that are being drained and get no new requests
	Seeds     []string           `json:"seeds,omitempty"`       // addresses of three seed nodes, in place of those in each machine's settings; empty to use the latter
	MaxWaitMs int                `json:"wait_max_ms,omitempty"` // maximum time in milliseconds that a request waits in a queue; 0 means 30000

	tenantByKey  map[string]string
	sharedDomain string // identifier of the cache domain of all tenants that are not isolated; empty for the first one
}

// Tenant is one tenant with its API keys and request limits.
type Tenant struct {
	Keys              []string `json:"keys,omitempty"`
	Isolated          bool     `json:"walled,omitempty"`   // whether the tenant shares no cached prompt prefixes with other tenants
	RequestsPerSecond float64  `json:"rate,omitempty"`     // maximum rate of the tenant's requests at each proxy; 0 means no limit
	MaxInFlight       int      `json:"inflight,omitempty"` // maximum number of the tenant's concurrent requests at each proxy; 0 means no limit
}

// Model is a model with the current version of its weights.
type Model struct {
	Weights  uint64 `json:"weights"`
	MemoryMB int    `json:"room,omitempty"` // memory in MB that the model's weights take on a worker
}

// Adapter is a small set of weights that is applied on top of one base model. Requests may name an adapter in place
// of a model.
type Adapter struct {
	BaseModel string   `json:"base"`
	Build     uint64   `json:"build"`
	Services  []string `json:"services,omitempty"` // names of services whose workers load the adapter
	Tenants   []string `json:"tenants,omitempty"`  // names of tenants that may use the adapter; empty means all tenants
	MemoryMB  int      `json:"room,omitempty"`     // memory in MB that the adapter's weights take on a worker
}

// Service is a group of workers that serve a model.
type Service struct {
	Model          string  `json:"model"`
	FetchTolerance float64 `json:"alpha,omitempty"`     // maximum time to fetch a cached prompt prefix, as a ratio of the time to recompute it; 0 means 1
	HotnessWindowS int     `json:"window_s,omitempty"`  // length in seconds of the window over which the request rates of prompt prefixes are measured; 0 means 30
	Placement      string  `json:"placement,omitempty"` // placement strategy for cached prompt prefixes; empty means PlacementHRCS
	Rollout        string  `json:"roll_out,omitempty"`  // rollout strategy for new model weights; empty means RolloutPaced
	WorkerMemoryMB int     `json:"room,omitempty"`      // memory in MB that each worker of the service has for weights
}

// Route sends requests that name one model or adapter to a service.
type Route struct {
	Service         string `json:"service"`
	HandoverTo      string `json:"next,omitempty"`  // name of the service to which the route is being handed over; empty if no handover is in progress
	HandoverPercent int    `json:"share,omitempty"` // percentage of the route's requests that the service HandoverTo already serves
	ServedBy        string `json:"use,omitempty"`   // name of the model or adapter that serves the route's requests; empty means the one with the name of the route
	MoveTo          string `json:"move,omitempty"`  // name of the model or adapter to which the route's requests are being moved; empty if no move is in progress
	MovedPercent    int    `json:"moved,omitempty"` // percentage of the route's requests that the model or adapter MoveTo already serves
}
