package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/sim/history"
	"pebbleloom/internal/sim/loadgen"
)

// scenarioRun is the state of a scenario that is being played.
type scenarioRun struct {
	options  Options
	scenario Scenario
	fleet    *Fleet
	random   *rand.Rand
	mu       sync.Mutex
	report   *Report
	resolved map[string][]string
	history  *history.History // of the configuration
	// The calendar entries that were written.
	plannedEntries []plannedEntry
	background     sync.WaitGroup // goroutines that run until the run ends
	startedMs      int64          // wall time in milliseconds, of the machine that runs the test bed
	// When changes were acknowledged, on the same clock.
	keyRevokedMs           map[string]int64
	weightsNamedMs         map[uint64]int64
	drainedMs              map[string]int64
	acknowledgedVersion    int64  // the highest configuration version
	configBeforeRetirement string // as of when the retirement was planned
}

// Play runs a scenario as processes of this machine and returns its report.
//
// Example: report, err := testbed.Play(ctx, scenario, testbed.Options{Seed: 1, AddressByte: 10, Dir: dir, Programs: "bin"})
func Play(ctx context.Context, scenario Scenario, options Options) (*Report, error) {
	return PlayOn(ctx, scenario, options, func(site *Site) (Environment, error) {
		environment := newLocalEnvironment(options.Dir, options.Programs)
		for i := range site.Processes {
			process := &site.Processes[i]
			if process.Program == programs.ControlNode {
				process.Settings.Options = append(process.Settings.Options, "faults="+filepath.Join(options.Dir, process.Settings.Name+".fault"), "wall="+filepath.Join(options.Dir, process.Settings.Name+".wall"))
			}
		}
		if !scenario.Links {
			return environment, nil
		}
		environment.links = NewLinks()
		return environment, site.addRelays(environment.links, options.AddressByte)
	})
}

const (
	defaultRate            = 25   // requests a second of a scenario that gives none
	defaultAfterRecoveryMs = 4000 // how long clients go on after the recovery bound
	maxReportedFaults      = 50
)

// PlayOn runs a scenario in the environment that on returns for its site, and returns its report.
//
// Example: report, err := testbed.PlayOn(ctx, scenario, options, func(s *testbed.Site) (testbed.Environment, error) { return cluster, nil })
func PlayOn(ctx context.Context, scenario Scenario, options Options, on func(*Site) (Environment, error)) (*Report, error) {
	if options.Site != "" {
		scenario.Site = options.Site
	}
	site, err := NewSite(scenario.Site, options.Dir, options.AddressByte, scenario.WorkerOptions)
	if err != nil {
		return nil, err
	}
	site.addAdapters(scenario.Retire)
	if site.Traffic.Rate = scenario.Rate; scenario.Rate == 0 {
		site.Traffic.Rate = defaultRate
	}
	run := newScenarioRun(scenario, options)
	env, err := on(site)
	if err != nil {
		return nil, err
	}
	if run.fleet, err = startSite(ctx, site, options.Dir, env, time.Duration(scenario.StartDelayMs)*time.Millisecond); err != nil {
		return nil, err
	}
	defer run.fleet.Stop()
	if err := run.beginHistory(ctx); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer run.background.Wait()
	defer cancel()
	log, closedMs, err := run.playSteps(ctx)
	if err != nil {
		return nil, err
	}
	return run.report, run.checkRun(ctx, log, closedMs, run.recoveryMs())
}

func newScenarioRun(scenario Scenario, options Options) *scenarioRun {
	return &scenarioRun{
		options:        options,
		scenario:       scenario,
		random:         rand.New(rand.NewPCG(options.Seed, 11)),
		report:         &Report{Scenario: scenario.Name, Site: scenario.Site, Seed: options.Seed, Faults: []string{}},
		resolved:       map[string][]string{},
		keyRevokedMs:   map[string]int64{},
		weightsNamedMs: map[uint64]int64{},
		drainedMs:      map[string]int64{},
	}
}

// recoveryMs returns the bound within which service recovers after the last step.
func (run *scenarioRun) recoveryMs() int {
	if run.scenario.RecoveryMs > 0 {
		return run.scenario.RecoveryMs
	}
	return run.fleet.Site.Processes[0].Settings.Bounds.RecoveryMs
}

