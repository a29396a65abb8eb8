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
	Name    string   `json:"name"`
	About   string   `json:"about"`
	Site    string   `json:"site"`
	Rate    float64  `json:"rate"`
	ColdMs  int      `json:"cold_ms"` // callers come that long after the machines start, whatever is ready
	Burst   float64  `json:"burst"`   // requests a second beside these, until the last step
	Links   bool     `json:"links"`   // relays stand in the path of every link
	Cab     []string `json:"cab"`     // words of every worker
	Steps   []Step   `json:"steps"`
	HealMs  int      `json:"heal_ms"`  // after the last step all is well again within this; 0: the bound
	TailMs  int      `json:"tail_ms"`  // how long callers go on after that
	Least   float64  `json:"least"`    // share of requests that is sealed over the whole run
	Kinds   []string `json:"kinds"`    // denials that may occur; empty: any typed one
	ReadAll bool     `json:"read_all"` // every operator address gives the same setup in the end
	Retire  bool     `json:"retire"`   // the site has adapters, and a second base model to move them to
}

// Step is one thing that happens.
type Step struct {
	At  int    `json:"at_ms"`
	Do  string `json:"do"`  // see Fleet.do
	Who string `json:"who"` // names or patterns; "pattern:2" picks two; "@owner" owns the setup's part
	To  string `json:"to"`  // the other end of a link, or a value
	// The steps after it don't wait for its end; where nobody can say whether it was done, that
	// is no fault of the run's.
	Aside bool `json:"aside"`
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

// play is a scenario under way.
type play struct {
	o       Options
	sc      Scenario
	f       *Fleet
	r       *rand.Rand
	mu      sync.Mutex
	rep     *Report
	picked  map[string][]string
	history *history.History // of the configuration
	aside   sync.WaitGroup   // what goes on beside the steps, until the run ends
	began   int64            // the wall's milliseconds of this one machine
	// What was acknowledged, and when, in the wall's milliseconds of this one machine.
	revoked map[string]int64
	weights map[uint64]int64
	drained map[string]int64
	acked   int64  // the latest epoch
	before  string // the setup when a retirement was planned
}

// Play runs a scenario and gives its report.
//
// Example: rep, err := testbed.Play(ctx, scenario, testbed.Options{Seed: 1, Net: 10, Dir: dir, Bin: "bin"})
func Play(ctx context.Context, sc Scenario, o Options) (*Report, error) {
	return PlayOn(ctx, sc, o, func(s *Site) (Ground, error) {
		m := newMachines(o.Dir, o.Bin)
		for i := range s.Processes {
			p := &s.Processes[i]
			if p.Program == programs.ControlNode {
				p.Place.Options = append(p.Place.Options, "faults="+filepath.Join(o.Dir, p.Place.Name+".fault"), "wall="+filepath.Join(o.Dir, p.Place.Name+".wall"))
			}
		}
		if !sc.Links {
			return m, nil
		}
		m.links = NewLinks()
		return m, s.relay(m.links, o.Net)
	})
}

// PlayOn runs a scenario on a ground that is made for its site.
//
// Example: rep, err := testbed.PlayOn(ctx, scenario, o, func(s *testbed.Site) (testbed.Ground, error) { return table, nil })
func PlayOn(ctx context.Context, sc Scenario, o Options, on func(*Site) (Ground, error)) (*Report, error) {
	if o.Site != "" {
		sc.Site = o.Site
	}
	s, err := Plan(sc.Site, o.Dir, o.Net, sc.Cab)
	if err != nil {
		return nil, err
	}
	s.adapt(sc.Retire)
	if s.Traffic.Rate = sc.Rate; sc.Rate == 0 {
		s.Traffic.Rate = 25
	}
	p := &play{o: o, sc: sc, r: rand.New(rand.NewPCG(o.Seed, 11)), rep: &Report{Scenario: sc.Name, Site: sc.Site, Seed: o.Seed, Faults: []string{}},
		picked: map[string][]string{}, revoked: map[string]int64{}, weights: map[uint64]int64{}, drained: map[string]int64{}}
	ground, err := on(s)
	if err != nil {
		return nil, err
	}
	if p.f, err = raise(ctx, s, o.Dir, ground, time.Duration(sc.ColdMs)*time.Millisecond); err != nil {
		return nil, err
	}
	defer p.f.Down()
	if err := p.beginHistory(ctx); err != nil {
		return nil, err
	}
	ctx, end := context.WithCancel(ctx)
	defer p.aside.Wait()
	defer end()
	heal := s.Processes[0].Place.Bounds.HealMs
	if sc.HealMs > 0 {
		heal = sc.HealMs
	}
	tail, last := sc.TailMs, 0
	if tail == 0 {
		tail = 4000
	}
	for _, x := range sc.Steps {
		last = max(last, x.At)
	}
	book, t0 := &loadgen.Book{}, time.Now()
	p.began = t0.UnixMilli()
	caller := loadgen.NewCallerIn(ground.Dial, s.Edges)
	defer caller.Close()
	driving, stop := context.WithCancel(ctx)
	defer stop()
	var wg, asides sync.WaitGroup
	wg.Go(func() {
		loadgen.Drive(driving, s.Traffic, caller, o.Seed, "s", 1<<30, book)
	})
	wg.Go(func() { p.readOn(driving) })
	more := s.Traffic
	more.Rate = sc.Burst
	burst, calm := context.WithCancel(driving)
	defer calm()
	if sc.Burst > 0 {
		wg.Go(func() { loadgen.Drive(burst, more, caller, o.Seed, "b", 1<<30, book) })
	}
	for _, x := range sc.Steps {
		if err := p.await(ctx, t0, x.At); err != nil {
			return nil, err
		}
		if x.Aside {
			asides.Go(func() { p.carry(ctx, t0, x) })
		} else {
			p.carry(ctx, t0, x)
		}
	}
	asides.Wait()
	calm()
	closed := max(time.Now().UnixMilli(), t0.UnixMilli()+int64(last))
	if err := p.await(ctx, t0, int(closed-t0.UnixMilli())+heal+tail); err != nil {
		return nil, err
	}
	stop()
	wg.Wait()
	return p.rep, p.settle(ctx, book, closed, heal)
}

// carry carries a step out and notes how that went.
func (p *play) carry(ctx context.Context, t0 time.Time, x Step) {
	said := "done"
	if err := p.step(ctx, x); err != nil {
		if said = err.Error(); !x.Aside || errs.KindOf(err) != errs.OutcomeUnknown {
			p.fault("step %s %s: %v", x.Do, x.Who, err)
		}
	}
	names := x.Who
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range strings.Fields(x.Who) {
		if l := p.picked[w]; l != nil {
			names = strings.Replace(names, w, strings.Join(l, " "), 1)
		}
	}
	p.rep.Steps = append(p.rep.Steps, fmt.Sprintf("%d ms: %s %s %s: %s", time.Since(t0).Milliseconds(), x.Do, names, x.To, said))
}

func (p *play) await(ctx context.Context, t0 time.Time, ms int) error {
	t := time.NewTimer(time.Until(t0.Add(time.Duration(ms) * time.Millisecond)))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return errs.Wrap(ctx.Err(), "scenario")
	case <-t.C:
		return nil
	}
}

