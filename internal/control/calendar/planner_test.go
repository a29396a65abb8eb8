package calendar

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/errs"
)

// testSite is what entries act on: a configuration with its version and the tokens of its changes, and
// workers that follow it.
type testSite struct {
	config   []byte
	version  uint64
	tokens   map[string]bool
	applied  []string // patches
	workers  []Worker
	now      time.Duration
	wallTime time.Time
	failed   float64 // of 100 attempts
	restarts int
}

const firstIncarnation = "incarnation-0"

func newTestSite() *testSite {
	s := &testSite{version: 1, tokens: map[string]bool{}, wallTime: time.Unix(1e9, 0)}
	s.config = []byte(`{"models":{"m":{"weights":1}},"services":{"s":{"model":"m"},"s2":{"model":"m"}},"ways":{"m":{"service":"s"}}}`)
	for i := range 6 {
		s.workers = append(s.workers, Worker{Name: fmt.Sprint("w", i), Incarnation: firstIncarnation, Weights: 1, AcceptsRequests: true, Reachable: true})
	}
	return s
}

func (s *testSite) observe(tb testing.TB) Observation {
	tb.Helper()
	config, err := serviceconfig.Decode(s.config)
	if err != nil {
		tb.Fatal(err)
	}
	return Observation{
		WallTime:      s.wallTime,
		Now:           s.now,
		ConfigVersion: s.version,
		Config:        config,
		Workers:       slices.Clone(s.workers),
		Succeeded:     100 - s.failed,
		Failed:        s.failed,
	}
}

// apply takes an action on a version of the configuration, once a token, and reports whether it was
// acknowledged.
func (s *testSite) apply(tb testing.TB, action Action, version uint64) bool {
	tb.Helper()
	if s.tokens[action.Token] {
		return true
	}
	if version != s.version {
		return false
	}
	config, err := jsonpatch.MergePatch(s.config, action.Patch)
	if err != nil {
		tb.Fatal(err)
	}
	s.config, s.version, s.tokens[action.Token] = config, s.version+1, true
	s.applied = append(s.applied, string(action.Patch))
	return true
}

// advance lets a second pass, in which the workers follow the configuration: drained ones are replaced
// once.
func (s *testSite) advance(tb testing.TB) {
	tb.Helper()
	config := s.observe(tb).Config
	for i := range s.workers {
		worker := &s.workers[i]
		worker.AcceptsRequests = !config.Draining[worker.Name]
		if !worker.AcceptsRequests && worker.Incarnation == firstIncarnation {
			s.restarts++
			worker.Incarnation = fmt.Sprint("incarnation-", s.restarts)
		}
		worker.Weights = max(worker.Weights, config.Models["m"].Weights)
	}
	s.now += time.Second
	s.wallTime = s.wallTime.Add(time.Second)
}

func newEntry(e Entry) *Entry {
	e.Name, e.Service, e.State = "e", "s", StatePlanned
	return &e
}

func expectedPatches(e *Entry) []string {
	switch e.Kind {
	case KindWeights:
		return []string{`{"models":{"m":{"weights":2}}}`}
	case KindHandover:
		return []string{`{"ways":{"m":{"next":"s2","service":"s","share":25}}}`, `{"ways":{"m":{"next":null,"service":"s2","share":null}}}`}
	}
	var patches []string
	for i := 0; i < 6; i += 2 {
		patches = append(patches, fmt.Sprintf(`{"drains":{"w%d":true,"w%d":true}}`, i, i+1), fmt.Sprintf(`{"drains":{"w%d":null,"w%d":null}}`, i, i+1))
	}
	return patches
}

var entriesByKind = []*Entry{
	newEntry(Entry{Kind: KindWeights, Model: "m", Weights: 2}),
	newEntry(Entry{Kind: KindRelease, BatchSize: 2, MinUpRatio: 0.5}),
	newEntry(Entry{Kind: KindHandover, Model: "m", ToService: "s2", Percents: []int{25, 100}, SoakS: 3}),
}

// crashRun carries out an entry with two holders of the lease. They crash between any two effects:
// after the entry was written, after the action was acknowledged and before that was written. Responses
// are lost, and holders that stalled act late.
type crashRun struct {
	random   *rand.Rand
	site     *testSite
	entry    *Entry // as it is stored
	version  int    // of the entry's document
	planners [2]*Planner
}