// lastStepMs returns when the last step is due, from the start of the steps.
func (run *scenarioRun) lastStepMs() (last int) {
	for _, step := range run.scenario.Steps {
		last = max(last, step.At)
	}
	return last
}

// playSteps executes the steps under traffic, and keeps up the traffic until after the recovery bound.
// closedMs is the wall time at which the last step had ended.
func (run *scenarioRun) playSteps(ctx context.Context) (log *loadgen.OutcomeLog, closedMs int64, err error) {
	afterRecovery := run.scenario.AfterRecoveryMs
	if afterRecovery == 0 {
		afterRecovery = defaultAfterRecoveryMs
	}
	log, startedAt := &loadgen.OutcomeLog{}, time.Now()
	run.startedMs = startedAt.UnixMilli()
	client := loadgen.NewClientWithDialer(run.fleet.env.Dial, run.fleet.Site.Edges)
	defer client.Close()
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	burst, stopBurst := context.WithCancel(traffic)
	defer stopBurst()
	var senders sync.WaitGroup
	run.startTraffic(traffic, burst, &senders, client, log)
	if err := run.executeSteps(ctx, startedAt); err != nil {
		return nil, 0, err
	}
	stopBurst()
	closedMs = max(time.Now().UnixMilli(), run.startedMs+int64(run.lastStepMs()))
	if err := run.waitUntil(ctx, startedAt, int(closedMs-run.startedMs)+run.recoveryMs()+afterRecovery); err != nil {
		return nil, 0, err
	}
	stopTraffic()
	senders.Wait()
	return log, closedMs, nil
}

// startTraffic starts the senders: the site's traffic, readers of the configuration, and a burst beside
// them where the scenario has one.
func (run *scenarioRun) startTraffic(traffic, burst context.Context, senders *sync.WaitGroup, client *loadgen.Client, log *loadgen.OutcomeLog) {
	site, seed := run.fleet.Site, run.options.Seed
	senders.Go(func() { loadgen.SendTraffic(traffic, site.Traffic, client, seed, "s", 1<<30, log) })
	senders.Go(func() { run.readUntilDone(traffic) })
	if run.scenario.Burst > 0 {
		more := site.Traffic
		more.Rate = run.scenario.Burst
		senders.Go(func() { loadgen.SendTraffic(burst, more, client, seed, "b", 1<<30, log) })
	}
}

// executeSteps executes each step at its time and waits for the background steps.
func (run *scenarioRun) executeSteps(ctx context.Context, startedAt time.Time) error {
	var inBackground sync.WaitGroup
	for _, step := range run.scenario.Steps {
		if err := run.waitUntil(ctx, startedAt, step.At); err != nil {
			return err
		}
		if step.Background {
			inBackground.Go(func() { run.runStep(ctx, startedAt, step) })
		} else {
			run.runStep(ctx, startedAt, step)
		}
	}
	inBackground.Wait()
	return nil
}

// runStep executes a step and records its outcome in the report.
func (run *scenarioRun) runStep(ctx context.Context, startedAt time.Time, step Step) {
	body := "done"
	if err := run.execute(ctx, step); err != nil {
		if body = err.Error(); !step.Background || errs.KindOf(err) != errs.OutcomeUnknown {
			run.addFault("step %s %s: %v", step.Action, step.Targets, err)
		}
	}
	names := step.Targets
	run.mu.Lock()
	defer run.mu.Unlock()
	for _, target := range strings.Fields(step.Targets) {
		if matches := run.resolved[target]; matches != nil {
			names = strings.Replace(names, target, strings.Join(matches, " "), 1)
		}
	}
	run.report.Steps = append(run.report.Steps, fmt.Sprintf("%d ms: %s %s %s: %s", time.Since(startedAt).Milliseconds(), step.Action, names, step.Argument, body))
}

func (run *scenarioRun) waitUntil(ctx context.Context, t0 time.Time, ms int) error {
	t := time.NewTimer(time.Until(t0.Add(time.Duration(ms) * time.Millisecond)))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return errs.Wrap(ctx.Err(), "scenario")
	case <-t.C:
		return nil
	}
}

// addFault adds a fault to the report; those beyond maxReportedFaults are dropped.
func (run *scenarioRun) addFault(format string, a ...any) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if len(run.report.Faults) < maxReportedFaults {
		run.report.Faults = append(run.report.Faults, fmt.Sprintf(format, a...))
	}
}
