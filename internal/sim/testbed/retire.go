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
	retirementPolls     = 400 // polls after which a retirement that hasn't reached its state is an error
	retirementPollPause = 250 * time.Millisecond
)

// nextBuild returns the name of a base model's or adapter's replacement.
func nextBuild(name string) string { return name + "-2" }

// addAdapters adds two adapters, for the site's first two kinds of request, and a second base model with
// replacements for them. The workers have capacity for both sets.
func (s *Site) addAdapters(yes bool) {
	if !yes {
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
	var words []string
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
		words = append(words, kind.Name+"@1")
	}
	for i := range s.Processes {
		if process := &s.Processes[i]; process.Program == programs.WorkerSim {
			process.Settings.Options = append(process.Settings.Options, "memory=260", "model_room=100", "adapter_room=10", "adapters="+strings.Join(words, ","))
		}
	}
}

// executeRetirementStep executes a step that concerns the retirement of the site's base model: it plans and starts
// it, sends it a command, or waits until it reaches a state or phase.
func (run *scenarioRun) executeRetirementStep(ctx context.Context, action, name, argument string) error {
	switch action {
	case "retire":
		return run.planAndStartRetirement(ctx, name, argument)
	case "retire-ask":
		return run.commandRetirement(ctx, name, argument)
	}
	return run.awaitRetirement(ctx, name, argument)
}

// planAndStartRetirement plans the retirement of the site's base model, with options as JSON, and starts it.
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

// commandRetirement sends a command to a retirement.
func (run *scenarioRun) commandRetirement(ctx context.Context, name, command string) error {
	service := mainService(run.fleet.Site.Traffic.Model)
	_, err := run.post(ctx, "/v1/retirements/"+service+"/"+name+"/"+command, map[string]any{}, nil)
	return err
}

// awaitRetirement polls until a retirement reaches a state or phase, and checks the fleet if that is its end.
func (run *scenarioRun) awaitRetirement(ctx context.Context, name, state string) error {
	for i := 0; ; i++ {
		_, last := run.fleet.Get(ctx, run.fleet.Site.Operators[i%len(run.fleet.Site.Operators)], "/v1/retirements")
		var list struct {
			Retirements []*retire.Retirement `json:"retirements"`
		}
		if json.Unmarshal([]byte(last), &list) == nil {
			for _, retirement := range list.Retirements {
				last = fmt.Sprintf("%s, %s, %s, blocked by %v", retirement.State, retirement.Progress(), retirement.Reason, retirement.Blockers)
				if retirement.Name == name && (string(retirement.State) == state || string(retirement.Phase) == state) {
					return run.checkFleetAfterRetirement(ctx, retirement)
				}
			}
		}
		if i >= retirementPolls {
			return errs.New(errs.Internal, "%s isn't %s: %s", name, state, last)
		}
		time.Sleep(retirementPollPause)
	}
}

// checkFleetAfterRetirement checks the fleet after a retirement. Every worker that responds holds the new base with
// its adapters and no longer the old one; after an abort it is the reverse, and the configuration is unchanged.
func (run *scenarioRun) checkFleetAfterRetirement(ctx context.Context, retirement *retire.Retirement) error {
	if retirement.Active() {
		return nil
	}
	retiredBase, base, adapters := retirement.OldBase, retirement.NewBase, []string{}
	for _, worker := range maputil.SortedKeys(retirement.Replacements) {
		adapters = append(adapters, map[retire.State]string{retire.StateDone: retirement.Replacements[worker], retire.StateAborted: worker}[retirement.State])
	}
	if retirement.State == retire.StateAborted {
		retiredBase, base = retirement.NewBase, retirement.OldBase
		if _, now := run.fleet.Get(ctx, run.fleet.Site.Operators[0], "/v1/setup"); configIn(now) != configIn(run.configBeforeRetirement) {
			run.addFault("after the abort the configuration is %s, it was %s", configIn(now), configIn(run.configBeforeRetirement))
		}
	}
	backends := contract.NewBackends(run.fleet.env.Dial)
	defer backends.Close()
	for _, worker := range maputil.SortedKeys(run.fleet.Site.Workers) {
		state, err := backends.State(ctx, run.fleet.Site.Workers[worker])
		if err != nil {
			continue // it is down, and catches up after its restart
		}
		hasAll := false
		for _, loaded := range state.LoadedModels() {
			if loaded.Model == retiredBase {
				run.addFault("%s still holds %s, the retirement is %s", worker, retiredBase, retirement.State)
			}
			hasAll = hasAll || loaded.Model == base && len(loaded.Adapters) >= len(adapters)
			for _, adapter := range adapters {
				hasAll = hasAll && (loaded.Model != base || loaded.Adapters[adapter] > 0)
			}
		}
		if !hasAll {
			run.addFault("%s holds %v, want %s with %v", worker, state.LoadedModels(), base, adapters)
		}
	}
	return nil
}

// configIn returns the configuration of a response without its version.
func configIn(body string) string {
	var response struct {
		Configuration json.RawMessage `json:"setup"`
	}
	if json.Unmarshal([]byte(body), &response) != nil {
		return body
	}
	return string(response.Configuration)
}

// checkOldBaseOutlivesMigration checks that no worker is ordered to unload the old base before every worker has
// executed requests with the new base and with each of its adapters.
func (run *scenarioRun) checkOldBaseOutlivesMigration(journals, orders map[string][]workersim.Run) (faults []string) {
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
			answered := false
			for _, workerRun := range journals[worker] {
				answered = answered || workerRun.Model == nextBuild(model) && workerRun.Adapter == adapter && workerRun.AtMs <= firstUnloadMs
			}
			if !answered {
				faults = append(faults, fmt.Sprintf("%s was ordered to unload %s before %s had executed a request with %s %s", orderedWorker, model, worker, nextBuild(model), adapter))
			}
		}
	}
	return faults
}
