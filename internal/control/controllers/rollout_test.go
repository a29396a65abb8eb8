package controllers

import (
	"testing"
	"time"

	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
)

// bounds returns the default bounds with a Bounds.Weights of 12 s.
func bounds() settings.Bounds {
	b := settings.DefaultBounds()
	b.WeightsMs = 12000
	return b
}

// singleWorker runs a Rollout to one worker, which has ID 1 and serves version 1 of the model daka. The test makes each
// step and gives each response.
type singleWorker struct {
	t       *testing.T
	rollout *Rollout
	worker  fleet.Worker
	target  uint64        // target version of the worker's weights
	now     time.Duration // current simulated time
	events  []string      // names of the responses that the test has given so far
}

// newSingleWorker returns a rollout of version 2. cordoned holds the IDs of the workers that a previous lease
// holder had cordoned.
func newSingleWorker(t *testing.T, cordoned ...string) *singleWorker {
	return &singleWorker{t: t, rollout: NewRollout(bounds(), cordoned), worker: worker("1", 1), target: 2, now: time.Minute}
}

// step makes one step of the rollout at the simulated time.
func (s *singleWorker) step() RolloutActions {
	return s.rollout.Step(RolloutInputs{Now: s.now, Workers: []fleet.Worker{s.worker}, TargetVersions: map[string]uint64{"daka": s.target},
		RolloutStart: map[string]time.Duration{"daka": time.Minute}, UpdatedServices: map[string]bool{"reading": true}})
}

// stepUntilAction makes steps until the rollout requests a call to the worker, or until the given span of
// simulated time has passed. It cordons the worker as the rollout requests.
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
	outcome backend.Outcome // outcome that the worker returns for an order
	report  backend.Report  // report that the worker returns for a report request
	lost    bool            // whether a report request gets no response
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

// scriptedWorker is a singleWorker that responds according to a script. It fails the test if the rollout requests
// a call that is not allowed, or requests none although the worker does not serve the target version.
type scriptedWorker struct {
	*singleWorker
	mayBeLoading bool          // whether the worker may have accepted an order and may still execute it
	upToDate     bool          // whether the worker serves the target version
	orderedAt    time.Duration // simulated time of the response to the last order
}

// nextCall steps the rollout to its next call to the worker. It returns the actions of that step and the possible
// responses to the call; nil if the rollout requests no more calls.
func (s *scriptedWorker) nextCall() (RolloutActions, []scriptedResponse) {
	actions := s.stepUntilAction(bounds().Weights(1))
	calls := len(actions.Orders) + len(actions.Reports)
	switch {
	case s.upToDate && calls > 0:
		s.t.Fatalf("after responses %v of the worker: the rollout sends the worker another order or report request, want none, because it serves the target version", s.events)
	case calls == 0 && !s.upToDate:
		s.t.Fatalf("after responses %v of the worker: the rollout calls the worker no more, want more calls, because it does not serve the target version", s.events)
	case calls == 0:
		return actions, nil
	case len(actions.Orders) > 0 && s.mayBeLoading:
		s.t.Fatalf("after responses %v of the worker: the rollout orders the worker again, want no order while it may still execute the previous one", s.events)
	case len(actions.Orders) > 0:
		return actions, orderResponses
	}
	return actions, reportResponses
}

// respond gives a response to the call that the actions request.
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
			s.t.Fatalf("after responses %v of the worker, the last being a report of version 2: HandleReport returned model %q, version %d; want model daka, version 2", s.events, model, version)
		}
		s.worker.Weights = newWeights
	case response.name == "old" && s.now-s.orderedAt >= bounds().Leave(maxReportAgeRatio):
		s.mayBeLoading = false // the report shows no load, and is recent enough to show one that the last order had started
	}
}

// respondToOrder gives a response to an order.
func (s *scriptedWorker) respondToOrder(order Order, response scriptedResponse) {
	s.orderedAt = s.now
	s.mayBeLoading = response.outcome == backend.OutcomeStarted || response.outcome == backend.OutcomeBusy || response.outcome == backend.OutcomeUnknown
	if version := s.rollout.HandleOrderOutcome(order, response.outcome, s.now); version != 0 {
		s.worker.Weights, s.upToDate = newWeights, true
	}
}

// For every sequence of up to four responses, including lost and unexpected ones, a worker is not ordered to load
// weights while it may still execute an earlier order, nor once it serves the target version.
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
	t.Logf("ran the rollout with %d sequences of responses of the worker", paths)
	if paths < 500 {
		t.Errorf("ran the rollout with %d sequences of responses of the worker, want at least 500", paths)
	}
}

// If a previous lease holder may have sent an order to a worker, the rollout requests a report from the worker
// before it sends its own first order.
func TestPastHoldersOrderIsResolvedByAReport(t *testing.T) {
	single := newSingleWorker(t, "1")
	actions := single.stepUntilAction(bounds().Weights(1))
	if len(actions.Orders) != 0 || len(actions.Reports) != 1 {
		t.Fatalf("first actions of the rollout for a worker that a previous lease holder had cordoned: %+v, want one report request and no order", actions)
	}
	if _, v := single.rollout.HandleReport("1", backend.Report{Weights: map[string]uint64{"daka": 2}}, true, single.now); v != 2 {
		t.Errorf("HandleReport for a report that the worker serves version 2 returned version %d, want 2", v)
	}
}

