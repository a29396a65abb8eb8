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

type rate struct{ v atomic.Uint64 }

func (r *rate) Load() float64   { return math.Float64frombits(r.v.Load()) }
func (r *rate) Store(f float64) { r.v.Store(math.Float64bits(f)) }

// Proxy is one edge proxy.
type Proxy struct {
	process *daemon.Process
	b       settings.Bounds
	clk     clock.Clock
	fol     *updatestream.Follower
	gate    *queue.Actor[gate]
	index   *index
	claims  claims
	be      *contract.Backends
	curve   placement.Curve
	near    rate
	far     rate
	storeB  rate
	stats   stats
	log     *queue.Ring[*wire.Decision]
}

// stats counts what the sealed lines have said.
type stats struct{ sealed, hit, fetched, prefilled, extra, broken atomic.Int64 }

func (s *stats) add(p *contract.Piece) {
	s.sealed.Add(1)
	s.hit.Add(int64(p.Hit))
	s.fetched.Add(int64(p.Fetched))
	s.prefilled.Add(int64(p.Prefilled))
}

// Start runs the edge proxy.
//
// Example: daemon.Main("dispatcher", "edge proxy", need, callerproxy.Start)
func Start(l *daemon.Process) error {
	d := &Proxy{process: l, b: l.Place.Bounds, clk: l.Clock, be: contract.NewBackends(l.Dial), curve: placement.Default(), log: queue.NewRing[*wire.Decision](512)}
	d.near.Store(50000)
	d.far.Store(50000)
	d.storeB.Store(50000)
	d.gate = queue.NewActor(newGate(), 4096)
	l.OnStop(d.gate.Stop)
	l.OnStop(d.be.Close)
	d.index = newIndex(l, d.clk)
	calls := daemon.NewClients(l)
	d.fol = updatestream.Follow(l.Ctx, d.clk, l.Log, func() wire.NodeAgent { return calls.NodeAgent(l.Place.Runner) }, d.b.Config(0.1), d.report, func(s *updatestream.Snapshot) {
		d.index.follow(s.Nodes)
		l.Ready.Store(s.Fresh(d.clk.Now(), d.b.Config(0.8)))
	})
	d.claims = newClaimer(l, d.fol.Snapshot, calls, l.Seed())
	srv, err := caller.NewServer(d, caller.WithErrorHandler(turnAway))
	if err != nil {
		return errs.Wrap(err, "caller API")
	}
	body := int64(d.b.BodyKB)<<10 + int64(d.b.BodyKB)<<9 // JSON escapes take room
	l.Go(func() { d.open(http.MaxBytesHandler(flushing(srv), body)) })
	d.meters(l.Meter)
	return l.Serve(l.Place.Listen, http.NewServeMux())
}

// open takes callers in once there is a proved configuration with workers: before that they are
// better refused a connection, and ask another edge.
func (d *Proxy) open(h http.Handler) {
	t := clock.NewTicker(d.b.Config(0.02))
	defer t.Stop()
	for {
		s := d.fol.Snapshot()
		if s.Fresh(d.clk.Now(), d.b.Config(0.8)) && up(s) {
			break
		}
		select {
		case <-d.process.Ctx.Done():
			return
		case <-t.C:
		}
	}
	if err := d.process.Serve(d.process.Place.Public, h); err != nil {
		d.process.Log.Error("callers can't be taken in", "error", errs.Text(err))
	}
}

