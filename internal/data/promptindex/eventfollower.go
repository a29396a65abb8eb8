package promptindex

import (
	"context"
	"time"

	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/rendezvous"
)

// Intervals and timeouts of the polls of workers and stores, as ratios of the recovery time bound (Bounds.Recovery). They
// limit the number of calls, because each call takes resources of the worker.
const (
	// tickRatio is the interval between two checks for workers and stores that are due to be polled, as a ratio of the
	// recovery time bound (Bounds.Recovery).
	tickRatio = 1.0 / 48
	// pollRatio is the interval between two polls of one worker or store, as a ratio of the recovery time bound
	// (Bounds.Recovery). A longer interval saves calls; with a shorter one the index learns earlier what a worker has
	// evicted.
	pollRatio = 1.0 / 24
	// firstPollRatio is the maximum delay until a newly listed worker or store is first polled, as a ratio of the
	// recovery time bound (Bounds.Recovery).
	firstPollRatio = 1.0 / 96
	// longPollRatio is how long a worker or store may hold a request for cache events until it has one to report, as a
	// ratio of the recovery time bound (Bounds.Recovery).
	longPollRatio = 1.0 / 12
	// responseGraceRatio is how long a response to a poll may take in addition to the long-poll time (longPollRatio), as
	// a ratio of the recovery time bound (Bounds.Recovery).
	responseGraceRatio = 1.0 / 12
	// fullListRatio is the minimum interval between two requests for the complete cache of any worker or store, as a
	// ratio of the recovery time bound (Bounds.Recovery). Listing the complete cache slows a worker down.
	fullListRatio = 1.0 / 24
	// workerFullListRatio is the minimum interval between two requests for the complete cache of the same worker or
	// store, as a ratio of the recovery time bound (Bounds.Recovery). Listing the complete cache slows the worker down.
	workerFullListRatio = 1.0
	// sweepRatio is the interval between two sweeps that remove expired holder records and unused entries, as a ratio of
	// the recovery time bound (Bounds.Recovery).
	sweepRatio = 1.0
)

// maxIncompleteRatio is the largest share of the polled workers and stores that may not have reported their complete
// caches yet for Core.Warm to return true, in an index that is fed by cache events.
const maxIncompleteRatio = 1.0 / 8

// pollTarget is a worker or store that the index node polls for cache events.
type pollTarget struct {
	name, addr string
	// service is the service that a worker belongs to; "" for a store.
	service string
}

// isStore reports whether the poll target is a store rather than a worker.
func (t pollTarget) isStore() bool { return t.service == "" }

// pollTargets returns the workers and stores to poll: the stores in a snapshot of the fleet, and the workers whose
// service has a prompt cache.
func pollTargets(snapshot *fleet.Snapshot) (targets []pollTarget) {
	hasCache := map[string]bool{}
	for _, service := range snapshot.Plan.Services {
		hasCache[service.Name] = service.Engine != nil
		if service.Store != nil {
			targets = append(targets, pollTarget{name: service.Name, addr: service.Store.Addr})
		}
	}
	for _, worker := range snapshot.Workers {
		if hasCache[worker.Service] {
			targets = append(targets, pollTarget{name: worker.ID, addr: worker.Addr, service: worker.Service})
		}
	}
	return targets
}

// eventFollower feeds an index node with the cache events of the workers and stores in the current snapshot of the
// fleet. Its fields are accessed only within the node's actor, except for node, client and snapshot, which never
// change.
type eventFollower struct {
	node     *Node
	client   backend.Client
	snapshot func() *fleet.Snapshot

	// isPolling has the workers and stores with a poll in flight, by name.
	isPolling map[string]bool
	// isListed has the workers and stores in the snapshot that was used for the previous round of polls, by name.
	isListed map[string]bool
	// nextPollAt has the time from which the next poll of each worker or store is due, by name.
	nextPollAt map[string]time.Duration
	// fullListAt has the time of the last request for the complete cache of each worker or store, by name.
	fullListAt map[string]time.Duration
	// lastFullListAt is the time of the last request for the complete cache of any worker or store; 0 if there was
	// none.
	lastFullListAt time.Duration
	sweptAt        time.Duration
	// isServing is true while keys are assigned to this index node; otherwise the node is on standby and does not poll.
	isServing bool
}

// StartWithCacheEvents starts an index node that polls the workers and stores in the current snapshot of the fleet for cache
// events, until the process stops. The caller must serve the node's Handler.
//
// Example: n, err := promptindex.StartWithCacheEvents(process, client, agent.Snapshot)
func StartWithCacheEvents(process *daemon.Process, client backend.Client, snapshot func() *fleet.Snapshot) (*Node, error) {
	// The index stores the keys of all shards, so that an index node that takes over a shard already has entries for its
	// keys.
	core := NewCore(process.Settings.Bounds, func(prefix.Key) bool { return true })
	core.maxIncompleteRatio = maxIncompleteRatio
	n := newNode(process, core)
	f := &eventFollower{
		node:       n,
		client:     client,
		snapshot:   snapshot,
		isPolling:  map[string]bool{},
		isListed:   map[string]bool{},
		nextPollAt: map[string]time.Duration{},
		fullListAt: map[string]time.Duration{},
	}
	process.Every(process.Settings.Bounds.Recovery(tickRatio), f.tick)
	n.addMetrics()
	return n, nil
}

