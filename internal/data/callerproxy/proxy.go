// Package callerproxy implements the edge proxy for the caller API (api/caller.yaml). It accepts prompts from
// HTTP clients, selects a worker by cached prompt prefixes and load, and streams the worker's response back.
//
// Proxy.Answer handles a request in this order: admit, claimID (at-most-once requests only), queryPromptIndex,
// and then tryWorker, repeated until an attempt has started or the request fails. Each call of tryWorker runs
// resolveRoute, selectWorker, mayStart and startAttempt. Once a response stream has started, every line of it
// is verified, and the request is never retried.
//
// Invariants: a request is served only under a configuration that was recently confirmed to be the latest; an
// at-most-once request starts at most once; and a rejection reports a request as not executed only if that is
// proven.
package callerproxy

import (
	"net/http"

	"pebbleloom/api/caller"
	"pebbleloom/internal/clock"
	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// Capacities of the proxy's in-memory queues, in entries.
const (
	trafficQueueLength  = 4096 // pending commands for the actor that guards the traffic table (Proxy.traffic)
	decisionQueueLength = 512  // routing decisions not yet reported to the node agent; excess ones are dropped
)

const (
	// longPollRatio is how long the node agent may hold a long poll for updates, as a fraction of Bounds.Config,
	// the bound on configuration staleness.
	longPollRatio = 0.1
	// readinessCheckRatio is the interval at which a starting proxy checks whether it can serve clients, as a
	// fraction of Bounds.Config, the bound on configuration staleness.
	readinessCheckRatio = 0.02
)

// Proxy is the edge proxy of one node. It implements the server interface generated from api/caller.yaml.
type Proxy struct {
	process    *daemon.Process
	bounds     settings.Bounds
	clock      clock.Clock
	follower   *updatestream.Follower
	traffic    *queue.Actor[trafficTable]
	index      *promptIndex
	claims     idClaims
	backends   *contract.Backends
	bandwidths bandwidthEstimates
	stats      stats

	prefillCurve placement.Curve             // prefill time by number of tokens, for services whose placement has not been computed
	decisions    *queue.Ring[*wire.Decision] // routing decisions waiting to be reported to the node agent
}

// Start runs the edge proxy until the process stops.
//
// Example: daemon.Main(programs.Proxy, "the edge proxy", required, callerproxy.Start)
func Start(process *daemon.Process) error {
	proxy := &Proxy{
		process:      process,
		bounds:       process.Settings.Bounds,
		clock:        process.Clock,
		backends:     contract.NewBackends(process.Dial),
		prefillCurve: placement.Default(),
		decisions:    queue.NewRing[*wire.Decision](decisionQueueLength),
	}
	proxy.bandwidths.reset()
	proxy.traffic = queue.NewActor(newTrafficTable(proxy.bounds), trafficQueueLength)
	process.OnStop(proxy.traffic.Stop)
	process.OnStop(proxy.backends.Close)
	proxy.index = newPromptIndex(process, proxy.clock)
	rpcClients := daemon.NewClients(process)
	proxy.followNodeAgent(rpcClients)
	proxy.claims = newClaimer(process, proxy.follower.Snapshot, rpcClients, process.Seed())
	apiServer, err := caller.NewServer(proxy, caller.WithErrorHandler(handleRequestError))
	if err != nil {
		return errs.Wrap(err, "create caller API server")
	}
	process.Go(func() { proxy.serveClients(http.MaxBytesHandler(flushEveryWrite(apiServer), proxy.maxRequestBytes())) })
	proxy.registerMetrics(process.Meter)
	return process.Serve(process.Settings.Listen, http.NewServeMux())
}

// followNodeAgent starts long-polling the local node agent for the configuration, workers and cluster nodes, and
// applies each new snapshot.
func (p *Proxy) followNodeAgent(rpcClients *daemon.Clients) {
	nodeAgent := func() wire.NodeAgent { return rpcClients.NodeAgent(p.process.Settings.NodeAgent) }
	onSnapshot := func(snapshot *updatestream.Snapshot) {
		p.index.updateShards(snapshot.Nodes)
		p.process.Ready.Store(p.isFresh(snapshot))
	}
	p.follower = updatestream.Follow(p.process.Ctx, updatestream.Config{
		Clock:        p.clock,
		Log:          p.process.Log,
		NodeAgent:    nodeAgent,
		LongPollTime: p.bounds.Config(longPollRatio),
		AddReports:   p.addReports,
		OnSnapshot:   onSnapshot,
	})
}

// maxRequestBytes returns the size limit of an encoded JSON request: 1.5 times the prompt size limit, to leave
// room for escape sequences.
func (p *Proxy) maxRequestBytes() int64 {
	return int64(p.bounds.MaxBodyKB)<<10 + int64(p.bounds.MaxBodyKB)<<9
}

// serveClients starts the client-facing HTTP listener once the proxy has a fresh configuration with a usable
// worker. Until then connections are refused, so that clients fail over to another edge node immediately.
func (p *Proxy) serveClients(handler http.Handler) {
	ticker := clock.NewTicker(p.bounds.Config(readinessCheckRatio))
	defer ticker.Stop()
	for {
		snapshot := p.follower.Snapshot()
		if p.isFresh(snapshot) && hasRoutedWorker(snapshot) {
			break
		}
		select {
		case <-p.process.Ctx.Done():
			return
		case <-ticker.C:
		}
	}
	if err := p.process.ServeClients("clients", p.process.Settings.Public, handler); err != nil {
		p.process.Log.Error("callerproxy: client-facing HTTP listener failed", "error", errs.Text(err))
	}
}

// hasRoutedWorker reports whether at least one service that is the target of a route has a worker that is up.
func hasRoutedWorker(snapshot *updatestream.Snapshot) bool {
	hasWorker := map[string]bool{}
	for _, worker := range snapshot.Workers {
		hasWorker[worker.Service] = hasWorker[worker.Service] || worker.State == updatestream.WorkerUp
	}
	for _, route := range snapshot.Config.Routes {
		if hasWorker[route.Service] {
			return true
		}
	}
	return false
}

func (p *Proxy) isDraining() bool {
	select {
	case <-p.process.Draining:
		return true
	default:
		return false
	}
}

// countEdgeNodes returns the number of edge nodes in a snapshot, with or without those considered dead.
func countEdgeNodes(snapshot *updatestream.Snapshot, includeDead bool) (count int) {
	for _, node := range snapshot.Nodes {
		if node.Role == clustermembership.RoleNodeAgent && (includeDead || node.State < clustermembership.Dead) {
			count++
		}
	}
	return count
}
