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

// fakeGroup is a group of fake control nodes that share one state; each may fail in its own way.
type fakeGroup struct {
	wire.ControlNode
	mu              sync.Mutex
	members         []string
	index           uint64
	version         uint64
	changed         chan struct{}
	requests        map[string]int
	waitingRequests map[string]int    // by address of the node: number of long polls that have not been answered yet
	behavior        map[string]string // by address of the node: "" (responds), hangs, errs, empty (is in no group), behind (sends no plan)
}

func newFakeGroup(members ...string) *fakeGroup {
	return &fakeGroup{members: members, index: 1, version: 1, requests: map[string]int{}, waitingRequests: map[string]int{}, behavior: map[string]string{}}
}

// change applies f to the state of the group and answers the pending long polls.
func (g *fakeGroup) change(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
	close(g.changed)
	g.changed = make(chan struct{})
}

// requestCount returns how many requests the node at addr has received.
func (g *fakeGroup) requestCount(addr string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.requests[addr]
}

// waitingCount returns how many long polls the node at addr has received but not answered yet.
func (g *fakeGroup) waitingCount(addr string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waitingRequests[addr]
}

// fakeControlNode is the client of one node of a fakeGroup.
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
		return nil, errs.New(errs.OutcomeUnknown, "injected failure of the control node")
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

// runAgent runs a test in a synctest bubble with an agent whose seeds are 1:1, 1:2 and 9:9.
func runAgent(t *testing.T, group *fakeGroup, test func(t *testing.T, a *Agent)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		group.changed = make(chan struct{}) // created here because a channel that is used in a synctest bubble must be created inside it
		environment := daemon.Environment{Clock: clock.Synctest(), WallClock: time.Now, Seed: func() uint64 { return 1 }}
		process := daemon.NewIn(environment, "agent", settings.Process{Name: "edge-1", Bounds: settings.DefaultBounds(),
			Seeds: []string{"1:1", "1:2", "9:9"}, Options: []string{"log=off"}})
		a := newAgent(process, &versionCodec{}, func(addr string) wire.ControlNode { return fakeControlNode{group, addr} })
		if a.Snapshot() == nil || a.Snapshot().Plan != nil {
			t.Fatalf("snapshot before any response of a control node: got %+v, want one without a plan", a.Snapshot())
		}
		a.actor.Ask(a.updateFollowed)
		process.Every(process.Settings.Bounds.Config(longPollRatio), func() { a.actor.Ask(a.updateFollowed) })
		test(t, a)
		process.Stop(time.Second)
		synctest.Wait()
	})
}

// wait advances the fake time of the synctest bubble by d and lets all goroutines block again.
func wait(d time.Duration) {
	timer := time.NewTimer(d)
	<-timer.C
	synctest.Wait()
}

// planVersion returns the version of the agent's current plan; 0 if it has none.
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
			t.Fatalf("routing plan version after the start with one of three members unresponsive: got %d, want 1", planVersion(agent))
		}
		wait(10*time.Second + 100*time.Millisecond)
		changed, before := agent.Changed(), agent.Snapshot()
		group.change(func() { group.version = 2 })
		synctest.Wait()
		select {
		case <-changed:
		default:
			t.Fatal("channel returned by Changed was not closed when a plan update arrived")
		}
		if planVersion(agent) != 2 || before.Plan.Version != 1 {
			t.Fatalf("routing plan versions after an update: got %d in the new snapshot and %d in the old one, want 2 and 1", planVersion(agent), before.Plan.Version)
		}
		if age := agent.process.Clock.Now() - agent.Snapshot().ProofAt; agent.Snapshot().ProofAt == 0 || age > agent.process.Settings.Bounds.Config(1.1) {
			t.Fatalf("freshness proof is %v old with one unresponsive member, want at most %v", age, agent.process.Settings.Bounds.Config(1.1))
		}
	})
}

