package callerproxy

import (
	"encoding/json"

	"pebbleloom/internal/wire"
)

// Decision explains why a request was sent to a worker. It is stored as JSON, for operators who ask.
type Decision struct {
	Request   string  `json:"request"`
	Worker    string  `json:"worker"`
	Config    uint64  `json:"setup_epoch"`     // version of the configuration
	Placement uint64  `json:"placement_epoch"` // version of the placement; 0: none
	Hit       int     `json:"hit_tokens"`      // of the prompt that the worker should have cached
	Fetch     int     `json:"fetch_tokens"`    // of the prompt that it should fetch
	WaitUs    float64 `json:"wait_us"`         // estimated time until a slot is free
	CostUs    float64 `json:"cost_us"`         // estimated time until the first token, with the affinity's discount
	Hot       bool    `json:"hot"`             // the deciding prefix is replicated
	Session   bool    `json:"session"`         // the deciding prefix is the session's
	Fetches   string  `json:"fetch_from,omitempty"`
	Machine   string  `json:"machine"` // this node
	Home      string  `json:"home,omitempty"`
	SaveTo    string  `json:"save_to,omitempty"`
}

// logDecision queues a decision for the node agent. If the queue is full, the decision is dropped.
func (req *request) logDecision(choice Choice) {
	decision := Decision{
		Request: req.ask.RequestID,
		Worker:  choice.Worker.Name,
		Config:  req.snapshot.ConfigVersion,
		Hit:     choice.HitTokens,
		Fetch:   choice.FetchTokens,
		WaitUs:  choice.WaitUs,
		CostUs:  choice.CostUs,
		Hot:     choice.Hot,
		Session: choice.Session,
		Fetches: choice.FetchFrom,
		Machine: req.proxy.process.Settings.Name,
		Home:    choice.PreferredWorker,
		SaveTo:  choice.SaveAddrs,
	}
	if current := req.snapshot.Placements[choice.Worker.Service]; current != nil {
		decision.Placement = current.Version
	}
	body, err := json.Marshal(decision)
	if err == nil {
		req.proxy.decisions.Offer(&wire.Decision{RequestId: req.ask.RequestID, Body: body})
	}
}

// maxReportedDecisions bounds the decisions in one report.
const maxReportedDecisions = 256

// fillReport adds to a call to the node agent what the attempts since the last one have shown, and why they
// were sent where they were.
func (p *Proxy) fillReport(feed *wire.FeedRequest) {
	p.traffic.Ask(func(table *trafficTable) {
		for name, report := range table.reports {
			feed.Attempts = append(feed.Attempts, report)
			delete(table.reports, name)
		}
	})
	feed.Decisions = p.decisions.Drain(maxReportedDecisions)
}
