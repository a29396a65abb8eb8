package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// Bounds of one call to the operator addresses.
const (
	postAttempts = 40
	postTimeout  = 8 * time.Second // of one attempt
)

// settingsOf returns a process's settings; the zero value for an unknown process.
func (f *Fleet) settingsOf(name string) settings.Process {
	process, _ := f.process(name)
	return process.Settings
}

// startImpostor starts a second process, with an empty disk, under the machine name of an existing one and at
// another address, while the existing process keeps running or is frozen.
func (f *Fleet) startImpostor(name string) error {
	for _, process := range f.Site.Processes {
		if process.Name != name {
			continue
		}
		process.Name += "-again"
		octets := strings.Split(process.Settings.Listen, ".")
		octets[3] = "98:" + strings.Split(octets[3], ":")[1]
		process.Settings.Listen = strings.Join(octets, ".")
		if process.Settings.Operator != "" {
			process.Settings.Operator = strings.Join(octets[:3], ".") + ".98:8090"
		}
		if process.Settings.Data != "" {
			process.Settings.Data += "-again"
		}
		if err := f.env.WriteSettings(process); err != nil {
			return err
		}
		f.Site.Processes = append(f.Site.Processes, process)
		return f.Start(process.Name)
	}
	return errs.New(errs.NotFound, "process %q", name)
}

// addressByte returns the second byte of the site's addresses.
func (f *Fleet) addressByte() string { return strings.Split(f.platformAddr(), ".")[1] }

func (f *Fleet) platformAddr() string { return f.settingsOf("rank-1").Public }

// configLeader returns the core machine that leads the configuration's shard.
func (f *Fleet) configLeader(ctx context.Context) (string, error) {
	for _, process := range f.Site.Processes {
		if process.Program != programs.ControlNode {
			continue
		}
		statusCtx, cancel := context.WithTimeout(ctx, time.Second)
		status, err := wire.NewControlNodeClient("http://"+process.Settings.Listen, f.client).Status(statusCtx, &wire.StatusRequest{})
		cancel()
		for _, shard := range status.GetShards() {
			if err == nil && shard.Shard == 0 && shard.IsLeader {
				return process.Settings.Name, nil
			}
		}
	}
	return "", errs.New(errs.OutcomeUnknown, "the configuration's shard has no leader")
}

// moveAddress gives a core machine's process a new address, which its next start uses.
func (f *Fleet) moveAddress(name string) error {
	for i := range f.Site.Processes {
		process := &f.Site.Processes[i]
		if process.Name != name {
			continue
		}
		host, port, err := net.SplitHostPort(process.Settings.Listen)
		if err != nil {
			return errs.Wrap(err, "move")
		}
		octets := strings.Split(host, ".")
		host = strings.Join(append(octets[:3], "99"), ".")
		old := process.Settings.Operator
		process.Settings.Listen = host + ":" + port
		if old != "" {
			process.Settings.Operator = host + ":8090"
			for j, operator := range f.Site.Operators {
				if operator == old {
					f.Site.Operators[j] = process.Settings.Operator
				}
			}
		}
		return f.env.WriteSettings(*process)
	}
	return errs.New(errs.NotFound, "process %q", name)
}

// randomBelow draws from [0, n).
func (run *scenarioRun) randomBelow(n int) int {
	run.mu.Lock()
	defer run.mu.Unlock()
	return run.random.IntN(n)
}

// post sends a request to the operator addresses in turn until one succeeds, rejects it as invalid, or postAttempts
// are used up. It returns the configuration version of the response.
func (run *scenarioRun) post(ctx context.Context, path string, request any) (int64, error) {
	raw, err := json.Marshal(request)
	if err != nil {
		return 0, errs.Wrap(err, "write")
	}
	last := ""
	for i := range postAttempts {
		attemptCtx, cancel := context.WithTimeout(ctx, postTimeout)
		code, body := run.fleet.Post(attemptCtx, run.fleet.Site.Operators[(i+run.randomBelow(3))%len(run.fleet.Site.Operators)], path, raw)
		cancel()
		var response struct {
			Epoch int64  `json:"epoch"`
			Kind  string `json:"kind"`
		}
		if json.Unmarshal([]byte(body), &response) == nil && code == 200 {
			run.mu.Lock()
			run.acknowledgedVersion = max(run.acknowledgedVersion, response.Epoch)
			run.mu.Unlock()
			return response.Epoch, nil
		}
		if last = fmt.Sprintf("%d %s", code, body); code == 400 || code == 404 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0, errs.New(errs.OutcomeUnknown, "%s: %s", path, last)
}

// executeOperatorStep executes an operator's step and records when it was acknowledged.
func (run *scenarioRun) executeOperatorStep(ctx context.Context, step Step) error {
	now := func() int64 { return time.Now().UnixMilli() }
	switch step.Action {
	case "weights":
		var number uint64
		if _, err := fmt.Sscan(step.Argument, &number); err != nil {
			return errs.New(errs.BadInput, "weights %q", step.Argument)
		}
		_, err := run.post(ctx, "/v1/weights", map[string]any{"model": run.fleet.Site.Traffic.Model, "weights": number, "token": "weights-" + step.Argument})
		run.mu.Lock()
		run.weightsNamedMs[number] = now()
		run.mu.Unlock()
		return err
	case "revoke":
		tenant := run.fleet.Site.Config.Tenants[step.Targets]
		if len(tenant.Keys) == 0 {
			return errs.New(errs.BadInput, "revoke: tenant %q", step.Targets)
		}
		_, err := run.post(ctx, "/v1/keys/revoke", map[string]any{"tenant": step.Targets, "key": tenant.Keys[0]})
		run.mu.Lock()
		run.keyRevokedMs[tenant.Keys[0]] = now()
		run.mu.Unlock()
		return err
	case "drain", "undrain":
		targets, err := run.resolveTargets(ctx, step.Targets)
		if err != nil {
			return err
		}
		for _, number := range targets {
			if _, err := run.post(ctx, "/v1/drain", map[string]any{"worker": number, "drain": step.Action == "drain"}); err != nil {
				return err
			}
			run.mu.Lock()
			if run.drainedMs[number] = now(); step.Action == "undrain" {
				delete(run.drainedMs, number)
			}
			run.mu.Unlock()
		}
		return nil
	case "seeds":
		seeds := strings.Fields(strings.ReplaceAll(step.Argument, "{net}", run.fleet.addressByte()))
		return run.mustChange(ctx, configurationChange{token: "seeds", patch: map[string]any{"seeds": seeds}})
	case "grow":
		var number int
		if _, err := fmt.Sscan(step.Argument, &number); err != nil {
			return errs.New(errs.BadInput, "grow %q", step.Argument)
		}
		models, services, routes := map[string]any{}, map[string]any{}, map[string]any{}
		for i := range number {
			model := fmt.Sprintf("model-%d", i)
			models[model], services["service-"+model], routes[model] = map[string]any{"weights": 1}, map[string]any{"model": model}, map[string]any{"service": "service-" + model}
		}
		return run.mustChange(ctx, configurationChange{token: "grow", patch: map[string]any{"models": models, "services": services, "ways": routes}})
	}
	return run.executeConcurrentChanges(ctx, step)
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
