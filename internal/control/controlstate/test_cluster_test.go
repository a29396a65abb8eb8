package controlstate

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/control/storage"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/sim/pipes"
	"pebbleloom/internal/wire"
)

// testCluster runs real nodes on several simulated machines in one synctest bubble, with pipes as connections and disks
// in memory. Machines are numbered from 1; the maps are keyed by machine address.
type testCluster struct {
	t               *testing.T
	mu              sync.Mutex
	pipes           *pipes.Network
	disks           map[string]*stallingDisk
	processes       map[string]*daemon.Process
	nodes           map[string]*Node
	unreachable     map[string]bool // machines that can neither send nor receive
	seeds           []string
	seed            uint64      // seed of the last started process's random numbers
	network         *simNetwork // nil: plain pipes, which lose the data that is sent while either machine is unreachable
	toleratedLosses int         // number of lost machines that the group tolerates; 0 means one
}

// stallingDisk is a disk in memory whose writes can be made to stall.
type stallingDisk struct {
	mu      sync.Mutex
	disk    *simDisk
	stalled chan struct{} // writes block until this channel is closed; nil: writes do not stall
}

func (d *stallingDisk) Read(name string) ([]byte, bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.disk.Read(name)
}

// write runs a write operation, after waiting for the end of a stall.
func (d *stallingDisk) write(run func() error) error {
	d.mu.Lock()
	stalled := d.stalled
	d.mu.Unlock()
	if stalled != nil {
		<-stalled
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return run()
}

// update changes the settings or contents of the disk.
func (d *stallingDisk) update(change func(*stallingDisk)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d)
}
func (d *stallingDisk) Write(name string, content []byte) error {
	return d.write(func() error { return d.disk.Write(name, content) })
}
func (d *stallingDisk) Append(name string, content []byte) error {
	return d.write(func() error { return d.disk.Append(name, content) })
}
func (d *stallingDisk) Truncate(name string, size int) error {
	return d.write(func() error { return d.disk.Truncate(name, size) })
}

// newTestCluster returns a cluster without running machines. Machines 1 to 3 are the seeds.
func newTestCluster(t *testing.T) *testCluster {
	cluster := &testCluster{t: t, pipes: pipes.NewNetwork(), disks: map[string]*stallingDisk{}, processes: map[string]*daemon.Process{},
		nodes: map[string]*Node{}, unreachable: map[string]bool{}}
	for i := range 3 {
		cluster.seeds = append(cluster.seeds, cluster.addr(i+1))
	}
	return cluster
}

func (c *testCluster) addr(i int) string { return fmt.Sprintf("10.0.0.%d:7360", i) }

// dial opens a connection between two machines.
func (c *testCluster) dial(ctx context.Context, from, addr string) (net.Conn, error) {
	if c.network != nil {
		return c.network.dial(ctx, c, from, addr)
	}
	c.mu.Lock()
	isUnreachable := c.unreachable[addr] || c.unreachable[from]
	c.mu.Unlock()
	if isUnreachable {
		return nil, fmt.Errorf("dial %s from %s: one of the machines is unreachable", addr, from)
	}
	ours, theirs := net.Pipe()
	if err := c.pipes.Deliver(ctx, addr, &lossyConn{theirs, c, from, addr}); err != nil {
		return nil, err
	}
	return &lossyConn{ours, c, from, addr}, nil
}

// lossyConn is one end of a connection between two machines. Data that is sent while either of them is unreachable is
// lost.
type lossyConn struct {
	net.Conn
	cluster  *testCluster
	from, to string
}

