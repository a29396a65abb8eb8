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

// singleWorker drives a rollout of one worker by hand.
type singleWorker struct {
	t       *testing.T
	rollout *Rollout
	worker  fleet.Worker
	named   uint64
	now     time.Duration
	events  []string // names of the responses so far
}

func newSingleWorker(t *testing.T, cordoned ...string) *singleWorker {
	return &singleWorker{t: t, rollout: NewRollout(bounds(), cordoned), worker: worker("1", 1), named: 2, now: time.Minute}
}

func (s *singleWorker) step() RolloutActions {
	return s.rollout.Step(RolloutInputs{Now: s.now, Workers: []fleet.Worker{s.worker}, NamedVersions: map[string]uint64{"daka": s.named},
		NamedAt: map[string]time.Duration{"daka": time.Minute}, UpdatedServices: map[string]bool{"reading": true}})
}

// stepUntilAction steps until the rollout calls the worker, or the span is over.
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

// scriptedResponse is a response of the worker to an order or a report request.
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

// scriptedWorker is a single worker that responds by a script. It fails the test if the rollout calls it
// where it mustn't.
type scriptedWorker struct {
	*singleWorker
	mayBeLoading bool
	upToDate     bool
	orderedAt    time.Duration // when the last order was answered
}

// nextCall returns the responses to choose from for the rollout's next call; nil once it makes none.
func (s *scriptedWorker) nextCall() (RolloutActions, []scriptedResponse) {
	actions := s.stepUntilAction(bounds().Weights(1))
	calls := len(actions.Orders) + len(actions.Reports)
	switch {
	case s.upToDate && calls > 0:
		s.t.Fatalf("%v: called though it has the weights", s.events)
	case calls == 0 && !s.upToDate:
		s.t.Fatalf("%v: no more calls, and it lacks the weights", s.events)
	case calls == 0:
		return actions, nil
	case len(actions.Orders) > 0 && s.mayBeLoading:
		s.t.Fatalf("%v: ordered again though it may be loading", s.events)
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
			s.t.Fatalf("%v: the new weights aren't reported: %q %d", s.events, model, version)
		}
		s.worker.Weights = newWeights
	case response.name == "old" && s.now-s.orderedAt >= bounds().Leave(maxReportAgeRatio):
		s.mayBeLoading = false // it would show by now
	}
}

func (s *scriptedWorker) respondToOrder(order Order, response scriptedResponse) {
	s.orderedAt = s.now
	s.mayBeLoading = response.outcome == backend.OutcomeStarted || response.outcome == backend.OutcomeBusy || response.outcome == backend.OutcomeUnknown
	if version := s.rollout.HandleOrderOutcome(order, response.outcome, s.now); version != 0 {
		s.worker.Weights, s.upToDate = newWeights, true
	}
}

// In every sequence of a worker's responses, lost and unexpected ones included, it is never ordered
// again while it is known to load, or may be, nor once it has the version.
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
	t.Logf("%d paths", paths)
	if paths < 500 {
		t.Errorf("only %d paths", paths)
	}
}

// An order of a past holder that may have reached the worker is resolved by a report first.
func TestPastHoldersOrderIsResolvedByAReport(t *testing.T) {
	single := newSingleWorker(t, "1")
	actions := single.stepUntilAction(bounds().Weights(1))
	if len(actions.Orders) != 0 || len(actions.Reports) != 1 {
		t.Fatalf("%+v", actions)
	}
	if _, v := single.rollout.HandleReport("1", backend.Report{Weights: map[string]uint64{"daka": 2}}, true, single.now); v != 2 {
		t.Error("not reported")
	}
}

// Named again while it loads: the newest is ordered next, without being cordoned anew, and
// the version that was named in between is skipped.
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
		t.Errorf("%+v", actions)
	}
}

// The load of a worker that drains is dropped, and responses that come after that change nothing.
func TestDrainingWorkersLoadIsDropped(t *testing.T) {
	single := newSingleWorker(t)
	actions := single.stepUntilAction(bounds().Weights(1))
	single.worker.Draining = true
	if later := single.step(); len(later.Cordoned["reading"]) != 0 || !single.rollout.Idle() {
		t.Errorf("%+v", later)
	}
	if v := single.rollout.HandleOrderOutcome(actions.Orders[0], backend.OutcomeAlreadyDone, single.now); v != 0 {
		t.Errorf("%d", v)
	}
	single.rollout.HandleUnsentOrder(actions.Orders[0])
	if _, v := single.rollout.HandleReport("1", backend.Report{Weights: map[string]uint64{"daka": 2}}, true, single.now); v != 0 {
		t.Errorf("%d", v)
	}
}

// No order is sent to a worker while a past holder's order may have been sent lately, and until shortly
// before that it isn't cordoned. A worker to which no past holder can have sent an order needn't wait:
// it wasn't cordoned, and has the weights that it began with.
func TestNoOrderBeforeEarliestOrder(t *testing.T) {
	for _, test := range []struct {
		past    []string
		version uint64
		from    time.Duration
	}{{nil, 2, 3 * time.Second}, {[]string{"2"}, 2, 3 * time.Second}, {nil, 1, 0}, {[]string{"2"}, 1, 0}} {
		rollout, b := NewRollout(bounds(), test.past), bounds()
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
		if cordoned < test.from-b.Leave(cordonLeadRatio) || ordered < test.from || ordered-cordoned < b.Leave(cordonLeadRatio) || ordered > test.from+2*b.Leave(cordonLeadRatio) {
			t.Errorf("%+v: cordoned at %v, ordered at %v", test, cordoned, ordered)
		}
	}
	rollout := NewRollout(bounds(), []string{"1"}) // a cordoned worker may have had an order
	for now := time.Duration(0); now < 3*time.Second; now += 10 * time.Millisecond {
		actions := rollout.Step(RolloutInputs{Now: now, Workers: []fleet.Worker{worker("1", 1)}, NamedVersions: map[string]uint64{"daka": 2},
			UpdatedServices: map[string]bool{"reading": true}, EarliestOrder: 3 * time.Second})
		rollout.ConfirmCordoned(actions.Cordoned["reading"], now)
		for _, w := range actions.Reports {
			rollout.HandleReport(w.ID, backend.Report{Weights: map[string]uint64{"daka": 1}}, true, now)
		}
		if len(actions.Orders) > 0 {
			t.Fatalf("ordered at %v", now)
		}
	}
}
