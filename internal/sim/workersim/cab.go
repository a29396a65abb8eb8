package workersim

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/errs"
)

// Speed is how fast a stand-in works.
type Speed struct {
	FixedUs float64 // a prefill's fixed cost
	TokenUs float64 // a token
	SquarUs float64 // a token squared
	PieceUs float64 // a decoded piece
	LinkTok float64 // tokens a second from another worker or the store
	FarTok  float64 // the same from another district
}

// Prefill is how long so many tokens take.
//
// Example: sp.Prefill(4000)
func (s Speed) Prefill(tokens int) time.Duration {
	n := float64(tokens)
	return time.Duration((s.FixedUs + s.TokenUs*n + s.SquarUs*n*n) * 1000)
}

// Run is one line of a worker's journal of what it ran.
type Run struct {
	RequestID string `json:"request_id"`
	Once      bool   `json:"once"`
	Weights   uint64 `json:"weights"`
	AtMs      int64  `json:"at_ms"`
	Ended     string `json:"ended"` // "", sealed, broken
	Hit       int    `json:"hit"`
	Fetched   int    `json:"fetched"`
	Prefilled int    `json:"prefilled"`
	Model     string `json:"model,omitempty"`
	Adapter   string `json:"adapter,omitempty"`
	Build     uint64 `json:"build,omitempty"`
	Fence     uint64 `json:"fence,omitempty"` // of an order that was obeyed; a line of its own
	Kind      string `json:"kind,omitempty"`  // of the order
	Holder    string `json:"holder,omitempty"`
}

const (
	maxRuns = 100000
	maxBody = 4 << 20
)

// Cab is one worker.
type Cab struct {
	life    *daemon.Process
	inc     string
	kv      *KV
	sp      Speed
	slots   chan struct{}
	prefill chan struct{}
	waiting int
	room    int
	mu      sync.Mutex
	model   string // the base that requests without another name get
	weights uint64
	memory
	fence uint64
	drain bool
	runs  []*Run
	rnd   *rand.Rand
	drop  float64
	mute  bool
	late  time.Duration // how long after reports are shown
	lie   string        // a planted fault, see lies.go
	h     *http.Client
	file  io.Writer // the journal, where one is named: it outlives a kill
}

func num(l *daemon.Process, key string, or float64) float64 {
	v, err := strconv.ParseFloat(l.Settings.Option(key, ""), 64)
	if err != nil {
		return or
	}
	return v
}

// Start runs a worker.
//
// Example: daemon.Main(programs.WorkerSim, "a simulated worker", need, workersim.Start)
func Start(l *daemon.Process) error {
	c, err := open(l)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", c.state)
	mux.HandleFunc("POST /v1/start", c.start)
	mux.HandleFunc("GET /v1/kept", c.kept)
	mux.HandleFunc("POST /v1/order", c.order)
	mux.HandleFunc("GET /v1/runs", c.journal)
	mux.HandleFunc("GET /kv/{key}", c.give)
	mux.HandleFunc("PUT /kv/{key}", c.take)
	l.Every(time.Duration(num(l, "report_ms", 500))*time.Millisecond, func() {
		c.mu.Lock()
		drop := c.rnd.Float64() < c.drop
		c.mu.Unlock()
		c.kv.Turn(drop, l.Clock.Now())
	})
	l.Go(func() { <-l.Draining; c.mu.Lock(); c.drain = true; c.mu.Unlock() })
	if err := l.Serve(l.Settings.Public, mux); err != nil {
		return err
	}
	l.Ready.Store(true)
	return nil
}

