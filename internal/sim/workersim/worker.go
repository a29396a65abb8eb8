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

// Speed holds the simulated durations of prefills and decoding, and the speed at which prefixes are fetched.
type Speed struct {
	FixedUs                  float64 // part of a prefill's duration that doesn't depend on its length, in microseconds
	TokenUs                  float64 // time that each token adds to a prefill, in microseconds
	SquareUs                 float64 // time that a prefill takes in addition per square of its number of tokens, in microseconds
	ChunkUs                  float64 // duration of decoding one chunk, in microseconds
	LinkTokensPerSecond      float64 // transfer speed of prefixes from a worker or the prompt store in the same zone
	CrossZoneTokensPerSecond float64 // transfer speed of prefixes from another zone
}

// Prefill returns the simulated duration of the prefill of a number of tokens.
//
// Example: speed.Prefill(4000)
func (s Speed) Prefill(tokens int) time.Duration {
	n := float64(tokens)
	return time.Duration((s.FixedUs + s.TokenUs*n + s.SquareUs*n*n) * 1000)
}

// Run is one line of a worker's journal: a request that the worker started, or an order of the control plane that
// passed the checks of its fencing token, incarnation and step.
type Run struct {
	RequestID       string `json:"request_id"`
	Once            bool   `json:"once"`
	Weights         uint64 `json:"weights"`
	AtMs            int64  `json:"at_ms"`
	Ended           string `json:"ended"` // how the response ended: EndedSealed (sent completely) or EndedInterrupted; empty: the request hasn't ended, or the entry is from the journal file, which is written when the request starts
	CachedTokens    int    `json:"hit"`
	FetchedTokens   int    `json:"fetched"`
	PrefilledTokens int    `json:"prefilled"`
	Model           string `json:"model,omitempty"`
	Adapter         string `json:"adapter,omitempty"`
	Build           uint64 `json:"build,omitempty"`
	FencingToken    uint64 `json:"fence,omitempty"` // fencing token of an accepted order; 0: the entry is a request
	Lease           string `json:"lease,omitempty"` // lease that FencingToken belongs to
	Kind            string `json:"kind,omitempty"`  // kind of an accepted order
	Holder          string `json:"holder,omitempty"`
}

// Values of Run.Ended: how a request ended.
const (
	EndedSealed      = "sealed" // the response was sent completely, with its checksum in the last line
	EndedInterrupted = "broken" // the client disconnected before the last line of the response
)

const (
	maxRuns      = 100000  // number of latest requests that GET /v1/runs returns
	maxBody      = 4 << 20 // maximum size of a start request's body in bytes
	maxSmallBody = 4096    // maximum size of any other HTTP body in bytes
)

// Worker is a simulated language-model worker.
type Worker struct {
	process       *daemon.Process
	incarnation   string
	cache         *Cache
	speed         Speed
	slots         chan struct{} // semaphore: one element per running request
	prefill       chan struct{} // semaphore of capacity 1: one prefill runs at a time
	waiting       int           // number of requests that wait for a slot
	queueCapacity int
	mu            sync.Mutex
	model         string // first base model in memory; empty: none
	weights       uint64
	memory
	fencingTokens    fencingTokens
	draining         bool
	runs             []*Run
	random           *rand.Rand
	dropReportRatio  float64
	withholdsReports bool
	reportDelay      time.Duration // time after which a closed cache report can be read
	injectedFault    string        // fault that tests inject into the worker, one of those in plantedfaults.go; empty: none
	client           *http.Client
	journalFile      io.Writer // journal of the started requests and accepted orders; nil: the worker keeps none
}

// numberOption returns the number in a process's option, or the default if the option is missing or not a number.
func numberOption(process *daemon.Process, key string, defaultValue float64) float64 {
	v, err := strconv.ParseFloat(process.Settings.Option(key, ""), 64)
	if err != nil {
		return defaultValue
	}
	return v
}

