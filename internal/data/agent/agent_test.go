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

// fakeGroup is a group of fake control nodes with the same responses.
type fakeGroup struct {
	wire.ControlNode
	mu              sync.Mutex
	members         []string
	index           uint64
	version         uint64
	changed         chan struct{}
	requests        map[string]int
	waitingRequests map[string]int    // requests that are held now
	behavior        map[string]string // "hangs", "errs", "empty", "behind"
}

func newFakeGroup(members ...string) *fakeGroup {
	return &fakeGroup{members: members, index: 1, version: 1, requests: map[string]int{}, waitingRequests: map[string]int{}, behavior: map[string]string{}}
}

func (g *fakeGroup) change(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
	close(g.changed)
	g.changed = make(chan struct{})
}

// requestCount is how many requests an address got; waitingCount is how many it holds.
func (g *fakeGroup) requestCount(addr string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.requests[addr]
}
func (g *fakeGroup) waitingCount(addr string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waitingRequests[addr]
}

type fakeControlNode struct {
	*fakeGroup
	addr string
}

func (n fakeControlNode) Follow(ctx context.Context, request *wire.FollowRequest) (*wire.FollowResponse, error) {
	n.mu.Lock()
	n.requests[n.addr]++
	n.waitingRequests[n.addr]++
	behavior, changed, version := n.behavior[n.addr], n.changed, n.version
	n.mu.Unlock()
	defer func() { n.mu.Lock(); n.waitingRequests[n.addr]--; n.mu.Unlock() }()
	timer := time.NewTimer(time.Duration(request.MaxWaitNs))
	defer timer.Stop()
	switch behavior {
	case "hangs":
		<-ctx.Done()
		return nil, ctx.Err()
	case "errs":
		return nil, errs.New(errs.OutcomeUnknown, "no")
	case "empty":
		return &wire.FollowResponse{}, nil
	}
	if version <= requestedVersion(request) || behavior == "behind" {
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	response := &wire.FollowResponse{NothingNewer: true, Members: n.members, MembersTerm: 1, MembersIndex: n.index}
	for _, member := range n.members {
		if address(member) == n.addr {
			response.Member = member
		}
	}
	if n.version > requestedVersion(request) && n.behavior[n.addr] != "behind" {
		response.Documents = append(response.Documents, planDocument(n.version))
	}
	return response, nil
}

func runAgent(t *testing.T, group *fakeGroup, test func(t *testing.T, a *Agent)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		group.changed = make(chan struct{}) // of this bubble
		environment := daemon.Environment{Clock: clock.Synctest(), WallClock: time.Now, Seed: func() uint64 { return 1 }}
		process := daemon.NewIn(environment, "agent", settings.Process{Name: "edge-1", Bounds: settings.DefaultBounds(),
			Seeds: []string{"1:1", "1:2", "9:9"}, Options: []string{"log=off"}})
		a := newAgent(process, &versionCodec{}, func(addr string) wire.ControlNode { return fakeControlNode{group, addr} })
		if a.Snapshot() == nil || a.Snapshot().Plan != nil {
			t.Fatal("a plan before any was received")
		}
		a.actor.Ask(a.updateFollowed)
		process.Every(process.Settings.Bounds.Config(longPollRatio), func() { a.actor.Ask(a.updateFollowed) })
		test(t, a)
		process.Stop(time.Second)
		synctest.Wait()
	})
}

// wait waits for a moment in the bubble's time, in which only the agent runs.
func wait(d time.Duration) {
	timer := time.NewTimer(d)
	<-timer.C
	synctest.Wait()
}

func planVersion(a *Agent) uint64 {
	if p := a.Snapshot().Plan; p != nil {
		return p.Version
	}
	return 0
}

func TestUpdateIsImmediateThoughOneMemberHangs(t *testing.T) {
	group := newFakeGroup(threeMembers...)
	group.behavior["1:1"] = "hangs"
	runAgent(t, group, func(t *testing.T, agent *Agent) {
		synctest.Wait()
		if planVersion(agent) != 1 {
			t.Fatalf("plan %d", planVersion(agent))
		}
		wait(10*time.Second + 100*time.Millisecond)
		changed, before := agent.Changed(), agent.Snapshot()
		group.change(func() { group.version = 2 })
		synctest.Wait()
		select {
		case <-changed:
		default:
			t.Fatal("Changed isn't closed on the update")
		}
		if planVersion(agent) != 2 || before.Plan.Version != 1 {
			t.Fatalf("plan %d, and the old snapshot says %d", planVersion(agent), before.Plan.Version)
		}
		if age := agent.process.Clock.Now() - agent.Snapshot().ProofAt; agent.Snapshot().ProofAt == 0 || age > agent.process.Settings.Bounds.Config(1.1) {
			t.Fatalf("the proof is %v old", age)
		}
	})
}

