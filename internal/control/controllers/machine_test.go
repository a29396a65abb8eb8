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
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// machine is one core machine's way to all of it.
type machine struct {
	s    *testSite
	name string
}

// call is one call of the machine: it travels, does what it does, and the answer travels back.
// Where the machine's time has come, it dies before or after that.
func (m *machine) call(ctx context.Context, kind string, do func() error) error {
	clock.Sleep(ctx, callDelay)
	s := m.s
	s.mu.Lock()
	if _, ok := s.dead[m.name]; ok || ctx.Err() != nil {
		s.mu.Unlock()
		return errLost
	}
	s.calls[kind]++
	if kind == "put" || kind == "order" || kind == "report" {
		s.effects++
	}
	die := s.effects == s.deathAt && s.victim == "" && s.lease.GetHolder() != "" && strings.HasPrefix(s.lease.Holder, m.name+"/")
	if die && s.deathKind == "before" {
		s.kill(m.name)
		s.mu.Unlock()
		return errLost
	}
	err := do()
	if die && s.deathKind == "after" {
		s.kill(m.name)
		err = errLost
	}
	if die && s.deathKind == "stop" {
		s.victim = m.name
		l := s.processes[m.name]
		s.stopping.Go(func() { l.Stop(s.bounds.Leave(1)) })
	}
	if s.lossy > 0 && s.random.Float64() < s.lossy {
		err = errLost
	}
	s.mu.Unlock()
	clock.Sleep(ctx, callDelay)
	if ctx.Err() != nil {
		return errLost
	}
	return err
}

func (s *testSite) kill(name string) { s.dead[name], s.victim = s.clock.Now(), name }

func (m *machine) Change(ctx context.Context, a *wire.ChangeRequest) (t *wire.ChangeResponse, err error) {
	kind := "put"
	if a.Command.GetGrant() != nil {
		kind = "grant"
	}
	err = m.call(ctx, kind, func() error {
		if g := a.Command.GetGrant(); g != nil {
			t = m.s.grant(g)
		} else {
			t = m.s.put(a.Command.GetPut())
		}
		return nil
	})
	if err != nil {
		return nil, errs.WrapAs(err, errs.MayHaveExecuted, "change")
	}
	if t.Outcome != wire.OutcomeDone {
		return t, errs.New(errs.Conflict, "%s", t.Outcome)
	}
	return t, nil
}

func (s *testSite) grant(g *wire.Grant) *wire.ChangeResponse {
	now, l := s.clock.Now(), s.lease
	if l == nil {
		l = &wire.Lease{}
	}
	ttl := time.Duration(l.TtlNs)
	free := l.Holder == "" || l.Holder == g.Holder || now-s.grantedAt > ttl+ttl/8
	if g.IfFence != l.Fence || !free || g.Release && l.Holder != g.Holder {
		return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: l.Fence, Leader: l.Holder}
	}
	n := &wire.Lease{Name: g.Lease, Holder: g.Holder, Fence: l.Fence, TtlNs: g.TtlNs}
	if g.Release {
		if s.inFlight[g.Holder] > 0 {
			s.t.Errorf("%s gives the lease back while its order is under way", g.Holder)
		}
		n.Holder = ""
	} else if l.Holder != g.Holder {
		n.Fence++
	}
	s.lease, s.grantedAt = n, now
	return &wire.ChangeResponse{Outcome: wire.OutcomeDone, Fence: n.Fence, Leader: n.Holder}
}

func (s *testSite) put(p *wire.Put) *wire.ChangeResponse {
	d := s.docs[p.Key]
	if l := s.lease; p.Lease != LeaseName || l.GetFence() != p.Fence || l.GetHolder() != p.Holder || p.AnyVersion || p.IfVersion != d.GetVersion() {
		return &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Version: d.GetVersion()}
	}
	s.docs[p.Key] = &wire.Document{Key: p.Key, Body: p.Body, Version: p.IfVersion + 1}
	if strings.HasPrefix(p.Key, fleet.PlacementKey) {
		now := map[string]time.Duration{}
		for _, id := range s.rolling() {
			if now[id] = s.clock.Now(); s.setAsideAt[id] != 0 {
				now[id] = s.setAsideAt[id]
			}
		}
		s.setAsideAt = now
	}
	return &wire.ChangeResponse{Outcome: wire.OutcomeDone, Version: p.IfVersion + 1}
}

func (s *testSite) rolling() []string {
	var p struct {
		Rolling []string `json:"rolling"`
	}
	if d := s.docs[fleet.PlacementKey+"reading"]; d != nil {
		if err := json.Unmarshal(d.Body, &p); err != nil {
			s.t.Error(err)
		}
	}
	return p.Rolling
}

func (s *testSite) table() map[string]uint64 {
	var doc fleet.WorkerList
	if d := s.docs[fleet.WorkersKey]; d != nil {
		if err := json.Unmarshal(d.Body, &doc); err != nil {
			s.t.Error(err)
		}
	}
	m := map[string]uint64{}
	for _, w := range doc.Workers {
		if !w.Draining {
			m[w.ID] = w.Weights["daka"]
		}
	}
	return m
}

