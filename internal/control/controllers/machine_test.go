package controllers

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/maputil"
	"pebbleloom/internal/wire"
)

// coreMachine implements the clients with which the Controller of one core machine calls the control state, the
// platform's worker list and the workers of a testSite.
type coreMachine struct {
	site *testSite
	name string
}

// call simulates one call by the core machine: a network delay for the request, its effect, and a network delay for
// the response. The machine fails before or after the effect if the test has scheduled that for a lease holder.
func (m *coreMachine) call(ctx context.Context, kind callKind, effect func() error) error {
	clock.Sleep(ctx, networkDelay)
	site := m.site
	site.mu.Lock()
	if _, ok := site.crashedAt[m.name]; ok || ctx.Err() != nil {
		site.mu.Unlock()
		return errNoResponse
	}
	site.callCounts[kind]++
	if kind == callPut || kind == callOrder || kind == callReport {
		site.effects++
	}
	fail := site.effects == site.failAtEffect && site.failedMachine == "" && site.lease.GetHolder() != "" && strings.HasPrefix(site.lease.Holder, m.name+"/")
	if fail && site.failureKind == crashBeforeEffect {
		site.crash(m.name)
		site.mu.Unlock()
		return errNoResponse
	}
	err := effect()
	if fail && site.failureKind == crashAfterEffect {
		site.crash(m.name)
		err = errNoResponse
	}
	if fail && site.failureKind == gracefulStop {
		site.failedMachine = m.name
		process := site.processes[m.name]
		site.stopping.Go(func() { process.Stop(site.bounds.Leave(1)) })
	}
	if site.lossProbability > 0 && site.random.Float64() < site.lossProbability {
		err = errNoResponse
	}
	site.mu.Unlock()
	clock.Sleep(ctx, networkDelay)
	if ctx.Err() != nil {
		return errNoResponse
	}
	return err
}

// crash records that a core machine crashes now. From then on, its calls have no effect.
func (s *testSite) crash(name string) { s.crashedAt[name], s.failedMachine = s.clock.Now(), name }

func (m *coreMachine) Change(ctx context.Context, request *wire.ChangeRequest) (response *wire.ChangeResponse, err error) {
	kind := callPut
	if request.Command.GetGrant() != nil {
		kind = callGrant
	}
	err = m.call(ctx, kind, func() error {
		if grant := request.Command.GetGrant(); grant != nil {
			response = m.site.grant(grant)
		} else {
			response = m.site.put(request.Command.GetPut())
		}
		return nil
	})
	if err != nil {
		return nil, errs.WrapAs(err, errs.MayHaveExecuted, "simulated change of the control state")
	}
	if response.Outcome != wire.OutcomeDone {
		return response, errs.New(errs.Conflict, "change of the control state rejected: outcome %s", response.Outcome)
	}
	return response, nil
}

// grant applies a request to acquire, renew or release the site's lease, under the same rules as the real control
// state.
func (s *testSite) grant(request *wire.Grant) *wire.ChangeResponse {
	now, lease := s.clock.Now(), s.lease
	if lease == nil {
		lease = &wire.Lease{}
	}
	ttl := time.Duration(lease.TtlNs)
	free := lease.Holder == "" || lease.Holder == request.Holder || now-s.grantedAt > ttl+ttl/8
	if request.IfFence != lease.Fence || !free || request.Release && lease.Holder != request.Holder {
		return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: lease.Fence, Leader: lease.Holder}
	}
	next := &wire.Lease{Name: request.Lease, Holder: request.Holder, Fence: lease.Fence, TtlNs: request.TtlNs}
	if request.Release {
		if s.inFlight[request.Holder] > 0 {
			s.t.Errorf("lease holder %s released the site lease while %d of its orders to workers had no response, want 0", request.Holder, s.inFlight[request.Holder])
		}
		next.Holder = ""
	} else if lease.Holder != request.Holder {
		next.Fence++
	}
	s.lease, s.grantedAt = next, now
	return &wire.ChangeResponse{Outcome: wire.OutcomeDone, Fence: next.Fence, Leader: next.Holder}
}

