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

// ground is a few machines in one test bubble: real nodes, pipes for connections, disks in memory.
type ground struct {
	t         *testing.T
	mu        sync.Mutex
	doors     map[string]*pipes
	disks     map[string]*heldDisk
	processes map[string]*daemon.Process
	nodes     map[string]*Node
	dark      map[string]bool // an address that says nothing
	seeds     []string
	seed      uint64
	net       *network // nil: pipes that lose what is sent while a machine is dark
	bears     int      // how many losses the site tolerates; 0: one
}

type pipes struct {
	g    *ground
	addr string
	c    chan net.Conn
	end  chan struct{}
	once sync.Once
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.c:
		return c, nil
	case <-p.end:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() {
		close(p.end)
		p.g.mu.Lock()
		defer p.g.mu.Unlock()
		if p.g.doors[p.addr] == p {
			delete(p.g.doors, p.addr)
		}
	})
	return nil
}
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// heldDisk is a disk in memory whose writes can be held up.
type heldDisk struct {
	mu   sync.Mutex
	d    *simDisk
	hold chan struct{} // nil: it doesn't stall
}

func (d *heldDisk) Read(n string) ([]byte, bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.d.Read(n)
}

func (d *heldDisk) change(f func() error) error {
	d.mu.Lock()
	h := d.hold
	d.mu.Unlock()
	if h != nil {
		<-h
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return f()
}

func (d *heldDisk) set(f func(*heldDisk)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d)
}
func (d *heldDisk) Write(n string, b []byte) error {
	return d.change(func() error { return d.d.Write(n, b) })
}
func (d *heldDisk) Append(n string, b []byte) error {
	return d.change(func() error { return d.d.Append(n, b) })
}
func (d *heldDisk) Truncate(n string, s int) error {
	return d.change(func() error { return d.d.Truncate(n, s) })
}

// newGround lays out machines; the first three are the seeds.
func newGround(t *testing.T) *ground {
	g := &ground{t: t, doors: map[string]*pipes{}, disks: map[string]*heldDisk{}, processes: map[string]*daemon.Process{},
		nodes: map[string]*Node{}, dark: map[string]bool{}}
	for i := range 3 {
		g.seeds = append(g.seeds, g.addr(i+1))
	}
	return g
}

func (g *ground) addr(i int) string { return fmt.Sprintf("10.0.0.%d:7360", i) }

func (g *ground) dial(ctx context.Context, from, addr string) (net.Conn, error) {
	if g.net != nil {
		return g.net.dial(ctx, g, from, addr)
	}
	g.mu.Lock()
	p, dark := g.doors[addr], g.dark[addr] || g.dark[from]
	g.mu.Unlock()
	if dark {
		return nil, errors.New("no answer")
	}
	if p == nil {
		return nil, errors.New("connection refused")
	}
	x, y := net.Pipe()
	a, b := &line{x, g, from, addr}, &line{y, g, from, addr}
	select {
	case p.c <- b:
		return a, nil
	case <-p.end:
		return nil, errors.New("connection refused")
	}
}

// line is one end of a connection; where either machine is dark, what is sent is lost.
type line struct {
	net.Conn
	g        *ground
	from, to string
}

func (l *line) Write(b []byte) (int, error) {
	l.g.mu.Lock()
	dark := l.g.dark[l.from] || l.g.dark[l.to]
	l.g.mu.Unlock()
	if dark {
		return len(b), nil
	}
	return l.Conn.Write(b)
}

// start runs the machine's node; first: it is the first start of the whole site.
func (g *ground) start(i int, first bool) *Node {
	g.t.Helper()
	addr := g.addr(i)
	if g.disks[addr] == nil {
		g.disks[addr] = &heldDisk{d: newSimDisk()}
	}
	g.seed++
	seed := g.seed
	p := settings.Place{Name: fmt.Sprint("core-", i), Zone: fmt.Sprint("d", i), Listen: addr, Seeds: g.seeds, Data: "x", Bounds: settings.Default(),
		Extra: []string{"log=off"}, Site: &settings.Site{First: first, Tolerate: max(1, g.bears), IP: addr, AckMs: 4000, GraceMs: 8000, BeatMs: 300, Ports: [2]int{7360, 7375}}}
	w := daemon.Environment{Clock: clock.Synctest(), Wall: time.Now, Seed: func() uint64 { seed += 7919; return seed * 0x9e3779b97f4a7c15 },
		Disk: func(string) storage.Disk { return g.disks[addr] },
		Listen: func(a string) (net.Listener, error) {
			l := &pipes{g: g, addr: a, c: make(chan net.Conn), end: make(chan struct{})}
			g.mu.Lock()
			defer g.mu.Unlock()
			g.doors[a] = l
			return l, nil
		},
		Dial:    func(ctx context.Context, _, to string) (net.Conn, error) { return g.dial(ctx, addr, to) },
		Journal: func(string) (io.Writer, error) { return io.Discard, nil }}
	l := daemon.NewIn(w, "archive", p)
	var n *Node
	l.Place.Site.Control = fmt.Sprintf("10.0.0.%d:8683", i)
	if err := StartGroup(l, versions{}, func(x *Node) http.Handler { n = x; return http.NotFoundHandler() }); err != nil {
		g.t.Fatal(err)
	}
	g.processes[addr], g.nodes[addr] = l, n
	return n
}

func (g *ground) stop(i int) {
	g.processes[g.addr(i)].Stop(time.Second)
	delete(g.nodes, g.addr(i))
}

func (g *ground) down() {
	for a := range g.nodes {
		g.processes[a].Stop(time.Second)
	}
}

// until waits in the bubble's time for something to hold.
func (g *ground) until(what string, within time.Duration, f func() bool) time.Duration {
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

// versions is a form of plans for tests: {"version": 7, "text": "…", "bad": false}.
type versions struct{}

type versionBody struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
	Bad     bool   `json:"bad,omitempty"`
}

func (versions) Read(b []byte) (*routingconfig.Plan, error) {
	v := versionBody{}
	err := json.Unmarshal(b, &v)
	return &routingconfig.Plan{Version: v.Version}, err
}

func (versions) Merge(old, sent []byte, part bool) ([]byte, uint64, error) {
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
