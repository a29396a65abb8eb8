package clustermembership

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// A site says how often it beats; nobody is judged sooner for that.
func TestSiteHeartbeatStretchesLeaveBound(t *testing.T) {
	p := settings.Process{Bounds: settings.DefaultBounds()}
	if b := siteBounds(p); b != settings.DefaultBounds() {
		t.Errorf("without a site: %+v", b)
	}
	for ms, want := range map[int]time.Duration{100: 300 * time.Millisecond, 1200: 1200 * time.Millisecond} {
		p.Site = &settings.Site{HeartbeatMs: ms}
		if b := siteBounds(p); b.Leave(heartbeatRatio) != want || b.Heal(1) != settings.DefaultBounds().Heal(1) {
			t.Errorf("beats of %d ms: %v", ms, b.Leave(heartbeatRatio))
		}
	}
}

// memberNetwork lets members call each other by address.
type memberNetwork struct {
	mu sync.Mutex
	at map[string]*Member
}

func (d *memberNetwork) put(addr string, m *Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at[addr] = m
}

func (d *memberNetwork) call(addr string) wire.Membership {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m := d.at[addr]; m != nil {
		return m
	}
	return unreachableMember{}
}

type unreachableMember struct{}

func (unreachableMember) Exchange(ctx context.Context, _ *wire.Heartbeat) (*wire.Heartbeat, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Nodes that begin within a part of a beat know each other by its end.
func TestNodesStartedTogetherDiscoverEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, end := context.WithCancel(context.Background())
		defer end()
		const n = 17
		var l []*Member
		d := &memberNetwork{at: map[string]*Member{}}
		p := settings.Process{Bounds: settings.DefaultBounds(), Seeds: []string{"1", "2", "3"}, Site: &settings.Site{HeartbeatMs: 1200}}
		beat := siteBounds(p).Leave(heartbeatRatio)
		for i := range n {
			p.Name, p.Listen = strconv.Itoa(i), strconv.Itoa(i)
			m := Start(ctx, p, RoleNodeAgent, clock.Synctest(), hclog.NewNullLogger(), d.call, nil)
			l = append(l, m)
			d.put(p.Listen, m)
			pass := time.NewTimer(beat / 4 / n)
			<-pass.C
		}
		pass := time.NewTimer(beat * 3 / 4)
		<-pass.C
		for i, m := range l {
			if k := len(m.View().WithRole(RoleNodeAgent)); k != n {
				t.Errorf("%d knows %d nodes after a beat", i, k)
			}
		}
	})
}