func open(l *daemon.Process) (*Cab, error) {
	seed := queue64(l.Settings.Name)
	c := &Cab{life: l, inc: fmt.Sprintf("%s/%x", l.Settings.Name, l.WallClock().UnixNano()), kv: NewKV(int(num(l, "kv", 40000))),
		sp: Speed{num(l, "fixed_us", 2000), num(l, "token_us", 40), num(l, "square_us", 0.004), num(l, "piece_us", 3000),
			num(l, "link", 100000), num(l, "far", 60000)},
		slots: make(chan struct{}, int(num(l, "slots", 4))), prefill: make(chan struct{}, 1), room: int(num(l, "room", 12)),
		model: l.Settings.Option("model", ""), weights: uint64(num(l, "weights", 1)), drop: num(l, "drop", 0), mute: l.Settings.Option("mute", "") == "yes", late: time.Duration(num(l, "late_ms", 0)) * time.Millisecond, lie: l.Settings.Option("lie", ""),
		rnd: rand.New(rand.NewPCG(seed, 7)), h: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4,
			DialContext: l.Dial}}}
	l.OnStop(c.h.CloseIdleConnections)
	if err := c.fill(); err != nil {
		return nil, err
	}
	if f := l.Settings.Option("journal", ""); f != "" {
		var err error
		if c.file, err = l.Journal(f); err != nil {
			return nil, errs.WrapAs(err, errs.BadInput, "open journal")
		}
	}
	return c, nil
}

func queue64(s string) uint64 {
	var x uint64 = 1469598103934665603
	for _, b := range []byte(s) {
		x = (x ^ uint64(b)) * 1099511628211
	}
	return x
}

func (c *Cab) now() contract.WorkerState {
	c.mu.Lock()
	defer c.mu.Unlock()
	used, room := c.kv.Used()
	return contract.WorkerState{Name: c.life.Settings.Name, Incarnation: c.inc, Service: c.life.Settings.Option("service", ""),
		Loaded: c.holds(), Loading: c.loading, WeightMemoryMB: c.total, FreeWeightMemoryMB: c.free(), Model: c.model, Zone: c.life.Settings.Zone, Weights: c.weights, Slots: cap(c.slots),
		Busy: len(c.slots), Queued: c.waiting, Draining: c.drain, FencingToken: c.fence, ClockUs: c.life.Clock.Now().Microseconds(), KVTokens: used, KVCapacity: room}
}

func (c *Cab) state(w http.ResponseWriter, _ *http.Request) { contract.WriteJSON(w, 200, c.now()) }

func (c *Cab) kept(w http.ResponseWriter, r *http.Request) {
	if c.mute {
		contract.WriteJSON(w, 503, map[string]string{"error": "no reports today"})
		return
	}
	until := c.life.Clock.Now() - c.late
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	rep := c.kv.Reports(after, r.URL.Query().Get("whole") == "true", until)
	rep.Incarnation = c.inc
	contract.WriteJSON(w, 200, rep)
}

func (c *Cab) journal(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	l := make([]Run, 0, len(c.runs))
	for _, r := range c.runs {
		l = append(l, *r)
	}
	c.mu.Unlock()
	contract.WriteJSON(w, 200, l)
}

// order obeys the latest fence alone.
func (c *Cab) order(w http.ResponseWriter, r *http.Request) {
	var o contract.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, 4096)).Decode(&o); err != nil {
		contract.WriteJSON(w, 400, contract.Rejection{NotExecuted: true, Reason: "bad"})
		return
	}
	c.mu.Lock()
	if o.FencingToken < c.fence {
		f := c.fence
		c.mu.Unlock()
		contract.WriteJSON(w, 409, contract.Rejection{NotExecuted: true, Reason: "fence", FencingToken: f})
		return
	}
	c.fence = o.FencingToken
	if why := c.stale(&o); why != "" {
		c.mu.Unlock()
		contract.WriteJSON(w, 409, contract.Rejection{NotExecuted: true, Reason: why, FencingToken: o.FencingToken})
		return
	}
	_ = c.write(&Run{Weights: o.Weights, AtMs: c.life.WallClock().UnixMilli(), Fence: o.FencingToken, Holder: o.Holder, Kind: o.Kind, Model: o.Model, Adapter: o.Adapter, Build: o.Build}) // logged there; the order is obeyed all the same
	if why := c.remember(&o); why != "" {
		c.mu.Unlock()
		contract.WriteJSON(w, 409, contract.Rejection{NotExecuted: true, Reason: why, FencingToken: o.FencingToken})
		return
	}
	if o.Kind == "weights" && (o.Model == "" || o.Model == c.model) && o.Weights > c.weights && c.lie != "deaf" {
		c.weights = o.Weights
		c.kv.Clear()
		c.life.Log.Info("weights loaded", "weights", o.Weights)
	}
	c.mu.Unlock()
	contract.WriteJSON(w, 200, c.now())
}

