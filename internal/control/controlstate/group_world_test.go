package controlstate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/control/storage"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
)

// testCluster is a few machines in one test bubble: real nodes, pipes for connections, disks in memory.
type testCluster struct {
	t               *testing.T
	mu              sync.Mutex
	listeners       map[string]*pipeListener
	disks           map[string]*stallingDisk
	processes       map[string]*daemon.Process
	nodes           map[string]*Node
	unreachable     map[string]bool // an address that says nothing
	seeds           []string
	seed            uint64
	network         *simNetwork // nil: pipes that lose what is sent while a machine is dark
	toleratedLosses int         // how many losses the site tolerates; 0: one
}

type pipeListener struct {
	cluster     *testCluster
	addr        string
	connections chan net.Conn
	closed      chan struct{}
	once        sync.Once
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.connections:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	p.once.Do(func() {
		close(p.closed)
		p.cluster.mu.Lock()
		defer p.cluster.mu.Unlock()
		if p.cluster.listeners[p.addr] == p {
			delete(p.cluster.listeners, p.addr)
		}
	})
	return nil
}
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// stallingDisk is a disk in memory whose writes can be held up.
type stallingDisk struct {
	mu      sync.Mutex
	disk    *simDisk
	stalled chan struct{} // nil: it doesn't stall
}

func (d *stallingDisk) Read(n string) ([]byte, bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.disk.Read(n)
}

func (d *stallingDisk) change(f func() error) error {
	d.mu.Lock()
	h := d.stalled
	d.mu.Unlock()
	if h != nil {
		<-h
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return f()
}

func (d *stallingDisk) update(f func(*stallingDisk)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d)
}
func (d *stallingDisk) Write(n string, b []byte) error {
	return d.change(func() error { return d.disk.Write(n, b) })
}
func (d *stallingDisk) Append(n string, b []byte) error {
	return d.change(func() error { return d.disk.Append(n, b) })
}
func (d *stallingDisk) Truncate(n string, s int) error {
	return d.change(func() error { return d.disk.Truncate(n, s) })
}

// newTestCluster lays out machines; the first three are the seeds.
func newTestCluster(t *testing.T) *testCluster {
	g := &testCluster{t: t, listeners: map[string]*pipeListener{}, disks: map[string]*stallingDisk{}, processes: map[string]*daemon.Process{},
		nodes: map[string]*Node{}, unreachable: map[string]bool{}}
	for i := range 3 {
		g.seeds = append(g.seeds, g.addr(i+1))
	}
	return g
}

func (g *testCluster) addr(i int) string { return fmt.Sprintf("10.0.0.%d:7360", i) }

func (g *testCluster) dial(ctx context.Context, from, addr string) (net.Conn, error) {
	if g.network != nil {
		return g.network.dial(ctx, g, from, addr)
	}
	g.mu.Lock()
	p, dark := g.listeners[addr], g.unreachable[addr] || g.unreachable[from]
	g.mu.Unlock()
	if dark {
		return nil, errors.New("no answer")
	}
	if p == nil {
		return nil, errors.New("connection refused")
	}
	x, y := net.Pipe()
	a, b := &lossyConn{x, g, from, addr}, &lossyConn{y, g, from, addr}
	select {
	case p.connections <- b:
		return a, nil
	case <-p.closed:
		return nil, errors.New("connection refused")
	}
}

// lossyConn is one end of a connection; where either machine is dark, what is sent is lost.
type lossyConn struct {
	net.Conn
	cluster  *testCluster
	from, to string
}

func (l *lossyConn) Write(b []byte) (int, error) {
	l.cluster.mu.Lock()
	dark := l.cluster.unreachable[l.from] || l.cluster.unreachable[l.to]
	l.cluster.mu.Unlock()
	if dark {
		return len(b), nil
	}
	return l.Conn.Write(b)
}

