// Package backend is what the product asks of a platform and of its workers, whatever the names
// and forms in which it is asked. The adapter implements Calls; it decides nothing.
package backend

import (
	"context"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/fleet"
)

// Calls are the questions and orders.
type Calls interface {
	// List reads one page of the platform's list of workers; next is "" after the last.
	List(ctx context.Context, page string) (ws []fleet.Worker, next string, err error)
	// Report asks a worker how it stands.
	Report(ctx context.Context, addr string) (Report, error)
	// Order commands a worker. No answer (Unknown): it may have been taken.
	Order(ctx context.Context, addr string, o Order) (Outcome, error)
	// Events asks a worker or store what it kept and dropped since; held for wait at the most.
	Events(ctx context.Context, addr string, since uint64, wait time.Duration) (Events, error)
	// Kept asks a worker or store for all that it keeps.
	Kept(ctx context.Context, addr string) (Events, error)
}

// Report is how a worker stands, some hundred ms ago.
type Report struct {
	Busy            bool // an order is under way
	Sequence        uint64
	Weights         map[string]uint64
	Queued, Running int
	Used, Room      int // tokens
}

// Order brings a worker to a version of a model's weights.
type Order struct {
	Model    string
	Version  uint64
	Mode     string // ModeAwait …
	Holder   string
	Fence    uint64
	Instance string // the life that is meant
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
	Unknown  Outcome = iota // no answer: it may have been taken
	Begun                   // it is being done
	Holds                   // it was done before
	Busy                    // another order is under way
	Fenced                  // a higher fence was seen
	Denied                  // no such order or version
	Stranger                // another worker has that address
	TooMany                 // asked too often, or as many are held as may be
)

// Change is what a worker or store keeps of one part now; no tokens: it is gone.
type Change struct {
	Salt, Part, Model string
	Tokens            int
}

// Events are changes since a number, or all that is kept.
type Events struct {
	Boot uint64 // another one: whatever was kept before is gone
	Next uint64 // ask with this the next time
	Lost bool   // there is a gap: ask for all
	Full bool   // turned away: as many calls are held as may be
	List []Change
}

// Codec reads the form in which operators write plans. Merge lays a whole plan, or named items
// (part), over the one in force and gives what is kept, and its version. What it kept is read
// back exactly as it was sent.
type Codec interface {
	Read(body []byte) (*routingconfig.Plan, error)
	Merge(old, sent []byte, part bool) (kept []byte, version uint64, err error)
}
