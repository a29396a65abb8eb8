package nodeagent

import (
	"context"
	"time"

	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/maputil"
	"pebbleloom/internal/wire"
)

const (
	// maxWaitTime limits how long a request to the node agent waits for an update.
	maxWaitTime = 10 * time.Second
	// maxWaiters limits the number of requests to the node agent that wait for an update at the same time. Further
	// requests get a response at once.
	maxWaiters = 64
	// maxDecisions limits the number of routing decisions of the proxy on this machine that are stored; the latest ones
	// are kept.
	maxDecisions = 1024
)

// notifyWaiters increments the version of the update for the processes on this machine, and wakes the requests that
// wait for it.
func (s *agentState) notifyWaiters() {
	s.version++
	for waiter := range s.waiters {
		close(waiter)
	}
	clear(s.waiters)
}

// notifyListsChanged increments the versions of the update for the processes on this machine and of the lists in it,
// and wakes the requests that wait for an update.
func (s *agentState) notifyListsChanged() {
	s.listsVersion++
	s.notifyWaiters()
}

// Explain returns the stored routing decisions that the proxy on this machine made for one client request, given by
// its ID.
//
// Example: wire.NewNodeAgentProtobufClient(url, h).Explain(ctx, &wire.ExplainRequest{RequestId: "r1"})
func (a *Agent) Explain(_ context.Context, request *wire.ExplainRequest) (*wire.ExplainResponse, error) {
	response := &wire.ExplainResponse{}
	a.actor.Ask(func(s *agentState) {
		for _, decision := range s.decisions {
			if decision.RequestId == request.RequestId {
				response.Decisions = append(response.Decisions, decision)
			}
		}
	})
	return response, nil
}

// Feed handles the long polls of the processes on this machine for updates of the configuration, workers, nodes and
// placements. It responds as soon as there is an update, or when the wait time of the request has passed. It also
// records the attempts at workers and the routing decisions that the request reports.
//
// Example: wire.NewNodeAgentProtobufClient(url, h).Feed(ctx, &wire.FeedRequest{KnownVersion: 9, MaxWaitNs: 2e8})
func (a *Agent) Feed(ctx context.Context, request *wire.FeedRequest) (*wire.FeedResponse, error) {
	timer := time.NewTimer(time.Duration(min(request.MaxWaitNs, uint64(maxWaitTime))))
	defer timer.Stop()
	isRecorded := false
	for {
		var response *wire.FeedResponse
		updated := make(chan struct{})
		isOver := hasFired(timer)
		ok := a.actor.Ask(func(state *agentState) {
			if !isRecorded {
				a.recordReports(state, request)
			}
			if state.version != request.KnownVersion || isOver || request.MaxWaitNs == 0 || len(state.waiters) > maxWaiters {
				response = state.newResponse(request)
				return
			}
			state.waiters[updated] = true
		})
		if !ok {
			// The agent's actor has stopped, because the process is stopping. The response has no update.
			return &wire.FeedResponse{Version: request.KnownVersion}, nil
		}
		if response != nil {
			return response, nil
		}
		isRecorded = true
		select {
		case <-updated:
		case <-timer.C:
			request.MaxWaitNs = 0
		case <-ctx.Done():
			request.MaxWaitNs = 0
		}
		a.actor.TrySend(func(state *agentState) { delete(state.waiters, updated) })
	}
}

// hasFired reports whether a timer has fired, and drains the timer's channel.
func hasFired(timer *time.Timer) bool {
	select {
	case <-timer.C:
		return true
	default:
		return false
	}
}

// recordReports records the attempts at workers and the routing decisions that the proxy on this machine reports in a
// request for an update.
func (a *Agent) recordReports(s *agentState, request *wire.FeedRequest) {
	a.recordAttempts(s, request.Attempts)
	s.decisions = append(s.decisions, request.Decisions...)
	s.decisions = s.decisions[max(0, len(s.decisions)-maxDecisions):]
}

// newResponse returns the response to a request for an update. It leaves out the configuration, and the lists of
// workers, nodes, placements, links and stores, if the client already has their current versions.
func (s *agentState) newResponse(request *wire.FeedRequest) *wire.FeedResponse {
	response := &wire.FeedResponse{Version: s.version, ListsVersion: s.listsVersion, ProofAtNs: uint64(s.proof.FreshUntil()),
		Config: s.proof.Document(), WorkersListedAtNs: uint64(s.workers.listedAt)}
	if s.config == nil {
		// There is no configuration, or it can't be decoded: the response has neither a configuration nor a proof that one
		// is fresh.
		response.Config, response.ProofAtNs = nil, 0
	} else if response.Config.GetVersion() == request.KnownConfigVersion {
		response.Config = nil
	}
	if request.KnownListsVersion == s.listsVersion && s.listsVersion != 0 {
		return response
	}
	response.Nodes, response.Workers = s.membership.Nodes, s.rows
	for _, service := range maputil.SortedKeys(s.placements) {
		response.Placements = append(response.Placements, s.placements[service])
	}
	for _, class := range maputil.SortedKeys(s.links) {
		link := s.links[class]
		response.Links = append(response.Links, &wire.LinkThroughput{Class: link.Class, Tokens: link.Tokens, ElapsedNs: link.ElapsedNs})
	}
	for _, row := range s.rows {
		if row.Kind == "store" && row.State < updatestream.WorkerDraining {
			response.Stores = append(response.Stores, row.Addr)
		}
	}
	return response
}
