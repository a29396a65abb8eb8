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

// scenarioRun is the state of a running scenario.
type scenarioRun struct {
	options  Options
	scenario Scenario
	fleet    *Fleet
	random   *rand.Rand
	mu       sync.Mutex // protects the fields that concurrent steps and readers change
	report   *Report
	resolved map[string][]string // by step target: names of the processes that it matched when it was first used
	history  *history.History    // recorded reads and changes of the configuration
	// Calendar entries that simulated operators have written.
	plannedEntries []plannedEntry
	background     sync.WaitGroup // goroutines that run until the end of the scenario
	startedMs      int64          // start of the steps, as Unix time in milliseconds of the machine that runs the testbed
	// Unix times in milliseconds at which operators' changes were acknowledged: the revocation of an API key, by key;
	// new weights, by version; and the draining of a worker, by its name.
	keyRevokedMs           map[string]int64
	weightsSetMs           map[uint64]int64
	drainedMs              map[string]int64
	acknowledgedVersion    int64  // highest configuration version that was acknowledged to an operator
	configBeforeRetirement string // response with the configuration just before the retirement of the base model was planned
}

// Play runs a scenario on a site of processes on this machine and returns the report.
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
	defaultRate            = 25   // client requests per second in a scenario without a rate
	defaultAfterRecoveryMs = 4000 // how long clients go on sending after the time to recover, in a scenario that does not say
	maxReportedViolations  = 50   // number of violations in a report; further ones are dropped
)

// PlayOn runs a scenario in the Environment that newEnvironment returns for its site, and returns the report.
//
// Example: report, err := testbed.PlayOn(ctx, scenario, options, func(s *testbed.Site) (testbed.Environment, error) { return cluster, nil })
func PlayOn(ctx context.Context, scenario Scenario, options Options, newEnvironment func(*Site) (Environment, error)) (*Report, error) {
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
	env, err := newEnvironment(site)
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
	log, lastStepEndMs, err := run.playSteps(ctx)
	if err != nil {
		return nil, err
	}
	return run.report, run.checkRun(ctx, log, lastStepEndMs, run.recoveryMs())
}

func newScenarioRun(scenario Scenario, options Options) *scenarioRun {
	return &scenarioRun{
		options:      options,
		scenario:     scenario,
		random:       rand.New(rand.NewPCG(options.Seed, 11)),
		report:       &Report{Scenario: scenario.Name, Site: scenario.Site, Seed: options.Seed, Faults: []string{}},
		resolved:     map[string][]string{},
		keyRevokedMs: map[string]int64{},
		weightsSetMs: map[uint64]int64{},
		drainedMs:    map[string]int64{},
	}
}

// recoveryMs returns the time in milliseconds within which service must recover after the last step.
func (run *scenarioRun) recoveryMs() int {
	if run.scenario.RecoveryMs > 0 {
		return run.scenario.RecoveryMs
	}
	return run.fleet.Site.Processes[0].Settings.Bounds.RecoveryMs
}

// lastStepMs returns the time of the last step, in milliseconds after the start of the steps.
func (run *scenarioRun) lastStepMs() (last int) {
	for _, step := range run.scenario.Steps {
		last = max(last, step.At)
	}
	return last
}

// playSteps executes the steps under client traffic, which goes on until some time after the site must have recovered.
// lastStepEndMs is the Unix time in milliseconds at which the last step ended.
func (run *scenarioRun) playSteps(ctx context.Context) (log *loadgen.OutcomeLog, lastStepEndMs int64, err error) {
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
	lastStepEndMs = max(time.Now().UnixMilli(), run.startedMs+int64(run.lastStepMs()))
	if err := run.waitUntil(ctx, startedAt, int(lastStepEndMs-run.startedMs)+run.recoveryMs()+afterRecovery); err != nil {
		return nil, 0, err
	}
	stopTraffic()
	senders.Wait()
	return log, lastStepEndMs, nil
}

// startTraffic starts the client traffic, a background reader of the configuration, and the scenario's additional burst
// of requests, if it has one.
func (run *scenarioRun) startTraffic(traffic, burst context.Context, senders *sync.WaitGroup, client *loadgen.Client, log *loadgen.OutcomeLog) {
	site, seed := run.fleet.Site, run.options.Seed
	senders.Go(func() { loadgen.SendTraffic(traffic, site.Traffic, client, seed, "s", 1<<30, log) })
	senders.Go(func() { run.readUntilDone(traffic) })
	if run.scenario.Burst > 0 {
		burstTraffic := site.Traffic
		burstTraffic.Rate = run.scenario.Burst
		senders.Go(func() { loadgen.SendTraffic(burst, burstTraffic, client, seed, "b", 1<<30, log) })
	}
}

// executeSteps executes each step at its time, and waits for the background steps to end.
func (run *scenarioRun) executeSteps(ctx context.Context, startedAt time.Time) error {
	var backgroundSteps sync.WaitGroup
	for _, step := range run.scenario.Steps {
		if err := run.waitUntil(ctx, startedAt, step.At); err != nil {
			return err
		}
		if step.Background {
			backgroundSteps.Go(func() { run.runStep(ctx, startedAt, step) })
		} else {
			run.runStep(ctx, startedAt, step)
		}
	}
	backgroundSteps.Wait()
	return nil
}

// runStep executes a step and records its result in the report.
func (run *scenarioRun) runStep(ctx context.Context, startedAt time.Time, step Step) {
	result := "done"
	if err := run.execute(ctx, step); err != nil {
		if result = err.Error(); !step.Background || errs.KindOf(err) != errs.OutcomeUnknown {
			run.addViolation("scenario step %s with targets %q failed: %v", step.Action, step.Targets, err)
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
	run.report.Steps = append(run.report.Steps, fmt.Sprintf("%d ms: %s %s %s: %s", time.Since(startedAt).Milliseconds(), step.Action, names, step.Argument, result))
}

func (run *scenarioRun) waitUntil(ctx context.Context, startedAt time.Time, ms int) error {
	t := time.NewTimer(time.Until(startedAt.Add(time.Duration(ms) * time.Millisecond)))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return errs.Wrap(ctx.Err(), "scenario")
	case <-t.C:
		return nil
	}
}

// addViolation adds a violation to the report; those beyond maxReportedViolations are dropped.
func (run *scenarioRun) addViolation(format string, a ...any) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if len(run.report.Faults) < maxReportedViolations {
		run.report.Faults = append(run.report.Faults, fmt.Sprintf(format, a...))
	}
}
