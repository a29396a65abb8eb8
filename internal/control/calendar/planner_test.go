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

// testSite simulates what entries act on: a service configuration with its version and the idempotency tokens
// of its changes, and workers that follow the configuration.
type testSite struct {
	config   []byte
	version  uint64
	tokens   map[string]bool
	applied  []string // applied configuration patches, in order
	workers  []Worker
	now      time.Duration
	wallTime time.Time
	failed   float64 // failed attempts among 100 recent request attempts
	restarts int     // number of worker replacements so far
}

// firstIncarnation is the incarnation of every worker before it is replaced.
const firstIncarnation = "incarnation-0"

// newTestSite returns a site with the services s and s2, a route of s, and six workers.
func newTestSite() *testSite {
	s := &testSite{version: 1, tokens: map[string]bool{}, wallTime: time.Unix(1e9, 0)}
	s.config = []byte(`{"models":{"m":{"weights":1}},"services":{"s":{"model":"m"},"s2":{"model":"m"}},"ways":{"m":{"service":"s"}}}`)
	for i := range 6 {
		s.workers = append(s.workers, Worker{Name: fmt.Sprint("w", i), Incarnation: firstIncarnation, Weights: 1, AcceptsRequests: true, Reachable: true})
	}
	return s
}

// observe returns the observation that a lease holder makes of the site.
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

// apply patches the configuration if it still has the given version, and only once for each token. It reports
// whether the action was acknowledged, which is also so for a repeated token.
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

// advance lets one second pass, in which the workers follow the configuration. Each worker is replaced when it
// is drained for the first time.
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

// newEntry returns a planned entry "e" of service "s" with the other fields of its argument.
func newEntry(e Entry) *Entry {
	e.Name, e.Service, e.State = "e", "s", StatePlanned
	return &e
}

// expectedPatches returns the configuration patches that an entry of entriesByKind must apply, in order.
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

// entriesByKind holds one entry of each kind.
var entriesByKind = []*Entry{
	newEntry(Entry{Kind: KindWeights, Model: "m", Weights: 2}),
	newEntry(Entry{Kind: KindRelease, BatchSize: 2, MinUpRatio: 0.5}),
	newEntry(Entry{Kind: KindHandover, Model: "m", ToService: "s2", Percents: []int{25, 100}, SoakSeconds: 3}),
}

// crashRun carries out an entry with two lease holders that crash at random between any two effects: after
// the entry was written, or after the action was acknowledged but before that was written. Responses are
// lost, and holders that stalled act late.
type crashRun struct {
	random   *rand.Rand
	site     *testSite
	entry    *Entry // calendar entry as stored in the control state
	version  int    // version of the document that stores the entry
	planners [2]*Planner
}

// step runs one pass of the control loop of a randomly chosen lease holder. Sometimes the other holder
// completes a pass while this one stalls.
func (c *crashRun) step(t *testing.T) {
	t.Helper()
	holder := c.random.IntN(2)
	read, readVersion, observed := c.entry, c.version, c.observe(t)
	if c.random.IntN(4) == 0 {
		c.stepUndisturbed(t, c.planners[1-holder])
	}
	next, action, changed := c.planners[holder].Next(read, observed)
	if action.Patch != nil {
		if !c.site.apply(t, action, observed.ConfigVersion) || c.random.IntN(5) == 0 { // the patch was rejected, or the holder crashes before it writes the entry
			c.planners[holder] = NewPlanner()
			c.site.advance(t)
			return
		}
		next, changed = RecordAction(read), true
	}
	if changed && readVersion == c.version && c.random.IntN(5) > 0 { // a conditional write succeeds, unless the holder crashes before it
		c.entry, c.version = next, c.version+1
	}
	c.site.advance(t)
}

// stepUndisturbed runs one pass of a lease holder's control loop without a crash or a stall.
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

// observe returns the site's observation with the version of the calendar entry as stored in the control
// state.
func (c *crashRun) observe(t *testing.T) Observation {
	t.Helper()
	observed := c.site.observe(t)
	observed.EntryVersion = uint64(c.version)
	return observed
}

