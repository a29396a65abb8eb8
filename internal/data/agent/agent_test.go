package agent

import (
	"context"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// core is a group of fake control nodes with the same responses.
type core struct {
	wire.ControlNode
	mu      sync.Mutex
	members []string
	index   uint64
	version uint64
	news    chan struct{}
	asked   map[string]int
	under   map[string]int    // questions that are held now
	mood    map[string]string // "hangs", "errs", "empty", "behind"
}

func newCore(members ...string) *core {
	return &core{members: members, index: 1, version: 1, asked: map[string]int{}, under: map[string]int{}, mood: map[string]string{}}
}

func (c *core) change(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
	close(c.news)
	c.news = make(chan struct{})
}

// count is how often an address was asked; held is how many questions it holds.
func (c *core) count(addr string) int { c.mu.Lock(); defer c.mu.Unlock(); return c.asked[addr] }
func (c *core) held(addr string) int  { c.mu.Lock(); defer c.mu.Unlock(); return c.under[addr] }

type seat struct {
	*core
	addr string
}

func (s seat) Follow(ctx context.Context, a *wire.FollowRequest) (*wire.FollowResponse, error) {
	s.mu.Lock()
	s.asked[s.addr]++
	s.under[s.addr]++
	mood, news, version := s.mood[s.addr], s.news, s.version
	s.mu.Unlock()
	defer func() { s.mu.Lock(); s.under[s.addr]--; s.mu.Unlock() }()
	end := time.NewTimer(time.Duration(a.MaxWaitNs))
	defer end.Stop()
	switch mood {
	case "hangs":
		<-ctx.Done()
		return nil, ctx.Err()
	case "errs":
		return nil, errs.New(errs.OutcomeUnknown, "no")
	case "empty":
		return &wire.FollowResponse{}, nil
	}
	if version <= requestedVersion(a) || mood == "behind" {
		select {
		case <-news:
		case <-end.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &wire.FollowResponse{NothingNewer: true, Members: s.members, MembersTerm: 1, MembersIndex: s.index}
	for _, m := range s.members {
		if address(m) == s.addr {
			t.Member = m
		}
	}
	if s.version > requestedVersion(a) && s.mood[s.addr] != "behind" {
		t.Documents = append(t.Documents, planDoc(s.version))
	}
	return t, nil
}

func run(t *testing.T, c *core, f func(t *testing.T, a *Agent)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c.news = make(chan struct{}) // of this bubble
		w := daemon.Environment{Clock: clock.Synctest(), WallClock: time.Now, Seed: func() uint64 { return 1 }}
		l := daemon.NewIn(w, "agent", settings.Process{Name: "edge-1", Bounds: settings.DefaultBounds(),
			Seeds: []string{"1:1", "1:2", "9:9"}, Options: []string{"log=off"}})
		a := newAgent(l, &numbers{}, func(addr string) wire.ControlNode { return seat{c, addr} })
		if a.Snapshot() == nil || a.Snapshot().Plan != nil {
			t.Fatal("a plan before any was reported")
		}
		a.actor.Ask(a.updateFollowed)
		l.Every(l.Settings.Bounds.Config(longPollRatio), func() { a.actor.Ask(a.updateFollowed) })
		f(t, a)
		l.Stop(time.Second)
		synctest.Wait()
	})
}

// until waits for a moment in the bubble's time, in which nothing but the agent moves.
func until(d time.Duration) {
	e := time.NewTimer(d)
	<-e.C
	synctest.Wait()
}

func version(a *Agent) uint64 {
	if p := a.Snapshot().Plan; p != nil {
		return p.Version
	}
	return 0
}

func TestNewsComesAtOnceThoughOneHangs(t *testing.T) {
	c := newCore(abc...)
	c.mood["1:1"] = "hangs"
	run(t, c, func(t *testing.T, a *Agent) {
		synctest.Wait()
		if version(a) != 1 {
			t.Fatalf("plan %d", version(a))
		}
		until(10*time.Second + 100*time.Millisecond)
		changed, before := a.Changed(), a.Snapshot()
		c.change(func() { c.version = 2 })
		synctest.Wait()
		select {
		case <-changed:
		default:
			t.Fatal("nobody is reported of the change")
		}
		if version(a) != 2 || before.Plan.Version != 1 {
			t.Fatalf("plan %d, and the old snapshot says %d", version(a), before.Plan.Version)
		}
		if age := a.process.Clock.Now() - a.Snapshot().ProofAt; a.Snapshot().ProofAt == 0 || age > a.process.Settings.Bounds.Config(1.1) {
			t.Fatalf("the proof is %v old", age)
		}
	})
}

// On a calm site each member is asked about once a hold, the seeds that aren't members not at all,
// and a proof is never older than two holds.
func TestCalmSiteIsAskedSeldom(t *testing.T) {
	c := newCore(abc...)
	c.mood["9:9"] = "empty"
	run(t, c, func(t *testing.T, a *Agent) {
		until(5 * time.Second)
		before, strange := c.count("1:3"), c.count("9:9")
		for range 100 {
			until(100 * time.Millisecond)
			if age := a.process.Clock.Now() - a.Snapshot().ProofAt; age > a.process.Settings.Bounds.Config(2*longPollRatio) {
				t.Fatalf("the proof is %v old", age)
			}
		}
		if n := c.count("1:3") - before; n < 9 || n > 11 {
			t.Errorf("%d questions in ten seconds", n)
		}
		if n := c.count("9:9") - strange; n != 0 {
			t.Errorf("%d questions to one that is no member", n)
		}
	})
}

func TestLostPolls(t *testing.T) {
	c := newCore(abc...)
	for _, s := range []string{"1:1", "1:2", "1:3", "9:9"} {
		c.mood[s] = "errs"
	}
	run(t, c, func(t *testing.T, a *Agent) {
		until(10 * time.Second)
		for _, addr := range []string{"1:1", "1:2", "9:9"} {
			n := c.count(addr)
			if n < 10 || n > 40 {
				t.Errorf("%s was asked %d times in ten seconds", addr, n)
			}
		}
		c.change(func() { c.mood["1:2"], c.mood["1:3"] = "", "" })
		until(time.Second)
		if version(a) != 1 {
			t.Fatal("no plan a second after two answer again")
		}
		until(time.Second)
		if a.Snapshot().ProofAt == 0 {
			t.Fatal("no proof two seconds after two answer again")
		}
		// A majority falls silent: the proof stands still, and the plan stays.
		c.change(func() { c.mood["1:3"] = "hangs" })
		until(2 * time.Second)
		at, n := a.Snapshot().ProofAt, c.count("1:2")
		until(10 * time.Second)
		if a.Snapshot().ProofAt != at || version(a) != 1 {
			t.Fatalf("one of three moved the proof from %v to %v", at, a.Snapshot().ProofAt)
		}
		if n = c.count("1:2") - n; n < 20 || n > 40 {
			t.Errorf("the one that answers was asked %d times in ten seconds", n)
		}
		// Once a majority can be heard again, there is a proof without waiting for a hold.
		c.change(func() { c.mood["1:3"] = "" })
		until(a.process.Settings.Bounds.Config(responseGraceRatio+maxRetryDelayRatio) + time.Millisecond) // the last one that hangs
		if a.Snapshot().ProofAt <= at {
			t.Errorf("no proof yet: %v old", a.process.Clock.Now()-a.Snapshot().ProofAt)
		}
	})
}

// A member is replaced by one at another address; then all that were seeds are gone.
func TestMembersAreFollowedAsTheyChange(t *testing.T) {
	c := newCore(abc...)
	run(t, c, func(t *testing.T, a *Agent) {
		until(3 * time.Second)
		c.change(func() { c.members, c.index = append(slices.Clone(abc), "1:4/d"), 2 })
		until(3 * time.Second)
		c.change(func() { c.members, c.index, c.mood["1:1"] = []string{abc[1], abc[2], "1:4/d"}, 3, "hangs" })
		until(3 * time.Second)
		n := c.count("1:1")
		c.change(func() { c.version = 9 })
		until(3 * time.Second)
		if c.count("1:1") != n || c.held("1:1") != 0 || c.held("1:4") != 1 {
			t.Errorf("asked of the one removed: %d then %d; under way: %d", n, c.count("1:1"), c.held("1:4"))
		}
		if age := a.process.Clock.Now() - a.Snapshot().ProofAt; version(a) != 9 || age > a.process.Settings.Bounds.Config(1) {
			t.Errorf("plan %d, proof %v old", version(a), age)
		}
		// All members are replaced while none of them can be heard: the seeds name them.
		c.change(func() {
			c.members, c.index = []string{"2:1/x", "2:2/y", "9:9/z"}, 9
			c.mood["1:2"], c.mood["1:3"], c.mood["1:4"] = "hangs", "hangs", "hangs"
		})
		until(10 * time.Second)
		if age := a.process.Clock.Now() - a.Snapshot().ProofAt; age > a.process.Settings.Bounds.Config(1) {
			t.Errorf("the new members aren't found: proof %v old", age)
		}
	})
}

// One that is behind, and one that knows nothing, are asked no more often than once a pause.
func TestAnswersOfNoUseAreNotAskedForAgainAtOnce(t *testing.T) {
	c := newCore(abc...)
	c.mood["1:1"], c.mood["1:2"], c.mood["9:9"] = "behind", "empty", "empty"
	run(t, c, func(t *testing.T, a *Agent) {
		until(10 * time.Second)
		if n := c.count("1:2"); n > 40 {
			t.Errorf("asked %d times in ten seconds", n)
		}
		if had := c.count("1:1"); had > 12 {
			t.Errorf("the one behind was asked %d times", had)
		}
		if a.Snapshot().Plan == nil || a.Snapshot().Plan.Version != 1 {
			t.Errorf("plan %v", a.Snapshot().Plan)
		}
	})
}

// The seeds that a process began with are all down; the settings name others, and it finds the core.
func TestSeedsChangeWhileItRuns(t *testing.T) {
	c := newCore("2:1/x", "2:2/y", "2:3/z")
	c.mood["1:1"], c.mood["1:2"], c.mood["9:9"] = "hangs", "errs", "hangs"
	run(t, c, func(t *testing.T, a *Agent) {
		until(5 * time.Second)
		if a.Snapshot().Plan != nil {
			t.Fatal("a plan from nowhere")
		}
		p := a.process.Settings
		p.Seeds = []string{"2:3", "8:8", "8:9"}
		a.process.ApplySettings(p)
		until(2 * time.Second)
		if version(a) != 1 || a.Snapshot().ProofAt == 0 {
			t.Fatalf("plan %d, proof at %v", version(a), a.Snapshot().ProofAt)
		}
	})
}

// A process that reaches nobody starts, shows what it has, and ends.
func TestStartAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := daemon.Environment{Clock: clock.Synctest(), WallClock: time.Now, Seed: func() uint64 { return 1 },
			Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
				clock.Sleep(ctx, time.Second)
				return nil, errs.New(errs.OutcomeUnknown, "nobody is there")
			}}
		l := daemon.NewIn(w, "agent", settings.Process{Name: "edge-1", Listen: "1:9", Bounds: settings.DefaultBounds(),
			Seeds: []string{"1:1", "1:2", "9:9"}, Options: []string{"log=off"}})
		a, err := Start(l, &numbers{}, clustermembership.RoleNodeAgent)
		if err != nil {
			t.Fatal(err)
		}
		until(10 * time.Second)
		if s := a.Snapshot(); s.Plan != nil || s.ProofAt != 0 || s.Edges != assumedEdges || len(s.Nodes) != 1 || a.Membership().Nodes[0].Name != "runner/edge-1" {
			t.Fatalf("%+v", s)
		}
		if a.Handler() == nil {
			t.Fatal("nothing serves the cluster membership's calls")
		}
		l.Stop(time.Second)
		until(10 * time.Second)
	})
}
