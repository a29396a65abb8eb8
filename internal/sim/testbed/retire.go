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
	"pebbleloom/internal/programs"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/sim/workersim"
)

// nextBuild is the second build of a base or an adapter.
func nextBuild(name string) string { return name + "-2" }

// addAdapters gives a site two adapters, which its first two kinds of request name, and a second base
// model with replacements for them. Its workers have room for both sets.
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

// executeRetirementStep carries out the steps of a scenario that have to do with retiring the site's base model:
// to plan and start it, to ask something of it, to wait until it has come to a state.
func (run *scenarioRun) executeRetirementStep(ctx context.Context, action, name, argument string) error {
	model := run.fleet.Site.Traffic.Model
	service := mainService(model)
	switch action {
	case "retire":
		retirement := &retire.Retirement{}
		if argument != "" {
			if err := json.Unmarshal([]byte(argument), retirement); err != nil {
				return errs.WrapAs(err, errs.BadInput, "retirement")
			}
		}
		retirement.Name, retirement.Service, retirement.OldBase, retirement.NewBase, retirement.Replacements = name, service, model, nextBuild(model), map[string]string{}
		for _, kind := range run.fleet.Site.Traffic.Kinds[:2] {
			retirement.Replacements[kind.Name] = nextBuild(kind.Name)
		}
		_, run.configBeforeRetirement = run.fleet.Get(ctx, run.fleet.Site.Operators[0], "/v1/setup")
		if _, err := run.post(ctx, "/v1/retirements", map[string]any{"retirement": retirement}); err != nil {
			return err
		}
		_, err := run.post(ctx, "/v1/retirements/"+service+"/"+name+"/start", map[string]any{})
		return err
	case "retire-ask":
		_, err := run.post(ctx, "/v1/retirements/"+service+"/"+name+"/"+argument, map[string]any{})
		return err
	}
	for i := 0; ; i++ {
		_, last := run.fleet.Get(ctx, run.fleet.Site.Operators[i%len(run.fleet.Site.Operators)], "/v1/retirements")
		var list struct {
			Retirements []*retire.Retirement `json:"retirements"`
		}
		if json.Unmarshal([]byte(last), &list) == nil {
			for _, retirement := range list.Retirements {
				if last = fmt.Sprintf("%s, %s, %s, held by %v", retirement.State, retirement.Progress(), retirement.Reason, retirement.Blockers); retirement.Name == name && (string(retirement.State) == argument || string(retirement.Phase) == argument) {
					return run.checkFleetAfterRetirement(ctx, retirement)
				}
			}
		}
		if i >= 400 {
			return errs.New(errs.Internal, "%s isn't %s: %s", name, argument, last)
		}
		time.Sleep(250 * time.Millisecond)
	}
}

// checkFleetAfterRetirement looks at the fleet once a retirement is over: the old base is gone from every worker that
// answers, or all is as it was before.
func (run *scenarioRun) checkFleetAfterRetirement(ctx context.Context, retirement *retire.Retirement) error {
	if retirement.Active() {
		return nil
	}
	retiredBase, base, adapters := retirement.OldBase, retirement.NewBase, []string{}
	for _, worker := range queue.Keys(retirement.Replacements) {
		adapters = append(adapters, map[retire.State]string{retire.StateDone: retirement.Replacements[worker], retire.StateAborted: worker}[retirement.State])
	}
	if retirement.State == retire.StateAborted {
		retiredBase, base = retirement.NewBase, retirement.OldBase
		if _, now := run.fleet.Get(ctx, run.fleet.Site.Operators[0], "/v1/setup"); configIn(now) != configIn(run.configBeforeRetirement) {
			run.addFault("after the abort the setup is %s, it was %s", configIn(now), configIn(run.configBeforeRetirement))
		}
	}
	backends := contract.NewBackends(run.fleet.env.Dial)
	defer backends.Close()
	for _, worker := range queue.Keys(run.fleet.Site.Workers) {
		state, err := backends.State(ctx, run.fleet.Site.Workers[worker])
		if err != nil {
			continue // it is down: when it is back it is caught up
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
			run.addFault("%s holds %v, %s with %v are due", worker, state.LoadedModels(), base, adapters)
		}
	}
	return nil
}

// configIn is the setup of an answer without its version.
func configIn(body string) string {
	var s struct {
		Setup json.RawMessage `json:"setup"`
	}
	if json.Unmarshal([]byte(body), &s) != nil {
		return body
	}
	return string(s.Setup)
}

// checkOldBaseOutlivesMigration: the old base leaves no worker before every worker has answered under the new base and
// each adapter on it.
func (run *scenarioRun) checkOldBaseOutlivesMigration(journals, orders map[string][]workersim.Run) (faults []string) {
	if !run.scenario.Retire {
		return nil
	}
	model := run.fleet.Site.Traffic.Model
	firstUnloadMs, orderedWorker := int64(math.MaxInt64), ""
	for _, worker := range queue.Keys(orders) {
		for _, order := range orders[worker] {
			if order.Kind == "unload" && order.Model == model && order.AtMs < firstUnloadMs {
				firstUnloadMs, orderedWorker = order.AtMs, worker
			}
		}
	}
	if orderedWorker == "" {
		return nil
	}
	for _, worker := range queue.Keys(journals) {
		for _, adapter := range []string{"", nextBuild(run.fleet.Site.Traffic.Kinds[0].Name), nextBuild(run.fleet.Site.Traffic.Kinds[1].Name)} {
			answered := false
			for _, workerRun := range journals[worker] {
				answered = answered || workerRun.Model == nextBuild(model) && workerRun.Adapter == adapter && workerRun.AtMs <= firstUnloadMs
			}
			if !answered {
				faults = append(faults, fmt.Sprintf("%s was told to drop %s before %s had answered under %s %s", orderedWorker, model, worker, nextBuild(model), adapter))
			}
		}
	}
	return faults
}
