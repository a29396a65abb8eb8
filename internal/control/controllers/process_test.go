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

// indexNode is an index node; without entries a silent one.
type indexNode struct {
	wire.PromptIndex
	hot []*wire.HotPrefix
}

func (n indexNode) Hottest(ctx context.Context, a *wire.HottestRequest) (*wire.HottestResponse, error) {
	if n.hot == nil {
		<-ctx.Done()
		return nil, errors.New("no answer")
	}
	if a.Service != "reading" {
		return nil, errors.New("another service")
	}
	return &wire.HottestResponse{Prefixes: n.hot}, nil
}

// Two index nodes hold each entry, and the higher count is taken; a silent node holds up nobody
// for long; nobody there is no hot entry at all.
func TestHotEntriesOfIndexNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := daemon.NewIn(daemon.Environment{Clock: clock.Synctest()}, "controllers", settings.Process{Name: "core-1", Bounds: bounds(), Options: []string{"log=off"}})
		nodes := map[string]indexNode{
			"a": {hot: []*wire.HotPrefix{{Key: []byte("x"), Hotness: 3}, {Key: []byte("y"), Hotness: 1}}},
			"b": {hot: []*wire.HotPrefix{{Key: []byte("x"), Hotness: 5}, {Key: []byte("z"), Hotness: 2}}},
			"c": {},
		}
		var v clustermembership.View
		for _, n := range []string{"a", "b", "c"} {
			v.Nodes = append(v.Nodes, &wire.Node{Name: clustermembership.RolePromptIndex + "/" + n, Role: clustermembership.RolePromptIndex, Addr: n, Zone: n})
		}
		ask := func(v clustermembership.View) map[string]float64 {
			m := map[string]float64{}
			for _, h := range queryIndexNodes(l, func() clustermembership.View { return v }, func(a string) wire.PromptIndex { return nodes[a] })(t.Context(), "reading") {
				m[string(h.Key)] = h.Hotness
			}
			return m
		}
		from := l.Clock.Now()
		for _, two := range [][]int{{0, 1}, {1, 2}, {0, 2}} {
			got := ask(clustermembership.View{Nodes: []*wire.Node{v.Nodes[two[0]], v.Nodes[two[1]]}})
			want := map[string]float64{}
			for _, i := range two {
				for _, h := range nodes[v.Nodes[i].Addr].hot {
					want[string(h.Key)] = max(want[string(h.Key)], h.Hotness)
				}
			}
			for k, x := range want {
				if got[k] != x || len(got) != len(want) {
					t.Errorf("%v: %v, want %v", two, got, want)
				}
			}
		}
		if d := l.Clock.Now() - from; d > 2*bounds().Heal(hotEntriesTimeoutRatio) {
			t.Errorf("waited %v for silent nodes", d)
		}
		if got := ask(clustermembership.View{}); len(got) != 0 {
			t.Errorf("%v", got)
		}
	})
}

func TestStartProcessNeedsASite(t *testing.T) {
	l := daemon.New("controllers", settings.Process{Name: "core-1", Bounds: bounds(), Options: []string{"log=off"}})
	if err := StartProcess(l, nil, nil); errs.KindOf(err) != errs.BadInput {
		t.Errorf("%v", err)
	}
}
