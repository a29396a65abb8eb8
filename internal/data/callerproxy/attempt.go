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

// Intervals and pauses as fractions of Bounds.Leave, the time within which a departed worker stops receiving
// requests.
const (
	watchIntervalRatio      = 0.2 // interval at which a running attempt checks that its worker still exists
	failedWorkerPauseRatio  = 0.3 // how long a worker gets no further attempt after a failed one, to cover the time until its next health check
	noWorkerRetryAfterRatio = 0.3 // Retry-After of a request that is rejected because no worker can be selected
)

// defaultAnswerChunks is the number of response chunks to generate if the request does not specify it.
const defaultAnswerChunks = 16

// kindStore is the kind of a cache store: it is listed as a worker, but only stores KV cache prefixes.
const kindStore = "store"

// selectWorker selects a worker for the next attempt and counts the attempt in that worker's load.
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
		return choice, reject(errs.NotExecuted, req.body.RequestID, p.bounds.Leave(noWorkerRetryAfterRatio), "no worker of service %s can currently accept the request", service)
	}
	return choice, nil
}

// newQuery builds the worker selection query of the next attempt. The load and the mean duration of attempts are
// missing; trafficTable.addLoads fills them in.
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

// addLoads adds the workers' loads to a query and removes workers that failed an attempt from this node less than
// failurePause ago. The load is the larger of the reported load and this node's own attempts.
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

// placementMode returns the placement mode that the configuration sets for a service, or the default mode.
func placementMode(config *serviceconfig.Config, service string) string {
	if mode := config.Services[service].Placement; mode != "" {
		return mode
	}
	return serviceconfig.PlacementHRCS
}

// startAttempt sends the request to the chosen worker and waits for the first line of the response. If that fails,
// notExecuted reports whether the worker is proven not to have executed the request.
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

// startRequest builds the request that asks a worker to start an attempt.
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

// headers returns the HTTP headers of a start request that name the addresses from which the chosen worker fetches
// cached prefixes, and those to which it copies them.
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

// watchWorker cancels an attempt as soon as its worker is no longer listed, instead of waiting for a timeout. It
// reschedules itself while the worker exists.
func (p *Proxy) watchWorker(s *stream, worker *wire.Worker, cancel func()) {
	for _, known := range p.follower.Snapshot().Workers {
		if isSameWorker(known, worker) && known.State != updatestream.WorkerGone {
			s.rescheduleWatch(p.bounds.Leave(watchIntervalRatio), func() { p.watchWorker(s, worker, cancel) })
			return
		}
	}
	cancel()
}

// isSameWorker reports whether a listed worker is the one that an attempt was sent to. Their incarnations are compared
// only if the worker's incarnation was known when the attempt started.
func isSameWorker(known, started *wire.Worker) bool {
	return known.Name == started.Name && known.Addr == started.Addr &&
		(started.Incarnation == "" || known.Incarnation == started.Incarnation)
}
