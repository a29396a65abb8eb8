package testbed

import (
	"context"
	"embed"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"path"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/sim/history"
	"pebbleloom/internal/sim/loadgen"
)

// Scenario is a run of a whole site with failures, as a file describes it.
type Scenario struct {
	Name              string   `json:"name"`
	About             string   `json:"about"`
	Site              string   `json:"site"`
	Rate              float64  `json:"rate"`
	ColdStartMs       int      `json:"cold_ms"` // callers come that long after the machines start, whatever is ready
	Burst             float64  `json:"burst"`   // requests a second beside these, until the last step
	Links             bool     `json:"links"`   // relays stand in the path of every link
	WorkerOptions     []string `json:"cab"`     // words of every worker
	Steps             []Step   `json:"steps"`
	RecoveryMs        int      `json:"heal_ms"`  // after the last step all is well again within this; 0: the bound
	AfterRecoveryMs   int      `json:"tail_ms"`  // how long callers go on after that
	MinSealedShare    float64  `json:"least"`    // share of requests that is sealed over the whole run
	AllowedRejections []string `json:"kinds"`    // denials that may occur; empty: any typed one
	ReadAll           bool     `json:"read_all"` // every operator address gives the same setup in the end
	Retire            bool     `json:"retire"`   // the site has adapters, and a second base model to move them to
}

// Step is one thing that happens.
type Step struct {
	At       int    `json:"at_ms"`
	Action   string `json:"do"`  // see Fleet.do
	Targets  string `json:"who"` // names or patterns; "pattern:2" picks two; "@owner" owns the setup's part
	Argument string `json:"to"`  // the other end of a link, or a value
	// The steps after it don't wait for its end; where nobody can say whether it was done, that
	// is no fault of the run's.
	Background bool `json:"aside"`
}

//go:embed scenarios/*.json
var scenarioFiles embed.FS

// Scenarios reads all scenario files, by name.
//
// Example: l, err := testbed.Scenarios()
func Scenarios() ([]Scenario, error) {
	es, err := scenarioFiles.ReadDir("scenarios")
	if err != nil {
		return nil, errs.Wrap(err, "list scenarios")
	}
	var l []Scenario
	for _, e := range es {
		raw, err := scenarioFiles.ReadFile("scenarios/" + e.Name())
		if err != nil {
			return nil, errs.Wrap(err, "read scenario")
		}
		var s Scenario
		d := json.NewDecoder(strings.NewReader(string(raw)))
		d.DisallowUnknownFields()
		if err := d.Decode(&s); err != nil {
			return nil, errs.WrapAs(err, errs.BadInput, "scenario "+e.Name())
		}
		if s.Name+".json" != e.Name() {
			return nil, errs.New(errs.BadInput, "scenario %s calls itself %q", e.Name(), s.Name)
		}
		l = append(l, s)
	}
	return l, nil
}

// scenarioRun is a scenario under way.
type scenarioRun struct {
	options    Options
	scenario   Scenario
	fleet      *Fleet
	random     *rand.Rand
	mu         sync.Mutex
	report     *Report
	resolved   map[string][]string
	history    *history.History // of the configuration
	background sync.WaitGroup   // what goes on beside the steps, until the run ends
	startedMs  int64            // the wall's milliseconds of this one machine
	// What was acknowledged, and when, in the wall's milliseconds of this one machine.
	keyRevokedMs           map[string]int64
	weightsNamedMs         map[uint64]int64
	drainedMs              map[string]int64
	acknowledgedVersion    int64  // the latest epoch
	configBeforeRetirement string // the setup when a retirement was planned
}

// Play runs a scenario and gives its report.
//
// Example: rep, err := testbed.Play(ctx, scenario, testbed.Options{Seed: 1, Net: 10, Dir: dir, Bin: "bin"})
func Play(ctx context.Context, scenario Scenario, options Options) (*Report, error) {
	return PlayOn(ctx, scenario, options, func(s *Site) (Environment, error) {
		m := newLocalEnvironment(options.Dir, options.Programs)
		for i := range s.Processes {
			p := &s.Processes[i]
			if p.Program == programs.ControlNode {
				p.Settings.Options = append(p.Settings.Options, "faults="+filepath.Join(options.Dir, p.Settings.Name+".fault"), "wall="+filepath.Join(options.Dir, p.Settings.Name+".wall"))
			}
		}
		if !scenario.Links {
			return m, nil
		}
		m.links = NewLinks()
		return m, s.addRelays(m.links, options.AddressByte)
	})
}