func (m *machine) Read(ctx context.Context, a *wire.ReadRequest) (*wire.ReadResponse, error) {
	t := &wire.ReadResponse{Outcome: wire.OutcomeDone}
	err := m.call(ctx, "read", func() error {
		for _, k := range queue.Keys(m.s.docs) {
			if k == a.Key || a.Prefix && strings.HasPrefix(k, a.Key) {
				t.Documents = append(t.Documents, proto.Clone(m.s.docs[k]).(*wire.Document))
			}
		}
		return nil
	})
	return t, err
}

func (m *machine) ListWorkers(ctx context.Context, page string) (ws []fleet.Worker, next string, err error) {
	err = m.call(ctx, "list", func() error {
		s := m.s
		if s.reads++; s.listDown {
			return errs.New(errs.Overloaded, "asked too often")
		}
		ids := queue.Keys(s.workers)
		if i := slices.Index(ids, page); i > 0 {
			ids = ids[i:]
		}
		if len(ids) > 50 {
			ids, next = ids[:50], ids[50]
		}
		for _, id := range ids {
			w := s.workers[id].w
			w.Weights = map[string]uint64{"daka": s.workers[id].at(s.clock.Now() - listLag).has}
			ws = append(ws, w)
		}
		return nil
	})
	return ws, next, err
}

func (m *machine) workerAt(addr string) *testWorker {
	for _, h := range m.s.workers {
		if h.w.Addr == addr && !h.silent {
			return h
		}
	}
	return nil
}

func (m *machine) Report(ctx context.Context, addr string) (r backend.Report, err error) {
	err = m.call(ctx, "report", func() error {
		h := m.workerAt(addr)
		if h == nil {
			return errLost
		}
		x := h.at(m.s.clock.Now() - reportAge)
		r = backend.Report{Busy: x.busy, Sequence: x.sequence, Weights: map[string]uint64{"daka": x.has}}
		return nil
	})
	return r, err
}

func (m *machine) Order(ctx context.Context, addr string, o backend.Order) (out backend.Outcome, err error) {
	m.countInFlight(o.LeaseHolder, 1)
	defer m.countInFlight(o.LeaseHolder, -1)
	err = m.call(ctx, "order", func() error {
		h := m.workerAt(addr)
		if h == nil {
			return errLost
		}
		out = m.s.order(h, o)
		return nil
	})
	return out, err
}

// countInFlight counts a holder's orders that aren't answered yet.
func (m *machine) countInFlight(holder string, n int) {
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	m.s.inFlight[holder] += n
}

// order is how a worker takes an order; the rules of the site are checked here.
func (s *testSite) order(h *testWorker, o backend.Order) backend.Outcome {
	now, id := s.clock.Now(), h.w.ID
	s.orders++
	if x, ok := s.last[id]; ok && (x.fence > o.FencingToken || x.fence == o.FencingToken && x.holder != o.LeaseHolder) {
		s.t.Errorf("%s: fence %d of %s after %d of %s", id, o.FencingToken, o.LeaseHolder, x.fence, x.holder)
	}
	if x, ok := s.last[id]; ok && x.holder != o.LeaseHolder && now-x.at < 3*time.Second { // the rule is a worker's
		s.t.Errorf("%s: %s orders %v after %s", id, o.LeaseHolder, now-x.at, x.holder)
	}
	s.last[id] = sentOrder{o.LeaseHolder, o.FencingToken, now}
	if at := s.setAsideAt[id]; at == 0 || now-at < s.bounds.Leave(cordonLeadRatio) {
		s.t.Errorf("%s is ordered before edges were reported to send it nothing new", id)
	}
	if o.Instance != id || o.Mode != backend.ModeAwait || o.Model != "daka" || o.Version > s.named["daka"] {
		s.t.Errorf("%s: %+v", id, o)
	}
	switch x := h.at(now); {
	case o.FencingToken < h.fence:
		return backend.OutcomeFenced
	case x.busy || o.Sequence != nil && *o.Sequence != x.sequence:
		return backend.OutcomeBusy
	case x.has >= o.Version:
		return backend.OutcomeAlreadyDone
	}
	h.fence = o.FencingToken
	busy := 1
	for _, x := range s.workers {
		if x.at(now).busy {
			busy++
		}
	}
	s.maxLoading = max(s.maxLoading, busy)
	takes := 1100 * time.Millisecond
	if many := max(1, len(s.workers)/5); busy > many {
		takes = takes * time.Duration(busy) / time.Duration(many)
	}
	if h.loads[o.Version]++; h.loads[o.Version] > 1 {
		s.t.Errorf("%s loads %d twice", id, o.Version)
	}
	old := h.at(now)
	h.states = append(h.states, state{now, true, old.has, old.sequence + 1}, state{now + drainTime + takes, false, o.Version, old.sequence + 1})
	return backend.OutcomeStarted
}

func (m *machine) CacheEvents(context.Context, string, uint64, time.Duration) (backend.CacheEvents, error) {
	return backend.CacheEvents{}, errLost
}

func (m *machine) CachedPrefixes(context.Context, string) (backend.CacheEvents, error) {
	return backend.CacheEvents{}, errLost
}
