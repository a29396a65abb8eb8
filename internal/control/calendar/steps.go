package calendar

import (
	"fmt"
	"slices"
	"time"
)

// StepKind is the change of the service configuration that a step makes, or the condition that it waits for.
type StepKind string

// Kinds of steps of a calendar entry.
const (
	StepSetWeights    StepKind = "name"     // sets the new version of the model's weights in the configuration
	StepAwaitWeights  StepKind = "see"      // waits until every worker serves the new weights
	StepDrain         StepKind = "drain"    // marks a batch of workers as draining in the configuration
	StepAwaitReplaced StepKind = "replaced" // waits until each worker of the batch is reachable as a new incarnation
	StepUndrain       StepKind = "back"     // removes the draining marks of the batch, so that its workers get requests again
	StepSetPercent    StepKind = "share"    // sends a percentage of the route's requests to the service that takes the route over
	StepSoak          StepKind = "soak"     // waits for Entry.SoakSeconds before the handover continues
)

// StepState is the state of a step of a calendar entry, as stored in the entry's document.
type StepState string

// States of a step of a calendar entry.
const (
	StepPending StepState = "todo"
	StepDoing   StepState = "doing" // the step has begun, and its configuration change may already be applied
	StepDone    StepState = "done"
)

// Step is one step of an entry with its progress.
type Step struct {
	Kind         StepKind          `json:"do"`
	Workers      []string          `json:"on,omitempty"`    // for KindRelease: names of the workers in the step's batch
	Percent      int               `json:"share,omitempty"` // for KindHandover: percentage of the route's requests that the other service receives
	Incarnations map[string]string `json:"lives,omitempty"` // for StepDrain: incarnation of each worker before it was drained
	State        StepState         `json:"state"`
}

// allRequests is the percentage at which a handover is complete.
const allRequests = 100

// defaultPercents returns the percentages of requests that a handover moves at each step if its entry sets
// none.
func defaultPercents() []int { return []int{10, 50, allRequests} }

// pendingStep returns a step of the given kind in StepPending.
func pendingStep(kind StepKind) Step { return Step{Kind: kind, State: StepPending} }

// planSteps returns the steps of a calendar entry that starts now.
func (e *Entry) planSteps(observed Observation) []Step {
	switch e.Kind {
	case KindWeights:
		return []Step{pendingStep(StepSetWeights), pendingStep(StepAwaitWeights)}
	case KindRelease:
		return e.planRelease(observed)
	case KindHandover:
		return e.planHandover()
	}
	return nil
}

// planRelease returns three steps for each batch of workers: drain, wait for the replacements, undrain.
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

// planHandover returns two steps for each percentage of a handover: set it in the configuration, then wait for
// the soak time.
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

// unmetPrecondition returns why a step of a calendar entry cannot begin yet, or "" if it can.
func (e *Entry) unmetPrecondition(step *Step, observed Observation) string {
	config := observed.Config
	if config == nil {
		return "no configuration is known"
	}
	switch step.Kind {
	case StepSetWeights:
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

// missingCapacity returns why a batch of workers cannot be drained yet, or "" if enough other workers accept
// requests.
func (e *Entry) missingCapacity(step *Step, observed Observation) string {
	remaining := 0
	for _, worker := range observed.Workers {
		if worker.AcceptsRequests && !slices.Contains(step.Workers, worker.Name) {
			remaining++
		}
	}
	needed := e.MinUpRatio * float64(len(observed.Workers))
	if remaining < 1 || float64(remaining) < needed {
		return fmt.Sprintf("waits for capacity: %d workers would stay up, %.0f are to", remaining, max(1, needed))
	}
	return ""
}

// recordIncarnations records the incarnation of each worker before the step drains it. A worker counts as
// replaced once it reports another incarnation.
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

// patch returns the patch that a step makes to the service configuration, or nil for a step that waits.
func (e *Entry) patch(step *Step) object {
	switch step.Kind {
	case StepSetWeights:
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

// drainPatch returns a patch that marks workers as draining, or removes the marks if draining is nil.
func drainPatch(workers []string, draining any) object {
	fields := object{}
	for _, worker := range workers {
		fields[worker] = draining
	}
	return object{"drains": fields}
}

// unmetCompletion returns why a step that waits is not complete, or "" if it is.
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

// isReplaced reports whether a worker is reachable under an incarnation other than the one that was drained.
func isReplaced(name, previous string, observed Observation) bool {
	return slices.ContainsFunc(observed.Workers, func(w Worker) bool {
		return w.Name == name && w.Reachable && w.Incarnation != "" && w.Incarnation != previous
	})
}

// remainingSoak returns why a step of the kind StepSoak is not complete, or "" if Entry.SoakSeconds have passed
// since the step began. It begins when this planner first evaluates it.
func (p *Planner) remainingSoak(entry *Entry, step *Step, observed Observation) string {
	key := fmt.Sprintf("%s/%d", entry.Name, entry.CurrentStep)
	started, ok := p.soakStarted[key]
	if !ok {
		started = observed.Now
		p.soakStarted[key] = started
	}
	if observed.Now-started < time.Duration(entry.SoakSeconds)*time.Second {
		return fmt.Sprintf("holds %d percent for %d s", step.Percent, entry.SoakSeconds)
	}
	delete(p.soakStarted, key)
	return ""
}
