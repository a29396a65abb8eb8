package callerproxy

import (
	"bufio"
	"context"
	"fmt"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// Ratios of the bound on leaving workers (Bounds.Leave).
const (
	watchIntervalRatio      = 0.2 // how often an attempt checks that its worker is still known
	failedWorkerPauseRatio  = 0.3 // for how long a worker gets no attempt after a failed one: until its next health check
	noWorkerRetryAfterRatio = 0.3 // Retry-After if no worker can be selected
)

// defaultAnswerChunks is how many chunks an answer has if the caller names no number.
const defaultAnswerChunks = 16

// kindStore is the kind of a worker that only stores prefixes.
const kindStore = "store"

// selectWorker selects the worker of the next attempt, and counts the attempt there.
func (req *request) selectWorker(service string) (Choice, error) {
	p := req.proxy
	query := req.newQuery(service)
	now := p.clock.Now()
	var choice Choice
	selected := false
	p.traffic.Ask(func(table *trafficTable) {
		table.addLoads(&query, now, p.bounds.Leave(failedWorkerPauseRatio))
		if choice, selected = Select(query); selected {
			table.worker(choice.Worker.Name).attempts++
		}
	})
	if !selected {
		return choice, reject(errs.NotExecuted, req.body.RequestID, p.bounds.Leave(noWorkerRetryAfterRatio), "no worker of service %s can accept it now", service)
	}
	return choice, nil
}

// newQuery is the query for the request's next worker, without what the traffic table knows.
func (req *request) newQuery(service string) Query {
	p, snapshot := req.proxy, req.snapshot
	target := targetFor(snapshot, req.body)
	query := Query{
		ID:             req.body.RequestID,
		Mode:           placementMode(snapshot.Config, service),
		Entries:        req.prefixEntries(req.entries),
		LookupResults:  req.lookupResults,
		FailedWorkers:  req.failedWorkers,
		NewestWeights:  snapshot.Weights[target.Model].Version,
		Placement:      snapshot.Placements[service],
		PrefillCurve:   p.prefillCurve,
		NearBandwidth:  p.bandwidths.near.Load(),
		FarBandwidth:   p.bandwidths.far.Load(),
		StoreBandwidth: p.bandwidths.store.Load(),
		StoreAddrs:     map[string]string{},
	}
	if query.Placement != nil {
		query.PrefillCurve = query.Placement.PrefillCurve
	}
	for _, worker := range snapshot.Workers {
		if worker.Kind == kindStore && worker.State == updatestream.WorkerUp {
			query.StoreAddrs[worker.Name] = worker.Addr
		}
		if workerView := workerForTarget(worker, target); workerView != nil && worker.Service == service && worker.State <= updatestream.WorkerSuspect {
			query.Workers = append(query.Workers, workerView)
		}
	}
	return query
}

// addLoads adds the load of the workers to a query, and takes out those that have failed an attempt of this
// node less than failurePause ago.
func (t *trafficTable) addLoads(query *Query, now, failurePause time.Duration) {
	query.MeanAttemptUs = t.meanAttemptUs
	var healthy []*wire.Worker
	for _, worker := range query.Workers {
		if state := t.workers[worker.Name]; state == nil || state.failedAt == 0 || now-state.failedAt > failurePause {
			healthy = append(healthy, worker)
		}
	}
	query.Workers = healthy
	loads := make(map[string]float64, len(healthy))
	for _, worker := range healthy {
		loads[worker.Name] = float64(worker.Busy + worker.Queued)
		if state := t.workers[worker.Name]; state != nil {
			loads[worker.Name] = max(loads[worker.Name], float64(state.attempts))
		}
	}
	query.Load = func(name string) float64 { return loads[name] }
}

func placementMode(config *serviceconfig.Config, service string) string {
	if mode := config.Services[service].Placement; mode != "" {
		return mode
	}
	return serviceconfig.PlacementHRCS
}

// startAttempt starts an attempt and waits for its first line. If it fails, notExecuted says whether it is
// proven that the attempt never started.
func (req *request) startAttempt(service string, choice Choice, deadline time.Duration) (started *stream, notExecuted bool, err error) {
	proxy, worker := req.proxy, choice.Worker
	remaining := req.timeRemaining()
	ctx, cancel := context.WithCancel(req.ctx)
	newStream := &stream{
		proxy:     proxy,
		id:        req.body.RequestID,
		worker:    worker.Name,
		zone:      worker.Zone,
		startedAt: proxy.clock.Now(),
		cancel:    cancel,
		snapshot:  req.snapshot,
	}
	newStream.watch = time.AfterFunc(proxy.bounds.Leave(watchIntervalRatio), func() { proxy.watchWorker(newStream, worker, cancel) })
	attempt := proxy.backends.Start(ctx, worker.Addr, req.startRequest(worker, remaining, deadline), choice.headers())
	if attempt.Err != nil {
		newStream.finish(false)
		return nil, attempt.NotExecuted(), attempt.Err
	}
	proxy.index.recordAccesses(service, choice.Entries, worker.Name, choice.SaveNames, choice.SaveEntries)
	newStream.responseBody, newStream.reader = attempt.Body, bufio.NewReaderSize(attempt.Body, contract.MaxLineBytes)
	newStream.verifier = contract.NewStreamVerifier(req.body.RequestID, worker.Name)
	if err := newStream.readLine(); err != nil {
		newStream.finish(false)
		return nil, false, err
	}
	req.queueDecision(choice)
	return newStream, false, nil
}

func (req *request) startRequest(worker *wire.Worker, remaining, deadline time.Duration) contract.StartRequest {
	body, target := req.body, targetFor(req.snapshot, req.body)
	return contract.StartRequest{
		RequestID:   body.RequestID,
		Tenant:      req.tenant,
		CacheDomain: req.snapshot.Config.CacheDomain(req.tenant),
		Model:       target.Model,
		Adapter:     target.Adapter,
		Build:       target.Build,
		Weights:     worker.Weights,
		Parts:       body.Parts,
		Chunks:      body.Pieces.Or(defaultAnswerChunks),
		WaitMs:      int(min(remaining, deadline-req.proxy.clock.Now()).Milliseconds()),
		AtMostOnce:  req.atMostOnce,
		Incarnation: worker.Incarnation,
		BeginByUs:   workerStartDeadline(worker, deadline),
	}
}

// hints are the header fields that name where the worker fetches prefixes from and where it saves them.
func (c *Choice) headers() map[string]string {
	headers := map[string]string{}
	if c.FetchFrom != "" {
		headers[contract.FetchFrom] = c.FetchFrom
	}
	if c.SaveAddrs != "" {
		headers[contract.SaveTo], headers[contract.SaveUpTo] = c.SaveAddrs, fmt.Sprint(c.SaveEntries)
	}
	return headers
}

// watchWorker cancels an attempt whose worker is gone, without waiting for a time-out.
func (p *Proxy) watchWorker(s *stream, worker *wire.Worker, cancel func()) {
	for _, known := range p.follower.Snapshot().Workers {
		if isSameWorker(known, worker) && known.State != updatestream.WorkerGone {
			s.rescheduleWatch(p.bounds.Leave(watchIntervalRatio), func() { p.watchWorker(s, worker, cancel) })
			return
		}
	}
	cancel()
}

// isSameWorker reports whether a known worker is the one that an attempt was started at, in the same
// incarnation if that was known.
func isSameWorker(known, started *wire.Worker) bool {
	return known.Name == started.Name && known.Addr == started.Addr &&
		(started.Incarnation == "" || known.Incarnation == started.Incarnation)
}