// Lease holders crash at random between any two effects. Every step must still change the configuration
// exactly once and in order, and none may be skipped.
func TestEveryStepRunsOnceDespiteHolderCrashes(t *testing.T) {
	for _, entry := range entriesByKind {
		for seed := range uint64(300) {
			run := &crashRun{random: rand.New(rand.NewPCG(seed, 3)), site: newTestSite(), entry: entry, planners: [2]*Planner{NewPlanner(), NewPlanner()}}
			for steps := 0; steps < 400 && run.entry.State != StateDone; steps++ {
				run.step(t)
			}
			if run.entry.State != StateDone {
				t.Fatalf("calendar entry of kind %s, seed %d: state %s at step %d with reason %q after 400 passes, want done", entry.Kind, seed, run.entry.State, run.entry.CurrentStep, run.entry.Reason)
			}
			if got, want := strings.Join(run.site.applied, "\n"), strings.Join(expectedPatches(entry), "\n"); got != want {
				t.Fatalf("calendar entry of kind %s, seed %d: applied configuration patches\n%s\nwant\n%s", entry.Kind, seed, got, want)
			}
		}
	}
}

// If the simulated site forgets its idempotency tokens, a repeated action is applied again. The recorded
// patches must show this, or TestEveryStepRunsOnceDespiteHolderCrashes could not detect a duplicate.
func TestDuplicatedActionsAreDetected(t *testing.T) {
	site, entry, planner := newTestSite(), entriesByKind[0], NewPlanner()
	for range 10 {
		observed := site.observe(t)
		next, action, changed := planner.Next(entry, observed)
		if action.Patch != nil {
			clear(site.tokens)
			site.apply(t, action, observed.ConfigVersion) // the holder crashes before it writes the entry
			continue
		}
		if changed {
			entry = next
		}
	}
	if len(site.applied) < 2 {
		t.Errorf("applied patches %v, want a duplicate because the site forgets idempotency tokens", site.applied)
	}
}

// advanceEntry runs the given number of passes of a lease holder's control loop without faults and returns the
// resulting entry.
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

// A calendar entry starts once the median wall clock of the control nodes reaches its start time. It does not
// start while no majority reports a clock, and a clock that is set back after the start changes nothing.
func TestStartWaitsForMajorityClock(t *testing.T) {
	site, planner := newTestSite(), NewPlanner()
	entry := newEntry(Entry{Kind: KindWeights, Model: "m", Weights: 2, NotBefore: time.Unix(1e9+100, 0).UTC().Format(time.RFC3339)})
	if entry = advanceEntry(t, site, planner, entry, 50); entry.State != StatePlanned {
		t.Fatalf("50 s before its start time the calendar entry is in state %s, want planned", entry.State)
	}
	wallTime := site.wallTime
	site.wallTime = time.Time{}
	if next, _, changed := planner.Next(entry, site.observe(t)); changed || next.State != StatePlanned {
		t.Fatal("the calendar entry changed although no majority of control nodes reported a clock")
	}
	site.wallTime = wallTime.Add(51 * time.Second)
	if entry = advanceEntry(t, site, planner, entry, 1); entry.State != StateRunning {
		t.Fatalf("the start time is reached, but the calendar entry is in state %s, want running", entry.State)
	}
	site.wallTime = site.wallTime.Add(-time.Hour)
	if entry = advanceEntry(t, site, planner, entry, 20); entry.State != StateDone || len(site.applied) != 1 {
		t.Fatalf("the clock was set back by an hour after the calendar entry started: state %s, applied patches %v, want done and one patch", entry.State, site.applied)
	}
}

