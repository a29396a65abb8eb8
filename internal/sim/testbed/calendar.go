package testbed

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/calendar"
	"pebbleloom/internal/errs"
)

// executeCalendarStep executes a scenario step that concerns the calendar, in which operators schedule changes to
// services, or that retires a base model, changes the platform's worker list, or patches the configuration.
func (run *scenarioRun) executeCalendarStep(ctx context.Context, step Step) error {
	argument := strings.ReplaceAll(step.Argument, "{model}", run.fleet.Site.Traffic.Model)
	target := strings.ReplaceAll(step.Targets, "{model}", run.fleet.Site.Traffic.Model)
	switch step.Action {
	case "retire", "retire-ask", "retired":
		return run.executeRetirementStep(ctx, step.Action, target, argument)
	case "write":
		if err := run.beginCalendarEntry(argument); err != nil {
			return err
		}
		_, err := run.post(ctx, "/v1/calendar", map[string]any{"move": json.RawMessage(argument)}, nil)
		return err
	case "clash":
		raw, err := json.Marshal(map[string]any{"move": json.RawMessage(argument)})
		if err != nil {
			return errs.Wrap(err, "write")
		}
		if code, body := run.fleet.Post(ctx, run.fleet.Site.Operators[0], "/v1/calendar", raw); code != 409 || !strings.Contains(body, "clashes") {
			return errs.New(errs.Internal, "calendar entry that conflicts with an existing one: got status %d and body %s, want status 409 and a body with \"clashes\"", code, body)
		}
		return nil
	case "patch":
		token := fmt.Sprint("patch-", step.At)
		_, err := run.post(ctx, "/v1/setup", map[string]any{"partial": true, "setup": json.RawMessage(argument), "token": token}, anyVersionChange(token))
		return err
	case "ask":
		_, err := run.post(ctx, "/v1/calendar/"+target+"/"+argument, map[string]any{}, nil)
		return err
	case "platform":
		run.background.Go(func() { run.replaceDrainedWorkers(ctx) })
		return nil
	case "second":
		return run.moveToSecondService(ctx, target)
	}
	return run.awaitCalendarEntry(ctx, target, argument)
}

// moveToSecondService makes the platform simulator list the workers that match target under the service "MODEL-two"
// instead of the model's main service.
func (run *scenarioRun) moveToSecondService(ctx context.Context, target string) error {
	names, err := run.resolveTargets(ctx, target)
	if err != nil {
		return err
	}
	for _, name := range names {
		for _, worker := range run.fleet.Site.WorkerList {
			if worker.Name != name {
				continue
			}
			worker.Service = run.fleet.Site.Traffic.Model + "-two"
			if err := run.listWorker(ctx, worker); err != nil {
				return err
			}
		}
	}
	return nil
}

const (
	calendarPolls     = 60                     // maximum number of polls for a calendar entry to reach the awaited state
	calendarPollPause = 500 * time.Millisecond // pause between two polls of the calendar

	workerReplacementPollPause = 300 * time.Millisecond // pause between two reads of the configuration, in search of newly drained workers
	workerStopGrace            = 300 * time.Millisecond // time from SIGTERM to SIGKILL of a drained worker that is restarted
)

// awaitCalendarEntry polls the operator addresses until the calendar entry target, given as service/name, has the
// given state. It fails with errs.Internal after calendarPolls polls.
func (run *scenarioRun) awaitCalendarEntry(ctx context.Context, target, state string) error {
	for i := 0; ; i++ {
		_, body := run.fleet.Get(ctx, run.fleet.Site.Operators[i%len(run.fleet.Site.Operators)], "/v1/calendar")
		last := body
		if entry := calendarEntry(body, target); entry != nil {
			last = fmt.Sprintf("calendar entry in state %s, step %d of %d, reason: %s", entry.State, entry.CurrentStep, len(entry.Steps), entry.Reason)
			if string(entry.State) == state {
				return nil
			}
		}
		if i >= calendarPolls {
			return errs.New(errs.Internal, "calendar entry %s did not reach state %s within %d polls; last response: %s", target, state, calendarPolls, last)
		}
		time.Sleep(calendarPollPause)
	}
}

// calendarEntry returns the entry target, given as service/name, from the body of a response with the calendar; nil if
// the body can't be decoded or doesn't list the entry.
func calendarEntry(body, target string) *calendar.Entry {
	var list struct {
		Moves []json.RawMessage `json:"moves"`
	}
	if json.Unmarshal([]byte(body), &list) != nil {
		return nil
	}
	for _, rawEntry := range list.Moves {
		if entry, err := calendar.Decode(rawEntry); err == nil && entry.Service+"/"+entry.Name == target {
			return entry
		}
	}
	return nil
}

// listWorker adds a worker to the platform simulator's list, or replaces its entry.
func (run *scenarioRun) listWorker(ctx context.Context, w contract.ListedWorker) error {
	raw, err := json.Marshal(w)
	if err != nil {
		return errs.Wrap(err, "write")
	}
	if code, body := run.fleet.Post(ctx, run.fleet.platformAddr(), "/v1/workers", raw); code != 200 {
		return errs.New(errs.Internal, "add worker %s to the platform simulator's list: got status %d and body %s, want status 200", w.Name, code, body)
	}
	return nil
}

// replaceDrainedWorkers simulates the platform: until ctx is done, it restarts every worker that the configuration
// drains as soon as the worker has no running or queued requests. Each worker is restarted once at most.
func (run *scenarioRun) replaceDrainedWorkers(ctx context.Context) {
	backends := contract.NewBackends(run.fleet.env.Dial)
	defer backends.Close()
	restarted := map[string]bool{}
	for ctx.Err() == nil {
		time.Sleep(workerReplacementPollPause)
		_, body := run.fleet.Get(ctx, run.fleet.Site.Operators[5], "/v1/setup")
		var config struct {
			Configuration struct {
				Draining map[string]bool `json:"drains"`
			} `json:"setup"`
		}
		if json.Unmarshal([]byte(body), &config) != nil {
			continue
		}
		for worker := range config.Configuration.Draining {
			state, err := backends.State(ctx, run.fleet.Site.Workers[worker])
			if restarted[worker] || err != nil || state.Busy > 0 || state.Queued > 0 {
				continue
			}
			restarted[worker] = true
			if run.fleet.Signal(worker, syscall.SIGTERM) == nil {
				time.Sleep(workerStopGrace)
				if err := run.fleet.Signal(worker, syscall.SIGKILL); err == nil || errs.KindOf(err) == errs.Internal {
					if err := run.fleet.Start(worker); err != nil {
						run.addViolation("platform simulation: restart of drained worker %s: %v", worker, err)
					}
				}
			}
		}
	}
}
