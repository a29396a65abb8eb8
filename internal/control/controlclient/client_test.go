package controlclient

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// scriptedMember is a core machine that answers a change by a script, one word a question; the
// last word goes on.
type scriptedMember struct {
	wire.ControlNode
	script []string
	asked  int
}

func (m *scriptedMember) Change(context.Context, *wire.ChangeRequest) (*wire.ChangeResponse, error) {
	w := m.script[min(m.asked, len(m.script)-1)]
	m.asked++
	switch w {
	case "lost": // it happened, or not; the answer doesn't come
		panic(http.ErrAbortHandler)
	case "core-2", "core-3", "core-4":
		return &wire.ChangeResponse{Outcome: wire.OutcomeNotLeader, Leader: w}, nil
	}
	return &wire.ChangeResponse{Outcome: w, Version: 7}, nil
}

func newTestClient(t *testing.T, ms map[string]*scriptedMember) *Client {
	t.Helper()
	var v clustermembership.View
	for n, m := range ms {
		s := httptest.NewServer(wire.NewControlNodeServer(m))
		t.Cleanup(s.Close)
		v.Nodes = append(v.Nodes, &wire.Node{Name: "archive/" + n, Addr: s.Listener.Addr().String()})
	}
	b := settings.DefaultBounds()
	b.HealMs = 1200 // all waits are ratios of it
	return New([]string{"core-1", "core-2", "core-3", "core-4"}, func() clustermembership.View { return v }, daemon.NewClients(daemon.New("test", settings.Process{Bounds: b})), b)
}

func newPut(token string, guarded bool) *wire.ChangeRequest {
	return &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: &wire.Put{Key: "k", Token: token, AnyVersion: !guarded}}}}
}

// How a change ends, by what the members answer. A change whose answer was lost is asked
// again only where that can't make it happen twice, and the caller hears what is known.
func TestChangeIsRetriedOnlyWhenSafe(t *testing.T) {
	for _, c := range []struct {
		name   string
		script []string // of core-3, which core-2 and core-4 name as the leader
		ask    *wire.ChangeRequest
		kind   *errs.Kind // nil: done
		asked  int        // how often core-3 was asked; 0: any number
	}{
		{"the leader does it", []string{"done"}, newPut("t", false), nil, 1},
		{"under a token a lost answer is asked for again", []string{"lost", "done"}, newPut("t", false), nil, 2},
		{"without token or epoch it isn't", []string{"lost", "done"}, newPut("", false), errs.MayHaveExecuted, 1},
		{"onto an epoch it is, and a conflict then proves nothing", []string{"lost", "epoch-conflict"}, newPut("", true), errs.MayHaveExecuted, 2},
		{"a conflict with all answers heard is one", []string{"epoch-conflict"}, newPut("", true), errs.Conflict, 1},
		{"lost for good", []string{"lost"}, newPut("t", false), errs.MayHaveExecuted, 0},
		{"what the leader finds wrong", []string{"bad-input"}, newPut("t", false), errs.BadInput, 1},
		{"too busy, then done", []string{"overloaded", "overloaded", "done"}, newPut("t", false), nil, 3},
		{"nobody leads it", []string{"core-4"}, newPut("t", false), errs.OutcomeUnknown, 0},
	} {
		leader := &scriptedMember{script: c.script}
		x := newTestClient(t, map[string]*scriptedMember{"core-2": {script: []string{"core-3"}}, "core-3": leader, "core-4": {script: []string{"core-3"}}})
		r, err := x.Change(context.Background(), c.ask)
		if c.kind == nil && (err != nil || r.Version != 7) || c.kind != nil && (err == nil || errs.KindOf(err) != c.kind) {
			t.Errorf("%s: %v, %v", c.name, r, err)
		}
		if c.asked > 0 && leader.asked != c.asked {
			t.Errorf("%s: asked %d times, want %d", c.name, leader.asked, c.asked)
		}
	}
	if _, err := newTestClient(t, nil).Change(context.Background(), newPut("t", false)); errs.KindOf(err) != errs.OutcomeUnknown {
		t.Errorf("no member is known: %v", err)
	}
}

// The holder's lease ends before anyone may be granted the duty, and a conflict ends it at once.
func TestLeaseExpiresAtHolderBeforeNextGrant(t *testing.T) {
	clk := &clock.Manual{Time: time.Minute}
	l := NewLease(nil, clk, "d", 1, "a", 8*time.Second)
	if _, ok := l.FencingToken(); ok {
		t.Fatal("held before it was asked for")
	}
	asked := clk.Time
	clk.Time += time.Second // the answer takes a second: the lease is counted from the question
	l.HandleResponse(asked, &wire.ChangeResponse{Outcome: wire.OutcomeDone, Fence: 3})
	for at, want := range map[time.Duration]bool{0: true, 5 * time.Second: true, 6 * time.Second: false, time.Hour: false} {
		clk.Time = asked + time.Second + at
		if f, ok := l.FencingToken(); ok != want || f != 3 {
			t.Errorf("%v after the answer: held %v, fence %d", at, ok, f)
		}
	}
	clk.Time = asked + 2*time.Second
	l.HandleResponse(clk.Time, &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Fence: 4, Leader: "b"})
	if _, ok := l.FencingToken(); ok || l.GrantRequest().IfFence != 4 {
		t.Error("another holds it, yet it is held here")
	}
}

// Each part is kept by three of the four, and each of the four is left out in turn.
func TestMembersSpreadShardsOverControlNodes(t *testing.T) {
	out := map[string]int{}
	for p := range uint32(ShardCount) {
		ms := Members(p, []string{"d", "b", "c", "a"})
		if len(ms) != 3 {
			t.Fatalf("part %d: %v", p, ms)
		}
		for _, n := range []string{"a", "b", "c", "d"} {
			if ms[0] != n && ms[1] != n && ms[2] != n {
				out[n]++
			}
		}
	}
	if len(out) != 4 || out["a"] != 2 {
		t.Errorf("left out: %v", out)
	}
	if p := ShardOf("lector-main"); p == 0 || p >= ShardCount || p != ShardOf("lector-main") {
		t.Errorf("a service's part: %d", p)
	}
}
