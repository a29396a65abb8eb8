package callerproxy

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ogen-go/ogen/ogenerrors"

	"pebbleloom/api/caller"
	"pebbleloom/internal/clock"
	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/data/retrybudget"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

type atomicFloat struct{ v atomic.Uint64 }

func (r *atomicFloat) Load() float64   { return math.Float64frombits(r.v.Load()) }
func (r *atomicFloat) Store(f float64) { r.v.Store(math.Float64bits(f)) }

// Proxy is one edge proxy.
type Proxy struct {
	process        *daemon.Process
	bounds         settings.Bounds
	clock          clock.Clock
	follower       *updatestream.Follower
	traffic        *queue.Actor[trafficTable]
	index          *promptIndex
	claims         onceClaims
	backends       *contract.Backends
	prefillCurve   placement.Curve
	nearBandwidth  atomicFloat
	farBandwidth   atomicFloat
	storeBandwidth atomicFloat
	stats          stats
	decisions      *queue.Ring[*wire.Decision]
}

// stats counts what the sealed lines have said.
type stats struct{ sealed, hitTokens, fetchedTokens, prefilledTokens, retries, interrupted atomic.Int64 }

func (s *stats) add(p *contract.Chunk) {
	s.sealed.Add(1)
	s.hitTokens.Add(int64(p.CachedTokens))
	s.fetchedTokens.Add(int64(p.FetchedTokens))
	s.prefilledTokens.Add(int64(p.PrefilledTokens))
}

// Start runs the edge proxy.
//
// Example: daemon.Main("dispatcher", "edge proxy", need, callerproxy.Start)
func Start(l *daemon.Process) error {
	d := &Proxy{process: l, bounds: l.Settings.Bounds, clock: l.Clock, backends: contract.NewBackends(l.Dial), prefillCurve: placement.Default(), decisions: queue.NewRing[*wire.Decision](512)}
	d.nearBandwidth.Store(50000)
	d.farBandwidth.Store(50000)
	d.storeBandwidth.Store(50000)
	d.traffic = queue.NewActor(newTrafficTable(), 4096)
	l.OnStop(d.traffic.Stop)
	l.OnStop(d.backends.Close)
	d.index = newPromptIndex(l, d.clock)
	calls := daemon.NewClients(l)
	d.follower = updatestream.Follow(l.Ctx, d.clock, l.Log, func() wire.NodeAgent { return calls.NodeAgent(l.Settings.NodeAgent) }, d.bounds.Config(0.1), d.fillReport, func(s *updatestream.Snapshot) {
		d.index.updateShards(s.Nodes)
		l.Ready.Store(s.IsFresh(d.clock.Now(), d.bounds.Config(0.8)))
	})
	d.claims = newClaimer(l, d.follower.Snapshot, calls, l.Seed())
	srv, err := caller.NewServer(d, caller.WithErrorHandler(handleRequestError))
	if err != nil {
		return errs.Wrap(err, "caller API")
	}
	body := int64(d.bounds.MaxBodyKB)<<10 + int64(d.bounds.MaxBodyKB)<<9 // JSON escapes take room
	l.Go(func() { d.serveCallers(http.MaxBytesHandler(flushEveryWrite(srv), body)) })
	d.registerMetrics(l.Meter)
	return l.Serve(l.Settings.Listen, http.NewServeMux())
}

// serveCallers takes callers in once there is a proved configuration with workers: before that they are
// better refused a connection, and ask another edge.
func (d *Proxy) serveCallers(h http.Handler) {
	t := clock.NewTicker(d.bounds.Config(0.02))
	defer t.Stop()
	for {
		s := d.follower.Snapshot()
		if s.IsFresh(d.clock.Now(), d.bounds.Config(0.8)) && hasRoutedWorker(s) {
			break
		}
		select {
		case <-d.process.Ctx.Done():
			return
		case <-t.C:
		}
	}
	if err := d.process.Serve(d.process.Settings.Public, h); err != nil {
		d.process.Log.Error("callers can't be taken in", "error", errs.Text(err))
	}
}

// hasRoutedWorker reports whether any service that a route leads to has a worker up.
func hasRoutedWorker(s *updatestream.Snapshot) bool {
	has := map[string]bool{}
	for _, w := range s.Workers {
		has[w.Service] = has[w.Service] || w.State == updatestream.WorkerUp
	}
	for _, w := range s.Config.Routes {
		if has[w.Service] {
			return true
		}
	}
	return false
}

func (d *Proxy) isDraining() bool {
	select {
	case <-d.process.Draining:
		return true
	default:
		return false
	}
}

// retryBudget is a service's budget of attempts beyond the first.
func (d *Proxy) retryBudget(g *trafficTable, service string) *retrybudget.Budget {
	b := g.retryBudgets[service]
	if b == nil {
		b = retrybudget.New(float64(d.bounds.RetryPercent) / 100)
		g.retryBudgets[service] = b
	}
	return b
}

// retryAllowance is this edge's share of the extra attempts that a service may save up. Edges that are
// gone count too, as long as they are remembered: one that is only cut off has its share still.
func (d *Proxy) retryAllowance(g *trafficTable, s *updatestream.Snapshot) float64 {
	g.maxEdgeNodes = max(g.maxEdgeNodes, countEdgeNodes(s, true))
	return retrybudget.PerNode(float64(d.bounds.RetryAllowance), g.maxEdgeNodes)
}

// countEdgeNodes counts the edge machines that a snapshot knows; gone ones where asked for.
func countEdgeNodes(s *updatestream.Snapshot, gone bool) (n int) {
	for _, x := range s.Nodes {
		if x.Role == "runner" && (gone || x.State < clustermembership.Dead) {
			n++
		}
	}
	return n
}