// step lets a random holder take one step; now and then the other one steps while it stalls.
func (c *crashRun) step(t *testing.T) {
	t.Helper()
	holder := c.random.IntN(2)
	read, readVersion, observed := c.entry, c.version, c.observe(t)
	if c.random.IntN(4) == 0 {
		c.stepUndisturbed(t, c.planners[1-holder])
	}
	next, action, changed := c.planners[holder].Next(read, observed)
	if action.Patch != nil {
		if !c.site.apply(t, action, observed.ConfigVersion) || c.random.IntN(5) == 0 { // rejected, or it crashes before it writes
			c.planners[holder] = NewPlanner()
			c.site.advance(t)
			return
		}
		next, changed = RecordAction(read), true
	}
	if changed && readVersion == c.version && c.random.IntN(5) > 0 { // compare and set; or it crashes before
		c.entry, c.version = next, c.version+1
	}
	c.site.advance(t)
}

func (c *crashRun) stepUndisturbed(t *testing.T, planner *Planner) {
	t.Helper()
	observed := c.observe(t)
	next, action, changed := planner.Next(c.entry, observed)
	if action.Patch != nil && c.site.apply(t, action, observed.ConfigVersion) {
		next, changed = RecordAction(c.entry), true
	}
	if changed {
		c.entry, c.version = next, c.version+1
	}
}

func (c *crashRun) observe(t *testing.T) Observation {
	t.Helper()
	observed := c.site.observe(t)
	observed.EntryVersion = uint64(c.version)
	return observed
}

// Whatever holders crash between any two effects, every step acts once and in order, and none is
// skipped.
func TestEveryStepRunsOnceDespiteHolderCrashes(t *testing.T) {
	for _, entry := range entriesByKind {
		for seed := range uint64(300) {
			run := &crashRun{random: rand.New(rand.NewPCG(seed, 3)), site: newTestSite(), entry: entry, planners: [2]*Planner{NewPlanner(), NewPlanner()}}
			for steps := 0; steps < 400 && run.entry.State != StateDone; steps++ {
				run.step(t)
			}
			if run.entry.State != StateDone {
				t.Fatalf("%s, seed %d: %s at step %d, %s", entry.Kind, seed, run.entry.State, run.entry.CurrentStep, run.entry.Reason)
			}
			if got, want := strings.Join(run.site.applied, "\n"), strings.Join(expectedPatches(entry), "\n"); got != want {
				t.Fatalf("%s, seed %d: patches\n%s\nwant\n%s", entry.Kind, seed, got, want)
			}
		}
	}
}

// A planted fault: tokens are forgotten. The check above must see that actions are taken twice.
func TestDuplicatedActionsAreDetected(t *testing.T) {
	site, entry, planner := newTestSite(), entriesByKind[0], NewPlanner()
	for range 10 {
		observed := site.observe(t)
		next, action, changed := planner.Next(entry, observed)
		if action.Patch != nil {
			clear(site.tokens)
			site.apply(t, action, observed.ConfigVersion) // and it crashes before it writes
			continue
		}
		if changed {
			entry = next
		}
	}
	if len(site.applied) < 2 {
		t.Errorf("patches %v", site.applied)
	}
}

// advanceEntry carries out an entry for so many steps without faults.
func advanceEntry(t *testing.T, site *testSite, planner *Planner, entry *Entry, steps int) *Entry {
	t.Helper()
	for range steps {
		observed := site.observe(t)
		next, action, changed := planner.Next(entry, observed)
		if action.Patch != nil && site.apply(t, action, observed.ConfigVersion) {
			next, changed = RecordAction(entry), true
		}
		if changed {
			entry = next
		}
		site.advance(t)
	}
	return entry
}

// An entry starts when the median clock says so; a clock that isn't known doesn't start it, and one
// that goes back after the start changes nothing.
func TestStartWaitsForMajorityClock(t *testing.T) {
	site, planner := newTestSite(), NewPlanner()
	entry := newEntry(Entry{Kind: KindWeights, Model: "m", Weights: 2, NotBefore: time.Unix(1e9+100, 0).UTC().Format(time.RFC3339)})
	if entry = advanceEntry(t, site, planner, entry, 50); entry.State != StatePlanned {
		t.Fatalf("started before its time: %s", entry.State)
	}
	wallTime := site.wallTime
	site.wallTime = time.Time{}
	if next, _, changed := planner.Next(entry, site.observe(t)); changed || next.State != StatePlanned {
		t.Fatal("started though no majority reported its clock")
	}
	site.wallTime = wallTime.Add(51 * time.Second)
	if entry = advanceEntry(t, site, planner, entry, 1); entry.State != StateRunning {
		t.Fatalf("it is time to start, yet it is %s", entry.State)
	}
	site.wallTime = site.wallTime.Add(-time.Hour)
	if entry = advanceEntry(t, site, planner, entry, 20); entry.State != StateDone || len(site.applied) != 1 {
		t.Fatalf("the clock went back: %s, patches %v", entry.State, site.applied)
	}
}