// A running handover is paused when 30 of 100 request attempts fail, changes nothing while it is paused, and
// can be undone. Undoing a release removes its draining marks.
func TestPauseStopUndo(t *testing.T) {
	site, planner := newTestSite(), NewPlanner()
	entry := advanceEntry(t, site, planner, entriesByKind[2], 4)
	if entry.State != StateRunning {
		t.Fatalf("handover after four passes: %+v, want it running", entry)
	}
	site.failed = 30
	if entry = advanceEntry(t, site, planner, entry, 1); entry.State != StatePaused || !strings.Contains(entry.Reason, "30 of 100") {
		t.Fatalf("handover while 30 of 100 request attempts fail: state %s, reason %q, want paused with these figures as reason", entry.State, entry.Reason)
	}
	applied := len(site.applied)
	if entry = advanceEntry(t, site, planner, entry, 20); len(site.applied) != applied {
		t.Fatal("the handover patched the configuration while it was paused")
	}
	if err := entry.ApplyVerb(VerbUndo); err != nil {
		t.Fatal(err)
	}
	if entry = advanceEntry(t, site, planner, entry, 3); entry.State != StateUndone || site.observe(t).Config.Routes["m"] != (serviceconfig.Route{Service: "s"}) {
		t.Fatalf("handover after undo: state %s, route %+v, want undone and the route at service s alone", entry.State, site.observe(t).Config.Routes["m"])
	}
	site = newTestSite()
	entry = advanceEntry(t, site, planner, entriesByKind[1], 3)
	if err := entry.ApplyVerb(VerbUndo); err != nil {
		t.Fatal(err)
	}
	if entry = advanceEntry(t, site, planner, entry, 3); entry.State != StateUndone || len(site.observe(t).Config.Draining) > 0 {
		t.Fatalf("release after undo: state %s, draining %v, want undone and no worker draining", entry.State, site.observe(t).Config.Draining)
	}
	if err := entry.ApplyVerb(VerbResume); errs.KindOf(err) != errs.Conflict {
		t.Errorf("resume an undone release: error %v, want the kind Conflict", err)
	}
}

// A release waits while draining its batch would leave fewer workers accepting requests than MinUpRatio
// requires.
func TestReleaseKeepsCapacity(t *testing.T) {
	site, planner := newTestSite(), NewPlanner()
	for i := range 3 {
		site.workers[i].AcceptsRequests = false
	}
	entry := newEntry(Entry{Kind: KindRelease, BatchSize: 2, MinUpRatio: 0.5, Workers: []string{"w4", "w5"}})
	for range 5 {
		next, action, changed := planner.Next(entry, site.observe(t))
		if action.Patch != nil {
			t.Fatalf("the release drains %s, which leaves one of six workers accepting requests, want at least three", action.Patch)
		}
		if changed {
			entry = next
		}
	}
	if !strings.Contains(entry.Reason, "capacity") {
		t.Errorf("release without enough capacity: %+v, want a reason that names the capacity", entry)
	}
}

// A step that a new lease holder repeats, on a later version of the configuration, has the same token. A later
// entry of the same name has another token, or its actions would count as already applied.
func TestStepTokenIsStableAcrossHolders(t *testing.T) {
	entry := newEntry(Entry{Kind: KindRelease, BatchSize: 2, Workers: []string{"w0", "w1"}})
	tokens := map[string]string{}
	for _, test := range []struct {
		holder                      string
		entryVersion, configVersion uint64
	}{
		{"first lease holder", 3, 7},
		{"second lease holder", 3, 9},
		{"lease holder of a later calendar entry", 30, 9},
	} {
		planner, observed := NewPlanner(), newTestSite().observe(t)
		started, _, _ := planner.Next(entry, observed)
		doing, _, _ := planner.Next(started, observed)
		observed.EntryVersion, observed.ConfigVersion = test.entryVersion, test.configVersion
		_, action, _ := NewPlanner().Next(doing, observed)
		if tokens[test.holder] = action.Token; action.Patch == nil || action.Token == "" {
			t.Fatalf("%s: got no action with an idempotency token for the calendar entry %+v", test.holder, doing)
		}
	}
	if tokens["first lease holder"] != tokens["second lease holder"] || tokens["first lease holder"] == tokens["lease holder of a later calendar entry"] {
		t.Errorf("action tokens by lease holder %v: want equal tokens for the same entry and another for the later entry", tokens)
	}
}