// When the target version increases twice while a worker loads, the worker is next ordered to load the newest version.
// The version in between is skipped, and the worker stays cordoned.
func TestNewerVersionIsOrderedAfterTheRunningLoad(t *testing.T) {
	single := newSingleWorker(t)
	actions := single.stepUntilAction(bounds().Weights(1))
	single.rollout.HandleOrderOutcome(actions.Orders[0], backend.OutcomeStarted, single.now)
	single.target = 3
	single.step()
	single.target = 4
	actions = single.stepUntilAction(bounds().Weights(1))
	single.rollout.HandleReport("1", backend.Report{Weights: map[string]uint64{"daka": 2}}, true, single.now)
	single.worker = worker("1", 2)
	actions = single.step()
	if len(actions.Orders) != 1 || actions.Orders[0].Version != 4 || len(actions.Cordoned["reading"]) != 1 {
		t.Errorf("rollout actions when a worker has loaded version 2 and the target version has become 4: %+v, want an order to load version 4, with the worker cordoned", actions)
	}
}

// The rollout drops the load of a worker that starts to drain. Responses of the worker that arrive later have no
// effect.
func TestDrainingWorkersLoadIsDropped(t *testing.T) {
	single := newSingleWorker(t)
	actions := single.stepUntilAction(bounds().Weights(1))
	single.worker.Draining = true
	if later := single.step(); len(later.Cordoned["reading"]) != 0 || !single.rollout.Idle() {
		t.Errorf("rollout actions for a worker that started to drain: %+v, rollout idle = %v; want no cordoned worker and an idle rollout", later, single.rollout.Idle())
	}
	if v := single.rollout.HandleOrderOutcome(actions.Orders[0], backend.OutcomeAlreadyDone, single.now); v != 0 {
		t.Errorf("HandleOrderOutcome for a worker whose load was dropped returned version %d, want 0", v)
	}
	single.rollout.HandleUnsentOrder(actions.Orders[0])
	if _, v := single.rollout.HandleReport("1", backend.Report{Weights: map[string]uint64{"daka": 2}}, true, single.now); v != 0 {
		t.Errorf("HandleReport for a worker whose load was dropped returned version %d, want 0", v)
	}
}

// A worker that may have received an order from a previous lease holder is not ordered before
// RolloutInputs.EarliestOrder, and is cordoned only shortly before that time. A worker cannot have received such an
// order if no stored placement cordons it and it serves version 1, since each order loads a higher version. It is
// ordered without that delay.
func TestNoOrderBeforeEarliestOrder(t *testing.T) {
	for _, test := range []struct {
		previouslyCordoned []string      // IDs of workers that a previous lease holder had cordoned
		version            uint64        // version that worker 1 serves
		earliest           time.Duration // earliest time at which worker 1 may be ordered
	}{{nil, 2, 3 * time.Second}, {[]string{"2"}, 2, 3 * time.Second}, {nil, 1, 0}, {[]string{"2"}, 1, 0}} {
		rollout, b := NewRollout(bounds(), test.previouslyCordoned), bounds()
		ordered, cordoned := time.Duration(-1), time.Duration(-1)
		for now := time.Duration(0); now < 5*time.Second; now += 10 * time.Millisecond {
			actions := rollout.Step(RolloutInputs{Now: now, Workers: []fleet.Worker{worker("1", test.version)}, TargetVersions: map[string]uint64{"daka": 3},
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
			t.Errorf("rollout with %+v: worker 1 was cordoned at %v and ordered at %v; want it ordered between the earliest time and %v after it, and cordoned at least %v before the order", test, cordoned, ordered, 2*b.Leave(cordonLeadRatio), b.Leave(cordonLeadRatio))
		}
	}
	rollout := NewRollout(bounds(), []string{"1"}) // worker 1 may have received an order from the previous lease holder that cordoned it
	for now := time.Duration(0); now < 3*time.Second; now += 10 * time.Millisecond {
		actions := rollout.Step(RolloutInputs{Now: now, Workers: []fleet.Worker{worker("1", 1)}, TargetVersions: map[string]uint64{"daka": 2},
			UpdatedServices: map[string]bool{"reading": true}, EarliestOrder: 3 * time.Second})
		rollout.ConfirmCordoned(actions.Cordoned["reading"], now)
		for _, w := range actions.Reports {
			rollout.HandleReport(w.ID, backend.Report{Weights: map[string]uint64{"daka": 1}}, true, now)
		}
		if len(actions.Orders) > 0 {
			t.Fatalf("worker that a previous lease holder had cordoned was ordered at %v, want not before RolloutInputs.EarliestOrder, 3 s", now)
		}
	}
}
