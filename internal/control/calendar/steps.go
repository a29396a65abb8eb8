package calendar

import (
	"fmt"
	"slices"
	"time"
)

// StepKind is what a step does, or waits for.
type StepKind string

// The kinds of step. Those that act change the configuration; the others wait.
const (
	StepNameWeights   StepKind = "name"     // acts: names the new weights
	StepAwaitWeights  StepKind = "see"      // until every worker serves them
	StepDrain         StepKind = "drain"    // acts: drains a batch of workers
	StepAwaitReplaced StepKind = "replaced" // until each of them is back as a new incarnation
	StepUndrain       StepKind = "back"     // acts: lets them get requests again
	StepSetPercent    StepKind = "share"    // acts: sends a percent of the requests to the other service
	StepSoak          StepKind = "soak"     // for the entry's soak time
)

// StepState is how far a step has come.
type StepState string

// The states of a step.
const (
	StepPending StepState = "todo"
	StepDoing   StepState = "doing"
	StepDone    StepState = "done"
)

// Step is one step of an entry and its progress.
type Step struct {
	Kind         StepKind          `json:"do"`
	Workers      []string          `json:"on,omitempty"`
	Percent      int               `json:"share,omitempty"`
	Incarnations map[string]string `json:"lives,omitempty"` // of the workers before the step
	State        StepState         `json:"state"`
}

// allRequests is the percent at which a handover ends.
const allRequests = 100

// defaultPercents are those of a handover that names none.
func defaultPercents() []int { return []int{10, 50, allRequests} }

func pendingStep(kind StepKind) Step { return Step{Kind: kind, State: StepPending} }

// planSteps lists the steps of an entry that starts now.
func (e *Entry) planSteps(observed Observation) []Step {
	switch e.Kind {
	case KindWeights:
		return []Step{pendingStep(StepNameWeights), pendingStep(StepAwaitWeights)}
	case KindRelease:
		return e.planRelease(observed)
	case KindHandover:
		return e.planHandover()
	}
	return nil
}

func (e *Entry) planRelease(observed Observation) []Step {
	names := e.Workers
	if len(names) == 0 {
		for _, worker := range observed.Workers {
			names = append(names, worker.Name)
		}
		slices.Sort(names)
	}
	var steps []Step
	for batch := range slices.Chunk(names, max(1, e.BatchSize)) {
		for _, kind := range []StepKind{StepDrain, StepAwaitReplaced, StepUndrain} {
			step := pendingStep(kind)
			step.Workers = batch
			steps = append(steps, step)
		}
	}
	return steps
}

func (e *Entry) planHandover() []Step {
	percents := e.Percents
	if len(percents) == 0 {
		percents = defaultPercents()
	}
	var steps []Step
	for _, percent := range percents {
		for _, kind := range []StepKind{StepSetPercent, StepSoak} {
			step := pendingStep(kind)
			step.Percent = percent
			steps = append(steps, step)
		}
	}
	return steps
}

// unmetPrecondition is why a step can't begin yet; "" if it can.
func (e *Entry) unmetPrecondition(step *Step, observed Observation) string {
	config := observed.Config
	if config == nil {
		return "no configuration is known"
	}
	switch step.Kind {
	case StepNameWeights:
		model, ok := config.Models[e.Model]
		if !ok {
			return "model " + e.Model + " isn't in the configuration"
		}
		if model.Weights > e.Weights {
			return fmt.Sprintf("weights %d are in force already, newer than %d: cancel or undo this entry", model.Weights, e.Weights)
		}
	case StepDrain:
		return e.missingCapacity(step, observed)
	case StepSetPercent:
		if _, ok := config.Services[e.ToService]; !ok {
			return "service " + e.ToService + " isn't in the configuration"
		}
	}
	return ""
}

// missingCapacity is why a batch can't be drained yet: too few other workers are up.
func (e *Entry) missingCapacity(step *Step, observed Observation) string {
	stayUp := 0
	for _, worker := range observed.Workers {
		if worker.AcceptsRequests && !slices.Contains(step.Workers, worker.Name) {
			stayUp++
		}
	}
	needed := e.MinUpRatio * float64(len(observed.Workers))
	if stayUp < 1 || float64(stayUp) < needed {
		return fmt.Sprintf("waits for capacity: %d workers would stay up, %.0f are to", stayUp, max(1, needed))
	}
	return ""
}

// recordIncarnations records the incarnations of the workers that the step drains, which distinguish
// their replacements.
func (s *Step) recordIncarnations(observed Observation) {
	if s.Kind != StepDrain {
		return
	}
	s.Incarnations = map[string]string{}
	for _, worker := range observed.Workers {
		if slices.Contains(s.Workers, worker.Name) {
			s.Incarnations[worker.Name] = worker.Incarnation
		}
	}
}

// patch is the change of the configuration that a step makes; nil for one that waits.
func (e *Entry) patch(step *Step) object {
	switch step.Kind {
	case StepNameWeights:
		return object{"models": object{e.Model: object{"weights": e.Weights}}}
	case StepDrain:
		return drainPatch(step.Workers, true)
	case StepUndrain:
		return drainPatch(step.Workers, nil)
	case StepSetPercent:
		if step.Percent == allRequests {
			return routePatch(e.Model, object{"service": e.ToService, "next": nil, "share": nil})
		}
		return routePatch(e.Model, object{"service": e.Service, "next": e.ToService, "share": step.Percent})
	}
	return nil
}

// drainPatch sets the workers to draining, or removes them with nil.
func drainPatch(workers []string, draining any) object {
	fields := object{}
	for _, worker := range workers {
		fields[worker] = draining
	}
	return object{"drains": fields}
}

// unmetCompletion is why a step that waits isn't over; "" if it is.
func (p *Planner) unmetCompletion(entry *Entry, step *Step, observed Observation) string {
	switch step.Kind {
	case StepAwaitWeights:
		outdated := 0
		for _, worker := range observed.Workers {
			if worker.Weights < entry.Weights {
				outdated++
			}
		}
		if outdated > 0 || len(observed.Workers) == 0 {
			return fmt.Sprintf("%d of %d workers are on older weights", outdated, len(observed.Workers))
		}
	case StepAwaitReplaced:
		drained := entry.Steps[entry.CurrentStep-1]
		for _, name := range step.Workers {
			if !isReplaced(name, drained.Incarnations[name], observed) {
				return "waits for " + name + " to come back as a new incarnation"
			}
		}
	case StepSoak:
		return p.remainingSoak(entry, step, observed)
	}
	return ""
}

// isReplaced reports whether a worker is reachable as another incarnation than the one before.
func isReplaced(name, before string, observed Observation) bool {
	return slices.ContainsFunc(observed.Workers, func(w Worker) bool {
		return w.Name == name && w.Reachable && w.Incarnation != "" && w.Incarnation != before
	})
}

// remainingSoak is why a soak isn't over. It begins when the planner first sees it.
func (p *Planner) remainingSoak(entry *Entry, step *Step, observed Observation) string {
	key := fmt.Sprintf("%s/%d", entry.Name, entry.CurrentStep)
	started, ok := p.soakStarted[key]
	if !ok {
		started = observed.Now
		p.soakStarted[key] = started
	}
	if observed.Now-started < time.Duration(entry.SoakS)*time.Second {
		return fmt.Sprintf("holds %d percent for %d s", step.Percent, entry.SoakS)
	}
	delete(p.soakStarted, key)
	return ""
}
