// Package nodeagent is the agent on each edge machine: it follows the control state, proves that the
// configuration in use is fresh, watches the workers' health, and sends updates to the processes beside it
// over loopback.
package nodeagent

import (
	"net/http"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/operatorapi"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// Timing. Chosen, not measured.
const (
	// configCallRatio is the timeout of one request for the configuration, configPollRatio how long a member
	// may wait in it for a newer one, and configRetryRatio the delay after a failure. Ratios of the
	// configuration bound: calls of a quiet site are spared, and a proof is never older than the bound.
	configCallRatio  = 0.3
	configPollRatio  = 0.15
	configRetryRatio = 0.05
	// workerPollRatio is the time between two lists of the workers, and between two probes of one worker;
	// listTimeoutRatio and probeTimeoutRatio are the timeouts of the calls. Ratios of the leave bound.
	workerPollRatio   = 0.15
	listTimeoutRatio  = 0.3
	probeTimeoutRatio = 0.25
	// placementPollRatio is the time between two requests for the placements, and placementTimeoutRatio the
	// timeout of one. Ratios of the heal bound.
	placementPollRatio    = 1.0 / 12
	placementTimeoutRatio = 1.0 / 24
)

// Agent is the node agent of one machine.
type Agent struct {
	process  *daemon.Process
	actor    *queue.Actor[table]
	clock    clock.Clock
	clients  *daemon.Clients
	backends *contract.Backends
	member   *clustermembership.Member
}

// table is the state of a node agent; the actor guards it.
type table struct {
	proof        *FreshnessProof
	config       *serviceconfig.Config // in use; nil: none, or an unreadable one
	workers      *WorkerTable
	rows         []*wire.Worker // the workers as they were sent last; published rows are never changed
	membership   clustermembership.View
	placements   map[string]*wire.Document       // by service
	links        map[string]*wire.LinkThroughput // by class of source
	outcomes     map[string]*recentOutcomes      // by worker
	decisions    []*wire.Decision                // the latest ones of the proxy on this machine, oldest first
	version      uint64                          // of everything in an update
	listsVersion uint64                          // of workers, nodes, placements, stores and links
	waiting      map[chan struct{}]bool          // requests for an update; closed when there is one
}

// newTable makes an empty table. Its versions start at random, so that a client can't mistake a new
// incarnation's for the old one's.
func newTable(process *daemon.Process) *table {
	return &table{
		version:      process.Seed(),
		listsVersion: process.Seed(),
		proof:        NewFreshnessProof(),
		workers:      NewWorkerTable(process.Settings.Bounds),
		placements:   map[string]*wire.Document{},
		links:        map[string]*wire.LinkThroughput{},
		outcomes:     map[string]*recentOutcomes{},
		waiting:      map[chan struct{}]bool{},
	}
}

// Start runs the node agent until the process stops.
//
// Example: daemon.Main(programs.NodeAgent, "the agent on an edge machine", required, nodeagent.Start)
func Start(process *daemon.Process) error {
	bounds := process.Settings.Bounds
	agent := &Agent{process: process, clock: process.Clock, clients: daemon.NewClients(process), backends: contract.NewBackends(process.Dial)}
	process.OnStop(agent.backends.Close)
	members := controlclient.Members(0, process.Settings.Core)
	agent.actor = queue.NewActor(newTable(process), 1024)
	process.OnStop(agent.actor.Stop)
	agent.member = clustermembership.Start(process.Ctx, clustermembership.Config{
		Process: process.Settings,
		Role:    clustermembership.RoleNodeAgent,
		Clock:   agent.clock,
		Log:     process.Log,
		Client:  agent.clients.Membership,
		OnChange: func(view clustermembership.View) {
			agent.actor.TrySend(func(t *table) { t.membership = view; t.notifyListsChanged() })
		},
	})
	for _, member := range members {
		process.Go(func() { agent.followConfig(member) })
	}
	process.Every(bounds.Leave(workerPollRatio), agent.refreshWorkers)
	process.Every(bounds.Leave(workerPollRatio), agent.probeWorkers)
	process.Every(bounds.Heal(placementPollRatio), agent.followPlacements)
	agent.addMetrics()
	return agent.serve()
}

// addMetrics adds the metrics of workers and nodes.
func (a *Agent) addMetrics() {
	a.process.Meter.Gauge("pebbleloom_workers_up", "workers that this machine sees up", func() (up float64) {
		a.actor.Ask(func(t *table) {
			for _, row := range t.rows {
				if row.State == updatestream.WorkerUp {
					up++
				}
			}
		})
		return up
	})
	a.process.Meter.Gauge("pebbleloom_nodes", "nodes that this machine doesn't see as dead", func() (alive float64) {
		for _, node := range a.member.View().Nodes {
			if node.State != clustermembership.Dead {
				alive++
			}
		}
		return alive
	})
}

// serve serves the processes on this machine, the cluster membership and the operators.
func (a *Agent) serve() error {
	settings := a.process.Settings
	mux := http.NewServeMux()
	mux.Handle(wire.NodeAgentPathPrefix, wire.NewNodeAgentServer(a))
	mux.Handle(wire.MembershipPathPrefix, wire.NewMembershipServer(a.member))
	if err := a.process.Serve(settings.Listen, mux); err != nil {
		return err
	}
	view := func() clustermembership.View { return a.member.View() }
	if err := operatorapi.Serve(a.process, controlclient.New(settings.Core, view, a.clients, settings.Bounds), view, a.clients); err != nil {
		return err
	}
	a.process.Ready.Store(true)
	return nil
}
