package serviceconfig

// Rollout strategies, by which a service's workers load new weights.
const (
	RolloutPaced  = "paced"   // the default: a few workers at a time
	RolloutAtOnce = "at-once" // all workers at the same time, as a baseline for comparisons
)

// Placement strategies, by which cached prefixes are placed on a service's workers.
const (
	PlacementHRCS          = "hrcs"           // the default: hot prefixes are replicated, the others sharded
	PlacementAllReplicated = "all-replicated" // all prefixes are replicated
	PlacementAllSharded    = "all-sharded"    // all prefixes are sharded
	PlacementNoIndex       = "no-index"       // requests are routed without the prompt index
)

// Config is the service configuration of a site, as operators write it. Its JSON keys are those of the first
// release, for compatibility.
type Config struct {
	Tenants   map[string]Tenant  `json:"tenants,omitempty"`
	Models    map[string]Model   `json:"models,omitempty"`
	Adapters  map[string]Adapter `json:"adapters,omitempty"`
	Services  map[string]Service `json:"services,omitempty"`
	Routes    map[string]Route   `json:"ways,omitempty"`        // routes by the name of the model or adapter that requests ask for
	Draining  map[string]bool    `json:"drains,omitempty"`      // names of workers that get no new requests
	Seeds     []string           `json:"seeds,omitempty"`       // three addresses that override the seeds of each machine's settings
	MaxWaitMs int                `json:"wait_max_ms,omitempty"` // maximum waiting time of a request in milliseconds

	tenantByKey map[string]string
}

// Tenant is one tenant with its API keys and request limits.
type Tenant struct {
	Keys              []string `json:"keys,omitempty"`
	Isolated          bool     `json:"walled,omitempty"`   // cached prefixes are not shared with other tenants
	RequestsPerSecond float64  `json:"rate,omitempty"`     // rate limit at each proxy; 0 means no limit
	MaxInFlight       int      `json:"inflight,omitempty"` // maximum number of concurrent requests at each proxy; 0 means no limit
}

// Model is a model with the current version of its weights.
type Model struct {
	Weights  uint64 `json:"weights"`
	MemoryMB int    `json:"room,omitempty"` // worker memory in MB that the weights take
}

// Adapter is a small set of weights on top of one base model. Requests may name an adapter in place of a model.
type Adapter struct {
	BaseModel string   `json:"base"`
	Build     uint64   `json:"build"`
	Services  []string `json:"services,omitempty"` // services whose workers load the adapter
	Tenants   []string `json:"tenants,omitempty"`  // tenants that may name the adapter; empty means all tenants
	MemoryMB  int      `json:"room,omitempty"`     // worker memory in MB that the weights take
}

// Service is a group of workers that serve a model.
type Service struct {
	Model          string  `json:"model"`
	FetchTolerance float64 `json:"alpha,omitempty"`     // tolerated time to fetch a cached prefix, as a ratio of the time to prefill it; 0 means 1
	HotnessWindowS int     `json:"window_s,omitempty"`  // window in seconds over which the hotness of prefixes is measured; 0 means 30
	Placement      string  `json:"placement,omitempty"` // placement strategy; empty means PlacementHRCS
	Rollout        string  `json:"roll_out,omitempty"`  // rollout strategy; empty means RolloutPaced
	WorkerMemoryMB int     `json:"room,omitempty"`      // memory of each worker for weights in MB
}

// Route sends the requests that name a model or adapter to a service.
type Route struct {
	Service         string `json:"service"`
	HandoverTo      string `json:"next,omitempty"`  // service to which the route is being handed over; empty if no handover is in progress
	HandoverPercent int    `json:"share,omitempty"` // percentage of requests that HandoverTo serves already
	ServedBy        string `json:"use,omitempty"`   // model or adapter that serves the requests; empty means the one with the name of the route
	MoveTo          string `json:"move,omitempty"`  // model or adapter to which the requests are being moved; empty if no move is in progress
	MovedPercent    int    `json:"moved,omitempty"` // percentage of requests that MoveTo serves already
}
