// Package backend defines the interfaces to an inference platform: the calls to its worker registry and to the
// workers, and the configuration format that its operators write. A platform's adapter implements Client and
// Codec by translating to the platform's names and formats; it contains no decision logic.
package backend

import (
	"context"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/fleet"
)

// Client makes the calls to a platform's registry and workers. All methods are safe for concurrent use.
type Client interface {
	// ListWorkers reads one page of the worker registry; page is "" for the first one. next identifies the
	// following page and is "" if there is none.
	ListWorkers(ctx context.Context, page string) (workers []fleet.Worker, next string, err error)
	// Report reads the current status of the worker at addr.
	Report(ctx context.Context, addr string) (Report, error)
	// Order instructs a worker to load a version of a model's weights. If it returns OutcomeUnknown, the worker may
	// have accepted the order, unless the error is of kind errs.NotExecuted.
	Order(ctx context.Context, addr string, o Order) (Outcome, error)
	// CacheEvents reads the parts added to and evicted from the prompt cache of a worker or KV cache store since a
	// sequence number. It is a long poll: it returns when there are changes, or after the time wait.
	CacheEvents(ctx context.Context, addr string, since uint64, wait time.Duration) (CacheEvents, error)
	// CachedPrefixes reads the complete contents of the prompt cache of a worker or KV cache store.
	CachedPrefixes(ctx context.Context, addr string) (CacheEvents, error)
}

// Report is a worker's status. It may be a few hundred milliseconds old.
type Report struct {
	Busy            bool              // whether the worker is executing an order
	Sequence        uint64            // how many orders the worker has accepted
	Weights         map[string]uint64 // version of the loaded weights, by model
	Queued, Running int               // numbers of requests that wait in the worker's queue, and that are being executed
	UsedTokens      int               // tokens stored in the KV cache
	CapacityTokens  int               // tokens that fit into the KV cache
}

// Order is an instruction to a worker to load a version of a model's weights.
type Order struct {
	Model        string
	Version      uint64
	Mode         string // how requests in progress are treated: always ModeAwait
	LeaseHolder  string // node that holds the lease under which the order is sent
	FencingToken uint64 // fencing token of LeaseHolder's lease: a worker rejects an order whose token is lower than one it has seen
	Instance     string // ID of the intended worker, since another one may have taken over its address
	// Sequence is the number of orders that the worker must have accepted so far; nil: any number. It prevents
	// an order whose outcome is unknown and its retry from both taking effect.
	Sequence *uint64
}

// ModeAwait instructs a worker to finish the requests in progress before it loads other weights. Platforms may have
// other modes, which abort response streams or continue them on the new weights; they are not used.
const ModeAwait = "await"

// Outcome is a worker's response to an order.
type Outcome int

// The possible outcomes of an order to load weights.
const (
	OutcomeUnknown       Outcome = iota // no response to the order was received; the worker may have accepted it
	OutcomeStarted                      // the worker accepted the order and is executing it
	OutcomeAlreadyDone                  // the worker already serves Order.Version of the weights
	OutcomeBusy                         // the worker is executing another order, or has not accepted exactly Order.Sequence orders
	OutcomeFenced                       // the worker has seen a fencing token higher than Order.FencingToken
	OutcomeRejected                     // the worker rejected the order: its model or version doesn't exist, or it is malformed
	OutcomeWrongInstance                // the worker at the called address isn't the one named in Order.Instance
	OutcomeThrottled                    // the worker rejected the order: too many orders in a short time, or too many concurrent calls
)

// CacheChange reports that a prompt part was added to, or evicted from, the cache of a worker or KV cache store.
type CacheChange struct {
	Salt, Part, Model string
	Tokens            int // length of the cached part in tokens; 0: the part was evicted
}

// CacheEvents contains the changes of a prompt cache since a sequence number, or its complete contents.
type CacheEvents struct {
	BootID       uint64 // identifies the cache's process: a new ID means that earlier contents are lost
	NextSequence uint64 // the sequence number to pass to the next call of Client.CacheEvents
	Gap          bool   // whether some changes since the sequence number are missing: read the complete contents with Client.CachedPrefixes
	Throttled    bool   // whether the call was rejected because the limit of concurrent long polls is reached
	Changes      []CacheChange
}

// Codec decodes and merges configurations in the format that the platform's operators write.
type Codec interface {
	// Read decodes a complete configuration into a routing plan.
	Read(body []byte) (*routingconfig.Plan, error)
	// Merge applies a configuration sent by an operator to the one in force. If partial is set, sent contains only
	// the items to change; otherwise it replaces the whole configuration. Merge returns the configuration to
	// store and its version. If there is nothing to merge, stored equals sent byte for byte.
	Merge(old, sent []byte, partial bool) (stored []byte, version uint64, err error)
	// Tenants decodes the tenants of a stored configuration.
	Tenants(stored []byte) ([]routingconfig.Tenant, error)
}