// put writes a document if the request carries its current version, the holder of the site's lease and the current
// fencing token, as the real control state requires.
func (s *testSite) put(put *wire.Put) *wire.ChangeResponse {
	document := s.documents[put.Key]
	if lease := s.lease; put.Lease != LeaseName || lease.GetFence() != put.Fence || lease.GetHolder() != put.Holder || put.AnyVersion || put.IfVersion != document.GetVersion() {
		return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Version: document.GetVersion()}
	}
	s.documents[put.Key] = &wire.Document{Key: put.Key, Body: put.Body, Version: put.IfVersion + 1}
	if strings.HasPrefix(put.Key, fleet.PlacementKey) {
		cordonedAt := map[string]time.Duration{}
		for _, id := range s.cordoned() {
			if cordonedAt[id] = s.clock.Now(); s.cordonedAt[id] != 0 {
				cordonedAt[id] = s.cordonedAt[id]
			}
		}
		s.cordonedAt = cordonedAt
	}
	return &wire.ChangeResponse{Outcome: wire.OutcomeDone, Version: put.IfVersion + 1}
}

// cordoned returns the IDs of the workers that the placement in the simulated control state cordons.
func (s *testSite) cordoned() []string {
	var placement struct {
		Cordoned []string `json:"rolling"`
	}
	if document := s.documents[fleet.PlacementKey+"reading"]; document != nil {
		if err := json.Unmarshal(document.Body, &placement); err != nil {
			s.t.Error("decoding the placement in the simulated control state failed:", err)
		}
	}
	return placement.Cordoned
}

// publishedVersions returns the versions of the weights in the worker list that is stored in the control state, by
// worker ID. Draining workers are left out.
func (s *testSite) publishedVersions() map[string]uint64 {
	var list fleet.WorkerList
	if document := s.documents[fleet.WorkersKey]; document != nil {
		if err := json.Unmarshal(document.Body, &list); err != nil {
			s.t.Error("decoding the worker list in the simulated control state failed:", err)
		}
	}
	versions := map[string]uint64{}
	for _, worker := range list.Workers {
		if !worker.Draining {
			versions[worker.ID] = worker.Weights["daka"]
		}
	}
	return versions
}

func (m *coreMachine) Read(ctx context.Context, request *wire.ReadRequest) (*wire.ReadResponse, error) {
	response := &wire.ReadResponse{Outcome: wire.OutcomeDone}
	err := m.call(ctx, callRead, func() error {
		for _, key := range maputil.SortedKeys(m.site.documents) {
			if key == request.Key || request.Prefix && strings.HasPrefix(key, request.Key) {
				response.Documents = append(response.Documents, proto.Clone(m.site.documents[key]).(*wire.Document))
			}
		}
		return nil
	})
	return response, err
}

func (m *coreMachine) ListWorkers(ctx context.Context, page string) (workers []fleet.Worker, next string, err error) {
	err = m.call(ctx, callList, func() error {
		site := m.site
		if site.listReads++; site.listUnavailable {
			return errs.New(errs.Overloaded, "simulated platform: read of the worker list rejected, too many calls")
		}
		ids := maputil.SortedKeys(site.workers)
		if i := slices.Index(ids, page); i > 0 {
			ids = ids[i:]
		}
		if len(ids) > pageSize {
			ids, next = ids[:pageSize], ids[pageSize]
		}
		for _, id := range ids {
			worker := site.workers[id].worker
			worker.Weights = map[string]uint64{"daka": site.workers[id].stateAt(site.clock.Now() - listAge).version}
			workers = append(workers, worker)
		}
		return nil
	})
	return workers, next, err
}

// workerAt returns the responsive worker with an address; nil if there is none.
func (m *coreMachine) workerAt(addr string) *testWorker {
	for _, worker := range m.site.workers {
		if worker.worker.Addr == addr && !worker.unresponsive {
			return worker
		}
	}
	return nil
}

func (m *coreMachine) Report(ctx context.Context, addr string) (report backend.Report, err error) {
	err = m.call(ctx, callReport, func() error {
		worker := m.workerAt(addr)
		if worker == nil {
			return errNoResponse
		}
		state := worker.stateAt(m.site.clock.Now() - reportAge)
		report = backend.Report{Busy: state.busy, Sequence: state.sequence, Weights: map[string]uint64{"daka": state.version}}
		return nil
	})
	return report, err
}

func (m *coreMachine) Order(ctx context.Context, addr string, order backend.Order) (outcome backend.Outcome, err error) {
	m.countInFlight(order.LeaseHolder, 1)
	defer m.countInFlight(order.LeaseHolder, -1)
	err = m.call(ctx, callOrder, func() error {
		worker := m.workerAt(addr)
		if worker == nil {
			return errNoResponse
		}
		outcome = m.site.receiveOrder(worker, order)
		return nil
	})
	return outcome, err
}

