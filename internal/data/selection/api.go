// Package selection selects the worker for a request, where it may fetch missing parts of the prompt
// from, and where it should save what it read: BAT's placement applied to requests.
package selection

import (
	"context"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/wire"
)

// Request is the input of a selection.
type Request struct {
	ID                            string // of the attempt
	Service                       string
	Route                         *routingconfig.Route
	Tenant                        *routingconfig.Tenant // nil on a public route
	Zone                          string                // of this edge machine
	Model                         string                // "" if the request names none
	PromptTokens, MaxOutputTokens int                   // tokens: of the prompt, and the output limit
	Parts                         []PromptPart          // of the prompt, in order; the last is the request's own or its session's
}

// PromptPart is one part of a prompt.
type PromptPart struct {
	ID     string
	Tokens int
}

// Choice is the selected worker, and how the placement applies to it.
type Choice struct {
	Worker     fleet.Worker
	Weights    uint64        // the version that the worker must have; 0: any
	Salt       string        // cache domain of the parts: model, version and isolation; "": no model
	Fetch      string        // address to fetch missing parts from; "": none
	Save       string        // address to save parts to; "": none
	Urgency    int           // 0 to 9, 0 first; -1: unset
	RetryAfter time.Duration // if none was selected: when there may be room again; 0: unknown
}

// Load is what a worker reports of itself in a response.
type Load struct{ Running, Waiting, Slots int }

// Outcome is how an attempt ended, as input of the next selection.
type Outcome int

// The endings.
const (
	Completed   Outcome = iota // a complete response
	NoFreeSlot                 // rejected: no free slot; nothing ran
	NotReady                   // rejected: other weights, or an order in progress; nothing ran
	Misdirected                // another worker has that address; nothing ran
	Failed                     // the worker failed the request, or its connection broke
	ClientGone                 // the client disconnected: says nothing about the worker
	TimedOut                   // time ran out
)

// Selector is one edge machine's view of load, errors and holders. All methods are safe for concurrent
// use.
type Selector interface {
	// Lookup asks the prompt index for a prompt's parts; it waits only for a ratio of the route's target,
	// and nil is a miss on all.
	Lookup(ctx context.Context, s *fleet.Snapshot, r *Request) map[prefix.Key]*wire.LookupResult
	// Select selects among the service's workers that are neither draining nor tried; false: none.
	Select(s *fleet.Snapshot, r *Request, found map[prefix.Key]*wire.LookupResult, tried map[string]bool) (Choice, bool)
	// Sent records an attempt in flight; Begun its first event, the worker's reported
	// load (nil: none) and how long that took; Done how it ended, and the same again
	// (0: no event came).
	RecordSent(r *Request, c Choice)
	RecordFirstEvent(r *Request, c Choice, l *Load, first time.Duration)
	RecordOutcome(r *Request, c Choice, e Outcome, l *Load, first time.Duration)
}