func (p *play) fault(format string, a ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.rep.Faults) < 50 {
		p.rep.Faults = append(p.rep.Faults, fmt.Sprintf(format, a...))
	}
}

// who names the processes that a step means; a word means the same ones throughout a run.
func (p *play) who(ctx context.Context, w string) ([]string, error) {
	var l []string
	for _, x := range strings.Fields(w) {
		p.mu.Lock()
		hit, ok := p.picked[x]
		p.mu.Unlock()
		if !ok {
			var err error
			if hit, err = p.word(ctx, x); err != nil {
				return nil, err
			}
			p.mu.Lock()
			p.picked[x] = hit
			p.mu.Unlock()
		}
		l = append(l, hit...)
	}
	if len(l) == 0 {
		return nil, errs.New(errs.BadInput, "%q names no process", w)
	}
	sort.Strings(l)
	return slices.Compact(l), nil
}

func (p *play) word(ctx context.Context, x string) ([]string, error) {
	if x == "@owner" {
		n, err := p.f.owner(ctx)
		return []string{"archive-" + n}, err
	}
	pat, n, few := strings.Cut(x, ":")
	var hit []string
	for _, q := range p.f.Site.Processes {
		if ok, err := path.Match(pat, q.Name); ok && err == nil {
			hit = append(hit, q.Name)
		}
	}
	if few {
		var k int
		if _, err := fmt.Sscan(n, &k); err != nil {
			return nil, errs.New(errs.BadInput, "%q: give pattern:count", x)
		}
		p.mu.Lock()
		p.r.Shuffle(len(hit), func(i, j int) { hit[i], hit[j] = hit[j], hit[i] })
		p.mu.Unlock()
		hit = hit[:min(k, len(hit))]
	}
	return hit, nil
}

