// Package nodeagent implements the agent that runs on each edge machine, beside a proxy. It follows the configuration
// and the placements of prompt prefixes in the control state, proves that the configuration in use is fresh, checks
// the health of the workers, and serves updates of all this over loopback to the other processes on the machine.
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

// Intervals and timeouts of the node agent's requests, as ratios of the time limits in settings.Bounds.
const (
	// configTimeoutRatio is the timeout of one request to a control node for the configuration, as a ratio of the bound
	// on how long an outdated configuration stays in use (Bounds.Config).
	configTimeoutRatio = 0.3
	// configLongPollRatio is how long a control node may hold a request for the configuration until there is a newer one,
	// as a ratio of the bound on how long an outdated configuration stays in use (Bounds.Config). Long polls save calls
	// while the configuration does not change, but must be short enough for the freshness proof (FreshnessProof) to be
	// renewed within that bound.
	configLongPollRatio = 0.15
	// configRetryRatio is the delay after a failed request for the configuration, as a ratio of the bound on how long
	// an outdated configuration stays in use (Bounds.Config).
	configRetryRatio = 0.05
	// workerPollRatio is the interval between two requests for the platform's worker list, and between two probes of one
	// worker, as a ratio of the bound on how long a removed worker still gets requests (Bounds.Leave).
	workerPollRatio = 0.15
	// listTimeoutRatio is the timeout of one request for the platform's worker list, as a ratio of the bound on how long
	// a removed worker still gets requests (Bounds.Leave).
	listTimeoutRatio = 0.3
	// probeTimeoutRatio is the timeout of one health probe of a worker, as a ratio of the bound on how long a removed
	// worker still gets requests (Bounds.Leave).
	probeTimeoutRatio = 0.25
	// placementPollRatio is the interval between two requests for the placement of a service's prompt prefixes, as a
	// ratio of the recovery time bound (Bounds.Recovery).
	placementPollRatio = 1.0 / 12
	// placementTimeoutRatio is the timeout of one request for the placement of a service's prompt prefixes, as a ratio of
	// the recovery time bound (Bounds.Recovery).
	placementTimeoutRatio = 1.0 / 24
)

// Agent is the node agent of one machine. An actor serializes the accesses to its state.
type Agent struct {
	process  *daemon.Process
	actor    *queue.Actor[agentState]
	clock    clock.Clock
	clients  *daemon.Clients
	backends *contract.Backends
	member   *clustermembership.Member
}

// agentState is the mutable state of a node agent. It is accessed only by functions that the agent's actor runs one at
// a time.
type agentState struct {
	proof *FreshnessProof
	// config is the configuration in use, decoded; nil if there is none, or if it can't be decoded.
	config  *serviceconfig.Config
	workers *WorkerTable
	// rows has the workers as they are sent in updates to the processes on this machine. The slice and its elements are
	// replaced, never modified, because responses that are being sent refer to them.
	rows       []*wire.Worker
	membership clustermembership.View
	// placements has the newest known placement of each service's prompt prefixes, by the name of the service.
	placements map[string]*wire.Document
	// links has the throughput of recent fetches of cached prefixes over the network, by the class of the network link.
	links map[string]*wire.LinkThroughput
	// outcomes has the numbers of recent successful and failed attempts of the proxy on this machine at each worker, by
	// the name of the worker.
	outcomes map[string]*recentOutcomes
	// decisions has the latest routing decisions of the proxy on this machine, oldest first.
	decisions []*wire.Decision
	// version is the version of the update that is sent to the processes on this machine. Each change increments it and
	// wakes waiting requests, except changes of only the loads and recent outcomes of workers, or of the throughput of
	// links.
	version uint64
	// listsVersion is the version of the lists in an update: workers, nodes, placements, stores and links. It is
	// incremented by each change of nodes or placements, and each time that the workers are published.
	listsVersion uint64
	// waiters has a channel for each request that waits for an update. All of these channels are closed when there is
	// one.
	waiters map[chan struct{}]bool
}

// newAgentState returns the state of a node agent that has just started. The version numbers of its updates start at
// random values, so that a client that knows a version from before a restart of the node agent does not mistake a
// later update for the one that it knows.
func newAgentState(process *daemon.Process) *agentState {
	return &agentState{
		version:      process.Seed(),
		listsVersion: process.Seed(),
		proof:        NewFreshnessProof(),
		workers:      NewWorkerTable(process.Settings.Bounds),
		placements:   map[string]*wire.Document{},
		links:        map[string]*wire.LinkThroughput{},
		outcomes:     map[string]*recentOutcomes{},
		waiters:      map[chan struct{}]bool{},
	}
}

// Start starts the node agent and returns once it serves requests. The agent runs until the process stops.
//
// Example: daemon.Main(programs.NodeAgent, "the agent on an edge machine", required, nodeagent.Start)
func Start(process *daemon.Process) error {
	bounds := process.Settings.Bounds
	agent := &Agent{process: process, clock: process.Clock, clients: daemon.NewClients(process), backends: contract.NewBackends(process.Dial)}
	process.OnStop(agent.backends.Close)
	members := controlclient.Members(0, process.Settings.Core)
	agent.actor = queue.NewActor(newAgentState(process), 1024)
	process.OnStop(agent.actor.Stop)
	agent.member = clustermembership.Start(process.Ctx, clustermembership.Config{
		Process: process.Settings,
		Role:    clustermembership.RoleNodeAgent,
		Clock:   agent.clock,
		Log:     process.Log,
		Client:  agent.clients.Membership,
		OnChange: func(view clustermembership.View) {
			agent.actor.TrySend(func(s *agentState) { s.membership = view; s.notifyListsChanged() })
		},
	})
	for _, member := range members {
		process.Go(func() { agent.followConfig(member) })
	}
	process.Every(bounds.Leave(workerPollRatio), agent.refreshWorkers)
	process.Every(bounds.Leave(workerPollRatio), agent.probeWorkers)
	process.Every(bounds.Recovery(placementPollRatio), agent.followPlacements)
	agent.addMetrics()
	return agent.serve()
}

// addMetrics registers the metrics of the numbers of workers that are up and of cluster nodes that are not dead.
func (a *Agent) addMetrics() {
	a.process.Meter.Gauge("pebbleloom_workers_up", "workers that this machine sees up", func() (up float64) {
		a.actor.Ask(func(s *agentState) {
			for _, row := range s.rows {
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

// serve starts the server for the processes on this machine and for the cluster membership protocol, and the server
// for operators.
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