// Start starts a simulated worker and serves its HTTP interface.
//
// Example: daemon.Main(programs.WorkerSim, "a simulated worker", need, workersim.Start)
func Start(process *daemon.Process) error {
	worker, err := openWorker(process)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", worker.serveState)
	mux.HandleFunc("POST /v1/start", worker.serveStart)
	mux.HandleFunc("GET /v1/kept", worker.serveCacheReports)
	mux.HandleFunc("POST /v1/order", worker.serveOrder)
	mux.HandleFunc("GET /v1/runs", worker.serveRuns)
	mux.HandleFunc("GET /kv/{key}", worker.serveCachedPrefix)
	mux.HandleFunc("PUT /kv/{key}", worker.storeCachedPrefix)
	process.Every(time.Duration(numberOption(process, "report_ms", 500))*time.Millisecond, func() {
		worker.mu.Lock()
		drop := worker.random.Float64() < worker.dropReportRatio
		worker.mu.Unlock()
		worker.cache.CloseReport(drop, process.Clock.Now())
	})
	process.Go(func() { <-process.Draining; worker.mu.Lock(); worker.draining = true; worker.mu.Unlock() })
	if err := process.Serve(process.Settings.Public, mux); err != nil {
		return err
	}
	process.Ready.Store(true)
	return nil
}

// openWorker returns a worker that is configured by the options of its process. It fails with errs.BadInput if an
// option is malformed or the journal can't be opened.
func openWorker(process *daemon.Process) (*Worker, error) {
	worker := &Worker{
		fencingTokens:    fencingTokens{},
		process:          process,
		incarnation:      fmt.Sprintf("%s/%x", process.Settings.Name, process.WallClock().UnixNano()),
		cache:            NewCache(int(numberOption(process, "kv", 40000))),
		speed:            speedOptions(process),
		slots:            make(chan struct{}, int(numberOption(process, "slots", 4))),
		prefill:          make(chan struct{}, 1),
		queueCapacity:    int(numberOption(process, "room", 12)),
		model:            process.Settings.Option("model", ""),
		weights:          uint64(numberOption(process, "weights", 1)),
		dropReportRatio:  numberOption(process, "drop", 0),
		withholdsReports: process.Settings.Option("mute", "") == "yes",
		reportDelay:      time.Duration(numberOption(process, "late_ms", 0)) * time.Millisecond,
		injectedFault:    process.Settings.Option("lie", ""),
		random:           rand.New(rand.NewPCG(fnv64(process.Settings.Name), 7)),
		client:           &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, DialContext: process.Dial}},
	}
	process.OnStop(worker.client.CloseIdleConnections)
	if err := worker.loadInitialModels(); err != nil {
		return nil, err
	}
	if file := process.Settings.Option("journal", ""); file != "" {
		var err error
		if worker.journalFile, err = process.Journal(file); err != nil {
			return nil, errs.WrapAs(err, errs.BadInput, "open worker's journal "+file)
		}
	}
	return worker, nil
}

// speedOptions returns the simulated durations and link speeds that a process's options set.
func speedOptions(process *daemon.Process) Speed {
	return Speed{
		FixedUs:                  numberOption(process, "fixed_us", 2000),
		TokenUs:                  numberOption(process, "token_us", 40),
		SquareUs:                 numberOption(process, "square_us", 0.004),
		ChunkUs:                  numberOption(process, "piece_us", 3000),
		LinkTokensPerSecond:      numberOption(process, "link", 100000),
		CrossZoneTokensPerSecond: numberOption(process, "far", 60000),
	}
}

// fnv64 returns the FNV-1a hash of a text with a non-standard offset basis. It must not change: a worker's random
// numbers are seeded with it.
func fnv64(s string) uint64 {
	var x uint64 = 1469598103934665603
	for _, b := range []byte(s) {
		x = (x ^ uint64(b)) * 1099511628211
	}
	return x
}

