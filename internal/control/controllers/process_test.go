package controllers

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// indexNode is a simulated node of the prompt index.
type indexNode struct {
	wire.PromptIndex
	hot []*wire.HotPrefix // prefixes in the node's response; if nil, the node does not respond
}

func (n indexNode) Hottest(ctx context.Context, request *wire.HottestRequest) (*wire.HottestResponse, error) {
	if n.hot == nil {
		<-ctx.Done()
		return nil, errors.New("simulated index node: no response")
	}
	if request.Service != "reading" {
		return nil, fmt.Errorf("simulated index node: request for service %q, want \"reading\"", request.Service)
	}
	return &wire.HottestResponse{Prefixes: n.hot}, nil
}

// When two index nodes hold a prompt prefix, the higher of its two hotness values is used. A node that does not respond
// delays a query by at most the timeout. Without index nodes, a query returns no prefixes.
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
					t.Errorf("query of the prompt index nodes with indexes %v in the list a, b, c: hotness by prefix %v, want %v", pair, got, want)
				}
			}
		}
		if elapsed := process.Clock.Now() - start; elapsed > 2*bounds().Recovery(hotEntriesTimeoutRatio) {
			t.Errorf("three queries of the prompt index, two of them to a node that does not respond, took %v, want at most two timeouts of %v", elapsed, bounds().Recovery(hotEntriesTimeoutRatio))
		}
		if got := query(clustermembership.View{}); len(got) != 0 {
			t.Errorf("query of the prompt index without any node: hotness by prefix %v, want no prefixes", got)
		}
	})
}

func TestStartProcessNeedsASite(t *testing.T) {
	process := daemon.New("controllers", settings.Process{Name: "core-1", Bounds: bounds(), Options: []string{"log=off"}})
	if err := StartProcess(process, nil, nil); errs.KindOf(err) != errs.BadInput {
		t.Errorf("StartProcess with settings that have no site section: error %v, want one of kind errs.BadInput", err)
	}
}
