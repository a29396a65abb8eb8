package selection

import (
	"context"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/wire"
)

// Request describes a client's request, as far as the selection of its worker depends on it.
type Request struct {
	// Unique ID of the request.
	ID string
	// Name of the service that is requested.
	Service string
	Route   *routingconfig.Route
	// The calling tenant; nil on a public route.
	Tenant *routingconfig.Tenant
	// Zone of the edge machine that selects the worker.
	Zone string
	// Model that the request names; empty if it names none.
	Model string
	// Number of tokens in the complete prompt.
	PromptTokens int
	// Limit on the number of tokens to generate.
	MaxOutputTokens int
	// Parts of the prompt, in order. The last one is used only by this request and later ones of its session.
	Parts []PromptPart
}

// PromptPart is one part of a prompt. Its ID identifies the prompt from its start to the end of the part.
type PromptPart struct {
	ID     string
	Tokens int
}

// Choice is the selected worker, with the weights version, cache addresses and priority of the attempt.
type Choice struct {
	Worker fleet.Worker
	// Version of the model weights that the worker must serve; 0: any version.
	Weights uint64
	// Cache salt of the prompt parts, see CacheSalt; empty: the service has no prompt cache.
	Salt string
	// Address from which the worker fetches prompt parts that it doesn't cache; empty: it fetches none.
	Fetch string
	// Address of the store to which the worker saves the prompt parts; empty: it saves none.
	Save string
	// Priority level of the request in the worker's queue, 0 (highest) to 9; -1: the worker gets no level.
	Urgency int
	// Time after which the client may retry if no worker was selected; 0: unknown.
	RetryAfter time.Duration
}

// Load is the load that a worker reports in a response, as numbers of running and waiting requests and slots.
type Load struct{ Running, Waiting, Slots int }

// Outcome is how an attempt ended. Outcomes influence which workers later requests are sent to.
type Outcome int

// Outcomes of an attempt, which is one try to have a worker execute a request.
const (
	// Completed means that the worker sent a complete response.
	Completed Outcome = iota
	// NoFreeSlot means that the worker rejected the attempt without executing it because all slots were in use.
	NoFreeSlot
	// NotReady means that the worker rejected the attempt without executing it because it serves other weights
	// or is executing a command.
	NotReady
	// Misdirected means that the attempt was not executed because the address of the selected worker now
	// belongs to another worker instance.
	Misdirected
	// Failed means that the worker failed the request, or that the connection to it broke.
	Failed
	// ClientGone means that the client disconnected, which says nothing about the worker.
	ClientGone
	// TimedOut means that the request's deadline passed before the attempt completed.
	TimedOut
)

// Selector tracks the load, the failures and the cached prompt parts of workers as one edge machine sees them,
// and selects workers by them. All methods are safe for concurrent use.
type Selector interface {
	// Lookup queries the prompt index for the workers and stores that cache a prompt's parts. It waits for a
	// bounded fraction of the route's latency target; a nil result counts as a miss on all parts.
	Lookup(ctx context.Context, snapshot *fleet.Snapshot, request *Request) map[prefix.Key]*wire.LookupResult
	// Select selects among the workers of the request's service that are neither draining nor in tried, the
	// set of IDs of workers that got an earlier attempt of the request. found is the result of Lookup. Select
	// returns false if no worker was selected.
	Select(snapshot *fleet.Snapshot, request *Request, found map[prefix.Key]*wire.LookupResult, tried map[string]bool) (Choice, bool)
	// RecordSent records that an attempt was sent and is in flight.
	RecordSent(request *Request, choice Choice)
	// RecordFirstEvent records the first response event of an attempt, the load that the worker reported with
	// it (nil: none), and the time from sending the attempt to the event.
	RecordFirstEvent(request *Request, choice Choice, load *Load, firstEvent time.Duration)
	// RecordOutcome records how an attempt ended, the load that the worker reported (nil: none), and the time
	// from sending the attempt to its first response event (0: there was none).
	RecordOutcome(request *Request, choice Choice, outcome Outcome, load *Load, firstEvent time.Duration)
}
