package serviceconfig

// The ways in which a service's workers change to new weights.
const (
	RolloutPaced  = "paced"   // the default: a few workers at a time
	RolloutAtOnce = "at-once" // all workers together, to compare with
)

// The ways in which a service's hot prefixes are placed on its workers.
const (
	PlacementHRCS          = "hrcs" // the default: hot prefixes are replicated, the others sharded
	PlacementAllReplicated = "all-replicated"
	PlacementAllSharded    = "all-sharded"
	PlacementNoIndex       = "no-index" // requests are routed without the prompt index
)

// Config is the configuration of a site, as operators write it. The JSON keys are those of the first
// release.
type Config struct {
	Tenants   map[string]Tenant  `json:"tenants,omitempty"`
	Models    map[string]Model   `json:"models,omitempty"`
	Adapters  map[string]Adapter `json:"adapters,omitempty"`
	Services  map[string]Service `json:"services,omitempty"`
	Routes    map[string]Route   `json:"ways,omitempty"`   // by the name of a model or adapter in requests
	Draining  map[string]bool    `json:"drains,omitempty"` // workers that get no new requests
	Seeds     []string           `json:"seeds,omitempty"`  // three addresses that override those of the settings
	MaxWaitMs int                `json:"wait_max_ms,omitempty"`

	tenantByKey map[string]string
}

// Tenant is one tenant with its keys and budget.
type Tenant struct {
	Keys              []string `json:"keys,omitempty"`
	Isolated          bool     `json:"walled,omitempty"`   // shares no cache with other tenants
	RequestsPerSecond float64  `json:"rate,omitempty"`     // at one proxy; 0: no bound
	MaxInFlight       int      `json:"inflight,omitempty"` // concurrent requests at one proxy; 0: no bound
}

// Model is a model with the version of its weights in force.
type Model struct {
	Weights  uint64 `json:"weights"`
	MemoryMB int    `json:"room,omitempty"` // that it takes of a worker's memory
}

// Adapter is a small set of weights on top of one base model. Requests may name it as they name a model.
type Adapter struct {
	BaseModel string   `json:"base"`
	Build     uint64   `json:"build"`
	Services  []string `json:"services,omitempty"` // whose workers have it loaded
	Tenants   []string `json:"tenants,omitempty"`  // that may name it; none: all
	MemoryMB  int      `json:"room,omitempty"`     // that it takes of a worker's memory
}

// Service is a group of workers that answer for a model.
type Service struct {
	Model          string  `json:"model"`
	FetchTolerance float64 `json:"alpha,omitempty"`    // fetch time that is tolerated, as a ratio of prefill time; 0: 1
	HotnessWindowS int     `json:"window_s,omitempty"` // seconds over which a prefix's hotness is counted; 0: 30
	Placement      string  `json:"placement,omitempty"`
	Rollout        string  `json:"roll_out,omitempty"`
	WorkerMemoryMB int     `json:"room,omitempty"` // each worker's memory for weights
}

// Route sends the requests that name a model or adapter to a service.
type Route struct {
	Service         string `json:"service"`
	HandoverTo      string `json:"next,omitempty"`  // a handover to this service is in progress
	HandoverPercent int    `json:"share,omitempty"` // of requests that it gets already
	ServedBy        string `json:"use,omitempty"`   // the model or adapter that answers; empty: the one that names the route
	MoveTo          string `json:"move,omitempty"`  // requests are being moved to this model or adapter
	MovedPercent    int    `json:"moved,omitempty"` // of requests that were moved already
}
