package callerproxy

import (
	"encoding/json"

	"pebbleloom/internal/wire"
)

// Decision records why a request was sent to a worker. It is stored as JSON at the node agent, where operators
// can look it up by request.
type Decision struct {
	Request       string  `json:"request"`              // ID of the request
	Worker        string  `json:"worker"`               // name of the selected worker
	Config        uint64  `json:"setup_epoch"`          // version of the configuration that the request was routed under
	Placement     uint64  `json:"placement_epoch"`      // version of the service's placement; 0 if there is none
	CachedTokens  int     `json:"hit_tokens"`           // prompt tokens that the worker was expected to have in its cache
	FetchedTokens int     `json:"fetch_tokens"`         // prompt tokens that the worker was directed to fetch from other workers or cache stores
	WaitUs        float64 `json:"wait_us"`              // estimated time in microseconds until the worker has a free slot
	CostUs        float64 `json:"cost_us"`              // estimated time to first token in microseconds, including the penalty if another worker is preferred
	Replicated    bool    `json:"hot"`                  // whether the prefix that determines the preferred worker is replicated on all workers
	SessionPrefix bool    `json:"session"`              // whether the session's prefix, not the prefix shared with other requests, determines the preferred worker
	FetchSources  string  `json:"fetch_from,omitempty"` // comma-separated list of "index=address": index of a prefix entry to fetch, and where to fetch it from
	Node          string  `json:"machine"`              // name of the node that this proxy runs on
	ShardWorker   string  `json:"home,omitempty"`       // worker preferred by prefix affinity; empty if there is none
	SaveTargets   string  `json:"save_to,omitempty"`    // comma-separated addresses that the worker copies the prefix to
}

// queueDecision queues the routing decision of an attempt for the next report to the node agent. If the queue is full,
// the decision is dropped.
func (req *request) queueDecision(choice Choice) {
	decision := Decision{
		Request:       req.body.RequestID,
		Worker:        choice.Worker.Name,
		Config:        req.snapshot.ConfigVersion,
		CachedTokens:  choice.HitTokens,
		FetchedTokens: choice.FetchTokens,
		WaitUs:        choice.WaitUs,
		CostUs:        choice.CostUs,
		Replicated:    choice.Replicated,
		SessionPrefix: choice.SessionPrefix,
		FetchSources:  choice.FetchFrom,
		Node:          req.proxy.process.Settings.Name,
		ShardWorker:   choice.PreferredWorker,
		SaveTargets:   choice.SaveAddrs,
	}
	if currentPlacement := req.snapshot.Placements[choice.Worker.Service]; currentPlacement != nil {
		decision.Placement = currentPlacement.Version
	}
	encoded, err := json.Marshal(decision)
	if err == nil {
		req.proxy.decisions.Offer(&wire.Decision{RequestId: req.body.RequestID, Body: encoded})
	}
}

// maxReportedDecisions is the maximum number of routing decisions in one report to the node agent.
const maxReportedDecisions = 256

// addReports adds the results of attempts since the last call, and the queued routing decisions, to a request to the
// node agent.
func (p *Proxy) addReports(request *wire.FeedRequest) {
	p.traffic.Ask(func(table *trafficTable) {
		for name, report := range table.reports {
			request.Attempts = append(request.Attempts, report)
			delete(table.reports, name)
		}
	})
	request.Decisions = p.decisions.Drain(maxReportedDecisions)
}
