// Package backend defines what the product needs of a platform: the calls to its registry of workers and to
// the workers themselves, and the configuration format that its operators write. The platform's adapter
// implements Client and Codec in the platform's names and formats; it takes no decisions.
package backend

import (
	"context"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/fleet"
)

// Client makes the calls to a platform's registry and workers. All methods are safe for concurrent use.
type Client interface {
	// ListWorkers reads one page of the registry; next names the page after it, and is "" on the last.
	ListWorkers(ctx context.Context, page string) (workers []fleet.Worker, next string, err error)
	// Report reads a worker's status.
	Report(ctx context.Context, addr string) (Report, error)
	// Order has a worker load a version of a model's weights. With OutcomeUnknown the worker may have
	// accepted the order, unless the error is errs.NotExecuted.
	Order(ctx context.Context, addr string, o Order) (Outcome, error)
	// CacheEvents reads what a worker's or store's prompt cache gained and lost since a sequence number. The
	// call is held until there is something to report, for wait at most (long polling).
	CacheEvents(ctx context.Context, addr string, since uint64, wait time.Duration) (CacheEvents, error)
	// CachedPrefixes reads everything that a worker's or store's prompt cache holds.
	CachedPrefixes(ctx context.Context, addr string) (CacheEvents, error)
}

// Report is a worker's status, as it was some hundred milliseconds ago.
type Report struct {
	Busy            bool              // an order is being executed
	Sequence        uint64            // how many orders the worker has accepted
	Weights         map[string]uint64 // loaded version by model
	Queued, Running int               // requests
	UsedTokens      int               // of the KV cache
	CapacityTokens  int               // of the KV cache
}

// Order has a worker load a version of a model's weights.
type Order struct {
	Model        string
	Version      uint64
	Mode         string // how requests in progress are treated: ModeAwait
	LeaseHolder  string // node that holds the lease under which the order is sent
	FencingToken uint64 // of that lease: a worker rejects an order with a lower one than it has seen
	Instance     string // ID of the worker that is meant: another may have its address by now
	// Sequence is how many orders the worker must have accepted so far; nil: any number. With it, an order
	// whose outcome is unknown and the one that is sent in its place can't both take effect.
	Sequence *uint64
}

// ModeAwait has a worker finish the requests in progress before it loads other weights. Platforms may know
// other modes, which reset streams or move them to the new weights; the product doesn't use them.
const ModeAwait = "await"

// Outcome is a worker's response to an order.
type Outcome int

// Outcomes of an order.
const (
	OutcomeUnknown       Outcome = iota // no response: the order may have been accepted
	OutcomeStarted                      // accepted, and being executed
	OutcomeAlreadyDone                  // the worker serves that version already
	OutcomeBusy                         // another order is being executed, or Order.Sequence differs
	OutcomeFenced                       // the worker has seen a higher fencing token
	OutcomeRejected                     // there is no such model or version, or the order is malformed
	OutcomeWrongInstance                // another worker has that address
	OutcomeThrottled                    // too many orders in a short time, or too many calls at once
)

// CacheChange is the state of one part of a prompt in a worker's or store's cache.
type CacheChange struct {
	Salt, Part, Model string
	Tokens            int // 0: the part was evicted
}

// CacheEvents are the changes of a prompt cache since a sequence number, or its complete contents.
type CacheEvents struct {
	BootID       uint64 // identifies the process: when it changes, earlier contents are lost
	NextSequence uint64 // since of the next call
	Gap          bool   // changes are missing: read the contents again (CachedPrefixes)
	Throttled    bool   // rejected: the worker holds as many calls as it allows
	Changes      []CacheChange
}

// Codec converts the configuration format that operators write.
type Codec interface {
	// Read parses a complete configuration.
	Read(body []byte) (*routingconfig.Plan, error)
	// Merge applies what an operator sent to the configuration in force: a complete one, or if partial only
	// the named items. It returns what is stored, and its version. Where nothing is merged, the stored form
	// is byte for byte what was sent.
	Merge(old, sent []byte, partial bool) (stored []byte, version uint64, err error)
}
