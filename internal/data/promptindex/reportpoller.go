package promptindex

import (
	"context"
	"net/http"
	"sync/atomic"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/wire"
)

// Intervals and timeouts of the requests to workers and to the node agent, as ratios of the recovery time bound
// (Bounds.Recovery).
const (
	// reportPollRatio is the interval between two requests to a worker or store for its cache reports, as a ratio of the
	// recovery time bound (Bounds.Recovery).
	reportPollRatio = 1.0 / 12
	// reportTimeoutRatio is the timeout of one request to a worker or store for its cache reports, as a ratio of the
	// recovery time bound (Bounds.Recovery).
	reportTimeoutRatio = 1.0 / 6
	// updateLongPollRatio is how long the node agent may hold a request for an update of the worker list and the
	// configuration until there is one, as a ratio of the recovery time bound (Bounds.Recovery).
	updateLongPollRatio = 1.0 / 24
)

// reportPoller feeds an index node with the numbered cache reports of the workers and stores that the node agent
// lists.
type reportPoller struct {
	node *Node
	// shards is the current assignment of keys to index nodes; nil until the cluster membership is known.
	shards   atomic.Pointer[Shards]
	backends *contract.Backends
	updates  *updatestream.Follower

	// isPolling has the workers and stores with a poll in flight, by name. It is accessed only within the node's actor.
	isPolling map[string]bool
	// isListed has the workers and stores that the node agent listed at the previous round of polls, by name. It is
	// accessed only within the node's actor.
	isListed map[string]bool
}

// Start starts an index node that polls workers for numbered cache reports, and returns once the node serves requests.
// The node runs until the process stops. The process's node agent supplies the list of workers and the configuration.
//
// Example: daemon.Main(programs.PromptIndex, "index node", required, promptindex.Start)
func Start(process *daemon.Process) error {
	settings, name := process.Settings, nodeName(process)
	poller := &reportPoller{backends: contract.NewBackends(process.Dial), isPolling: map[string]bool{}, isListed: map[string]bool{}}
	poller.node = newNode(process, NewCore(settings.Bounds, func(key prefix.Key) bool {
		shards := poller.shards.Load()
		return shards != nil && shards.IsAssigned(name, key)
	}))
	process.OnStop(poller.backends.Close)
	clients := daemon.NewClients(process)
	member := clustermembership.Start(process.Ctx, clustermembership.Config{
		Process:  settings,
		Role:     clustermembership.RolePromptIndex,
		Clock:    process.Clock,
		Log:      process.Log,
		Client:   clients.Membership,
		OnChange: func(view clustermembership.View) { poller.reshard(view.Nodes) },
	})
	poller.updates = updatestream.Follow(process.Ctx, updatestream.Config{
		Clock:        process.Clock,
		Log:          process.Log,
		NodeAgent:    func() wire.NodeAgent { return clients.NodeAgent(settings.NodeAgent) },
		LongPollTime: settings.Bounds.Recovery(updateLongPollRatio),
		OnSnapshot:   updatestream.OnSeedsChanged(member.SetSeeds),
	})
	process.Every(settings.Bounds.Recovery(reportPollRatio), poller.poll)
	process.Go(func() { <-process.Draining; member.Leave() })
	poller.addMetrics()
	mux := http.NewServeMux()
	mux.Handle(wire.PromptIndexPathPrefix, poller.node.Handler())
	mux.Handle(wire.MembershipPathPrefix, wire.NewMembershipServer(member))
	if err := process.Serve(settings.Listen, mux); err != nil {
		return err
	}
	process.Ready.Store(true)
	return nil
}

// addMetrics registers the metrics of an index node that is fed by a reportPoller.
func (p *reportPoller) addMetrics() {
	p.node.addMetrics()
	meter := p.node.process.Meter
	meter.Counter("pebbleloom_index_evicted_total", "entries evicted for capacity", p.node.coreMetric(func(c *Core) float64 { return float64(c.Stats.Evicted) }))
	meter.Gauge("pebbleloom_index_warm", "1 once every worker has reported everything it caches", p.node.coreMetric(func(c *Core) float64 {
		if c.Warm() {
			return 1
		}
		return 0
	}))
}

// reshard recomputes the assignment of keys to index nodes after a change of the cluster membership. If other keys
// than before are assigned to this node, it has the node's Core remove the entries of keys that are no longer
// assigned, and request the complete caches of all workers.
func (p *reportPoller) reshard(nodes []*wire.Node) {
	shards := NewShards(nodes)
	if old := p.shards.Swap(shards); !shards.SameAssignment(old, p.node.name) {
		p.node.actor.TrySend(func(c *Core) { c.Reshard() })
	}
}

// poll requests cache reports from each worker and store that the node agent lists and that has no poll in flight. It
// invalidates the holder records of those that are not listed any more.
func (p *reportPoller) poll() {
	snapshot := p.updates.Snapshot()
	if snapshot == nil {
		return
	}
	p.node.actor.Ask(func(c *Core) {
		isListed := map[string]bool{}
		for _, worker := range snapshot.Workers {
			if worker.State == updatestream.WorkerGone || worker.Kind == "app" {
				continue
			}
			isListed[worker.Name] = true
			if !p.isPolling[worker.Name] {
				p.isPolling[worker.Name] = true
				go p.pollWorker(worker.Addr, c.NextReport(worker.Name, worker.Service))
			}
		}
		for name := range p.isListed {
			if !isListed[name] {
				c.RemoveWorker(name)
			}
		}
		p.isListed = isListed
	})
}

// pollWorker sends one request for cache reports to a worker or store and applies the response to the index.
func (p *reportPoller) pollWorker(addr string, request ReportRequest) {
	process := p.node.process
	ctx, cancel := context.WithTimeout(process.Ctx, process.Settings.Bounds.Recovery(reportTimeoutRatio))
	defer cancel()
	response, err := p.backends.CachedPrefixes(ctx, addr, request.After, request.Full)
	p.node.actor.Ask(func(c *Core) {
		delete(p.isPolling, request.Name)
		if err == nil {
			c.ApplyReport(request, response, p.node.clock.Now())
		}
	})
}