// While the plan doesn't change, each member of the consensus group gets about one request per long-poll wait, seeds
// that aren't members get none, and the freshness proof is never older than two long-poll waits.
func TestQuietSiteIsPolledOncePerLongPoll(t *testing.T) {
	group := newFakeGroup(threeMembers...)
	group.behavior["9:9"] = "empty"
	runAgent(t, group, func(t *testing.T, a *Agent) {
		wait(5 * time.Second)
		memberRequests, nonMemberRequests := group.requestCount("1:3"), group.requestCount("9:9")
		for range 100 {
			wait(100 * time.Millisecond)
			if age := a.process.Clock.Now() - a.Snapshot().ProofAt; age > a.process.Settings.Bounds.Config(2*longPollRatio) {
				t.Fatalf("freshness proof is %v old, want at most two long-poll waits (%v)", age, a.process.Settings.Bounds.Config(2*longPollRatio))
			}
		}
		if n := group.requestCount("1:3") - memberRequests; n < 9 || n > 11 {
			t.Errorf("requests to member 1:3 in ten seconds: got %d, want 9 to 11", n)
		}
		if n := group.requestCount("9:9") - nonMemberRequests; n != 0 {
			t.Errorf("requests to seed 9:9, which is not a member: got %d, want none", n)
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
				t.Errorf("requests to failing node %s in ten seconds: got %d, want 10 to 40", addr, requests)
			}
		}
		group.change(func() { group.behavior["1:2"], group.behavior["1:3"] = "", "" })
		wait(time.Second)
		if planVersion(agent) != 1 {
			t.Fatalf("routing plan version one second after two of three members recovered: got %d, want 1", planVersion(agent))
		}
		wait(time.Second)
		if agent.Snapshot().ProofAt == 0 {
			t.Fatal("no freshness proof two seconds after two of three members recovered")
		}
		// With a single responsive member there is no quorum: the freshness proof doesn't advance, and the plan stays.
		group.change(func() { group.behavior["1:3"] = "hangs" })
		wait(2 * time.Second)
		proofAt, requests := agent.Snapshot().ProofAt, group.requestCount("1:2")
		wait(10 * time.Second)
		if agent.Snapshot().ProofAt != proofAt || planVersion(agent) != 1 {
			t.Fatalf("with one of three members responsive: got plan version %d with freshness proof at %v, want version 1 with freshness proof at %v", planVersion(agent), agent.Snapshot().ProofAt, proofAt)
		}
		if requests = group.requestCount("1:2") - requests; requests < 20 || requests > 40 {
			t.Errorf("requests to the only responsive member in ten seconds: got %d, want 20 to 40", requests)
		}
		// Once a quorum is responsive again, a freshness proof is obtained without waiting for a long poll to end.
		group.change(func() { group.behavior["1:3"] = "" })
		wait(agent.process.Settings.Bounds.Config(responseGraceRatio+maxRetryDelayRatio) + time.Millisecond) // waits until the pending request to 1:3 has timed out and was retried
		if agent.Snapshot().ProofAt <= proofAt {
			t.Errorf("freshness proof did not advance after a quorum recovered: it is %v old", agent.process.Clock.Now()-agent.Snapshot().ProofAt)
		}
	})
}

// The agent keeps polling the current members of the consensus group when one of them is replaced by a node at another
// address, and finds the new members through the seeds when all members are replaced at once.
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
			t.Errorf("requests to removed member 1:1: got %d (%d of them unanswered), want %d (none unanswered); unanswered requests to added member 1:4: got %d, want 1",
				group.requestCount("1:1"), group.waitingCount("1:1"), n, group.waitingCount("1:4"))
		}
		if age := agent.process.Clock.Now() - agent.Snapshot().ProofAt; planVersion(agent) != 9 || age > agent.process.Settings.Bounds.Config(1) {
			t.Errorf("after a member was replaced: got plan version %d with a freshness proof %v old, want version 9 with one at most %v old", planVersion(agent), age, agent.process.Settings.Bounds.Config(1))
		}
		// All members are replaced while none of the old ones responds: seed 9:9 is one of the new members.
		group.change(func() {
			group.members, group.index = []string{"2:1/x", "2:2/y", "9:9/z"}, 9
			group.behavior["1:2"], group.behavior["1:3"], group.behavior["1:4"] = "hangs", "hangs", "hangs"
		})
		wait(10 * time.Second)
		if age := agent.process.Clock.Now() - agent.Snapshot().ProofAt; age > agent.process.Settings.Bounds.Config(1) {
			t.Errorf("after all members were replaced: freshness proof is %v old, want at most %v", age, agent.process.Settings.Bounds.Config(1))
		}
	})
}