// PlayOn runs a scenario on a ground that is made for its site.
//
// Example: rep, err := testbed.PlayOn(ctx, scenario, o, func(s *testbed.Site) (testbed.Environment, error) { return table, nil })
func PlayOn(ctx context.Context, scenario Scenario, options Options, on func(*Site) (Environment, error)) (*Report, error) {
	if options.Site != "" {
		scenario.Site = options.Site
	}
	s, err := LayOut(scenario.Site, options.Dir, options.AddressByte, scenario.WorkerOptions)
	if err != nil {
		return nil, err
	}
	s.addAdapters(scenario.Retire)
	if s.Traffic.Rate = scenario.Rate; scenario.Rate == 0 {
		s.Traffic.Rate = 25
	}
	p := &scenarioRun{options: options, scenario: scenario, random: rand.New(rand.NewPCG(options.Seed, 11)), report: &Report{Scenario: scenario.Name, Site: scenario.Site, Seed: options.Seed, Faults: []string{}},
		resolved: map[string][]string{}, keyRevokedMs: map[string]int64{}, weightsNamedMs: map[uint64]int64{}, drainedMs: map[string]int64{}}
	ground, err := on(s)
	if err != nil {
		return nil, err
	}
	if p.fleet, err = startSite(ctx, s, options.Dir, ground, time.Duration(scenario.ColdStartMs)*time.Millisecond); err != nil {
		return nil, err
	}
	defer p.fleet.Stop()
	if err := p.beginHistory(ctx); err != nil {
		return nil, err
	}
	ctx, end := context.WithCancel(ctx)
	defer p.background.Wait()
	defer end()
	heal := s.Processes[0].Settings.Bounds.HealMs
	if scenario.RecoveryMs > 0 {
		heal = scenario.RecoveryMs
	}
	tail, last := scenario.AfterRecoveryMs, 0
	if tail == 0 {
		tail = 4000
	}
	for _, step := range scenario.Steps {
		last = max(last, step.At)
	}
	log, t0 := &loadgen.OutcomeLog{}, time.Now()
	p.startedMs = t0.UnixMilli()
	caller := loadgen.NewClientWithDialer(ground.Dial, s.Edges)
	defer caller.Close()
	driving, stop := context.WithCancel(ctx)
	defer stop()
	var wg, asides sync.WaitGroup
	wg.Go(func() {
		loadgen.SendTraffic(driving, s.Traffic, caller, options.Seed, "s", 1<<30, log)
	})
	wg.Go(func() { p.readUntilDone(driving) })
	more := s.Traffic
	more.Rate = scenario.Burst
	burst, calm := context.WithCancel(driving)
	defer calm()
	if scenario.Burst > 0 {
		wg.Go(func() { loadgen.SendTraffic(burst, more, caller, options.Seed, "b", 1<<30, log) })
	}
	for _, step := range scenario.Steps {
		if err := p.waitUntil(ctx, t0, step.At); err != nil {
			return nil, err
		}
		if step.Background {
			asides.Go(func() { p.runStep(ctx, t0, step) })
		} else {
			p.runStep(ctx, t0, step)
		}
	}
	asides.Wait()
	calm()
	closed := max(time.Now().UnixMilli(), t0.UnixMilli()+int64(last))
	if err := p.waitUntil(ctx, t0, int(closed-t0.UnixMilli())+heal+tail); err != nil {
		return nil, err
	}
	stop()
	wg.Wait()
	return p.report, p.checkRun(ctx, log, closed, heal)
}

// runStep carries a step out and notes how that went.
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
	for _, word := range strings.Fields(step.Targets) {
		if matches := run.resolved[word]; matches != nil {
			names = strings.Replace(names, word, strings.Join(matches, " "), 1)
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

func (run *scenarioRun) addFault(format string, a ...any) {
	run.mu.Lock()
	defer run.mu.Unlock()
	if len(run.report.Faults) < 50 {
		run.report.Faults = append(run.report.Faults, fmt.Sprintf(format, a...))
	}
}

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
