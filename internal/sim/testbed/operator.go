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

// Limits of a request that scenarioRun.post sends to the operator addresses.
const (
	postAttempts = 40              // maximum number of attempts at a request
	postTimeout  = 8 * time.Second // time limit of one attempt at a request
)

// randomBelow returns a random number from 0 to n-1; goroutines may call it concurrently.
func (run *scenarioRun) randomBelow(n int) int {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.random.IntN(n)
}

// post sends a request to operator addresses until one accepts it, rejects it as invalid or not found, or postAttempts
// attempts have failed. It returns the configuration version in the response. If the request changes the configuration,
// change describes that, and each attempt is recorded in the history; otherwise change is nil.
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
		last = fmt.Sprintf("response with status %d and body %s", code, body)
		if code == errs.BadInput.HTTPStatus {
			break
		}
		if code == errs.NotFound.HTTPStatus {
			kind = errs.NotFound
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, errs.New(kind, "operator API request to %s failed; last response: %s", path, last)
}

// executeOperatorStep executes a scenario step in which operators change the configuration.
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

// setWeights sets the version of the weights of the site's model, and records when that was acknowledged.
func (run *scenarioRun) setWeights(ctx context.Context, argument string) error {
	var weights uint64
	if _, err := fmt.Sscan(argument, &weights); err != nil {
		return errs.New(errs.BadInput, "step weights: argument %q is not a version number", argument)
	}
	_, err := run.post(ctx, "/v1/weights", map[string]any{"model": run.fleet.Site.Traffic.Model, "weights": weights, "token": "weights-" + argument}, anyVersionChange("weights-"+argument))
	run.mu.Lock()
	run.weightsSetMs[weights] = time.Now().UnixMilli()
	run.mu.Unlock()
	return err
}

// revokeKey revokes the first API key of a tenant, and records when that was acknowledged.
func (run *scenarioRun) revokeKey(ctx context.Context, name string) error {
	tenant := run.fleet.Site.Config.Tenants[name]
	if len(tenant.Keys) == 0 {
		return errs.New(errs.BadInput, "step revoke: tenant %q is unknown or has no API key", name)
	}
	_, err := run.post(ctx, "/v1/keys/revoke", map[string]any{"tenant": name, "key": tenant.Keys[0]}, anyVersionChange(""))
	if errs.KindOf(err) == errs.NotFound && err != nil {
		err = nil // an earlier attempt, whose response was lost, has revoked the key
	}
	run.mu.Lock()
	run.keyRevokedMs[tenant.Keys[0]] = time.Now().UnixMilli()
	run.mu.Unlock()
	return err
}

// setDraining starts or ends the draining of the workers that match targets, and records when that was acknowledged.
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

// growConfiguration adds models to the configuration, each with a service and a route; argument is their number.
func (run *scenarioRun) growConfiguration(ctx context.Context, argument string) error {
	var count int
	if _, err := fmt.Sscan(argument, &count); err != nil {
		return errs.New(errs.BadInput, "step grow: argument %q is not a number of models", argument)
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

// executeConcurrentChanges sends changes of the configuration concurrently, as several operators would. In the step
// "race" all changes are conditional on the same version, so that at most one of them may be acknowledged; in "storm"
// they are unconditional.
func (run *scenarioRun) executeConcurrentChanges(ctx context.Context, step Step) error {
	var changes int
	if _, err := fmt.Sscan(step.Argument, &changes); err != nil {
		return errs.New(errs.BadInput, "step %s: argument %q is not a number of changes", step.Action, step.Argument)
	}
	var base *uint64
	if step.Action == "race" {
		version, err := run.readAnywhere(ctx)
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
			run.addViolation("%d concurrent changes were acknowledged with the same configuration version %d, want 1", times, version)
		}
	}
	if step.Action == "race" && len(acknowledged) > 1 {
		run.addViolation("%d changes that are conditional on configuration version %d were acknowledged, want at most 1", len(acknowledged), *base)
	}
	if len(acknowledged) == 0 {
		return errs.New(errs.OutcomeUnknown, "step %s: none of %d concurrent changes of the configuration was acknowledged", step.Action, changes)
	}
	return nil
}