// A member whose log lags behind, and a node that belongs to no group, get no more requests than the retry
// delay allows.
func TestUselessResponsesAreRetriedWithDelay(t *testing.T) {
	group := newFakeGroup(threeMembers...)
	group.behavior["1:1"], group.behavior["1:2"], group.behavior["9:9"] = "behind", "empty", "empty"
	runAgent(t, group, func(t *testing.T, a *Agent) {
		wait(10 * time.Second)
		if n := group.requestCount("1:2"); n > 40 {
			t.Errorf("requests in ten seconds to a node that sends empty responses: got %d, want at most 40", n)
		}
		if n := group.requestCount("1:1"); n > 12 {
			t.Errorf("requests in ten seconds to a member without the newest plan: got %d, want at most 12", n)
		}
		if a.Snapshot().Plan == nil || a.Snapshot().Plan.Version != 1 {
			t.Errorf("routing plan while one member lags behind and one sends empty responses: got %v, want version 1 from the third member", a.Snapshot().Plan)
		}
	})
}

// None of the seeds that a process started with responds. After its settings list other seeds, the process finds the
// members of the consensus group through them.
func TestSeedsChangeWhileItRuns(t *testing.T) {
	group := newFakeGroup("2:1/x", "2:2/y", "2:3/z")
	group.behavior["1:1"], group.behavior["1:2"], group.behavior["9:9"] = "hangs", "errs", "hangs"
	runAgent(t, group, func(t *testing.T, a *Agent) {
		wait(5 * time.Second)
		if a.Snapshot().Plan != nil {
			t.Fatalf("routing plan while none of the seeds responds: got version %d, want none", a.Snapshot().Plan.Version)
		}
		changed := a.process.Settings
		changed.Seeds = []string{"2:3", "8:8", "8:9"}
		a.process.ApplySettings(changed)
		wait(2 * time.Second)
		if planVersion(a) != 1 || a.Snapshot().ProofAt == 0 {
			t.Fatalf("after the settings listed a reachable seed: got plan version %d with freshness proof at %v, want version 1 with a freshness proof", planVersion(a), a.Snapshot().ProofAt)
		}
	})
}

// A process that can't connect to any other node starts, provides an empty snapshot, and stops.
func TestStartWithoutReachableMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		environment := daemon.Environment{Clock: clock.Synctest(), WallClock: time.Now, Seed: func() uint64 { return 1 },
			Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
				clock.Sleep(ctx, time.Second)
				return nil, errs.New(errs.OutcomeUnknown, "connection refused by the test")
			}}
		process := daemon.NewIn(environment, "agent", settings.Process{Name: "edge-1", Listen: "1:9", Bounds: settings.DefaultBounds(),
			Seeds: []string{"1:1", "1:2", "9:9"}, Options: []string{"log=off"}})
		a, err := Start(process, &versionCodec{}, clustermembership.RoleNodeAgent)
		if err != nil {
			t.Fatal(err)
		}
		wait(10 * time.Second)
		if snapshot := a.Snapshot(); snapshot.Plan != nil || snapshot.ProofAt != 0 || snapshot.EdgeCount != assumedEdges || len(snapshot.Nodes) != 1 || a.Membership().Nodes[0].Name != "runner/edge-1" {
			t.Fatalf("snapshot without reachable nodes: got %+v, want no plan, no freshness proof, %d assumed edge machines and runner/edge-1 as the only node", snapshot, assumedEdges)
		}
		if a.Handler() == nil {
			t.Fatal("Handler returned nil, want the HTTP handler of the cluster membership protocol")
		}
		process.Stop(time.Second)
		wait(10 * time.Second)
	})
}
