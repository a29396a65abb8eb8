// Package selection finds the worker for a request, and says where it may take what it lacks of the
// prompt and to whom it shall hand what it read: BAT's placement as it takes effect on requests.
package selection

import (
	"context"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/wire"
)

// Request is what a choice of worker is made from.
type Request struct {
	ID       string // of the attempt
	Service  string
	Route    *routingconfig.Route
	Tenant   *routingconfig.Tenant // nil on a public route
	District string                // of this edge machine
	Model    string                // "" where the request names none
	In, Out  int                   // tokens: of the prompt, and most put out
	Parts    []Part                // of the prompt, in order; the last is the request's own or its session's
}

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Choice is the worker, and how the placement takes effect.
type Choice struct {
	Worker  fleet.Worker
	Weights uint64        // the version that the worker is to have; 0: not asked
	Salt    string        // the text under which parts are kept: model, version and wall; "": no model
	Fetch   string        // address to take missing parts from; "": nowhere
	Save    string        // address to hand parts to; "": nowhere
	Urgency int           // 0 to 9, 0 first; -1: not said
	Again   time.Duration // where none was picked: when there may be room again; 0: not told
}

// Load is what a worker says of itself in an answer.
type Load struct{ Running, Waiting, Slots int }

// Ending is how an attempt ended, for the choice of the next.
type Ending int

// The endings.
const (
	Served  Ending = iota // a whole answer
	Full                  // refused: it has no place; nothing ran
	Loading               // refused: other weights, or an order is under way; nothing ran
	Moved                 // another worker has that address; nothing ran
	Unfit                 // the worker failed the request, or its connection broke
	Left                  // the downstream went away: says nothing of the worker
	Unsure                // time ran out
)

// Picker is one edge machine's view of load, errors and holders. All methods may be called from
// any thread.
type Picker interface {
	// Look asks the index for a prompt's parts; it waits only for a ratio of the route's target,
	// and nil is a miss on all.
	Look(ctx context.Context, s *fleet.Snapshot, r *Request) map[prefix.Key]*wire.Found
	// Pick chooses among the service's workers that aren't draining nor tried; false: none.
	Pick(s *fleet.Snapshot, r *Request, found map[prefix.Key]*wire.Found, tried map[string]bool) (Choice, bool)
	// Sent notes an attempt under way; Begun that its first piece came, what the worker said of
	// its load (nil: nothing) and how long that took; Done how it ended, and the same once more
	// (0: no piece came).
	Sent(r *Request, c Choice)
	Begun(r *Request, c Choice, l *Load, first time.Duration)
	Done(r *Request, c Choice, e Ending, l *Load, first time.Duration)
}
