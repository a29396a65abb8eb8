// Package contract defines what pebbleloom and its own back ends (workers, application services and
// stores) have agreed on: how a request is started, streamed, sealed and rejected, what a worker reports
// about its cache, and how it is given orders. docs/contract.md describes it in words.
package contract

import (
	"encoding/json"
	"net/http"
	"time"
)

// Headers of a start request that carry a placement.
const (
	FetchFrom   = "X-Kv-Fetch-From" // "index=address,…": where the worker can fetch each prefix that it lacks
	SaveTo      = "X-Kv-Save-To"    // "address,…": whom the worker copies the prompt's prefixes to
	SaveUpTo    = "X-Kv-Save-Upto"  // how many of the prompt's prefixes are to be copied
	FenceHeader = "X-Fence"         // fencing token
)

// StartRequest asks a worker to run a request.
type StartRequest struct {
	RequestID   string   `json:"request_id"`
	Tenant      string   `json:"tenant"`
	CacheDomain string   `json:"domain"` // requests of one domain share cached prefixes
	Model       string   `json:"model"`
	Weights     uint64   `json:"weights"` // version of the model's weights
	Parts       []string `json:"parts"`   // of the prompt
	Chunks      int      `json:"pieces"`  // how many chunks to generate
	WaitMs      int      `json:"wait_ms"` // how long it may wait in the worker's queue
	AtMostOnce  bool     `json:"once"`
	Adapter     string   `json:"adapter,omitempty"` // on the model; empty: none
	Build       uint64   `json:"build,omitempty"`   // of the adapter
	// Incarnation of the worker that is meant, and until when by its clock the request may begin; zero
	// values are no condition.
	Incarnation string `json:"incarnation,omitempty"`
	BeginByUs   int64  `json:"begin_by_us,omitempty"`
}

// Refusal returns the reason why a worker must not begin the request now, or "". A worker checks it right
// before it begins; now is its own clock.
//
// Example: if reason := request.Refusal(incarnation, clock.Now()); reason != "" { reject(409, reason) }
func (s *StartRequest) Refusal(incarnation string, now time.Duration) RejectionReason {
	switch {
	case s.Incarnation != "" && s.Incarnation != incarnation:
		return OtherIncarnation
	case s.BeginByUs > 0 && now.Microseconds() >= s.BeginByUs:
		return TooLate
	}
	return ""
}

// RejectionReason is why a worker rejected a request or an order. It is a string on the wire; a reader treats
// those that it doesn't know like any other.
type RejectionReason = string

// Reasons for rejections.
const (
	Invalid          RejectionReason = "bad"
	OtherWeights     RejectionReason = "weights"     // it has another version of the model's weights
	OtherModel       RejectionReason = "model"       // it doesn't have the model
	OtherAdapter     RejectionReason = "adapter"     // it doesn't have the adapter, or another build of it
	OtherIncarnation RejectionReason = "incarnation" // another incarnation was meant
	TooLate          RejectionReason = "late"        // BeginByUs has passed
	Draining         RejectionReason = "draining"
	QueueFull        RejectionReason = "full"
	Fenced           RejectionReason = "fence" // of an order: it has seen a later fencing token
	Stale            RejectionReason = "stale" // of an order: it has obeyed a later one
	NoMemory         RejectionReason = "room"  // of an order: the weights don't fit
	Busy             RejectionReason = "busy"  // of an order: requests use what it would unload
)

// Rejection is a worker's proof that a request wasn't executed. Without the request's id it is proof only
// on a connection that has served no other request: it could be a surplus response to an earlier one.
type Rejection struct {
	RequestID    string          `json:"request_id,omitempty"`
	NotExecuted  bool            `json:"not_run"`
	Reason       RejectionReason `json:"reason"`
	FencingToken uint64          `json:"fence,omitempty"`
}

// Order is a command to a worker, under the fencing token of the lease that its sender holds.
type Order struct {
	FencingToken uint64 `json:"fence"`
	Lease        string `json:"lease,omitempty"`  // its name; tokens of different leases can't be compared
	Holder       string `json:"holder,omitempty"` // the lease's holder, for the logs
	Kind         string `json:"kind"`             // weights, load, unload
	Weights      uint64 `json:"weights,omitempty"`

	// Of load and unload: a base model, or an adapter on it. The worker rejects an order for another
	// incarnation, and one that was computed (Plan, Step) before an order that it has obeyed.
	Model          string `json:"model,omitempty"`
	Adapter        string `json:"adapter,omitempty"`
	Build          uint64 `json:"build,omitempty"`
	WeightMemoryMB int    `json:"room,omitempty"`
	Incarnation    string `json:"incarnation,omitempty"`
	Plan           string `json:"plan,omitempty"`
	Step           uint64 `json:"step,omitempty"`
}

// ListedWorker is a back end in the platform's list.
type ListedWorker struct {
	Name     string `json:"name"`
	Addr     string `json:"addr"`
	Kind     string `json:"kind"` // lm, app, store
	Service  string `json:"service"`
	Zone     string `json:"district"`
	Draining bool   `json:"draining"`
}

// WriteJSON responds with a status and a JSON body.
//
// Example: contract.WriteJSON(w, http.StatusOK, state)
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may have hung up
}