// step carries out one step.
func (p *play) step(ctx context.Context, x Step) error {
	switch x.Do {
	case "heal":
		p.f.on.Heal()
		return nil
	case "write", "platform", "ask", "ended", "patch", "second", "clash", "retire", "retire-ask", "retired":
		return p.calendar(ctx, x)
	case "weights", "revoke", "drain", "undrain", "storm", "grow", "race", "seeds":
		return p.operate(ctx, x)
	case "cut", "slow", "off", "mend":
		return p.link(x)
	}
	l, err := p.who(ctx, x.Who)
	if err != nil {
		return err
	}
	var b errs.Batch
	for _, n := range l {
		switch x.Do {
		case "kill":
			b.Add(n, p.f.Signal(n, syscall.SIGKILL))
		case "warn":
			code, said := p.f.Post(ctx, p.f.rank(), "/v1/warn/"+n, nil)
			if code != 200 {
				b.Addf(errs.Internal, "warn %s: %d %s", n, code, said)
			}
			p.mu.Lock()
			p.drained[n] = time.Now().UnixMilli()
			p.mu.Unlock()
		case "term":
			b.Add(n, p.f.Signal(n, syscall.SIGTERM))
		case "freeze":
			b.Add(n, p.f.Signal(n, syscall.SIGSTOP))
		case "thaw":
			b.Add(n, p.f.Signal(n, syscall.SIGCONT))
		case "start":
			b.Add(n, p.f.Start(n))
		case "wipe":
			b.Add(n, p.on(n, p.f.on.Wipe))
		case "swap":
			bin, err := p.o.binOf(x.To)
			if b.Add(n, err); err == nil {
				b.Add(n, p.f.swap(n, bin))
			}
		case "usurp":
			b.Add(n, p.f.usurp(n))
		case "move":
			b.Add(n, p.f.move(n))
		case "disk", "wall":
			b.Add(n, p.on(n, func(q Process) error { return p.f.on.Switch(q, x.Do, x.To) }))
		default:
			b.Addf(errs.BadInput, "%q: no such step", x.Do)
		}
	}
	return b.Err()
}

// link sets rules; machines are named, "*" is any, and several are joined by spaces.
func (p *play) link(x Step) error {
	var err errs.Batch
	for _, a := range strings.Fields(x.Who) {
		to, r := x.To, Rule{Cut: true}
		if x.Do == "slow" {
			to, r = "*", Rule{}
			if _, err := fmt.Sscan(x.To, &r.Bytes); err != nil {
				return errs.New(errs.BadInput, "slow: %q: give bytes a second", x.To)
			}
		}
		if x.Do == "off" {
			to = "*"
		}
		if x.Do == "mend" {
			r = Rule{}
			if to == "" {
				to = "*"
			}
		}
		for _, b := range strings.Fields(to) {
			err.Add(x.Do, p.f.on.Link(a, b, r))
			if x.Do != "cut" {
				err.Add(x.Do, p.f.on.Link(b, a, r))
			}
		}
	}
	return err.Err()
}

func (p *play) on(name string, do func(Process) error) error {
	q, err := p.f.process(name)
	if err != nil {
		return err
	}
	return do(q)
}
