// Package selection selects the worker that serves a request, the address from which that worker may fetch
// cached prompt parts that it lacks, and the store in which it saves the parts that it prefilled.
//
// # Terms
//
// A prompt is split into parts, each identified by a hash of the prompt up to its end. A worker or store that
// caches a part is a holder of it: confirmed if the holder reported the part or already responded to a request
// that contains it, presumed if a request with the part, or an instruction to save it, was sent there but is
// not confirmed. The affinity part of a prompt is the one by which rendezvous hashing assigns the prompt a home
// worker. An edge machine runs the proxy that selects workers; several edge machines share the same workers.
//
// The prompt index is a service that records which workers and stores cache which prompt parts. The control
// state is the replicated configuration of the site. It contains the cache placement, which lists the parts
// that are replicated to several workers, and for each model the target version, that is the version of the
// weights that workers should serve.
//
// # The score
//
// Among the workers that may be selected (eligibility.go), the one with the lowest cost is selected. A cost
// is measured in milliseconds and is the sum of these terms, in this order; score.go has a function for each,
// and tuning.go a field for each weight:
//
//	congestion         a worker slows down as its slots fill up
//	tie break          a small cost from a hash of request and worker, which differs between equal workers
//	queueing           requests beyond the worker's slots wait for a slot
//	cross zone         the prompt is sent to another zone
//	affinity           the worker would make another copy of a part whose home is another worker
//	slow start         the worker was ejected recently
//	rollout            the prompt is assigned to newer weights than the worker serves
//	base latency       the time to the first response event of an empty prompt, and the prompts queued ahead
//	prefill            the prompt tokens that the worker has to prefill
//	transfer           the parts that it fetches instead, from the source that saves the most
//	duplicate prefill  the parts that it prefills although another worker caches them
//
// Base latency and prefill are multiplied by how slow the worker is compared with its peers. A service
// without a prompt cache doesn't use this score: the less loaded of two workers is selected
// (leastloaded.go).
//
// # Inputs of the score
//
// Each edge machine has a table (table.go), guarded by an actor: estimates of each worker's load and speed
// (workerstats.go), records of the workers to which prompt parts were sent (partrecord.go), and attempts in
// flight (attempts.go). Edge machines share load and outcomes through the prompt index (loadsharing.go). The
// cache placement and the versions of model weights that a request may use come from the control state, in
// snapshots that are indexed by service (layout.go, versions.go).
package selection
