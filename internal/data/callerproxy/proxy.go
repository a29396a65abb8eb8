// Package callerproxy is the edge proxy of the product's own caller interface (api/caller.yaml): it accepts
// requests for an answer, selects a worker by prompt prefixes and load, and streams the worker's answer.
//
// A request passes through Proxy.Answer: admit, claimID (for a once-only request), lookUpPrefixes, and then
// tryWorker until an attempt has started: resolveRoute, selectWorker, mayStart, startAttempt. A stream that
// has started is checked line by line; it is never retried.
//
// Invariants: a request is served under a configuration that was proven newest shortly before; a once-only
// request starts at most once; and no rejection says that nothing was executed unless that is proven.
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

// Queue lengths, in entries.
const (
	trafficQueueLength  = 4096 // commands to the traffic table
	decisionQueueLength = 512  // decisions that weren't reported yet; more are dropped
)

const (
	// feedWaitRatio of the configuration bound is how long the node agent may hold a call for updates.
	longPollRatio = 0.1
	// openCheckRatio of the configuration bound is how often the proxy checks whether it can serve.
	readinessCheckRatio = 0.02
)

// Proxy is one edge proxy.
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

	prefillCurve placement.Curve             // where the placement gives none
	decisions    *queue.Ring[*wire.Decision] // to be reported to the node agent
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
		return errs.Wrap(err, "caller API")
	}
	process.Go(func() { proxy.serveClients(http.MaxBytesHandler(flushEveryWrite(apiServer), proxy.maxRequestBytes())) })
	proxy.registerMetrics(process.Meter)
	return process.Serve(process.Settings.Listen, http.NewServeMux())
}

// follow follows the configuration and the lists of workers and nodes that the node agent passes on.
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

// maxRequestBytes is the limit of a request's JSON: half as much again as the prompt may have, for escapes.
func (p *Proxy) maxRequestBytes() int64 {
	return int64(p.bounds.MaxBodyKB)<<10 + int64(p.bounds.MaxBodyKB)<<9
}

// serveCallers listens for callers once there is a fresh configuration with workers. Before that a caller is
// better off with a refused connection: it tries another edge node at once.
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
	if err := p.process.Serve(p.process.Settings.Public, handler); err != nil {
		p.process.Log.Error("callerproxy: can't serve callers", "error", errs.Text(err))
	}
}

// hasRoutedWorker reports whether any service that a route leads to has a worker that is up.
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

// countEdgeNodes counts the edge nodes that a snapshot knows; dead ones only if asked for.
func countEdgeNodes(snapshot *updatestream.Snapshot, includeDead bool) (count int) {
	for _, node := range snapshot.Nodes {
		if node.Role == clustermembership.RoleNodeAgent && (includeDead || node.State < clustermembership.Dead) {
			count++
		}
	}
	return count
}