func (c *Cab) give(w http.ResponseWriter, r *http.Request) {
	n, ok := c.kv.Has(r.PathValue("key"))
	if !ok {
		contract.WriteJSON(w, 404, map[string]string{"error": "not held"})
		return
	}
	contract.WriteJSON(w, 200, contract.CachedPrefix{Key: r.PathValue("key"), Tokens: n})
}

func (c *Cab) take(w http.ResponseWriter, r *http.Request) {
	var k contract.CachedPrefix
	if err := json.NewDecoder(io.LimitReader(r.Body, 4096)).Decode(&k); err != nil || k.Key != r.PathValue("key") || k.Tokens <= 0 {
		contract.WriteJSON(w, 400, map[string]string{"error": "give k and n"})
		return
	}
	c.kv.Keep(k.Key, k.Tokens)
	contract.WriteJSON(w, 200, k)
}

// start is one go, from refusal to seal.
func (c *Cab) start(w http.ResponseWriter, r *http.Request) {
	var s contract.StartRequest
	deny := func(code int, why string) {
		contract.WriteJSON(w, code, contract.Rejection{RequestID: s.RequestID, NotExecuted: true, Reason: why})
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&s); err != nil || len(s.Parts) == 0 || s.RequestID == "" {
		deny(400, "bad")
		return
	}
	c.mu.Lock()
	switch {
	case c.drain:
		c.mu.Unlock()
		deny(409, "draining")
		return
	case c.lacks(&s) != "":
		why := c.lacks(&s)
		c.mu.Unlock()
		deny(409, why)
		return
	case c.waiting >= c.room:
		c.mu.Unlock()
		deny(409, "full")
		return
	}
	c.waiting++
	c.busy[s.Model]++
	c.mu.Unlock()
	defer func() { c.mu.Lock(); c.busy[s.Model]--; c.mu.Unlock() }()
	left := time.Duration(s.WaitMs) * time.Millisecond
	if s.BeginByUs > 0 {
		left = min(left, time.Duration(s.BeginByUs)*time.Microsecond-c.life.Clock.Now())
	}
	ctx, end := context.WithTimeout(r.Context(), left)
	got := c.hold(ctx, c.slots)
	c.mu.Lock()
	c.waiting--
	c.mu.Unlock()
	if got {
		defer func() { <-c.slots }()
		got = c.run(ctx, w, r, &s, deny)
	}
	if end(); !got {
		deny(409, "full")
	}
}

// write adds a line to the journal, where there is one.
func (c *Cab) write(run *Run) error {
	if c.file == nil {
		return nil
	}
	err := json.NewEncoder(c.file).Encode(run)
	if err != nil {
		c.life.Log.Error("journal", "error", err)
	}
	return err
}

// begin writes down that a request starts now, right before its prefill, or says why it may
// not: all that it depends on is looked at once more.
func (c *Cab) begin(s *contract.StartRequest) (*Run, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if why := c.lacks(s); why != "" {
		return nil, why
	}
	if why := s.Refusal(c.inc, c.life.Clock.Now()); why != "" {
		return nil, why
	}
	run := &Run{RequestID: s.RequestID, Once: s.AtMostOnce, Model: s.Model, Adapter: s.Adapter, Build: s.Build, Weights: s.Weights, AtMs: c.life.WallClock().UnixMilli()}
	if c.write(run) != nil {
		return nil, "full" // what can't be written down isn't begun
	}
	c.lies(run)
	if c.runs = append(c.runs, run); len(c.runs) > maxRuns {
		c.runs = c.runs[1:]
	}
	return run, ""
}