func (w *Worker) workerState() contract.WorkerState {
	w.mu.Lock()
	defer w.mu.Unlock()
	used, capacity := w.cache.Used()
	return contract.WorkerState{
		Name:               w.process.Settings.Name,
		Incarnation:        w.incarnation,
		Service:            w.process.Settings.Option("service", ""),
		Loaded:             w.loadedModels(),
		Loading:            w.loading,
		WeightMemoryMB:     w.totalMB,
		FreeWeightMemoryMB: w.freeMemoryMB(),
		Model:              w.model,
		Zone:               w.process.Settings.Zone,
		Weights:            w.weights,
		Slots:              cap(w.slots),
		Busy:               len(w.slots),
		Queued:             w.waiting,
		Draining:           w.draining,
		FencingToken:       w.fencingTokens.highest(),
		ClockUs:            w.process.Clock.Now().Microseconds(),
		KVTokens:           used,
		KVCapacity:         capacity,
	}
}

func (w *Worker) serveState(rw http.ResponseWriter, _ *http.Request) {
	contract.WriteJSON(rw, 200, w.workerState())
}

func (w *Worker) serveCacheReports(rw http.ResponseWriter, r *http.Request) {
	if w.withholdsReports {
		contract.WriteJSON(rw, 503, map[string]string{"error": "cache reports are withheld by option mute"})
		return
	}
	until := w.process.Clock.Now() - w.reportDelay
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	reports := w.cache.Reports(after, r.URL.Query().Get("whole") == "true", until)
	reports.Incarnation = w.incarnation
	contract.WriteJSON(rw, 200, reports)
}

func (w *Worker) serveRuns(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	runs := make([]Run, 0, len(w.runs))
	for _, run := range w.runs {
		runs = append(runs, *run)
	}
	w.mu.Unlock()
	contract.WriteJSON(rw, 200, runs)
}

// serveOrder executes an order of the control plane. It rejects the order if the worker has received a higher fencing
// token of the same lease.
func (w *Worker) serveOrder(writer http.ResponseWriter, r *http.Request) {
	var order contract.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxSmallBody)).Decode(&order); err != nil {
		contract.WriteJSON(writer, 400, contract.Rejection{NotExecuted: true, Reason: "bad"})
		return
	}
	if reason, fencingToken := w.handleOrder(&order); reason != "" {
		contract.WriteJSON(writer, 409, contract.Rejection{NotExecuted: true, Reason: reason, FencingToken: fencingToken})
		return
	}
	contract.WriteJSON(writer, 200, w.workerState())
}

// handleOrder executes an order, or returns the reason why it is rejected and the highest fencing token received under
// the order's lease.
func (w *Worker) handleOrder(order *contract.Order) (reason string, fencingToken uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.fencingTokens.accept(order.Lease, order.FencingToken) {
		return "fence", w.fencingTokens[order.Lease]
	}
	if reason := w.rejectStale(order); reason != "" {
		return reason, order.FencingToken
	}
	_ = w.writeJournal(&Run{Weights: order.Weights, AtMs: w.process.WallClock().UnixMilli(), FencingToken: order.FencingToken, Lease: order.Lease, Holder: order.Holder, Kind: order.Kind, Model: order.Model, Adapter: order.Adapter, Build: order.Build}) // writeJournal logs a failure; the order is executed nevertheless
	if reason := w.executeOrder(order); reason != "" {
		return reason, order.FencingToken
	}
	if order.Kind == "weights" && (order.Model == "" || order.Model == w.model) && order.Weights > w.weights && w.injectedFault != faultIgnoresWeights {
		w.weights = order.Weights
		w.cache.Clear()
		w.process.Log.Info("weights loaded", "weights", order.Weights)
	}
	return "", order.FencingToken
}

func (w *Worker) serveCachedPrefix(rw http.ResponseWriter, r *http.Request) {
	n, ok := w.cache.Lookup(r.PathValue("key"))
	if !ok {
		contract.WriteJSON(rw, 404, map[string]string{"error": "prefix is not cached"})
		return
	}
	contract.WriteJSON(rw, 200, contract.CachedPrefix{Key: r.PathValue("key"), Tokens: n})
}