// start runs the machine's node; first: it is the first start of the whole site.
func (g *testCluster) start(i int, first bool) *Node {
	g.t.Helper()
	addr := g.addr(i)
	if g.disks[addr] == nil {
		g.disks[addr] = &stallingDisk{disk: newSimDisk()}
	}
	g.seed++
	seed := g.seed
	p := settings.Process{Name: fmt.Sprint("core-", i), Zone: fmt.Sprint("d", i), Listen: addr, Seeds: g.seeds, Data: "x", Bounds: settings.DefaultBounds(),
		Options: []string{"log=off"}, Site: &settings.Site{FirstStart: first, ToleratedFailures: max(1, g.toleratedLosses), IP: addr, AckTimeoutMs: 4000, GraceMs: 8000, HeartbeatMs: 300, PortRange: [2]int{7360, 7375}}}
	w := daemon.Environment{Clock: clock.Synctest(), WallClock: time.Now, Seed: func() uint64 { seed += 7919; return seed * 0x9e3779b97f4a7c15 },
		Disk: func(string) storage.Disk { return g.disks[addr] },
		Listen: func(a string) (net.Listener, error) {
			l := &pipeListener{cluster: g, addr: a, connections: make(chan net.Conn), closed: make(chan struct{})}
			g.mu.Lock()
			defer g.mu.Unlock()
			g.listeners[a] = l
			return l, nil
		},
		Dial:    func(ctx context.Context, _, to string) (net.Conn, error) { return g.dial(ctx, addr, to) },
		Journal: func(string) (io.Writer, error) { return io.Discard, nil }}
	l := daemon.NewIn(w, "archive", p)
	var n *Node
	l.Settings.Site.ControlPlaneListen = fmt.Sprintf("10.0.0.%d:8683", i)
	if err := StartGroup(l, versionCodec{}, func(x *Node) http.Handler { n = x; return http.NotFoundHandler() }); err != nil {
		g.t.Fatal(err)
	}
	g.processes[addr], g.nodes[addr] = l, n
	return n
}

func (g *testCluster) stop(i int) {
	g.processes[g.addr(i)].Stop(time.Second)
	delete(g.nodes, g.addr(i))
}

func (g *testCluster) stopAll() {
	for a := range g.nodes {
		g.processes[a].Stop(time.Second)
	}
}

// waitUntil waits in the bubble's time for something to hold.
func (g *testCluster) waitUntil(what string, within time.Duration, f func() bool) time.Duration {
	g.t.Helper()
	begin := time.Now()
	for !f() {
		if time.Since(begin) > within {
			for a, n := range g.nodes {
				x := n.shards[0].published.current()
				g.t.Logf("%s: %s leader %s members %v votes %v", a, x.self, x.leader, x.members, x.isVoter)
			}
			g.t.Fatalf("%s: not within %v", what, within)
		}
		clock.Sleep(context.Background(), 50*time.Millisecond)
	}
	return time.Since(begin)
}

// versionCodec is a form of plans for tests: {"version": 7, "text": "…", "bad": false}.
type versionCodec struct{}

type versionBody struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
	Bad     bool   `json:"bad,omitempty"`
}

func (versionCodec) Read(b []byte) (*routingconfig.Plan, error) {
	v := versionBody{}
	err := json.Unmarshal(b, &v)
	return &routingconfig.Plan{Version: v.Version}, err
}

func (versionCodec) Merge(old, sent []byte, part bool) ([]byte, uint64, error) {
	var o, v versionBody
	if err := json.Unmarshal(sent, &v); err != nil {
		return nil, 0, err // of no kind
	}
	if v.Bad {
		return nil, 0, errs.New(errs.BadInput, "route-7: names a service that isn't there")
	}
	if part && len(old) > 0 {
		if err := json.Unmarshal(old, &o); err != nil {
			return nil, 0, err
		}
		v.Text = o.Text + "+" + v.Text
	}
	b, err := json.Marshal(v)
	return b, v.Version, err
}

func body(version uint64, text string) []byte {
	b, _ := json.Marshal(versionBody{Version: version, Text: text})
	return b
}