// fillReport hands the runner what the attempts since the last time have shown, and why they went
// where they went.
func (d *Proxy) fillReport(a *wire.FeedRequest) {
	d.traffic.Ask(func(g *trafficTable) {
		for k, r := range g.reports {
			a.Attempts = append(a.Attempts, r)
			delete(g.reports, k)
		}
	})
	a.Decisions = d.decisions.Drain(256)
}

// learnBandwidth takes what a fetch has shown of its link.
func (d *Proxy) learnBandwidth(g *trafficTable, s *updatestream.Snapshot, p *contract.Chunk, zone string) {
	class, to := "far", &d.farBandwidth
	for _, w := range s.Workers {
		if w.Addr != p.FetchAddr {
			continue
		}
		if w.Kind == "store" {
			class, to = "store", &d.storeBandwidth
		} else if w.Zone == zone {
			class, to = "near", &d.nearBandwidth
		}
	}
	took := time.Duration(p.FetchUs) * time.Microsecond
	g.recordTransfer(class, p.FetchedTokens, took)
	to.Store(0.9*to.Load() + 0.1*float64(p.FetchedTokens)/took.Seconds())
}

// NewError turns an error into its typed answer, with the time to come back.
//
// Example: d.NewError(ctx, errs.New(errs.BadKey, "the key is not in force"))
func (d *Proxy) NewError(_ context.Context, err error) *caller.DeniedStatusCodeWithHeaders {
	t := errorResponse(err)
	d.process.Meter.Rejected(errs.KindNamed(t.Response.Kind))
	return t
}

func errorResponse(err error) *caller.DeniedStatusCodeWithHeaders {
	k := errs.KindOf(err)
	r := &caller.DeniedStatusCodeWithHeaders{StatusCode: k.HTTPStatus, Response: caller.Denial{Kind: k.Name, Message: err.Error(), Remedy: k.Remedy}}
	var x rejection
	if errors.As(err, &x) {
		k = errs.KindOf(x.error)
		r.StatusCode, r.Response.Kind, r.Response.Remedy = k.HTTPStatus, k.Name, k.Remedy
		r.Response.RequestID = caller.NewOptString(x.requestID)
		if x.retryAfter > 0 {
			r.Response.RetryAfterMs = int(x.retryAfter.Milliseconds())
			r.RetryAfter = caller.NewOptInt(int(math.Ceil(x.retryAfter.Seconds())))
		}
	}
	return r
}

// handleRequestError answers what never reached Answer, and breaks what had begun.
func handleRequestError(ctx context.Context, w http.ResponseWriter, r *http.Request, err error) {
	if f, ok := ctx.Value(flushingWriter{}).(*flushingWriter); ok && f.started {
		panic(http.ErrAbortHandler) // the caller must see that the stream is broken
	}
	k := errs.BadInput
	var tooBig *http.MaxBytesError
	if errors.As(err, &tooBig) {
		k = errs.TooLarge
	} else if ogenerrors.ErrorCode(err) >= 500 {
		k = errs.Internal
	}
	t := errorResponse(errs.WrapAs(err, k, "request"))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(t.StatusCode)
	_ = json.NewEncoder(w).Encode(&t.Response) // a caller that hung up can't be told
}

// flushingWriter sends every piece on as it comes.
type flushingWriter struct {
	http.ResponseWriter
	started bool
}

// WriteHeader notes that the answer has begun.
//
// Example: w.WriteHeader(200)
func (f *flushingWriter) WriteHeader(c int) { f.started = true; f.ResponseWriter.WriteHeader(c) }

// Write writes and flushes.
//
// Example: w.Write(line)
func (f *flushingWriter) Write(p []byte) (int, error) {
	f.started = true
	n, err := f.ResponseWriter.Write(p)
	if err == nil {
		err = http.NewResponseController(f.ResponseWriter).Flush()
	}
	return n, err
}

func flushEveryWrite(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := &flushingWriter{ResponseWriter: w} // others may wrap it: whether it has begun is asked by way of the context
		h.ServeHTTP(f, r.WithContext(context.WithValue(r.Context(), flushingWriter{}, f)))
	})
}

// Decision says why one request went where it went.
type Decision struct {
	Request   string  `json:"request"`
	Worker    string  `json:"worker"`
	Config    uint64  `json:"setup_epoch"`
	Placement uint64  `json:"placement_epoch"`
	Hit       int     `json:"hit_tokens"`
	Fetch     int     `json:"fetch_tokens"`
	WaitUs    float64 `json:"wait_us"`
	CostUs    float64 `json:"cost_us"`
	Hot       bool    `json:"hot"`
	Session   bool    `json:"session"`
	Fetches   string  `json:"fetch_from,omitempty"`
	Machine   string  `json:"machine"`
	Home      string  `json:"home,omitempty"`
	SaveTo    string  `json:"save_to,omitempty"`
}

func (d *Proxy) logDecision(id string, s *updatestream.Snapshot, c Choice) {
	x := Decision{Request: id, Worker: c.Worker.Name, Config: s.ConfigVersion, Hit: c.HitTokens, Fetch: c.FetchTokens, WaitUs: c.WaitUs, CostUs: c.CostUs, Hot: c.Hot, Home: c.PreferredWorker, SaveTo: c.SaveAddrs,
		Session: c.Session, Fetches: c.FetchFrom, Machine: d.process.Settings.Name}
	if p := s.Placements[c.Worker.Service]; p != nil {
		x.Placement = p.Version
	}
	body, err := json.Marshal(x)
	if err == nil {
		d.decisions.Offer(&wire.Decision{RequestId: id, Body: body}) // when it is full, this one isn't explained
	}
}
