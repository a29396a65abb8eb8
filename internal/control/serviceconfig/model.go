package serviceconfig

import "pebbleloom/internal/queue"

// Config is the whole configuration of a site, as operators write it.
type Config struct {
	Tenants   map[string]Tenant  `json:"tenants,omitempty"`
	Models    map[string]Model   `json:"models,omitempty"`
	Adapters  map[string]Adapter `json:"adapters,omitempty"`
	Services  map[string]Service `json:"services,omitempty"`
	Routes    map[string]Route   `json:"ways,omitempty"` // model or adapter that requests name -> the service that answers it
	Draining  map[string]bool    `json:"drains,omitempty"`
	Seeds     []string           `json:"seeds,omitempty"` // three addresses that override those of the settings
	MaxWaitMs int                `json:"wait_max_ms,omitempty"`

	tenantByKey map[string]string
}

// Tenant is one user's tenant with its keys and budget.
type Tenant struct {
	Keys              []string `json:"keys,omitempty"`
	Isolated          bool     `json:"walled,omitempty"`   // shares no cache with others
	RequestsPerSecond float64  `json:"rate,omitempty"`     // requests a second at one proxy; 0: no bound
	MaxInFlight       int      `json:"inflight,omitempty"` // concurrent requests at one proxy; 0: no bound
}

// Model is a model with the version of its weights in force.
type Model struct {
	Weights  uint64 `json:"weights"`
	MemoryMB int    `json:"room,omitempty"` // what it takes of a worker's memory, in MB
}

// Adapter is a small set of weights on top of one base model. Requests may name it as they name a model.
type Adapter struct {
	BaseModel string   `json:"base"`
	Build     uint64   `json:"build"`
	Services  []string `json:"services,omitempty"` // whose workers hold it
	Tenants   []string `json:"tenants,omitempty"`  // who may name it; none: everybody
	MemoryMB  int      `json:"room,omitempty"`     // what it takes of a worker's memory, in MB
}

// Service is a group of workers that answer for a model.
type Service struct {
	Model          string  `json:"model"`
	FetchTolerance float64 `json:"alpha,omitempty"`     // fetch time tolerated over prefill time
	HotnessWindowS int     `json:"window_s,omitempty"`  // hotness window
	Placement      string  `json:"placement,omitempty"` // hrcs, or a switch to compare with
	Rollout        string  `json:"roll_out,omitempty"`  // paced, or at-once to compare with
	WorkerMemoryMB int     `json:"room,omitempty"`      // each worker's memory for weights, in MB
}

// Route sends a model's requests to a service.
type Route struct {
	Service         string `json:"service"`
	HandoverTo      string `json:"next,omitempty"`  // a handover to this service is in progress
	HandoverPercent int    `json:"share,omitempty"` // percent of requests that it gets already
	ServedBy        string `json:"use,omitempty"`   // the model or adapter that answers; empty: the one that names the route
	MoveTo          string `json:"move,omitempty"`  // its requests are being moved to this model or adapter
	MovedPercent    int    `json:"moved,omitempty"` // percent of requests that were moved already
}

// ServiceFor returns the service of one request: a request ID always gets the same service under one
// configuration.
//
// Example: service := config.Routes["lector"].ServiceFor("r-17")
func (w Route) ServiceFor(request string) string {
	if w.HandoverTo != "" && int(queue.Hash(request)%100) < w.HandoverPercent {
		return w.HandoverTo
	}
	return w.Service
}