func (c *lossyConn) Write(b []byte) (int, error) {
	c.cluster.mu.Lock()
	isUnreachable := c.cluster.unreachable[c.from] || c.cluster.unreachable[c.to]
	c.cluster.mu.Unlock()
	if isUnreachable {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// listen accepts connections to an address.
func (c *testCluster) listen(addr string) net.Listener {
	listener, err := c.pipes.Listen(addr)
	if err != nil {
		c.t.Fatalf("listening at %s: %v", addr, err)
	}
	return listener
}

// environment returns the daemon.Environment of a machine, which provides the clock of the synctest bubble and the disks
// and connections of the cluster.
func (c *testCluster) environment(addr string, seed func() uint64) daemon.Environment {
	return daemon.Environment{
		Clock:     clock.Synctest(),
		WallClock: time.Now,
		Seed:      seed,
		Disk:      func(string) storage.Disk { return c.disks[addr] },
		Listen:    c.pipes.Listen,
		Dial:      func(ctx context.Context, _, to string) (net.Conn, error) { return c.dial(ctx, addr, to) },
		Journal:   func(string) (io.Writer, error) { return io.Discard, nil },
	}
}

// processConfig returns the settings of a machine's process.
func (c *testCluster) processConfig(machine int, firstStart bool) settings.Process {
	return settings.Process{
		Name:    fmt.Sprint("core-", machine),
		Zone:    fmt.Sprint("d", machine),
		Listen:  c.addr(machine),
		Seeds:   c.seeds,
		Data:    "x",
		Bounds:  settings.DefaultBounds(),
		Options: []string{"log=off"},
		Site: &settings.Site{
			FirstStart:         firstStart,
			ToleratedFailures:  max(1, c.toleratedLosses),
			IP:                 c.addr(machine),
			AckTimeoutMs:       4000,
			GraceMs:            8000,
			HeartbeatMs:        300,
			PortRange:          [2]int{7360, 7375},
			ControlPlaneListen: fmt.Sprintf("10.0.0.%d:8683", machine),
		},
	}
}

// start starts a machine's node. firstStart says whether this is the first start of the site.
func (c *testCluster) start(machine int, firstStart bool) *Node {
	c.t.Helper()
	addr := c.addr(machine)
	if c.disks[addr] == nil {
		c.disks[addr] = &stallingDisk{disk: newSimDisk()}
	}
	c.seed++
	seed := c.seed
	nextSeed := func() uint64 {
		seed += 7919
		return seed * 0x9e3779b97f4a7c15
	}
	process := daemon.NewIn(c.environment(addr, nextSeed), "archive", c.processConfig(machine, firstStart))
	var node *Node
	operatorHandler := func(started *Node) http.Handler {
		node = started
		return http.NotFoundHandler()
	}
	if err := StartGroup(process, versionCodec{}, operatorHandler); err != nil {
		c.t.Fatalf("starting the node of machine %d: %v", machine, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[addr], c.nodes[addr] = process, node
	return node
}

// stop shuts a machine down with a grace period of one second.
func (c *testCluster) stop(i int) { c.stopWithin(i, time.Second) }

// stopWithin shuts a machine down with a grace period.
func (c *testCluster) stopWithin(i int, grace time.Duration) {
	c.processes[c.addr(i)].Stop(grace)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.nodes, c.addr(i))
}

// stopAll shuts all running machines down.
func (c *testCluster) stopAll() {
	for addr := range c.nodes {
		c.processes[addr].Stop(time.Second)
	}
}

// waitUntil waits in virtual time until a condition holds, and returns the time that this took. It fails the test on a
// time-out; condition describes what it waited for.
func (c *testCluster) waitUntil(condition string, within time.Duration, holds func() bool) time.Duration {
	c.t.Helper()
	startedAt := time.Now()
	for !holds() {
		if time.Since(startedAt) > within {
			for addr, node := range c.nodes {
				view := node.shards[0].published.current()
				c.t.Logf("node %s: incarnation %s, leader %s, members %v, is voter %v", addr, view.self, view.leader, view.members, view.isVoter)
			}
			c.t.Fatalf("timed out after %v waiting for: %s", within, condition)
		}
		clock.Sleep(context.Background(), 50*time.Millisecond)
	}
	return time.Since(startedAt)
}

// newTestGroup returns the group settings of a member of three, without zones, with small batches and with routing
// configurations in the format of versionCodec.
func newTestGroup(disk storage.Disk, random *rand.Rand, initialSnapshot func(lost bool) *wire.Snapshot) *group {
	return &group{
		codec:              versionCodec{},
		disk:               disk,
		targetSize:         3,
		reopenTicks:        3,
		restoreNoticeTicks: 3,
		controlNodes:       func() []string { return nil },
		zoneOf:             func(string) string { return "" },
		consensusConfig: consensus.Config{
			HeartbeatTicks: heartbeatTicks,
			ElectionTicks:  electionTicks,
			MaxBatchBytes:  4096,
			Rand:           random,
		},
		initialSnapshot: initialSnapshot,
	}
}

// versionCodec is a codec for a minimal routing configuration: {"version": 7, "text": "…", "bad": false}. A configuration
// with bad set is invalid.
type versionCodec struct{}

// versionBody is a routing configuration in the format of versionCodec.
type versionBody struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
	Bad     bool   `json:"bad,omitempty"`

	Tenants []routingconfig.Tenant `json:"tenants,omitempty"`
}

func (versionCodec) Read(b []byte) (*routingconfig.Plan, error) {
	content := versionBody{}
	err := json.Unmarshal(b, &content)
	return &routingconfig.Plan{Version: content.Version, Tenants: content.Tenants}, err
}

// Tenants returns the tenants of a configuration.
func (c versionCodec) Tenants(b []byte) ([]routingconfig.Tenant, error) {
	plan, err := c.Read(b)
	return plan.Tenants, err
}

// Merge returns the sent configuration or, if patch is set, one whose text is the old and the sent text joined by "+".
func (versionCodec) Merge(old, sent []byte, patch bool) ([]byte, uint64, error) {
	var previous, content versionBody
	if err := json.Unmarshal(sent, &content); err != nil {
		return nil, 0, err
	}
	if content.Bad {
		return nil, 0, errs.New(errs.BadInput, "route-7: service does not exist")
	}
	if patch && len(old) > 0 {
		if err := json.Unmarshal(old, &previous); err != nil {
			return nil, 0, err
		}
		content.Text = previous.Text + "+" + content.Text
	}
	b, err := json.Marshal(content)
	return b, content.Version, err
}

// body returns a routing configuration in the format of versionCodec.
func body(version uint64, text string) []byte {
	b, _ := json.Marshal(versionBody{Version: version, Text: text})
	return b
}
