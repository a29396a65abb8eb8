package capacity

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// bounds are those of a fleet: what is in force everywhere within 13 s, all else as it is today.
func bounds() settings.Bounds {
	b := settings.DefaultBounds()
	b.ConfigMs, b.LeaveMs = 13000, 12000 // the roster's leave bound is ten beats of 1,200 ms
	return b
}

// ring is a fleet of hollow nodes: the real views, and letters between them in the real form.
type ring struct {
	all   map[string]*clustermembership.Core
	names []string
	now   time.Duration
	beat  time.Duration
	bytes float64 // payload
	calls float64
}

func hollowNode(i int) *wire.Node {
	return &wire.Node{Name: fmt.Sprintf("runner/edge-%04d", i), Incarnation: uint64(1e15) + uint64(i), Role: "runner",
		Zone: fmt.Sprintf("district-%d", i%5), Addr: fmt.Sprintf("10.%d.%d.%d:7360", i%5, i/200, i%200)}
}

func newRing(n int) *ring {
	b := bounds()
	r := &ring{all: map[string]*clustermembership.Core{}, now: time.Hour, beat: b.Leave(0.1)}
	var every []*wire.Node
	for i := range n {
		every = append(every, hollowNode(i))
	}
	for i, x := range every {
		r.all[x.Addr] = clustermembership.New(b, hollowNode(i), []string{every[0].Addr, every[n/3].Addr, every[2*n/3].Addr})
		r.names = append(r.names, x.Addr)
	}
	for i, a := range r.names {
		r.all[a].HandleHeartbeat(&wire.Heartbeat{Format: 1, From: every[(i+1)%n], Updates: every, FullView: true}, r.now)
	}
	return r
}

// turn is one period of all nodes.
func (r *ring) turn(wired bool) {
	r.now += r.beat
	for _, a := range r.names {
		c := r.all[a]
		if c == nil {
			continue
		}
		for _, x := range c.Tick(r.now) {
			r.calls++
			to := r.all[x.Address]
			if to == nil {
				continue // its machine is gone
			}
			if response := r.carry(to.HandleHeartbeat(r.carry(x.Heartbeat, wired), r.now), wired); response != nil {
				c.HandleResponse(x.Address, response, r.now)
			}
		}
	}
}

// carry writes a letter and reads it, as the two ends of a connection do.
func (r *ring) carry(b *wire.Heartbeat, wired bool) *wire.Heartbeat {
	if !wired {
		return b
	}
	raw, err := proto.Marshal(b)
	if err != nil {
		return nil
	}
	r.bytes += float64(len(raw))
	to := &wire.Heartbeat{}
	if proto.Unmarshal(raw, to) != nil {
		return nil
	}
	return to
}

// gone tells whether all that are left know that a machine went.
func (r *ring) gone(name string) bool {
	for _, c := range r.all {
		for _, n := range c.Nodes() {
			if n.Name == name && n.State != clustermembership.Dead {
				return false
			}
		}
	}
	return true
}

const (
	settle = 30 // periods until all news of the start has been told
	calm   = 8  // periods that are measured
)

// nodes measures the roster: calm beats, the news of one machine that goes, the memory of a view.
func nodes(b *bench) error {
	return b.vary("nodes", "nodes", b.sizes(43, 85, 170, 340), []kind{
		{"beat-cpu", "µs", "processor time of a hollow node's period: its own beats made, written, read, heard and answered"},
		{"beat-bytes", "B", "payload of a node's calls and their answers in a calm period"},
		{"beat-calls", "calls", "calls that a node makes in a calm period"},
		{"news-bytes", "B", "payload beyond calm beats, of a node's calls and answers, until one machine's silent end is known to all and told no more"},
		{"news-periods", "periods", "until all nodes know that a machine went silent"},
		{"view-memory", "B", "heap of one node's view"},
	}, func(n float64) ([]float64, error) {
		was := heap()
		r := newRing(int(n))
		for range settle {
			r.turn(false)
		}
		memory := (heap() - was) / n
		r.bytes, r.calls = 0, 0
		at := cpu()
		for range calm {
			r.turn(true)
		}
		spent := (cpu() - at) / n / calm
		calls, calmBytes := r.calls/n/calm, r.bytes/n/calm
		lost := r.names[len(r.names)/2]
		name := r.all[lost].Nodes()[0].Name
		for _, x := range r.all[lost].Nodes() {
			if x.Addr == lost {
				name = x.Name
			}
		}
		delete(r.all, lost)
		r.bytes = 0
		known := 0
		for i := 1; i <= 2*settle; i++ {
			r.turn(true)
			if known == 0 && r.gone(name) {
				known = i
			}
		}
		return []float64{spent, calmBytes, calls, max(1, r.bytes/n-calmBytes*2*settle), float64(known), memory}, nil
	})
}