// up reports whether any service that a route leads to has a worker up.
func up(s *updatestream.Snapshot) bool {
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

func (d *Proxy) stopping() bool {
	select {
	case <-d.process.Draining:
		return true
	default:
		return false
	}
}

// retries is a service's budget of attempts beyond the first.
func (d *Proxy) retries(g *gate, service string) *retrybudget.Budget {
	b := g.retries[service]
	if b == nil {
		b = retrybudget.New(float64(d.b.TryShare) / 100)
		g.retries[service] = b
	}
	return b
}

// allowance is this edge's share of the extra attempts that a service may save up. Edges that are
// gone count too, as long as they are remembered: one that is only cut off has its share still.
func (d *Proxy) allowance(g *gate, s *updatestream.Snapshot) float64 {
	g.edges = max(g.edges, edges(s, true))
	return retrybudget.Share(float64(d.b.TryAllow), g.edges)
}

// edges counts the edge machines that a snapshot knows; gone ones where asked for.
func edges(s *updatestream.Snapshot, gone bool) (n int) {
	for _, x := range s.Nodes {
		if x.Role == "runner" && (gone || x.State < clustermembership.Gone) {
			n++
		}
	}
	return n
}

// report hands the runner what the attempts since the last time have shown, and why they went
// where they went.
func (d *Proxy) report(a *wire.FeedRequest) {
	d.gate.Ask(func(g *gate) {
		for k, r := range g.reports {
			a.Attempts = append(a.Attempts, r)
			delete(g.reports, k)
		}
	})
	a.Decisions = d.log.Drain(256)
}

// learn takes what a fetch has shown of its link.
func (d *Proxy) learn(g *gate, s *updatestream.Snapshot, p *contract.Piece, zone string) {
	class, to := "far", &d.far
	for _, w := range s.Workers {
		if w.Addr != p.FetchAddr {
			continue
		}
		if w.Kind == "store" {
			class, to = "store", &d.storeB
		} else if w.Zone == zone {
			class, to = "near", &d.near
		}
	}
	took := time.Duration(p.FetchUs) * time.Microsecond
	g.link(class, p.Fetched, took)
	to.Store(0.9*to.Load() + 0.1*float64(p.Fetched)/took.Seconds())
}

// NewError turns an error into its typed answer, with the time to come back.
//
// Example: d.NewError(ctx, errs.New(errs.BadKey, "the key is not in force"))
func (d *Proxy) NewError(_ context.Context, err error) *caller.DeniedStatusCodeWithHeaders {
	t := typed(err)
	d.process.Meter.Rejected(errs.Named(t.Response.Kind))
	return t
}

func typed(err error) *caller.DeniedStatusCodeWithHeaders {
	k := errs.KindOf(err)
	r := &caller.DeniedStatusCodeWithHeaders{StatusCode: k.HTTP, Response: caller.Denial{Kind: k.Name, Message: err.Error(), Remedy: k.Remedy}}
	var x rejection
	if errors.As(err, &x) {
		k = errs.KindOf(x.error)
		r.StatusCode, r.Response.Kind, r.Response.Remedy = k.HTTP, k.Name, k.Remedy
		r.Response.RequestID = caller.NewOptString(x.id)
		if x.back > 0 {
			r.Response.RetryAfterMs = int(x.back.Milliseconds())
			r.RetryAfter = caller.NewOptInt(int(math.Ceil(x.back.Seconds())))
		}
	}
	return r
}

// turnAway answers what never reached Answer, and breaks what had begun.
func turnAway(ctx context.Context, w http.ResponseWriter, r *http.Request, err error) {
	if f, ok := ctx.Value(flusher{}).(*flusher); ok && f.begun {
		panic(http.ErrAbortHandler) // the caller must see that the stream is broken
	}
	k := errs.BadInput
	var tooBig *http.MaxBytesError
	if errors.As(err, &tooBig) {
		k = errs.TooBig
	} else if ogenerrors.ErrorCode(err) >= 500 {
		k = errs.Inside
	}
	t := typed(errs.As(err, k, "request"))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(t.StatusCode)
	_ = json.NewEncoder(w).Encode(&t.Response) // a caller that hung up can't be told
}

// flusher sends every piece on as it comes.
type flusher struct {
	http.ResponseWriter
	begun bool
}

// WriteHeader notes that the answer has begun.
//
// Example: w.WriteHeader(200)
func (f *flusher) WriteHeader(c int) { f.begun = true; f.ResponseWriter.WriteHeader(c) }

// Write writes and flushes.
//
// Example: w.Write(line)
func (f *flusher) Write(p []byte) (int, error) {
	f.begun = true
	n, err := f.ResponseWriter.Write(p)
	if err == nil {
		err = http.NewResponseController(f.ResponseWriter).Flush()
	}
	return n, err
}

func flushing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := &flusher{ResponseWriter: w} // others may wrap it: whether it has begun is asked by way of the context
		h.ServeHTTP(f, r.WithContext(context.WithValue(r.Context(), flusher{}, f)))
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

func (d *Proxy) decided(id string, s *updatestream.Snapshot, c Choice) {
	x := Decision{Request: id, Worker: c.Worker.Name, Config: s.ConfigVersion, Hit: c.Hit, Fetch: c.Fetch, WaitUs: c.Wait, CostUs: c.Cost, Hot: c.Hot, Home: c.Home, SaveTo: c.Saves,
		Session: c.Session, Fetches: c.Fetches, Machine: d.process.Place.Name}
	if p := s.Placements[c.Worker.Service]; p != nil {
		x.Placement = p.Epoch
	}
	body, err := json.Marshal(x)
	if err == nil {
		d.log.Offer(&wire.Decision{RequestId: id, Body: body}) // when it is full, this one isn't explained
	}
}
