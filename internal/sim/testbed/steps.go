package testbed

import (
	"context"
	"fmt"
	"path"
	"slices"
	"sort"
	"strings"
	"syscall"
	"time"

	"pebbleloom/internal/errs"
)

// leaderTarget is the step target that stands for the control node that leads shard 0, which holds the configuration.
const leaderTarget = "@owner"

// resolveTargets returns the names of the processes that match a step's targets, sorted. The same target resolves to the
// same processes throughout a run, so that a later step can undo what an earlier one did to a random choice.
func (run *scenarioRun) resolveTargets(ctx context.Context, targets string) ([]string, error) {
	var names []string
	for _, target := range strings.Fields(targets) {
		run.mu.Lock()
		matches, ok := run.resolved[target]
		run.mu.Unlock()
		if !ok {
			var err error
			if matches, err = run.resolvePattern(ctx, target); err != nil {
				return nil, err
			}
			run.mu.Lock()
			run.resolved[target] = matches
			run.mu.Unlock()
		}
		names = append(names, matches...)
	}
	if len(names) == 0 {
		return nil, errs.New(errs.BadInput, "step targets %q match no process of the site", targets)
	}
	sort.Strings(names)
	return slices.Compact(names), nil
}

// resolvePattern returns the names of the processes that match a target: leaderTarget, a pattern, or "pattern:count"
// for a number of random matches.
func (run *scenarioRun) resolvePattern(ctx context.Context, target string) ([]string, error) {
	if target == leaderTarget {
		machine, err := run.fleet.configLeader(ctx)
		return []string{controlNodePrefix + machine}, err
	}
	pattern, count, limited := strings.Cut(target, ":")
	var matches []string
	for _, process := range run.fleet.Site.Processes {
		if ok, err := path.Match(pattern, process.Name); ok && err == nil {
			matches = append(matches, process.Name)
		}
	}
	if limited {
		var limit int
		if _, err := fmt.Sscan(count, &limit); err != nil {
			return nil, errs.New(errs.BadInput, "step target %q: the text after the colon is not a number: give pattern:count", target)
		}
		run.mu.Lock()
		run.random.Shuffle(len(matches), func(i, j int) { matches[i], matches[j] = matches[j], matches[i] })
		run.mu.Unlock()
		matches = matches[:min(limit, len(matches))]
	}
	return matches, nil
}

// execute executes one step of a scenario.
func (run *scenarioRun) execute(ctx context.Context, step Step) error {
	switch step.Action {
	case "heal":
		run.fleet.env.HealLinks()
		return nil
	case "runbook":
		return run.executeRunbook(ctx, step)
	case "write", "platform", "ask", "ended", "patch", "second", "clash", "retire", "retire-ask", "retired":
		return run.executeCalendarStep(ctx, step)
	case "weights", "revoke", "drain", "undrain", "storm", "grow", "race", "seeds":
		return run.executeOperatorStep(ctx, step)
	case "cut", "slow", "off", "mend":
		return run.setLinks(step)
	}
	names, err := run.resolveTargets(ctx, step.Targets)
	if err != nil {
		return err
	}
	var batch errs.Batch
	for _, name := range names {
		batch.Add(name, run.executeOn(ctx, step, name))
	}
	return batch.Err()
}

// executeOn executes a step on one of the processes that match its targets.
func (run *scenarioRun) executeOn(ctx context.Context, step Step, name string) error {
	switch step.Action {
	case "kill":
		return run.fleet.Signal(name, syscall.SIGKILL)
	case "warn":
		return run.warnWorker(ctx, name)
	case "term":
		return run.fleet.Signal(name, syscall.SIGTERM)
	case "freeze":
		return run.fleet.Signal(name, syscall.SIGSTOP)
	case "thaw":
		return run.fleet.Signal(name, syscall.SIGCONT)
	case "start":
		return run.fleet.Start(name)
	case "wipe":
		return run.onProcess(name, run.fleet.env.WipeDisk)
	case "swap":
		folder, err := run.options.programsOf(step.Argument)
		if err != nil {
			return err
		}
		return run.fleet.switchRelease(name, folder)
	case "usurp":
		return run.fleet.startDuplicate(name)
	case "move":
		return run.fleet.moveAddress(name)
	case "disk", "wall":
		return run.onProcess(name, func(process Process) error { return run.fleet.env.SetFault(process, step.Action, step.Argument) })
	}
	return errs.New(errs.BadInput, "scenario step with the unknown action %q", step.Action)
}

// warnWorker makes the platform simulator announce that it will terminate a worker, upon which the site drains the
// worker. It records the time even if the call fails, since the call may have had an effect all the same.
func (run *scenarioRun) warnWorker(ctx context.Context, name string) error {
	code, body := run.fleet.Post(ctx, run.fleet.platformAddr(), "/v1/warn/"+name, nil)
	run.mu.Lock()
	run.drainedMs[name] = time.Now().UnixMilli()
	run.mu.Unlock()
	if code != 200 {
		return errs.New(errs.Internal, "announce the termination of worker %s: got status %d and body %s, want status 200", name, code, body)
	}
	return nil
}

// setLinks cuts, slows or restores the links between the machines in step.Targets and their peers, both separated by
// spaces, "*" being any machine. The peers are step.Argument; for the actions "slow" and "off", and for "mend" without
// an argument, they are all machines. With "slow", step.Argument is the bandwidth in bytes per second. The action "cut"
// affects only the direction from the targets to the peers.
func (run *scenarioRun) setLinks(step Step) error {
	var batch errs.Batch
	for _, from := range strings.Fields(step.Targets) {
		peers, rule := step.Argument, LinkRule{Partitioned: true}
		if step.Action == "slow" {
			peers, rule = "*", LinkRule{}
			if _, err := fmt.Sscan(step.Argument, &rule.BytesPerSecond); err != nil {
				return errs.New(errs.BadInput, "step slow: argument %q is not a number of bytes per second", step.Argument)
			}
		}
		if step.Action == "off" {
			peers = "*"
		}
		if step.Action == "mend" {
			rule = LinkRule{}
			if peers == "" {
				peers = "*"
			}
		}
		for _, peer := range strings.Fields(peers) {
			batch.Add(step.Action, run.fleet.env.SetLink(from, peer, rule))
			if step.Action != "cut" {
				batch.Add(step.Action, run.fleet.env.SetLink(peer, from, rule))
			}
		}
	}
	return batch.Err()
}

// onProcess calls do with the description of the named process.
func (run *scenarioRun) onProcess(name string, do func(Process) error) error {
	process, err := run.fleet.process(name)
	if err != nil {
		return err
	}
	return do(process)
}
