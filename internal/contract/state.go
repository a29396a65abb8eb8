package contract

// WorkerState is what a worker reports about itself when it is probed.
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
	ClockUs            int64         `json:"clock_us"` // a clock of its machine that counts sleep and never jumps
	KVTokens           int           `json:"kv_tokens"`
	KVCapacity         int           `json:"kv_room"`           // tokens
	Loaded             []LoadedModel `json:"loaded,omitempty"`  // empty: it has only the model and weights above
	Loading            string        `json:"loading,omitempty"` // what it is loading now
	WeightMemoryMB     int           `json:"room,omitempty"`    // memory for weights; 0: unknown
	FreeWeightMemoryMB int           `json:"free,omitempty"`
}

// LoadedModel is a base model in a worker's memory, with its adapters.
type LoadedModel struct {
	Model    string            `json:"model"`
	Weights  uint64            `json:"weights"`
	Adapters map[string]uint64 `json:"adapters,omitempty"` // build by name
	Busy     int               `json:"busy,omitempty"`     // requests that run or wait for it
}

// LoadedModels returns what the worker has in memory, also if it reports a single model.
//
// Example: for _, loaded := range state.LoadedModels() { fmt.Println(loaded.Model) }
func (s WorkerState) LoadedModels() []LoadedModel {
	if len(s.Loaded) > 0 || s.Model == "" {
		return s.Loaded
	}
	return []LoadedModel{{Model: s.Model, Weights: s.Weights, Busy: s.Busy + s.Queued}}
}

// CachedPrefix is a prefix in a worker's cache.
type CachedPrefix struct {
	Key    string `json:"k"`
	Tokens int    `json:"n"`
}

// CacheReport is one change of a worker's cache.
type CacheReport struct {
	Number  uint64         `json:"number"`
	Added   []CachedPrefix `json:"added,omitempty"`
	Removed []string       `json:"gone,omitempty"` // keys
}

// CacheReports are the changes after a number, or if Complete the whole cache.
type CacheReports struct {
	Incarnation string         `json:"incarnation"`
	Number      uint64         `json:"number"` // of the last change
	Complete    bool           `json:"whole"`
	Cached      []CachedPrefix `json:"held,omitempty"`
	Reports     []CacheReport  `json:"list,omitempty"`
}
