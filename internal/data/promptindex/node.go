package promptindex

import (
	"context"
	"net/http"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// Node is a prompt index node. An actor, a goroutine that runs one function at a time, serializes the accesses to its
// Core. A reportPoller or an eventFollower keeps the Core up to date. The methods of Node serve the RPCs of proxies
// and of the placement controller.
type Node struct {
	process *daemon.Process
	actor   *queue.Actor[Core]
	clock   clock.Clock
	// name is the name of the index node in the cluster membership.
	name string
}

// nodeName returns the name of a process's index node in the cluster membership.
func nodeName(process *daemon.Process) string {
	return clustermembership.RolePromptIndex + "/" + process.Settings.Name
}

// newNode returns an index node that serves core. Its actor stops when the process stops.
func newNode(process *daemon.Process, core *Core) *Node {
	n := &Node{process: process, clock: process.Clock, name: nodeName(process), actor: queue.NewActor(core, 1024)}
	process.OnStop(n.actor.Stop)
	return n
}

// addMetrics registers the metrics that all index nodes export.
func (n *Node) addMetrics() {
	meter := n.process.Meter
	meter.Gauge("pebbleloom_index_entries", "prefix entries in the index", n.coreMetric(func(c *Core) float64 { return float64(len(c.entries)) }))
	meter.Counter("pebbleloom_index_gaps_total", "gaps seen in workers' reports", n.coreMetric(func(c *Core) float64 { return float64(c.Stats.Gaps) }))
	meter.Counter("pebbleloom_index_whole_reports_total", "full reports received", n.coreMetric(func(c *Core) float64 { return float64(c.Stats.FullReports) }))
}

// coreMetric returns a metric callback that reads a value from the Core within the actor that guards it.
func (n *Node) coreMetric(read func(*Core) float64) func() float64 {
	return func() (value float64) {
		n.actor.Ask(func(c *Core) { value = read(c) })
		return value
	}
}

// Handler returns the HTTP handler for the RPCs of proxies and of the placement controller.
//
// Example: mux.Handle(wire.PromptIndexPathPrefix, n.Handler())
func (n *Node) Handler() http.Handler { return wire.NewPromptIndexServer(n) }

// Lookup handles lookups of prefix keys; keys of the wrong length are ignored. If the request reports the worker loads
// of a proxy, they are recorded, and the response has the loads reported by the other proxies.
//
// Example: wire.NewPromptIndexProtobufClient(url, h).Lookup(ctx, request)
func (n *Node) Lookup(_ context.Context, request *wire.LookupRequest) (*wire.LookupResponse, error) {
	response := &wire.LookupResponse{}
	keys := make([]prefix.Key, 0, len(request.Keys))
	for _, key := range request.Keys {
		if len(key) == len(prefix.Key{}) {
			keys = append(keys, prefix.Key(key))
		}
	}
	n.actor.Ask(func(c *Core) {
		now := n.clock.Now()
		response.Results, response.Warm = c.Lookup(keys, now), c.Warm()
		if request.Loads != nil {
			c.loads.Record(request.Reporter, request.Loads, now)
			response.Loads = c.loads.Others(request.Reporter, request.Loads.WorkerListHash, now)
		}
	})
	return response, nil
}

// Count handles a batch of access counts of prefixes, and the worker loads that a proxy reports with it.
//
// Example: wire.NewPromptIndexProtobufClient(url, h).Count(ctx, request)
func (n *Node) Count(_ context.Context, request *wire.CountRequest) (*wire.CountResponse, error) {
	response := &wire.CountResponse{}
	n.actor.Ask(func(c *Core) {
		now := n.clock.Now()
		c.loads.Record(request.Reporter, request.Loads, now)
		response = c.RecordAccesses(request, now)
	})
	return response, nil
}

// Hottest handles requests for the index entries of a service with the highest hotness (decayed number of accesses).
//
// Example: wire.NewPromptIndexProtobufClient(url, h).Hottest(ctx, request)
func (n *Node) Hottest(_ context.Context, request *wire.HottestRequest) (*wire.HottestResponse, error) {
	response := &wire.HottestResponse{}
	n.actor.Ask(func(c *Core) { response = c.Hottest(request.Service, int(request.Limit), n.clock.Now()) })
	return response, nil
}
