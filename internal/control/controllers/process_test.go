package controllers

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// indexNode is a simulated index node. A node without entries does not respond.
type indexNode struct {
	wire.PromptIndex
	hot []*wire.HotPrefix
}

func (n indexNode) Hottest(ctx context.Context, request *wire.HottestRequest) (*wire.HottestResponse, error) {
	if n.hot == nil {
		<-ctx.Done()
		return nil, errors.New("index node: no response")
	}
	if request.Service != "reading" {
		return nil, errors.New("index node: request for an unexpected service")
	}
	return &wire.HottestResponse{Prefixes: n.hot}, nil
}

// When two index nodes hold an entry, the higher hotness is used. A node that does not respond delays the query
// by at most the timeout. Without index nodes, the result is empty.
func TestQueryIndexNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		process := daemon.NewIn(daemon.Environment{Clock: clock.Synctest()}, "controllers", settings.Process{Name: "core-1", Bounds: bounds(), Options: []string{"log=off"}})
		nodes := map[string]indexNode{
			"a": {hot: []*wire.HotPrefix{{Key: []byte("x"), Hotness: 3}, {Key: []byte("y"), Hotness: 1}}},
			"b": {hot: []*wire.HotPrefix{{Key: []byte("x"), Hotness: 5}, {Key: []byte("z"), Hotness: 2}}},
			"c": {},
		}
		var view clustermembership.View
		for _, name := range []string{"a", "b", "c"} {
			view.Nodes = append(view.Nodes, &wire.Node{Name: clustermembership.RolePromptIndex + "/" + name, Role: clustermembership.RolePromptIndex, Addr: name, Zone: name})
		}
		query := func(view clustermembership.View) map[string]float64 {
			hotness := map[string]float64{}
			for _, entry := range queryIndexNodes(process, func() clustermembership.View { return view }, func(a string) wire.PromptIndex { return nodes[a] })(t.Context(), "reading") {
				hotness[string(entry.Key)] = entry.Hotness
			}
			return hotness
		}
		start := process.Clock.Now()
		for _, pair := range [][]int{{0, 1}, {1, 2}, {0, 2}} {
			got := query(clustermembership.View{Nodes: []*wire.Node{view.Nodes[pair[0]], view.Nodes[pair[1]]}})
			want := map[string]float64{}
			for _, i := range pair {
				for _, entry := range nodes[view.Nodes[i].Addr].hot {
					want[string(entry.Key)] = max(want[string(entry.Key)], entry.Hotness)
				}
			}
			for k, x := range want {
				if got[k] != x || len(got) != len(want) {
					t.Errorf("hotness by key from index nodes %v: %v, want %v", pair, got, want)
				}
			}
		}
		if elapsed := process.Clock.Now() - start; elapsed > 2*bounds().Heal(hotEntriesTimeoutRatio) {
			t.Errorf("three queries, two of them to a node that does not respond, took %v, want at most two timeouts", elapsed)
		}
		if got := query(clustermembership.View{}); len(got) != 0 {
			t.Errorf("hotness by key without index nodes: %v, want none", got)
		}
	})
}

func TestStartProcessNeedsASite(t *testing.T) {
	process := daemon.New("controllers", settings.Process{Name: "core-1", Bounds: bounds(), Options: []string{"log=off"}})
	if err := StartProcess(process, nil, nil); errs.KindOf(err) != errs.BadInput {
		t.Errorf("StartProcess without site settings: error %v, want kind errs.BadInput", err)
	}
}
