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

// resolveTargets returns the processes that a step names. A pattern resolves to the same processes throughout a run.
func (run *scenarioRun) resolveTargets(ctx context.Context, targets string) ([]string, error) {
	var names []string
	for _, word := range strings.Fields(targets) {
		run.mu.Lock()
		matches, ok := run.resolved[word]
		run.mu.Unlock()
		if !ok {
			var err error
			if matches, err = run.resolvePattern(ctx, word); err != nil {
				return nil, err
			}
			run.mu.Lock()
			run.resolved[word] = matches
			run.mu.Unlock()
		}
		names = append(names, matches...)
	}
	if len(names) == 0 {
		return nil, errs.New(errs.BadInput, "%q matches no process", targets)
	}
	sort.Strings(names)
	return slices.Compact(names), nil
}

// resolvePattern returns the processes that match "@owner", a pattern, or "pattern:count".
func (run *scenarioRun) resolvePattern(ctx context.Context, word string) ([]string, error) {
	if word == "@owner" {
		count, err := run.fleet.configLeader(ctx)
		return []string{"archive-" + count}, err
	}
	pattern, count, limited := strings.Cut(word, ":")
	var matches []string
	for _, process := range run.fleet.Site.Processes {
		if ok, err := path.Match(pattern, process.Name); ok && err == nil {
			matches = append(matches, process.Name)
		}
	}
	if limited {
		var limit int
		if _, err := fmt.Sscan(count, &limit); err != nil {
			return nil, errs.New(errs.BadInput, "%q: give pattern:count", word)
		}
		run.mu.Lock()
		run.random.Shuffle(len(matches), func(i, j int) { matches[i], matches[j] = matches[j], matches[i] })
		run.mu.Unlock()
		matches = matches[:min(limit, len(matches))]
	}
	return matches, nil
}

// execute executes one step.
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
			batch.Add(name, run.onProcess(name, func(process Process) error { return run.fleet.env.SetFault(process, step.Action, step.Argument) }))
		default:
			batch.Addf(errs.BadInput, "unknown step %q", step.Action)
		}
	}
	return batch.Err()
}

// setLinks sets or removes link rules. Targets are machines separated by spaces; "*" is any machine.
func (run *scenarioRun) setLinks(step Step) error {
	var batch errs.Batch
	for _, from := range strings.Fields(step.Targets) {
		to, rule := step.Argument, LinkRule{Cut: true}
		if step.Action == "slow" {
			to, rule = "*", LinkRule{}
			if _, batch := fmt.Sscan(step.Argument, &rule.BytesPerSecond); batch != nil {
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
			batch.Add(step.Action, run.fleet.env.SetLink(from, peer, rule))
			if step.Action != "cut" {
				batch.Add(step.Action, run.fleet.env.SetLink(peer, from, rule))
			}
		}
	}
	return batch.Err()
}

// onProcess calls do with the named process.
func (run *scenarioRun) onProcess(name string, do func(Process) error) error {
	process, err := run.fleet.process(name)
	if err != nil {
		return err
	}
	return do(process)
}
