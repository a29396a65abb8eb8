package contract

// WorkerState is what a worker reports about itself in response to a health probe.
type WorkerState struct {
	Name               string        `json:"name"`
	Incarnation        string        `json:"incarnation"`
	Service            string        `json:"service"`
	Model              string        `json:"model"`
	Zone               string        `json:"district"`
	Weights            uint64        `json:"weights"`
	Slots              int           `json:"slots"`
	Busy               int           `json:"busy"`
	Queued             int           `json:"queued"`
	Draining           bool          `json:"draining"`
	FencingToken       uint64        `json:"fence"`
	ClockUs            int64         `json:"clock_us"` // reading of the worker machine's monotonic clock in microseconds, including time in suspend
	KVTokens           int           `json:"kv_tokens"`
	KVCapacity         int           `json:"kv_room"`           // capacity of the KV cache in tokens
	Loaded             []LoadedModel `json:"loaded,omitempty"`  // models in memory; empty: only Model with version Weights
	Loading            string        `json:"loading,omitempty"` // name of the model or adapter that is being loaded; empty: none
	WeightMemoryMB     int           `json:"room,omitempty"`    // total memory for model weights; 0: unknown
	FreeWeightMemoryMB int           `json:"free,omitempty"`
}

// LoadedModel is a base model in a worker's memory, with its adapters.
type LoadedModel struct {
	Model    string            `json:"model"`
	Weights  uint64            `json:"weights"`
	Adapters map[string]uint64 `json:"adapters,omitempty"` // build number by adapter name
	Busy     int               `json:"busy,omitempty"`     // number of requests that run on it or wait for it
}

// LoadedModels returns the models in the worker's memory. For a worker that doesn't report Loaded, that is its
// Model alone, if it has one.
//
// Example: for _, loaded := range state.LoadedModels() { fmt.Println(loaded.Model) }
func (s WorkerState) LoadedModels() []LoadedModel {
	if len(s.Loaded) > 0 || s.Model == "" {
		return s.Loaded
	}
	return []LoadedModel{{Model: s.Model, Weights: s.Weights, Busy: s.Busy + s.Queued}}
}

// CachedPrefix is a prompt prefix in a worker's KV cache.
type CachedPrefix struct {
	Key    string `json:"k"`
	Tokens int    `json:"n"`
}

// CacheReport is one numbered change of the set of prefixes in a worker's KV cache.
type CacheReport struct {
	Number  uint64         `json:"number"`
	Added   []CachedPrefix `json:"added,omitempty"`
	Removed []string       `json:"gone,omitempty"` // keys of the prefixes that were evicted
}

// CacheReports is a worker's response with the changes of its cache after the number that the client
// asked for or, if Complete is set, with all prefixes in the cache.
type CacheReports struct {
	Incarnation string         `json:"incarnation"`
	Number      uint64         `json:"number"` // number of the latest change that is included
	Complete    bool           `json:"whole"`
	Cached      []CachedPrefix `json:"held,omitempty"`
	Reports     []CacheReport  `json:"list,omitempty"`
}
