// Package backend is what the product asks of a platform and of its workers, whatever the names
// and forms in which it is asked. The adapter implements Calls; it decides nothing.
package backend

import (
	"context"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/fleet"
)

// Client are the questions and orders.
type Client interface {
	// List reads one page of the platform's list of workers; next is "" after the last.
	ListWorkers(ctx context.Context, page string) (ws []fleet.Worker, next string, err error)
	// Report asks a worker how it stands.
	Report(ctx context.Context, addr string) (Report, error)
	// Order commands a worker. No answer (Unknown): it may have been taken.
	Order(ctx context.Context, addr string, o Order) (Outcome, error)
	// Events asks a worker or store what it kept and dropped since; held for wait at the most.
	CacheEvents(ctx context.Context, addr string, since uint64, wait time.Duration) (CacheEvents, error)
	// Kept asks a worker or store for all that it keeps.
	CachedPrefixes(ctx context.Context, addr string) (CacheEvents, error)
}

// Report is how a worker stands, some hundred ms ago.
type Report struct {
	Busy                       bool // an order is under way
	Sequence                   uint64
	Weights                    map[string]uint64
	Queued, Running            int
	UsedTokens, CapacityTokens int // tokens
}

// Order brings a worker to a version of a model's weights.
type Order struct {
	Model        string
	Version      uint64
	Mode         string // ModeAwait …
	LeaseHolder  string
	FencingToken uint64
	Instance     string // the life that is meant
	// Sequence is how many orders the worker must have taken so far; nil: any number. With it an
	// order that took effect late can't be overtaken by the one that is sent in its place.
	Sequence *uint64
}

// How a worker treats what runs when new weights come.
const (
	ModeAwait    = "await"
	ModeTruncate = "truncate"
	ModeRetain   = "retain"
)

// Outcome is a worker's answer to an order.
type Outcome int

// The outcomes.
const (
	OutcomeUnknown       Outcome = iota // no answer: it may have been taken
	OutcomeStarted                      // it is being done
	OutcomeAlreadyDone                  // it was done before
	OutcomeBusy                         // another order is under way
	OutcomeFenced                       // a higher fence was seen
	OutcomeRejected                     // no such order or version
	OutcomeWrongInstance                // another worker has that address
	OutcomeThrottled                    // asked too often, or as many are held as may be
)

// CacheChange is what a worker or store keeps of one part now; no tokens: it is gone.
type CacheChange struct {
	Salt, Part, Model string
	Tokens            int
}

// CacheEvents are changes since a number, or all that is kept.
type CacheEvents struct {
	BootID       uint64 // another one: whatever was kept before is gone
	NextSequence uint64 // ask with this the next time
	Gap          bool   // there is a gap: ask for all
	Throttled    bool   // turned away: as many calls are held as may be
	Changes      []CacheChange
}

// Codec reads the form in which operators write plans. Merge lays a whole plan, or named items
// (part), over the one in force and gives what is kept, and its version. What it kept is read
// back exactly as it was sent.
type Codec interface {
	Read(body []byte) (*routingconfig.Plan, error)
	Merge(old, sent []byte, part bool) (kept []byte, version uint64, err error)
}
