package controllers

import (
	"testing"
	"time"

	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
)

func bounds() settings.Bounds {
	b := settings.DefaultBounds()
	b.WeightsMs = 12000
	return b
}

// singleWorker runs a rollout to one worker, step by step under the control of the test.
type singleWorker struct {
	t       *testing.T
	rollout *Rollout
	worker  fleet.Worker
	named   uint64
	now     time.Duration
	events  []string // names of the responses given so far
}

func newSingleWorker(t *testing.T, cordoned ...string) *singleWorker {
	return &singleWorker{t: t, rollout: NewRollout(bounds(), cordoned), worker: worker("1", 1), named: 2, now: time.Minute}
}

func (s *singleWorker) step() RolloutActions {
	return s.rollout.Step(RolloutInputs{Now: s.now, Workers: []fleet.Worker{s.worker}, NamedVersions: map[string]uint64{"daka": s.named},
		NamedAt: map[string]time.Duration{"daka": time.Minute}, UpdatedServices: map[string]bool{"reading": true}})
}

// stepUntilAction runs steps until the rollout asks for a call to the worker, or the time span has passed.
func (s *singleWorker) stepUntilAction(span time.Duration) RolloutActions {
	for end := s.now + span; s.now < end; s.now += 50 * time.Millisecond {
		actions := s.step()
		s.rollout.ConfirmCordoned(actions.Cordoned["reading"], s.now)
		if len(actions.Orders)+len(actions.Reports) > 0 {
			return actions
		}
	}
	return RolloutActions{}
}

// scriptedResponse is a worker's response to an order or a report request.
type scriptedResponse struct {
	name    string
	outcome backend.Outcome
	report  backend.Report
	lost    bool
}

var (
	oldWeights = map[string]uint64{"daka": 1}
	newWeights = map[string]uint64{"daka": 2}

	orderResponses = []scriptedResponse{
		{name: "started", outcome: backend.OutcomeStarted},
		{name: "already done", outcome: backend.OutcomeAlreadyDone},
		{name: "busy", outcome: backend.OutcomeBusy},
		{name: "lost", outcome: backend.OutcomeUnknown},
		{name: "rejected", outcome: backend.OutcomeRejected},
		{name: "fenced", outcome: backend.OutcomeFenced},
		{name: "wrong instance", outcome: backend.OutcomeWrongInstance},
		{name: "throttled", outcome: backend.OutcomeThrottled},
	}
	reportResponses = []scriptedResponse{
		{name: "loading", report: backend.Report{Busy: true, Weights: oldWeights}},
		{name: "old", report: backend.Report{Weights: oldWeights}},
		{name: "new", report: backend.Report{Weights: newWeights}},
		{name: "lost", lost: true},
	}
)

// scriptedWorker is a singleWorker that responds according to a script. It fails the test if the rollout makes
// a call that is not allowed, or makes none although the worker is outdated.
type scriptedWorker struct {
	*singleWorker
	mayBeLoading bool          // an order may have been accepted and may still be executing
	upToDate     bool          // the worker serves the named version
	orderedAt    time.Duration // time of the response to the last order
}

// nextCall returns the actions of the rollout's next call and the possible responses to it. The responses are
// nil if the rollout makes no more calls.
func (s *scriptedWorker) nextCall() (RolloutActions, []scriptedResponse) {
	actions := s.stepUntilAction(bounds().Weights(1))
	calls := len(actions.Orders) + len(actions.Reports)
	switch {
	case s.upToDate && calls > 0:
		s.t.Fatalf("after responses %v: the rollout calls the worker although it serves the named version", s.events)
	case calls == 0 && !s.upToDate:
		s.t.Fatalf("after responses %v: the rollout makes no more calls although the worker is outdated", s.events)
	case calls == 0:
		return actions, nil
	case len(actions.Orders) > 0 && s.mayBeLoading:
		s.t.Fatalf("after responses %v: the worker is ordered again although it may be loading", s.events)
	case len(actions.Orders) > 0:
		return actions, orderResponses
	}
	return actions, reportResponses
}

