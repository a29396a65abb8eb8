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
	ID              string // of the attempt
	Service         string
	Route           *routingconfig.Route
	Tenant          *routingconfig.Tenant // nil on a public route
	Zone            string                // of this edge machine
	Model           string                // "" if the request names none
	PromptTokens    int                   // of the whole prompt
	MaxOutputTokens int
	Parts           []PromptPart // in order; the last is the request's own, or its session's
}

// PromptPart is one part of a prompt. Its ID stands for the prompt up to its end.
type PromptPart struct {
	ID     string
	Tokens int
}

// Choice is the selected worker, and how the placement applies to it.
type Choice struct {
	Worker     fleet.Worker
	Weights    uint64        // the version that the worker must have; 0: any
	Salt       string        // cache domain of the parts (CacheSalt); "": no model
	Fetch      string        // address to fetch missing parts from; "": none
	Save       string        // address to save parts to; "": none
	Urgency    int           // 0 to 9, 0 first; -1: unset
	RetryAfter time.Duration // if none was selected: when there may be capacity again; 0: unknown
}

// Load is what a worker reports of itself in a response, in requests.
type Load struct{ Running, Waiting, Slots int }

// Outcome is how an attempt ended, as input of the next selection.
type Outcome int

// The outcomes of attempts.
const (
	Completed   Outcome = iota // a complete response
	NoFreeSlot                 // rejected, not executed: no free slot
	NotReady                   // rejected, not executed: other weights, or an order in progress
	Misdirected                // not executed: another worker has that address
	Failed                     // the worker failed the request, or its connection broke
	ClientGone                 // the client disconnected: says nothing about the worker
	TimedOut                   // time ran out
)

// Selector is one edge machine's view of load, failures and cached parts. All methods are safe for
// concurrent use.
type Selector interface {
	// Lookup asks the prompt index for a prompt's parts. It waits only for a ratio of the route's target;
	// nil is a miss on all of them.
	Lookup(ctx context.Context, snapshot *fleet.Snapshot, request *Request) map[prefix.Key]*wire.LookupResult
	// Select selects among the service's workers that are neither draining nor tried; false: none.
	Select(snapshot *fleet.Snapshot, request *Request, found map[prefix.Key]*wire.LookupResult, tried map[string]bool) (Choice, bool)
	// RecordSent records an attempt in flight.
	RecordSent(request *Request, choice Choice)
	// RecordFirstEvent records an attempt's first event, the worker's reported load (nil: none), and the
	// time from sending the attempt to the event.
	RecordFirstEvent(request *Request, choice Choice, load *Load, firstEvent time.Duration)
	// RecordOutcome records how an attempt ended, the load that the worker reported (nil: none), and the
	// time to its first event (0: none came).
	RecordOutcome(request *Request, choice Choice, outcome Outcome, load *Load, firstEvent time.Duration)
}
