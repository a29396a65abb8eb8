// Package contract defines the HTTP protocol between pebbleloom and the back ends that are built for it
// (inference workers, application services and stores): how a request is started, how its response is
// streamed, checksummed or rejected, how a worker reports the contents of its prefix cache, and how it
// receives commands. docs/contract.md is the specification.
package contract

import (
	"encoding/json"
	"net/http"
	"time"
)

// Headers of StartRequest calls: where cached prompt prefixes are fetched from and copied to, and the
// fencing token of the sender's lease.
const (
	FetchFrom   = "X-Kv-Fetch-From" // "index=address,…": the address to fetch each prefix from that the worker hasn't cached
	SaveTo      = "X-Kv-Save-To"    // "address,…": the addresses that the worker copies the prompt's cached prefixes to
	SaveUpTo    = "X-Kv-Save-Upto"  // how many of the prompt's prefixes, from the first, the worker copies to the SaveTo addresses
	FenceHeader = "X-Fence"         // fencing token of the sender's lease
)

// StartRequest asks a worker to run an inference request and to stream the response.
type StartRequest struct {
	RequestID   string   `json:"request_id"`
	Tenant      string   `json:"tenant"`
	CacheDomain string   `json:"domain"` // only requests with the same cache domain share cached prefixes
	Model       string   `json:"model"`
	Weights     uint64   `json:"weights"` // version of the model's weights
	Parts       []string `json:"parts"`   // consecutive parts of the prompt's text
	Chunks      int      `json:"pieces"`  // number of response chunks to generate
	WaitMs      int      `json:"wait_ms"` // longest time in the worker's queue, in milliseconds
	AtMostOnce  bool     `json:"once"`
	Adapter     string   `json:"adapter,omitempty"` // name of the adapter on the base model; empty: none
	Build       uint64   `json:"build,omitempty"`   // build number of the adapter
	// Incarnation is the worker process that the request is for, and BeginByUs the latest start time by that
	// worker's clock in microseconds. Zero values set no condition.
	Incarnation string `json:"incarnation,omitempty"`
	BeginByUs   int64  `json:"begin_by_us,omitempty"`
}

// Refusal returns the reason why a worker must not begin the request now, or "" if it may begin. A worker
// calls it immediately before execution; now is the time by the worker's own clock.
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

// RejectionReason is the reason why a worker rejected a request or an order. It is a string on the wire, and
// a receiver handles a rejection with an unknown reason like one with a known reason.
type RejectionReason = string

// Reasons for which a worker rejects a request or an order.
const (
	Invalid          RejectionReason = "bad"
	OtherWeights     RejectionReason = "weights"     // the worker has loaded another version of the model's weights
	OtherModel       RejectionReason = "model"       // the worker hasn't loaded the model
	OtherAdapter     RejectionReason = "adapter"     // the worker hasn't loaded the adapter, or has loaded another build of it
	OtherIncarnation RejectionReason = "incarnation" // the request or order was for another incarnation of the worker
	TooLate          RejectionReason = "late"        // the start deadline StartRequest.BeginByUs has passed
	Draining         RejectionReason = "draining"
	QueueFull        RejectionReason = "full"
	Fenced           RejectionReason = "fence" // orders only: the worker has seen a higher fencing token
	Stale            RejectionReason = "stale" // orders only: the worker has already accepted a later order of the same plan
	NoMemory         RejectionReason = "room"  // orders only: the weights don't fit into the worker's memory
	Busy             RejectionReason = "busy"  // orders only: running or queued requests use the model or adapter to be unloaded
)

// Rejection is a worker's statement that it did not execute a request. Without a request id it counts only on
// a connection that has carried no other request, since it could be a surplus response to an earlier one.
type Rejection struct {
	RequestID    string          `json:"request_id,omitempty"`
	NotExecuted  bool            `json:"not_run"`
	Reason       RejectionReason `json:"reason"`
	FencingToken uint64          `json:"fence,omitempty"`
}

// Order is a command to a worker to switch weights or to load or unload a model or an adapter. It carries the
// fencing token of the sender's lease, so that a worker can reject commands of a former lease holder.
type Order struct {
	FencingToken uint64 `json:"fence"`
	Lease        string `json:"lease,omitempty"`  // name of the lease; fencing tokens of different leases can't be compared
	Holder       string `json:"holder,omitempty"` // holder of the lease; only logged
	Kind         string `json:"kind"`             // "weights", "load" or "unload"
	Weights      uint64 `json:"weights,omitempty"`

	// The fields below belong to the kinds "load" and "unload": a base model, or an adapter on it. The worker
	// rejects an order for another incarnation, and one that the sender computed, by its Plan and Step,
	// before one that the worker has already accepted.
	Model          string `json:"model,omitempty"`
	Adapter        string `json:"adapter,omitempty"`
	Build          uint64 `json:"build,omitempty"`
	WeightMemoryMB int    `json:"room,omitempty"`
	Incarnation    string `json:"incarnation,omitempty"`
	Plan           string `json:"plan,omitempty"`
	Step           uint64 `json:"step,omitempty"`
}

// ListedWorker is a back end in the list of running back ends that the platform serves.
type ListedWorker struct {
	Name     string `json:"name"`
	Addr     string `json:"addr"`
	Kind     string `json:"kind"` // "lm" (inference worker), "app" (application service) or "store"
	Service  string `json:"service"`
	Zone     string `json:"district"`
	Draining bool   `json:"draining"`
}

// WriteJSON writes an HTTP response with the given status and body encoded as JSON.
//
// Example: contract.WriteJSON(w, http.StatusOK, state)
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has closed the connection, which needs no handling
}
