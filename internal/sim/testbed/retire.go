package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/retire"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/maputil"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/sim/workersim"
)

const (
	retirementPolls     = 400                    // maximum number of polls for a retirement to reach the awaited state or phase
	retirementPollPause = 250 * time.Millisecond // pause between two polls of the retirements
)

// nextBuild returns the name of the replacement of a base model or adapter.
func nextBuild(name string) string { return name + "-2" }

// addAdapters adds adapters of the model for the site's first two kinds of requests, and a second base model with
// replacements of these adapters. The workers have enough memory for both base models and all adapters. It does nothing
// if enabled is false.
func (s *Site) addAdapters(enabled bool) {
	if !enabled {
		return
	}
	model := s.Traffic.Model
	service := mainService(model)
	s.Config.Models[model] = serviceconfig.Model{Weights: s.Config.Models[model].Weights, MemoryMB: 100}
	s.Config.Models[nextBuild(model)] = serviceconfig.Model{Weights: 1, MemoryMB: 100}
	mainService := s.Config.Services[service]
	mainService.WorkerMemoryMB = 260
	s.Config.Services[service] = mainService
	s.Config.Adapters = map[string]serviceconfig.Adapter{}
	var adapterOptions []string
	for i := range s.Traffic.Kinds {
		kind := &s.Traffic.Kinds[i]
		kind.ServedBy = []string{model, nextBuild(model)}
		if i == 2 {
			break
		}
		kind.Model, kind.ServedBy = kind.Name, []string{fmt.Sprintf("%s/%s@1", model, kind.Name), fmt.Sprintf("%s/%s@1", nextBuild(model), nextBuild(kind.Name))}
		s.Config.Adapters[kind.Name] = serviceconfig.Adapter{BaseModel: model, Build: 1, Services: []string{service}, MemoryMB: 10}
		s.Config.Adapters[nextBuild(kind.Name)] = serviceconfig.Adapter{BaseModel: nextBuild(model), Build: 1, Services: []string{service}, MemoryMB: 10}
		s.Config.Routes[kind.Name] = serviceconfig.Route{Service: service}
		adapterOptions = append(adapterOptions, kind.Name+"@1")
	}
	for i := range s.Processes {
		if process := &s.Processes[i]; process.Program == programs.WorkerSim {
			process.Settings.Options = append(process.Settings.Options, "memory=260", "model_room=100", "adapter_room=10", "adapters="+strings.Join(adapterOptions, ","))
		}
	}
}

// executeRetirementStep executes a scenario step that concerns the retirement of the site's base model, that is its
// gradual replacement by another one: the step plans and starts it, sends it a command, or waits until it reaches a
// state or phase.
func (run *scenarioRun) executeRetirementStep(ctx context.Context, action, name, argument string) error {
	switch action {
	case "retire":
		return run.planAndStartRetirement(ctx, name, argument)
	case "retire-ask":
		return run.commandRetirement(ctx, name, argument)
	}
	return run.awaitRetirement(ctx, name, argument)
}

// planAndStartRetirement plans and starts the retirement of the site's base model. options is empty or a JSON object of
// type retire.Retirement with further fields of the plan.
func (run *scenarioRun) planAndStartRetirement(ctx context.Context, name, options string) error {
	retirement := &retire.Retirement{}
	if options != "" {
		if err := json.Unmarshal([]byte(options), retirement); err != nil {
			return errs.WrapAs(err, errs.BadInput, "retirement")
		}
	}
	model := run.fleet.Site.Traffic.Model
	retirement.Name, retirement.Service = name, mainService(model)
	retirement.OldBase, retirement.NewBase = model, nextBuild(model)
	retirement.Replacements = map[string]string{}
	for _, kind := range run.fleet.Site.Traffic.Kinds[:2] {
		retirement.Replacements[kind.Name] = nextBuild(kind.Name)
	}
	_, run.configBeforeRetirement = run.fleet.Get(ctx, run.fleet.Site.Operators[0], "/v1/setup")
	if _, err := run.post(ctx, "/v1/retirements", map[string]any{"retirement": retirement}, nil); err != nil {
		return err
	}
	return run.commandRetirement(ctx, name, "start")
}

// commandRetirement sends a command, such as start or abort, to the named retirement.
func (run *scenarioRun) commandRetirement(ctx context.Context, name, command string) error {
	service := mainService(run.fleet.Site.Traffic.Model)
	_, err := run.post(ctx, "/v1/retirements/"+service+"/"+name+"/"+command, map[string]any{}, nil)
	return err
}