// On a quiet site each member gets about one request in a long poll's time, the seeds that aren't members
// get none, and a proof is never older than two long polls.
func TestQuietSiteIsPolledOncePerLongPoll(t *testing.T) {
	group := newFakeGroup(threeMembers...)
	group.behavior["9:9"] = "empty"
	runAgent(t, group, func(t *testing.T, a *Agent) {
		wait(5 * time.Second)
		before, strange := group.requestCount("1:3"), group.requestCount("9:9")
		for range 100 {
			wait(100 * time.Millisecond)
			if age := a.process.Clock.Now() - a.Snapshot().ProofAt; age > a.process.Settings.Bounds.Config(2*longPollRatio) {
				t.Fatalf("the proof is %v old", age)
			}
		}
		if n := group.requestCount("1:3") - before; n < 9 || n > 11 {
			t.Errorf("%d requests in ten seconds", n)
		}
		if n := group.requestCount("9:9") - strange; n != 0 {
			t.Errorf("%d requests to one that is no member", n)
		}
	})
}

func TestRetriesWhileMembersFail(t *testing.T) {
	group := newFakeGroup(threeMembers...)
	for _, addr := range []string{"1:1", "1:2", "1:3", "9:9"} {
		group.behavior[addr] = "errs"
	}
	runAgent(t, group, func(t *testing.T, agent *Agent) {
		wait(10 * time.Second)
		for _, addr := range []string{"1:1", "1:2", "9:9"} {
			requests := group.requestCount(addr)
			if requests < 10 || requests > 40 {
				t.Errorf("%s got %d requests in ten seconds", addr, requests)
			}
		}
		group.change(func() { group.behavior["1:2"], group.behavior["1:3"] = "", "" })
		wait(time.Second)
		if planVersion(agent) != 1 {
			t.Fatal("no plan a second after two respond again")
		}
		wait(time.Second)
		if agent.Snapshot().ProofAt == 0 {
			t.Fatal("no proof two seconds after two respond again")
		}
		// A quorum doesn't respond: the proof doesn't advance, and the plan stays.
		group.change(func() { group.behavior["1:3"] = "hangs" })
		wait(2 * time.Second)
		proofAt, requests := agent.Snapshot().ProofAt, group.requestCount("1:2")
		wait(10 * time.Second)
		if agent.Snapshot().ProofAt != proofAt || planVersion(agent) != 1 {
			t.Fatalf("one of three moved the proof from %v to %v", proofAt, agent.Snapshot().ProofAt)
		}
		if requests = group.requestCount("1:2") - requests; requests < 20 || requests > 40 {
			t.Errorf("the one that responds got %d requests in ten seconds", requests)
		}
		// Once a quorum responds again, there is a proof without waiting for a long poll.
		group.change(func() { group.behavior["1:3"] = "" })
		wait(agent.process.Settings.Bounds.Config(responseGraceRatio+maxRetryDelayRatio) + time.Millisecond) // the last one that hangs
		if agent.Snapshot().ProofAt <= proofAt {
			t.Errorf("no proof yet: %v old", agent.process.Clock.Now()-agent.Snapshot().ProofAt)
		}
	})
}