// countInFlight adds delta to the number of a lease holder's orders that have no response yet.
func (m *coreMachine) countInFlight(holder string, delta int) {
	m.site.mu.Lock()
	defer m.site.mu.Unlock()
	m.site.inFlight[holder] += delta
}

// receiveOrder simulates how a worker handles an order, and returns the outcome in its response. The test fails if the
// order violates a rule of checkOrder or makes the worker load the same version twice.
func (s *testSite) receiveOrder(worker *testWorker, order backend.Order) backend.Outcome {
	now, id := s.clock.Now(), worker.worker.ID
	s.ordersReceived++
	s.checkOrder(id, order, now)
	s.lastOrders[id] = receivedOrder{order.LeaseHolder, order.FencingToken, now}
	current := worker.stateAt(now)
	switch {
	case order.FencingToken < worker.fencingToken:
		return backend.OutcomeFenced
	case current.busy || order.Sequence != nil && *order.Sequence != current.sequence:
		return backend.OutcomeBusy
	case current.version >= order.Version:
		return backend.OutcomeAlreadyDone
	}
	worker.fencingToken = order.FencingToken
	if worker.loads[order.Version]++; worker.loads[order.Version] > 1 {
		s.t.Errorf("worker %s started to load version %d of the weights for the second time, want one load of each version", id, order.Version)
	}
	loaded := now + drainTime + s.loadTime(now)
	worker.states = append(worker.states,
		workerState{since: now, busy: true, version: current.version, sequence: current.sequence + 1},
		workerState{since: loaded, version: order.Version, sequence: current.sequence + 1})
	return backend.OutcomeStarted
}

// checkOrder checks an order that a worker received: it is meant for this worker, its fencing token is not lower than
// that of the previous order, orders from different lease holders are at least minOrderGap apart, and the worker has
// been cordoned for long enough that proxies know it.
func (s *testSite) checkOrder(id string, order backend.Order, now time.Duration) {
	if last, ok := s.lastOrders[id]; ok {
		otherHolder := last.holder != order.LeaseHolder
		if last.fencingToken > order.FencingToken || last.fencingToken == order.FencingToken && otherHolder {
			s.t.Errorf("worker %s got an order with fencing token %d from lease holder %s after one with token %d from %s, want a higher token, or the same from the same holder", id, order.FencingToken, order.LeaseHolder, last.fencingToken, last.holder)
		}
		if otherHolder && now-last.at < minOrderGap {
			s.t.Errorf("worker %s got an order from lease holder %s %v after one from holder %s, want at least %v between them", id, order.LeaseHolder, now-last.at, last.holder, minOrderGap)
		}
	}
	if at := s.cordonedAt[id]; at == 0 || now-at < s.bounds.Leave(cordonLeadRatio) {
		s.t.Errorf("worker %s got an order at %v, cordoned since %v (0: not at all), want it cordoned for at least %v before the order", id, now, at, s.bounds.Leave(cordonLeadRatio))
	}
	if order.Instance != id || order.Mode != backend.ModeAwait || order.Model != "daka" || order.Version > s.targetVersions["daka"] {
		s.t.Errorf("worker %s got order %+v, want its own ID as the instance, mode %v, model daka and at most target version %d", id, order, backend.ModeAwait, s.targetVersions["daka"])
	}
}

// loadTime returns the duration of a load of weights that starts now. It is longer than 1.1 s when more than a fifth of
// the workers load at the same time.
func (s *testSite) loadTime(now time.Duration) time.Duration {
	loading := 1
	for _, worker := range s.workers {
		if worker.stateAt(now).busy {
			loading++
		}
	}
	s.maxLoading = max(s.maxLoading, loading)
	duration := 1100 * time.Millisecond
	if many := max(1, len(s.workers)/5); loading > many {
		duration = duration * time.Duration(loading) / time.Duration(many)
	}
	return duration
}

func (m *coreMachine) CacheEvents(context.Context, string, uint64, time.Duration) (backend.CacheEvents, error) {
	return backend.CacheEvents{}, errNoResponse
}

func (m *coreMachine) CachedPrefixes(context.Context, string) (backend.CacheEvents, error) {
	return backend.CacheEvents{}, errNoResponse
}
