package capacity

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// bounds returns the bounds of a fleet of the target size: a configuration is in force everywhere within 13 s, the other
// bounds are today's.
func bounds() settings.Bounds {
	b := settings.DefaultBounds()
	b.ConfigMs, b.LeaveMs = 13000, 12000 // the leave bound of the membership is ten heartbeats of 1,200 ms
	return b
}

// hollowFleet is a fleet of hollow nodes: real membership cores that exchange encoded heartbeats without a network.
type hollowFleet struct {
	cores             map[string]*clustermembership.Core
	names             []string
	now               time.Duration
	heartbeatInterval time.Duration
	bytes             float64 // payload
	calls             float64
}

func hollowNode(i int) *wire.Node {
	return &wire.Node{Name: fmt.Sprintf("runner/edge-%04d", i), Incarnation: uint64(1e15) + uint64(i), Role: "runner",
		Zone: zoneName(i), Addr: fmt.Sprintf("10.%d.%d.%d:7360", i%5, i/200, i%200)}
}

func newHollowFleet(size int) *hollowFleet {
	limits := bounds()
	fleet := &hollowFleet{cores: map[string]*clustermembership.Core{}, now: time.Hour, heartbeatInterval: limits.Leave(0.1)}
	var every []*wire.Node
	for i := range size {
		every = append(every, hollowNode(i))
	}
	for i, node := range every {
		fleet.cores[node.Addr] = clustermembership.New(limits, hollowNode(i), []string{every[0].Addr, every[size/3].Addr, every[2*size/3].Addr})
		fleet.names = append(fleet.names, node.Addr)
	}
	for i, a := range fleet.names {
		fleet.cores[a].HandleHeartbeat(&wire.Heartbeat{Format: 1, From: every[(i+1)%size], Updates: every, FullView: true}, fleet.now)
	}
	return fleet
}

// runPeriod runs one heartbeat interval of all nodes. If wired, heartbeats are encoded and counted.
func (f *hollowFleet) runPeriod(wired bool) {
	f.now += f.heartbeatInterval
	for _, addr := range f.names {
		core := f.cores[addr]
		if core == nil {
			continue
		}
		for _, message := range core.Tick(f.now) {
			f.calls++
			to := f.cores[message.Address]
			if to == nil {
				continue // the node has failed
			}
			if response := f.encodeAndDecode(to.HandleHeartbeat(f.encodeAndDecode(message.Heartbeat, wired), f.now), wired); response != nil {
				core.HandleResponse(message.Address, response, f.now)
			}
		}
	}
}

// encodeAndDecode encodes and decodes a heartbeat, as the two ends of a connection do, and counts its bytes.
func (f *hollowFleet) encodeAndDecode(b *wire.Heartbeat, wired bool) *wire.Heartbeat {
	if !wired {
		return b
	}
	raw, err := proto.Marshal(b)
	if err != nil {
		return nil
	}
	f.bytes += float64(len(raw))
	to := &wire.Heartbeat{}
	if proto.Unmarshal(raw, to) != nil {
		return nil
	}
	return to
}

// allKnowDead reports whether all remaining nodes know that a node is dead.
func (f *hollowFleet) allKnowDead(name string) bool {
	for _, core := range f.cores {
		for _, node := range core.Nodes() {
			if node.Name == name && node.State != clustermembership.Dead {
				return false
			}
		}
	}
	return true
}

const (
	settlingPeriods = 30 // periods until all updates of the start have spread
	measuredPeriods = 8  // periods that are measured
)

// measureMembership measures the membership: heartbeats without changes, the spread of the failure of one node, and the
// memory of a view.
func measureMembership(b *bench) error {
	return b.vary("nodes", "nodes", b.sizes(43, 85, 170, 340), []kind{
		{"beat-cpu", "µs", "processor time of a hollow node's period: its own beats made, written, read, heard and answered"},
		{"beat-bytes", "B", "payload of a node's calls and their answers in a calm period"},
		{"beat-calls", "calls", "calls that a node makes in a calm period"},
		{"news-bytes", "B", "payload beyond calm beats, of a node's calls and answers, until one machine's silent end is known to all and told no more"},
		{"news-periods", "periods", "until all nodes know that a machine went silent"},
		{"view-memory", "B", "heap of one node's view"},
	}, func(size float64) ([]float64, error) {
		heapBefore := heap()
		hollow := newHollowFleet(int(size))
		for range settlingPeriods {
			hollow.runPeriod(false)
		}
		memory := (heap() - heapBefore) / size
		hollow.bytes, hollow.calls = 0, 0
		cpuBefore := cpu()
		for range measuredPeriods {
			hollow.runPeriod(true)
		}
		spent := (cpu() - cpuBefore) / size / measuredPeriods
		calls, calmBytes := hollow.calls/size/measuredPeriods, hollow.bytes/size/measuredPeriods
		lost := hollow.names[len(hollow.names)/2]
		name := hollow.cores[lost].Nodes()[0].Name
		for _, node := range hollow.cores[lost].Nodes() {
			if node.Addr == lost {
				name = node.Name
			}
		}
		delete(hollow.cores, lost)
		hollow.bytes = 0
		known := 0
		for i := 1; i <= 2*settlingPeriods; i++ {
			hollow.runPeriod(true)
			if known == 0 && hollow.allKnowDead(name) {
				known = i
			}
		}
		return []float64{spent, calmBytes, calls, max(1, hollow.bytes/size-calmBytes*2*settlingPeriods), float64(known), memory}, nil
	})
}
