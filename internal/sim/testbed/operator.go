package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/sim/history"
)

// Bounds of one call to the operator addresses.
const (
	postAttempts = 40
	postTimeout  = 8 * time.Second // of one attempt
)

// randomBelow draws from [0, n).
func (run *scenarioRun) randomBelow(n int) int {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.random.IntN(n)
}

// post sends a request to the operator addresses in turn until one succeeds, rejects it as invalid, or postAttempts
// are used up. It returns the configuration version of the response. Attempts at a change of the configuration are
// recorded; change is nil for any other request.
func (run *scenarioRun) post(ctx context.Context, path string, request any, change *history.Change) (int64, error) {
	raw, err := json.Marshal(request)
	if err != nil {
		return 0, errs.Wrap(err, "write")
	}
	last, kind := "", errs.OutcomeUnknown
	for i := range postAttempts {
		attemptCtx, cancel := context.WithTimeout(ctx, postTimeout)
		attempt := run.beginAttempt(change)
		code, body := run.fleet.Post(attemptCtx, run.fleet.Site.Operators[(i+run.randomBelow(3))%len(run.fleet.Site.Operators)], path, raw)
		cancel()
		response, ok := decodeOperatorResponse(body)
		if ok {
			completeAttempt(attempt, code, response)
		}
		if ok && code == 200 {
			run.mu.Lock()
			run.acknowledgedVersion = max(run.acknowledgedVersion, response.Version)
			run.mu.Unlock()
			return response.Version, nil
		}
		last = fmt.Sprintf("%d %s", code, body)
		if code == errs.BadInput.HTTPStatus {
			break
		}
		if code == errs.NotFound.HTTPStatus {
			kind = errs.NotFound
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, errs.New(kind, "%s: %s", path, last)
}

// executeOperatorStep executes an operator's step and records when it was acknowledged.
func (run *scenarioRun) executeOperatorStep(ctx context.Context, step Step) error {
	switch step.Action {
	case "weights":
		return run.setWeights(ctx, step.Argument)
	case "revoke":
		return run.revokeKey(ctx, step.Targets)
	case "drain", "undrain":
		return run.setDraining(ctx, step.Targets, step.Action == "drain")
	case "seeds":
		seeds := strings.Fields(strings.ReplaceAll(step.Argument, "{net}", run.fleet.addressByte()))
		return run.mustChange(ctx, configurationChange{token: "seeds", patch: map[string]any{"seeds": seeds}})
	case "grow":
		return run.growConfiguration(ctx, step.Argument)
	}
	return run.executeConcurrentChanges(ctx, step)
}

// setWeights sets the weights of the site's model.
func (run *scenarioRun) setWeights(ctx context.Context, argument string) error {
	var weights uint64
	if _, err := fmt.Sscan(argument, &weights); err != nil {
		return errs.New(errs.BadInput, "weights %q", argument)
	}
	_, err := run.post(ctx, "/v1/weights", map[string]any{"model": run.fleet.Site.Traffic.Model, "weights": weights, "token": "weights-" + argument}, anyVersionChange("weights-"+argument))
	run.mu.Lock()
	run.weightsNamedMs[weights] = time.Now().UnixMilli()
	run.mu.Unlock()
	return err
}

// revokeKey revokes a tenant's first key.
func (run *scenarioRun) revokeKey(ctx context.Context, name string) error {
	tenant := run.fleet.Site.Config.Tenants[name]
	if len(tenant.Keys) == 0 {
		return errs.New(errs.BadInput, "revoke: tenant %q", name)
	}
	_, err := run.post(ctx, "/v1/keys/revoke", map[string]any{"tenant": name, "key": tenant.Keys[0]}, anyVersionChange(""))
	if errs.KindOf(err) == errs.NotFound && err != nil {
		err = nil // an earlier attempt, whose answer was lost, has revoked it
	}
	run.mu.Lock()
	run.keyRevokedMs[tenant.Keys[0]] = time.Now().UnixMilli()
	run.mu.Unlock()
	return err
}

// setDraining starts or ends the draining of workers.
func (run *scenarioRun) setDraining(ctx context.Context, targets string, draining bool) error {
	names, err := run.resolveTargets(ctx, targets)
	if err != nil {
		return err
	}
	for _, name := range names {
		if _, err := run.post(ctx, "/v1/drain", map[string]any{"worker": name, "drain": draining}, anyVersionChange("")); err != nil {
			return err
		}
		run.mu.Lock()
		if run.drainedMs[name] = time.Now().UnixMilli(); !draining {
			delete(run.drainedMs, name)
		}
		run.mu.Unlock()
	}
	return nil
}

// growConfiguration adds a number of models, each with a service and a route.
func (run *scenarioRun) growConfiguration(ctx context.Context, argument string) error {
	var count int
	if _, err := fmt.Sscan(argument, &count); err != nil {
		return errs.New(errs.BadInput, "grow %q", argument)
	}
	models, services, routes := map[string]any{}, map[string]any{}, map[string]any{}
	for i := range count {
		model := fmt.Sprintf("model-%d", i)
		service := "service-" + model
		models[model] = map[string]any{"weights": 1}
		services[service] = map[string]any{"model": model}
		routes[model] = map[string]any{"service": service}
	}
	return run.mustChange(ctx, configurationChange{token: "grow", patch: map[string]any{"models": models, "services": services, "ways": routes}})
}

// executeConcurrentChanges changes the configuration as several operators at once. In a "race" all changes are
// conditional on one version, and at most one of them may be acknowledged.
func (run *scenarioRun) executeConcurrentChanges(ctx context.Context, step Step) error {
	var changes int
	if _, err := fmt.Sscan(step.Argument, &changes); err != nil {
		return errs.New(errs.BadInput, "%s %q", step.Action, step.Argument)
	}
	var base *uint64
	if step.Action == "race" {
		version, err := run.readSomewhere(ctx)
		if err != nil {
			return err
		}
		base = &version
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	acknowledged := map[uint64]int{}
	for i := range changes {
		wg.Go(func() {
			tenant := map[string]any{fmt.Sprintf("%s-%d", step.Action, i): map[string]any{"rate": i + 1}}
			change := configurationChange{token: fmt.Sprintf("%s-%d-%d", step.Action, step.At, i), base: base, patch: map[string]any{"tenants": tenant}}
			if version, ok := run.change(ctx, change, i); ok {
				mu.Lock()
				acknowledged[version]++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for version, times := range acknowledged {
		if times > 1 {
			run.addFault("%d changes were acknowledged under version %d", times, version)
		}
	}
	if step.Action == "race" && len(acknowledged) > 1 {
		run.addFault("%d changes onto version %d were acknowledged", len(acknowledged), *base)
	}
	if len(acknowledged) == 0 {
		return errs.New(errs.OutcomeUnknown, "%s: none of %d changes was acknowledged", step.Action, changes)
	}
	return nil
}