func (s *scriptedWorker) respond(actions RolloutActions, response scriptedResponse) {
	s.events = append(s.events, response.name)
	s.now += 20 * time.Millisecond
	if len(actions.Orders) > 0 {
		s.respondToOrder(actions.Orders[0], response)
		return
	}
	model, version := s.rollout.HandleReport("1", response.report, !response.lost, s.now)
	switch {
	case response.name == "new":
		if s.upToDate = true; version != 2 || model != "daka" {
			s.t.Fatalf("after responses %v: HandleReport returned model %q, version %d; want model daka, version 2", s.events, model, version)
		}
		s.worker.Weights = newWeights
	case response.name == "old" && s.now-s.orderedAt >= bounds().Leave(maxReportAgeRatio):
		s.mayBeLoading = false // the report would show a load by now
	}
}

func (s *scriptedWorker) respondToOrder(order Order, response scriptedResponse) {
	s.orderedAt = s.now
	s.mayBeLoading = response.outcome == backend.OutcomeStarted || response.outcome == backend.OutcomeBusy || response.outcome == backend.OutcomeUnknown
	if version := s.rollout.HandleOrderOutcome(order, response.outcome, s.now); version != 0 {
		s.worker.Weights, s.upToDate = newWeights, true
	}
}

// For every sequence of responses, including lost and unexpected ones, a worker is not ordered again while it is
// loading or may be loading, nor once it serves the version.
func TestNoOrderIsSentTwice(t *testing.T) {
	const maxResponses = 4
	paths := 0
	var run func(script []int)
	run = func(script []int) {
		scripted := &scriptedWorker{singleWorker: newSingleWorker(t)}
		for i := 0; ; i++ {
			actions, responses := scripted.nextCall()
			if responses == nil || i == maxResponses && i == len(script) {
				paths++
				return
			}
			if i == len(script) {
				for next := range responses {
					run(append(script[:i:i], next))
				}
				return
			}
			scripted.respond(actions, responses[script[i]])
		}
	}
	run(nil)
	t.Logf("tried %d sequences of responses", paths)
	if paths < 500 {
		t.Errorf("tried %d sequences of responses, want at least 500", paths)
	}
}

// If a previous lease holder may have sent an order to a worker, a report is requested before the worker is
// ordered.
func TestPastHoldersOrderIsResolvedByAReport(t *testing.T) {
	single := newSingleWorker(t, "1")
	actions := single.stepUntilAction(bounds().Weights(1))
	if len(actions.Orders) != 0 || len(actions.Reports) != 1 {
		t.Fatalf("first actions for a worker cordoned by a previous holder: %+v, want one report request and no order", actions)
	}
	if _, v := single.rollout.HandleReport("1", backend.Report{Weights: map[string]uint64{"daka": 2}}, true, single.now); v != 2 {
		t.Error("HandleReport did not return version 2, which the report shows")
	}
}

// When newer versions are named while a worker loads, the newest one is ordered next. The versions in between
// are skipped, and the worker stays cordoned.
func TestNewerVersionIsOrderedAfterTheRunningLoad(t *testing.T) {
	single := newSingleWorker(t)
	actions := single.stepUntilAction(bounds().Weights(1))
	single.rollout.HandleOrderOutcome(actions.Orders[0], backend.OutcomeStarted, single.now)
	single.named = 3
	single.step()
	single.named = 4
	actions = single.stepUntilAction(bounds().Weights(1))
	single.rollout.HandleReport("1", backend.Report{Weights: map[string]uint64{"daka": 2}}, true, single.now)
	single.worker = worker("1", 2)
	actions = single.step()
	if len(actions.Orders) != 1 || actions.Orders[0].Version != 4 || len(actions.Cordoned["reading"]) != 1 {
		t.Errorf("actions after the first load: %+v, want an order of version 4 to the cordoned worker", actions)
	}
}