func TestPauseStopUndo(t *testing.T) {
	site, planner := newTestSite(), NewPlanner()
	entry := advanceEntry(t, site, planner, entriesByKind[2], 4)
	if entry.State != StateRunning {
		t.Fatalf("%+v", entry)
	}
	site.failed = 30
	if entry = advanceEntry(t, site, planner, entry, 1); entry.State != StatePaused || !strings.Contains(entry.Reason, "30 of 100") {
		t.Fatalf("30 of 100 attempts fail: %s %s", entry.State, entry.Reason)
	}
	applied := len(site.applied)
	if entry = advanceEntry(t, site, planner, entry, 20); len(site.applied) != applied {
		t.Fatal("acted while paused")
	}
	if err := entry.ApplyVerb(VerbUndo); err != nil {
		t.Fatal(err)
	}
	if entry = advanceEntry(t, site, planner, entry, 3); entry.State != StateUndone || site.observe(t).Config.Routes["m"] != (serviceconfig.Route{Service: "s"}) {
		t.Fatalf("undone: %s, route %+v", entry.State, site.observe(t).Config.Routes["m"])
	}
	site = newTestSite()
	entry = advanceEntry(t, site, planner, entriesByKind[1], 3)
	if err := entry.ApplyVerb(VerbUndo); err != nil {
		t.Fatal(err)
	}
	if entry = advanceEntry(t, site, planner, entry, 3); entry.State != StateUndone || len(site.observe(t).Config.Draining) > 0 {
		t.Fatalf("undone: %s, draining %v", entry.State, site.observe(t).Config.Draining)
	}
	if err := entry.ApplyVerb(VerbResume); errs.KindOf(err) != errs.Conflict {
		t.Errorf("resumed after it was undone: %v", err)
	}
}

// A release waits for capacity rather than drain more workers than it may.
func TestReleaseKeepsCapacity(t *testing.T) {
	site, planner := newTestSite(), NewPlanner()
	for i := range 3 {
		site.workers[i].AcceptsRequests = false
	}
	entry := newEntry(Entry{Kind: KindRelease, BatchSize: 2, MinUpRatio: 0.5, Workers: []string{"w4", "w5"}})
	for range 5 {
		next, action, changed := planner.Next(entry, site.observe(t))
		if action.Patch != nil {
			t.Fatalf("drained %s with three of six up", action.Patch)
		}
		if changed {
			entry = next
		}
	}
	if !strings.Contains(entry.Reason, "capacity") {
		t.Errorf("%+v", entry)
	}
}

// A step that a new holder takes again, on a later version of the configuration, has the same token; a
// later entry of the same name has another, or its actions would count as taken.
func TestStepTokenIsStableAcrossHolders(t *testing.T) {
	entry := newEntry(Entry{Kind: KindRelease, BatchSize: 2, Workers: []string{"w0", "w1"}})
	tokens := map[string]string{}
	for _, test := range []struct {
		holder                      string
		entryVersion, configVersion uint64
	}{
		{"first", 3, 7},
		{"second", 3, 9},
		{"of a later entry", 30, 9},
	} {
		planner, observed := NewPlanner(), newTestSite().observe(t)
		started, _, _ := planner.Next(entry, observed)
		doing, _, _ := planner.Next(started, observed)
		observed.EntryVersion, observed.ConfigVersion = test.entryVersion, test.configVersion
		_, action, _ := NewPlanner().Next(doing, observed)
		if tokens[test.holder] = action.Token; action.Patch == nil || action.Token == "" {
			t.Fatalf("%s: no action: %+v", test.holder, doing)
		}
	}
	if tokens["first"] != tokens["second"] || tokens["first"] == tokens["of a later entry"] {
		t.Errorf("tokens %v", tokens)
	}
}
