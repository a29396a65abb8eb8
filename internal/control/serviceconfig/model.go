package serviceconfig

import "pebbleloom/internal/queue"

// Setup is the whole configuration of a site, as operators write it.
type Setup struct {
	Tenants   map[string]Tenant  `json:"tenants,omitempty"`
	Models    map[string]Model   `json:"models,omitempty"`
	Adapters  map[string]Adapter `json:"adapters,omitempty"`
	Services  map[string]Service `json:"services,omitempty"`
	Ways      map[string]Way     `json:"ways,omitempty"` // model or adapter that requests name -> the service that answers it
	Drains    map[string]bool    `json:"drains,omitempty"`
	Seeds     []string           `json:"seeds,omitempty"` // three addresses that go before those of the settings
	WaitMaxMs int                `json:"wait_max_ms,omitempty"`

	byKey map[string]string
}

// Tenant is one user's tenant with its keys and budget.
type Tenant struct {
	Keys     []string `json:"keys,omitempty"`
	Walled   bool     `json:"walled,omitempty"`   // shares no cache with others
	Rate     float64  `json:"rate,omitempty"`     // requests a second at one dispatcher; 0: no bound
	Inflight int      `json:"inflight,omitempty"` // at once at one dispatcher; 0: no bound
}

// Model is a model with the weights epoch in force.
type Model struct {
	Weights uint64 `json:"weights"`
	Room    int    `json:"room,omitempty"` // what it takes of a worker's memory, in MB
}

// Adapter is a small set of weights on top of one base model. Requests may name it as they name a model.
type Adapter struct {
	Base     string   `json:"base"`
	Build    uint64   `json:"build"`
	Services []string `json:"services,omitempty"` // whose workers hold it
	Tenants  []string `json:"tenants,omitempty"`  // who may name it; none: everybody
	Room     int      `json:"room,omitempty"`     // what it takes of a worker's memory, in MB
}

// Service is a group of workers that answer for a model.
type Service struct {
	Model     string  `json:"model"`
	Alpha     float64 `json:"alpha,omitempty"`     // fetch time tolerated over prefill time
	WindowS   int     `json:"window_s,omitempty"`  // hotness window
	Placement string  `json:"placement,omitempty"` // hrcs, or a switch to compare with
	RollOut   string  `json:"roll_out,omitempty"`  // paced, or at-once to compare with
	Room      int     `json:"room,omitempty"`      // each worker's memory for weights, in MB
}

// Way leads a model's requests to a service.
type Way struct {
	Service string `json:"service"`
	Next    string `json:"next,omitempty"`  // a handover is under way to this service
	Share   int    `json:"share,omitempty"` // percent of requests that go there already
	Use     string `json:"use,omitempty"`   // the model or adapter that answers; empty: the one it is named by
	Move    string `json:"move,omitempty"`  // its requests are being moved to this model or adapter
	Moved   int    `json:"moved,omitempty"` // percent of requests that were moved already
}

// For names the service of one request: a request id always gets the same answer under one setup.
//
// Example: service := s.Ways["lector"].For("r-17")
func (w Way) For(request string) string {
	if w.Next != "" && int(queue.Hash(request)%100) < w.Share {
		return w.Next
	}
	return w.Service
}