func (w *Worker) storeCachedPrefix(rw http.ResponseWriter, r *http.Request) {
	var entry contract.CachedPrefix
	if err := json.NewDecoder(io.LimitReader(r.Body, maxSmallBody)).Decode(&entry); err != nil || entry.Key != r.PathValue("key") || entry.Tokens <= 0 {
		contract.WriteJSON(rw, 400, map[string]string{"error": "body must have k, the key in the path, and n, a positive number of tokens"})
		return
	}
	w.cache.Store(entry.Key, entry.Tokens)
	contract.WriteJSON(rw, 200, entry)
}

// serveStart admits a start request to the queue, waits for a free slot and executes the request.
func (w *Worker) serveStart(writer http.ResponseWriter, httpRequest *http.Request) {
	var request contract.StartRequest
	reject := func(code int, reason string) {
		contract.WriteJSON(writer, code, contract.Rejection{RequestID: request.RequestID, NotExecuted: true, Reason: reason})
	}
	if err := json.NewDecoder(io.LimitReader(httpRequest.Body, maxBody)).Decode(&request); err != nil || len(request.Parts) == 0 || request.RequestID == "" {
		reject(400, "bad")
		return
	}
	if reason := w.admit(&request); reason != "" {
		reject(409, reason)
		return
	}
	defer func() { w.mu.Lock(); w.busy[request.Model]--; w.mu.Unlock() }()
	remaining := time.Duration(request.WaitMs) * time.Millisecond
	if request.BeginByUs > 0 {
		remaining = min(remaining, time.Duration(request.BeginByUs)*time.Microsecond-w.process.Clock.Now())
	}
	ctx, cancel := context.WithTimeout(httpRequest.Context(), remaining)
	acquired := w.acquire(ctx, w.slots)
	w.mu.Lock()
	w.waiting--
	w.mu.Unlock()
	if acquired {
		defer func() { <-w.slots }()
		acquired = w.run(ctx, writer, httpRequest, &request, reject)
	}
	if cancel(); !acquired {
		reject(409, "full")
	}
}

// admit counts a request as queued, or returns the reason why it is rejected.
func (w *Worker) admit(request *contract.StartRequest) (reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.draining {
		return "draining"
	}
	if reason := w.missing(request); reason != "" {
		return reason
	}
	if w.waiting >= w.queueCapacity {
		return "full"
	}
	w.waiting++
	w.busy[request.Model]++
	return ""
}

// writeJournal appends an entry to the worker's journal, if it keeps one. A failure is also logged.
func (w *Worker) writeJournal(run *Run) error {
	if w.journalFile == nil {
		return nil
	}
	err := json.NewEncoder(w.journalFile).Encode(run)
	if err != nil {
		w.process.Log.Error("journal", "error", err)
	}
	return err
}

// beginRun writes the journal entry of a request right before its prefill. It first checks again that the request may
// start; if a condition no longer holds since the admission, it returns the reason and a nil Run.
func (w *Worker) beginRun(request *contract.StartRequest) (*Run, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reason := w.missing(request); reason != "" {
		return nil, reason
	}
	if reason := request.Refusal(w.incarnation, w.process.Clock.Now()); reason != "" {
		return nil, reason
	}
	run := &Run{RequestID: request.RequestID, Once: request.AtMostOnce, Model: request.Model, Adapter: request.Adapter, Build: request.Build, Weights: request.Weights, AtMs: w.process.WallClock().UnixMilli()}
	if w.writeJournal(run) != nil {
		return nil, "full" // a request without a journal entry must not be started
	}
	w.journalSecondRun(run)
	if w.runs = append(w.runs, run); len(w.runs) > maxRuns {
		w.runs = w.runs[1:]
	}
	return run, ""
}