// tick polls the workers and stores that are due, if keys are assigned to this index node. Otherwise the node is on
// standby and does not poll.
func (f *eventFollower) tick() {
	snapshot := f.snapshot()
	if snapshot == nil || snapshot.Plan == nil {
		return
	}
	isServing := false
	for _, node := range ServingNodes(snapshot.Nodes) {
		isServing = isServing || node.Name == f.node.name
	}
	targets, now := pollTargets(snapshot), f.node.clock.Now()
	f.node.actor.Ask(func(c *Core) {
		if f.isServing != isServing {
			f.isServing = isServing
			c.MarkIncomplete()
		}
		if isServing {
			f.pollDue(c, targets, now)
		}
	})
}

// pollDue polls the workers and stores that are due, and removes those that are no longer in the snapshot. Once per
// sweep interval (sweepRatio) it removes expired holder records and unused entries.
func (f *eventFollower) pollDue(core *Core, targets []pollTarget, now time.Duration) {
	isListed := make(map[string]bool, len(targets))
	for _, target := range targets {
		isListed[target.name] = true
		f.poll(core, target, now)
	}
	for name := range f.isListed {
		if !isListed[name] {
			core.RemoveWorker(name)
			delete(f.nextPollAt, name)
			delete(f.fullListAt, name)
		}
	}
	f.isListed = isListed
	if now-f.sweptAt > f.interval(sweepRatio) {
		f.sweptAt = now
		core.Sweep(isListed, now)
	}
}

// interval returns the recovery time bound (Bounds.Recovery) multiplied by ratio.
func (f *eventFollower) interval(ratio float64) time.Duration {
	return f.node.process.Settings.Bounds.Recovery(ratio)
}

// poll polls one worker or store if it is due and has no poll in flight. A newly listed one is first polled after a
// delay of at most firstPollRatio. The delay depends on a hash of the names of the index node and the worker or store,
// so that the index nodes do not all call it at the same moment.
func (f *eventFollower) poll(c *Core, target pollTarget, now time.Duration) {
	due, isKnown := f.nextPollAt[target.name]
	if !isKnown {
		due = now + time.Duration(rendezvous.Hash(f.node.name+target.name)%uint64(f.interval(firstPollRatio)))
		f.nextPollAt[target.name] = due
	}
	if f.isPolling[target.name] || now < due {
		return
	}
	request := c.NextEvents(target.name, target.service)
	request.Full = request.Full && f.mayRequestFullList(target.name, now)
	if request.Full {
		f.lastFullListAt, f.fullListAt[target.name] = now, now
	}
	f.isPolling[target.name], f.nextPollAt[target.name] = true, now+f.interval(pollRatio)
	go f.fetchEvents(target, request)
}

// mayRequestFullList reports whether the complete cache of the named worker or store may be requested now: the minimum
// intervals since the last such request to any worker or store (fullListRatio) and to the named one
// (workerFullListRatio) must both have passed.
func (f *eventFollower) mayRequestFullList(name string, now time.Duration) bool {
	lastOfWorker, hasList := f.fullListAt[name]
	hasIntervalPassed := f.lastFullListAt == 0 || now-f.lastFullListAt >= f.interval(fullListRatio)
	return hasIntervalPassed && (!hasList || now-lastOfWorker >= f.interval(workerFullListRatio))
}

// fetchEvents sends one request for cache events, or for the complete cache, to a worker or store and applies the
// response. If the request to a store fails, the store is recorded as down.
func (f *eventFollower) fetchEvents(target pollTarget, request ReportRequest) {
	ctx, cancel := context.WithTimeout(f.node.process.Ctx, f.interval(longPollRatio+responseGraceRatio))
	defer cancel()
	var events backend.CacheEvents
	var err error
	if request.Full {
		events, err = f.client.CachedPrefixes(ctx, target.addr)
	} else {
		events, err = f.client.CacheEvents(ctx, target.addr, request.After, f.interval(longPollRatio))
	}
	f.node.actor.Ask(func(c *Core) {
		delete(f.isPolling, target.name)
		now := f.node.clock.Now()
		if err != nil || events.Throttled {
			f.nextPollAt[target.name] = now + f.interval(pollRatio)
			if err != nil && target.isStore() {
				c.RecordStoreDown(target.name)
			}
			return
		}
		c.ApplyEvents(request, events, now)
		if target.isStore() {
			c.RecordStoreUp(target.name, now)
		}
	})
}
