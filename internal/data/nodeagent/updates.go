package nodeagent

import (
	"context"
	"time"

	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/maputil"
	"pebbleloom/internal/wire"
)

const (
	maxWaitTime  = 10 * time.Second // of a request for an update
	maxWaiting   = 64               // requests for an update that wait at once; others get a response at once
	maxDecisions = 1024             // of the proxy that are kept
)

// notifyWaiting records that an update has changed, and wakes the requests that wait for one.
func (t *table) notifyWaiting() {
	t.version++
	for waiting := range t.waiting {
		close(waiting)
	}
	clear(t.waiting)
}

// notifyListsChanged records that the lists in an update have changed.
func (t *table) notifyListsChanged() {
	t.listsVersion++
	t.notifyWaiting()
}

// Explain returns what the proxy on this machine decided on a request.
//
// Example: wire.NewNodeAgentProtobufClient(url, h).Explain(ctx, &wire.ExplainRequest{RequestId: "r1"})
func (a *Agent) Explain(_ context.Context, request *wire.ExplainRequest) (*wire.ExplainResponse, error) {
	response := &wire.ExplainResponse{}
	a.actor.Ask(func(t *table) {
		for _, decision := range t.decisions {
			if decision.RequestId == request.RequestId {
				response.Decisions = append(response.Decisions, decision)
			}
		}
	})
	return response, nil
}

// Feed responds to the processes on this machine: at once if there is an update, else when the wait is
// over. It records the attempts and decisions that the request reports.
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
		ok := a.actor.Ask(func(t *table) {
			if !isRecorded {
				a.recordReports(t, request)
			}
			if t.version != request.KnownVersion || isOver || request.MaxWaitNs == 0 || len(t.waiting) > maxWaiting {
				response = t.newResponse(request)
				return
			}
			t.waiting[updated] = true
		})
		if !ok { // the process stops
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
		a.actor.TrySend(func(t *table) { delete(t.waiting, updated) })
	}
}

// hasFired reports whether a timer has fired, and receives its signal.
func hasFired(timer *time.Timer) bool {
	select {
	case <-timer.C:
		return true
	default:
		return false
	}
}

// recordReports records what the proxy on this machine has reported with a request.
func (a *Agent) recordReports(t *table, request *wire.FeedRequest) {
	a.recordAttempts(t, request.Attempts)
	t.decisions = append(t.decisions, request.Decisions...)
	t.decisions = t.decisions[max(0, len(t.decisions)-maxDecisions):]
}

// newResponse makes an update. What the client has already isn't sent again.
func (t *table) newResponse(request *wire.FeedRequest) *wire.FeedResponse {
	response := &wire.FeedResponse{Version: t.version, ListsVersion: t.listsVersion, ProofAtNs: uint64(t.proof.FreshUntil()),
		Config: t.proof.Document(), WorkersListedAtNs: uint64(t.workers.listedAt)}
	if t.config == nil {
		response.Config, response.ProofAtNs = nil, 0 // an unreadable configuration is none
	} else if response.Config.GetVersion() == request.KnownConfigVersion {
		response.Config = nil
	}
	if request.KnownListsVersion == t.listsVersion && t.listsVersion != 0 {
		return response
	}
	response.Nodes, response.Workers = t.membership.Nodes, t.rows
	for _, service := range maputil.SortedKeys(t.placements) {
		response.Placements = append(response.Placements, t.placements[service])
	}
	for _, class := range maputil.SortedKeys(t.links) {
		link := t.links[class]
		response.Links = append(response.Links, &wire.LinkThroughput{Class: link.Class, Tokens: link.Tokens, ElapsedNs: link.ElapsedNs})
	}
	for _, row := range t.rows {
		if row.Kind == "store" && row.State < updatestream.WorkerDraining {
			response.Stores = append(response.Stores, row.Addr)
		}
	}
	return response
}
