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

// resolveTargets names the processes that a step means; a word means the same ones throughout a run.
func (run *scenarioRun) resolveTargets(ctx context.Context, targets string) ([]string, error) {
	var names []string
	for _, x := range strings.Fields(targets) {
		run.mu.Lock()
		matches, ok := run.resolved[x]
		run.mu.Unlock()
		if !ok {
			var err error
			if matches, err = run.resolvePattern(ctx, x); err != nil {
				return nil, err
			}
			run.mu.Lock()
			run.resolved[x] = matches
			run.mu.Unlock()
		}
		names = append(names, matches...)
	}
	if len(names) == 0 {
		return nil, errs.New(errs.BadInput, "%q names no process", targets)
	}
	sort.Strings(names)
	return slices.Compact(names), nil
}

func (run *scenarioRun) resolvePattern(ctx context.Context, x string) ([]string, error) {
	if x == "@owner" {
		count, err := run.fleet.configLeader(ctx)
		return []string{"archive-" + count}, err
	}
	pattern, count, limited := strings.Cut(x, ":")
	var matches []string
	for _, process := range run.fleet.Site.Processes {
		if ok, err := path.Match(pattern, process.Name); ok && err == nil {
			matches = append(matches, process.Name)
		}
	}
	if limited {
		var limit int
		if _, err := fmt.Sscan(count, &limit); err != nil {
			return nil, errs.New(errs.BadInput, "%q: give pattern:count", x)
		}
		run.mu.Lock()
		run.random.Shuffle(len(matches), func(i, j int) { matches[i], matches[j] = matches[j], matches[i] })
		run.mu.Unlock()
		matches = matches[:min(limit, len(matches))]
	}
	return matches, nil
}

// execute carries out one step.
func (run *scenarioRun) execute(ctx context.Context, step Step) error {
	switch step.Action {
	case "heal":
		run.fleet.env.HealLinks()
		return nil
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
		switch step.Action {
		case "kill":
			batch.Add(name, run.fleet.Signal(name, syscall.SIGKILL))
		case "warn":
			code, body := run.fleet.Post(ctx, run.fleet.platformAddr(), "/v1/warn/"+name, nil)
			if code != 200 {
				batch.Addf(errs.Internal, "warn %s: %d %s", name, code, body)
			}
			run.mu.Lock()
			run.drainedMs[name] = time.Now().UnixMilli()
			run.mu.Unlock()
		case "term":
			batch.Add(name, run.fleet.Signal(name, syscall.SIGTERM))
		case "freeze":
			batch.Add(name, run.fleet.Signal(name, syscall.SIGSTOP))
		case "thaw":
			batch.Add(name, run.fleet.Signal(name, syscall.SIGCONT))
		case "start":
			batch.Add(name, run.fleet.Start(name))
		case "wipe":
			batch.Add(name, run.onProcess(name, run.fleet.env.WipeDisk))
		case "swap":
			bin, err := run.options.programsOf(step.Argument)
			if batch.Add(name, err); err == nil {
				batch.Add(name, run.fleet.switchRelease(name, bin))
			}
		case "usurp":
			batch.Add(name, run.fleet.startImpostor(name))
		case "move":
			batch.Add(name, run.fleet.moveAddress(name))
		case "disk", "wall":
			batch.Add(name, run.onProcess(name, func(q Process) error { return run.fleet.env.SetFault(q, step.Action, step.Argument) }))
		default:
			batch.Addf(errs.BadInput, "%q: no such step", step.Action)
		}
	}
	return batch.Err()
}

// setLinks sets rules; machines are named, "*" is any, and several are joined by spaces.
func (run *scenarioRun) setLinks(step Step) error {
	var err errs.Batch
	for _, from := range strings.Fields(step.Targets) {
		to, rule := step.Argument, LinkRule{Cut: true}
		if step.Action == "slow" {
			to, rule = "*", LinkRule{}
			if _, err := fmt.Sscan(step.Argument, &rule.BytesPerSecond); err != nil {
				return errs.New(errs.BadInput, "slow: %q: give bytes a second", step.Argument)
			}
		}
		if step.Action == "off" {
			to = "*"
		}
		if step.Action == "mend" {
			rule = LinkRule{}
			if to == "" {
				to = "*"
			}
		}
		for _, peer := range strings.Fields(to) {
			err.Add(step.Action, run.fleet.env.SetLink(from, peer, rule))
			if step.Action != "cut" {
				err.Add(step.Action, run.fleet.env.SetLink(peer, from, rule))
			}
		}
	}
	return err.Err()
}

func (run *scenarioRun) onProcess(name string, do func(Process) error) error {
	q, err := run.fleet.process(name)
	if err != nil {
		return err
	}
	return do(q)
}
