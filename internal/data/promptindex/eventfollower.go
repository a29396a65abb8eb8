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

// Timing of the polls of a site's workers, as ratios of the heal bound: each call costs the worker.
const (
	// tickRatio is the time between two looks for workers that are due.
	tickRatio = 1.0 / 48
	// pollRatio is the time between two calls to one worker: longer saves calls, shorter lets the index know
	// sooner what a worker dropped. Measured: journal/20261202T031717 and T031718 (a 24th).
	pollRatio = 1.0 / 24
	// firstPollRatio is the time within which new workers are first polled.
	firstPollRatio = 1.0 / 96
	// longPollRatio is how long a worker may wait for an event before it responds, and responseGraceRatio how
	// much longer its response may take.
	longPollRatio      = 1.0 / 12
	responseGraceRatio = 1.0 / 12
	// fullListRatio is the time between two full lists of any workers, and workerFullListRatio between two of
	// one worker: they slow workers down.
	fullListRatio       = 1.0 / 24
	workerFullListRatio = 1.0
	// sweepRatio is the time between two sweeps of the tables.
	sweepRatio = 1.0
)

// maxIncompleteRatio is the share of the workers without whose reports the index of a site is warm.
const maxIncompleteRatio = 1.0 / 8

// pollTarget is a worker or store whose events are followed.
type pollTarget struct {
	name, addr string
	service    string // "": a store
}

func (t pollTarget) isStore() bool { return t.service == "" }

// pollTargets lists the stores of a snapshot, and the workers of services with a prompt cache.
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

// eventFollower feeds an index node with the events of the workers and stores of a snapshot. All its fields
// but the first three are guarded by the node's actor.
type eventFollower struct {
	node     *Node
	client   backend.Client
	snapshot func() *fleet.Snapshot

	isPolling    map[string]bool          // workers with a poll in flight
	isListed     map[string]bool          // workers at the last tick
	nextPoll     map[string]time.Duration // by worker
	fullListAt   map[string]time.Duration // by worker: the last full list
	lastFullList time.Duration            // of any worker; 0: none
	sweptAt      time.Duration
	isServing    bool // keys are assigned to this node
}

// StartSite runs an index node that follows the workers and stores of a snapshot, until the process stops.
// The caller serves its Handler.
//
// Example: n, err := promptindex.StartSite(process, client, agent.Snapshot)
func StartSite(process *daemon.Process, client backend.Client, snapshot func() *fleet.Snapshot) (*Node, error) {
	core := NewCore(process.Settings.Bounds, func(prefix.Key) bool { return true }) // a node that takes over a shard has its keys already
	core.maxIncompleteRatio = maxIncompleteRatio
	n := newNode(process, core)
	f := &eventFollower{
		node:       n,
		client:     client,
		snapshot:   snapshot,
		isPolling:  map[string]bool{},
		isListed:   map[string]bool{},
		nextPoll:   map[string]time.Duration{},
		fullListAt: map[string]time.Duration{},
	}
	process.Every(process.Settings.Bounds.Heal(tickRatio), f.tick)
	n.addMetrics()
	return n, nil
}

// tick polls the workers that are due, if keys are assigned to this node.
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

// pollDue polls the targets that are due, forgets those that left, and sweeps the tables.
func (f *eventFollower) pollDue(core *Core, targets []pollTarget, now time.Duration) {
	isListed := make(map[string]bool, len(targets))
	for _, target := range targets {
		isListed[target.name] = true
		f.poll(core, target, now)
	}
	for name := range f.isListed {
		if !isListed[name] {
			core.RemoveWorker(name)
			delete(f.nextPoll, name)
			delete(f.fullListAt, name)
		}
	}
	f.isListed = isListed
	if now-f.sweptAt > f.bound(sweepRatio) {
		f.sweptAt = now
		core.Sweep(isListed, now)
	}
}

// bound is a ratio of the heal bound.
func (f *eventFollower) bound(ratio float64) time.Duration {
	return f.node.process.Settings.Bounds.Heal(ratio)
}

// poll polls one target if it is due. New ones are polled soon, spread by a hash so that the index nodes
// don't all call one worker at once.
func (f *eventFollower) poll(c *Core, target pollTarget, now time.Duration) {
	due, isKnown := f.nextPoll[target.name]
	if !isKnown {
		due = now + time.Duration(rendezvous.Hash(f.node.name+target.name)%uint64(f.bound(firstPollRatio)))
		f.nextPoll[target.name] = due
	}
	if f.isPolling[target.name] || now < due {
		return
	}
	request := c.NextEvents(target.name, target.service)
	request.Full = request.Full && f.mayRequestFullList(target.name, now)
	if request.Full {
		f.lastFullList, f.fullListAt[target.name] = now, now
	}
	f.isPolling[target.name], f.nextPoll[target.name] = true, now+f.bound(pollRatio)
	go f.call(target, request)
}

// mayRequestFullList reports whether a full list may be requested now.
func (f *eventFollower) mayRequestFullList(name string, now time.Duration) bool {
	lastOfWorker, hasList := f.fullListAt[name]
	isPaced := f.lastFullList == 0 || now-f.lastFullList >= f.bound(fullListRatio)
	return isPaced && (!hasList || now-lastOfWorker >= f.bound(workerFullListRatio))
}

// call makes one request to a target and applies its response. An error of a store means that it is down.
func (f *eventFollower) call(target pollTarget, request ReportRequest) {
	ctx, cancel := context.WithTimeout(f.node.process.Ctx, f.bound(longPollRatio+responseGraceRatio))
	defer cancel()
	var events backend.CacheEvents
	var err error
	if request.Full {
		events, err = f.client.CachedPrefixes(ctx, target.addr)
	} else {
		events, err = f.client.CacheEvents(ctx, target.addr, request.After, f.bound(longPollRatio))
	}
	f.node.actor.Ask(func(c *Core) {
		delete(f.isPolling, target.name)
		now := f.node.clock.Now()
		if err != nil || events.Throttled {
			f.nextPoll[target.name] = now + f.bound(pollRatio)
			if err != nil && target.isStore() {
				c.StoreDown(target.name)
			}
			return
		}
		c.ApplyEvents(request, events, now)
		if target.isStore() {
			c.StoreUp(target.name, now)
		}
	})
}
