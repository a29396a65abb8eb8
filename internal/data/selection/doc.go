// Package selection selects the worker for a request, the address from which the worker may fetch parts
// of the prompt that it doesn't cache, and the store where it saves what it prefilled.
//
// # The score
//
// Of the workers that may be selected (eligibility.go), the one with the least cost is. A cost is in
// milliseconds of the request's latency target and is the sum of these terms, in this order; each is a
// function in score.go, and each weight a field in tuning.go:
//
//	congestion   a worker slows down as its slots fill up
//	tie break    a little, by a hash of request and worker
//	queueing     requests beyond the worker's slots wait for a slot
//	cross zone   the prompt is sent to another zone
//	affinity     the worker would make another copy of a part that belongs elsewhere
//	slow start   the worker was ejected lately
//	rollout      the prompt is assigned to newer weights than the worker serves
//	waiting      the time to the first event of an empty prompt, and the prompts that are queued there
//	prefill      the tokens of the prompt that the worker has to read
//	transfer     the parts that it fetches instead, from the source that saves the most
//	reread       the parts that it reads although another worker caches them
//
// Waiting and prefill are multiplied by how slow the worker is compared with its peers. A service
// without a prompt cache has no such score: the less loaded of two workers is selected (leastloaded.go).
//
// # What the score is computed from
//
// Each edge machine has a table (table.go), guarded by an actor: estimates of each worker's load and
// speed (workerstats.go), records of where parts of prompts were sent (partrecord.go), and attempts in
// flight (attempts.go). Edge machines share load and outcomes through the prompt index (loadsharing.go).
// The placement and the versions of weights that a request may use come from the control state, in
// snapshots that are laid out by service (layout.go, versions.go).
package selection
