package callerproxy

import (
	"encoding/json"

	"pebbleloom/internal/wire"
)

// Decision explains why a request was sent to a worker. It is stored as JSON, for operators who ask.
type Decision struct {
	Request       string  `json:"request"`
	Worker        string  `json:"worker"`
	Config        uint64  `json:"setup_epoch"`     // version of the configuration
	Placement     uint64  `json:"placement_epoch"` // version of the placement; 0: none
	CachedTokens  int     `json:"hit_tokens"`      // of the prompt that the worker should have cached
	FetchedTokens int     `json:"fetch_tokens"`    // of the prompt that it should fetch
	WaitUs        float64 `json:"wait_us"`         // estimated time until a slot is free
	CostUs        float64 `json:"cost_us"`         // estimated time until the first token, with the affinity's discount
	Replicated    bool    `json:"hot"`             // the deciding prefix is replicated
	SessionPrefix bool    `json:"session"`         // the deciding prefix is the session's
	FetchSources  string  `json:"fetch_from,omitempty"`
	Node          string  `json:"machine"` // this node
	ShardWorker   string  `json:"home,omitempty"`
	SaveTargets   string  `json:"save_to,omitempty"`
}

// logDecision queues a decision for the node agent. If the queue is full, the decision is dropped.
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

// maxReportedDecisions bounds the decisions in one report.
const maxReportedDecisions = 256

// fillReport adds to a call to the node agent what the attempts since the last one have shown, and why they
// were sent where they were.
func (p *Proxy) addReports(request *wire.FeedRequest) {
	p.traffic.Ask(func(table *trafficTable) {
		for name, report := range table.reports {
			request.Attempts = append(request.Attempts, report)
			delete(table.reports, name)
		}
	})
	request.Decisions = p.decisions.Drain(maxReportedDecisions)
}