// The load of a worker that starts to drain is dropped, and responses that arrive later have no effect.
func TestDrainingWorkersLoadIsDropped(t *testing.T) {
	single := newSingleWorker(t)
	actions := single.stepUntilAction(bounds().Weights(1))
	single.worker.Draining = true
	if later := single.step(); len(later.Cordoned["reading"]) != 0 || !single.rollout.Idle() {
		t.Errorf("actions for a draining worker: %+v, want none and an idle rollout", later)
	}
	if v := single.rollout.HandleOrderOutcome(actions.Orders[0], backend.OutcomeAlreadyDone, single.now); v != 0 {
		t.Errorf("HandleOrderOutcome for a dropped load returned version %d, want 0", v)
	}
	single.rollout.HandleUnsentOrder(actions.Orders[0])
	if _, v := single.rollout.HandleReport("1", backend.Report{Weights: map[string]uint64{"daka": 2}}, true, single.now); v != 0 {
		t.Errorf("HandleReport for a dropped load returned version %d, want 0", v)
	}
}

// A worker that may have received an order from a previous lease holder is not ordered before EarliestOrder, and
// is cordoned only shortly before. A worker that was not cordoned and serves a first version cannot have
// received such an order, and is ordered without that delay.
func TestNoOrderBeforeEarliestOrder(t *testing.T) {
	for _, test := range []struct {
		previouslyCordoned []string
		version            uint64
		earliest           time.Duration
	}{{nil, 2, 3 * time.Second}, {[]string{"2"}, 2, 3 * time.Second}, {nil, 1, 0}, {[]string{"2"}, 1, 0}} {
		rollout, b := NewRollout(bounds(), test.previouslyCordoned), bounds()
		ordered, cordoned := time.Duration(-1), time.Duration(-1)
		for now := time.Duration(0); now < 5*time.Second; now += 10 * time.Millisecond {
			actions := rollout.Step(RolloutInputs{Now: now, Workers: []fleet.Worker{worker("1", test.version)}, NamedVersions: map[string]uint64{"daka": 3},
				UpdatedServices: map[string]bool{"reading": true}, EarliestOrder: 3 * time.Second})
			rollout.ConfirmCordoned(actions.Cordoned["reading"], now)
			if len(actions.Cordoned["reading"]) > 0 && cordoned < 0 {
				cordoned = now
			}
			if len(actions.Orders) > 0 && ordered < 0 {
				ordered = now
			}
		}
		if cordoned < test.earliest-b.Leave(cordonLeadRatio) || ordered < test.earliest || ordered-cordoned < b.Leave(cordonLeadRatio) || ordered > test.earliest+2*b.Leave(cordonLeadRatio) {
			t.Errorf("case %+v: worker cordoned at %v, ordered at %v; want it ordered soon after the earliest time, and cordoned for cordonLeadRatio before that", test, cordoned, ordered)
		}
	}
	rollout := NewRollout(bounds(), []string{"1"}) // a previously cordoned worker may have received an order
	for now := time.Duration(0); now < 3*time.Second; now += 10 * time.Millisecond {
		actions := rollout.Step(RolloutInputs{Now: now, Workers: []fleet.Worker{worker("1", 1)}, NamedVersions: map[string]uint64{"daka": 2},
			UpdatedServices: map[string]bool{"reading": true}, EarliestOrder: 3 * time.Second})
		rollout.ConfirmCordoned(actions.Cordoned["reading"], now)
		for _, w := range actions.Reports {
			rollout.HandleReport(w.ID, backend.Report{Weights: map[string]uint64{"daka": 1}}, true, now)
		}
		if len(actions.Orders) > 0 {
			t.Fatalf("worker cordoned by a previous holder was ordered at %v, want not before 3 s", now)
		}
	}
}