// awaitRetirement polls until the named retirement reaches a state or phase, and then checks the workers and the
// configuration if the retirement is done or aborted.
func (run *scenarioRun) awaitRetirement(ctx context.Context, name, state string) error {
	for i := 0; ; i++ {
		_, last := run.fleet.Get(ctx, run.fleet.Site.Operators[i%len(run.fleet.Site.Operators)], "/v1/retirements")
		var list struct {
			Retirements []*retire.Retirement `json:"retirements"`
		}
		if json.Unmarshal([]byte(last), &list) == nil {
			for _, retirement := range list.Retirements {
				last = fmt.Sprintf("retirement in state %s, progress %s, reason: %s, blocked by %v", retirement.State, retirement.Progress(), retirement.Reason, retirement.Blockers)
				if retirement.Name == name && (string(retirement.State) == state || string(retirement.Phase) == state) {
					return run.checkFleetAfterRetirement(ctx, retirement)
				}
			}
		}
		if i >= retirementPolls {
			return errs.New(errs.Internal, "retirement %s did not reach state or phase %s within %d polls; last response: %s", name, state, retirementPolls, last)
		}
		time.Sleep(retirementPollPause)
	}
}

// checkFleetAfterRetirement checks the workers that respond after a retirement has ended. If it is done, each must have
// the new base model with its adapters loaded, and not the old one. If it was aborted, each must have the old one and
// not the new one, and the configuration must be as it was before the retirement.
func (run *scenarioRun) checkFleetAfterRetirement(ctx context.Context, retirement *retire.Retirement) error {
	if retirement.Active() {
		return nil
	}
	retiredBase, base, adapters := retirement.OldBase, retirement.NewBase, []string{}
	for _, oldAdapter := range maputil.SortedKeys(retirement.Replacements) {
		adapters = append(adapters, map[retire.State]string{retire.StateDone: retirement.Replacements[oldAdapter], retire.StateAborted: oldAdapter}[retirement.State])
	}
	if retirement.State == retire.StateAborted {
		retiredBase, base = retirement.NewBase, retirement.OldBase
		if _, now := run.fleet.Get(ctx, run.fleet.Site.Operators[0], "/v1/setup"); configIn(now) != configIn(run.configBeforeRetirement) {
			run.addViolation("configuration after the abort of the retirement: got %s, want it as before the retirement: %s", configIn(now), configIn(run.configBeforeRetirement))
		}
	}
	backends := contract.NewBackends(run.fleet.env.Dial)
	defer backends.Close()
	for _, worker := range maputil.SortedKeys(run.fleet.Site.Workers) {
		state, err := backends.State(ctx, run.fleet.Site.Workers[worker])
		if err != nil {
			continue // the worker is down; it loads and unloads the models after its restart
		}
		hasAll := false
		for _, loaded := range state.LoadedModels() {
			if loaded.Model == retiredBase {
				run.addViolation("worker %s still has base model %s loaded, although the retirement is %s", worker, retiredBase, retirement.State)
			}
			hasAll = hasAll || loaded.Model == base && len(loaded.Adapters) >= len(adapters)
			for _, adapter := range adapters {
				hasAll = hasAll && (loaded.Model != base || loaded.Adapters[adapter] > 0)
			}
		}
		if !hasAll {
			run.addViolation("worker %s has loaded %v, want base model %s with adapters %v", worker, state.LoadedModels(), base, adapters)
		}
	}
	return nil
}

// configIn returns the configuration in the body of a response, without its version; the whole body if it can't be
// decoded.
func configIn(body string) string {
	var response struct {
		Configuration json.RawMessage `json:"setup"`
	}
	if json.Unmarshal([]byte(body), &response) != nil {
		return body
	}
	return string(response.Configuration)
}

// checkOldBaseUnloadedLast checks that no worker was ordered to unload the old base model before every worker had
// executed requests with the new base model alone and with each of its adapters. It returns the violations.
func (run *scenarioRun) checkOldBaseUnloadedLast(journals, orders map[string][]workersim.Run) (violations []string) {
	if !run.scenario.Retire {
		return nil
	}
	model := run.fleet.Site.Traffic.Model
	firstUnloadMs, orderedWorker := int64(math.MaxInt64), ""
	for _, worker := range maputil.SortedKeys(orders) {
		for _, order := range orders[worker] {
			if order.Kind == "unload" && order.Model == model && order.AtMs < firstUnloadMs {
				firstUnloadMs, orderedWorker = order.AtMs, worker
			}
		}
	}
	if orderedWorker == "" {
		return nil
	}
	for _, worker := range maputil.SortedKeys(journals) {
		for _, adapter := range []string{"", nextBuild(run.fleet.Site.Traffic.Kinds[0].Name), nextBuild(run.fleet.Site.Traffic.Kinds[1].Name)} {
			executed := false
			for _, workerRun := range journals[worker] {
				executed = executed || workerRun.Model == nextBuild(model) && workerRun.Adapter == adapter && workerRun.AtMs <= firstUnloadMs
			}
			if !executed {
				violations = append(violations, fmt.Sprintf("worker %s was ordered to unload base model %s before worker %s had executed a request with base model %s and adapter %q", orderedWorker, model, worker, nextBuild(model), adapter))
			}
		}
	}
	return violations
}