// A member is replaced by one at another address; then all that were seeds are removed.
func TestMembersAreFollowedAsTheyChange(t *testing.T) {
	group := newFakeGroup(threeMembers...)
	runAgent(t, group, func(t *testing.T, agent *Agent) {
		wait(3 * time.Second)
		group.change(func() { group.members, group.index = append(slices.Clone(threeMembers), "1:4/d"), 2 })
		wait(3 * time.Second)
		group.change(func() {
			group.members, group.index, group.behavior["1:1"] = []string{threeMembers[1], threeMembers[2], "1:4/d"}, 3, "hangs"
		})
		wait(3 * time.Second)
		n := group.requestCount("1:1")
		group.change(func() { group.version = 9 })
		wait(3 * time.Second)
		if group.requestCount("1:1") != n || group.waitingCount("1:1") != 0 || group.waitingCount("1:4") != 1 {
			t.Errorf("requests to the removed one: %d then %d; held by the new one: %d", n, group.requestCount("1:1"), group.waitingCount("1:4"))
		}
		if age := agent.process.Clock.Now() - agent.Snapshot().ProofAt; planVersion(agent) != 9 || age > agent.process.Settings.Bounds.Config(1) {
			t.Errorf("plan %d, proof %v old", planVersion(agent), age)
		}
		// All members are replaced while none of them responds: the seeds name the new ones.
		group.change(func() {
			group.members, group.index = []string{"2:1/x", "2:2/y", "9:9/z"}, 9
			group.behavior["1:2"], group.behavior["1:3"], group.behavior["1:4"] = "hangs", "hangs", "hangs"
		})
		wait(10 * time.Second)
		if age := agent.process.Clock.Now() - agent.Snapshot().ProofAt; age > agent.process.Settings.Bounds.Config(1) {
			t.Errorf("the new members aren't found: proof %v old", age)
		}
	})
}

// A member that is behind, and one that knows nothing, get no more requests than the retry delay allows.
func TestUselessResponsesAreRetriedWithDelay(t *testing.T) {
	group := newFakeGroup(threeMembers...)
	group.behavior["1:1"], group.behavior["1:2"], group.behavior["9:9"] = "behind", "empty", "empty"
	runAgent(t, group, func(t *testing.T, a *Agent) {
		wait(10 * time.Second)
		if n := group.requestCount("1:2"); n > 40 {
			t.Errorf("%d requests in ten seconds", n)
		}
		if had := group.requestCount("1:1"); had > 12 {
			t.Errorf("the one that is behind got %d requests", had)
		}
		if a.Snapshot().Plan == nil || a.Snapshot().Plan.Version != 1 {
			t.Errorf("plan %v", a.Snapshot().Plan)
		}
	})
}

// All seeds that a process started with are down; the settings then name others, and it finds the members.
func TestSeedsChangeWhileItRuns(t *testing.T) {
	group := newFakeGroup("2:1/x", "2:2/y", "2:3/z")
	group.behavior["1:1"], group.behavior["1:2"], group.behavior["9:9"] = "hangs", "errs", "hangs"
	runAgent(t, group, func(t *testing.T, a *Agent) {
		wait(5 * time.Second)
		if a.Snapshot().Plan != nil {
			t.Fatal("a plan from nowhere")
		}
		changed := a.process.Settings
		changed.Seeds = []string{"2:3", "8:8", "8:9"}
		a.process.ApplySettings(changed)
		wait(2 * time.Second)
		if planVersion(a) != 1 || a.Snapshot().ProofAt == 0 {
			t.Fatalf("plan %d, proof at %v", planVersion(a), a.Snapshot().ProofAt)
		}
	})
}

// A process that reaches no other starts, serves its snapshot, and stops.
func TestStartWithoutReachableMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		environment := daemon.Environment{Clock: clock.Synctest(), WallClock: time.Now, Seed: func() uint64 { return 1 },
			Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
				clock.Sleep(ctx, time.Second)
				return nil, errs.New(errs.OutcomeUnknown, "nobody is there")
			}}
		process := daemon.NewIn(environment, "agent", settings.Process{Name: "edge-1", Listen: "1:9", Bounds: settings.DefaultBounds(),
			Seeds: []string{"1:1", "1:2", "9:9"}, Options: []string{"log=off"}})
		a, err := Start(process, &versionCodec{}, clustermembership.RoleNodeAgent)
		if err != nil {
			t.Fatal(err)
		}
		wait(10 * time.Second)
		if snapshot := a.Snapshot(); snapshot.Plan != nil || snapshot.ProofAt != 0 || snapshot.EdgeCount != assumedEdges || len(snapshot.Nodes) != 1 || a.Membership().Nodes[0].Name != "runner/edge-1" {
			t.Fatalf("%+v", snapshot)
		}
		if a.Handler() == nil {
			t.Fatal("no handler of the cluster membership's calls")
		}
		process.Stop(time.Second)
		wait(10 * time.Second)
	})
}
