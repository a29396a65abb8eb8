package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// HollowVariable is set for a process that this command starts as the far end of connections, so
// that either end's processor time is its own: it holds what that process is to do.
const HollowVariable = "PEBBLELOOM_HOLLOW"

// hollowTask is what a hollow process does. It says "up" once all is ready; then it answers each line on
// its standard input with a sum, and ends with it.
type hollowTask struct {
	Kind   string `json:"kind"` // seek, count, follow or traffic
	Addr   string `json:"addr"`
	Nodes  int    `json:"nodes"`   // hollow nodes in this process
	Keys   int    `json:"keys"`    // a call
	Calls  int    `json:"calls"`   // a line
	Parts  int    `json:"parts"`   // known to the index
	HoldMs int    `json:"hold_ms"` // of a long poll
	Events int    `json:"events"`  // of an answer
}

// hollowResult is what a hollow process has done since the last line.
type hollowResult struct {
	Calls   float64 `json:"calls"`
	Docs    float64 `json:"docs"` // since its start
	CPU     float64 `json:"cpu_us"`
	Error   string  `json:"error,omitempty"`
	Address string  `json:"told,omitempty"` // an address
}

// Hollow does what HollowVariable says, until its standard input ends.
//
// Example: if os.Getenv(capacity.HollowVariable) != "" { os.Exit(capacity.Hollow(os.Stdin, os.Stdout)) }
func Hollow(in io.Reader, out io.Writer) int {
	var task hollowTask
	if err := json.Unmarshal([]byte(os.Getenv(HollowVariable)), &task); err != nil {
		fmt.Fprintln(os.Stderr, "hollow process: "+err.Error())
		return errs.BadInput.ExitCode
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	ends := map[string]func(context.Context, hollowTask) (string, func() (float64, float64, error), error){
		"seek": callIndex, "count": callIndex, "follow": followGroup, "traffic": streamTraffic}
	begin := ends[task.Kind]
	if begin == nil {
		fmt.Fprintf(os.Stderr, "hollow process: %q: no such kind\n", task.Kind)
		return errs.BadInput.ExitCode
	}
	enc := json.NewEncoder(out)
	addr, run, err := begin(ctx, task)
	if err != nil {
		_ = enc.Encode(hollowResult{Error: err.Error()})
		return errs.Internal.ExitCode
	}
	_ = enc.Encode(hollowResult{Address: addr})
	cpuBefore := cpu()
	for s := bufio.NewScanner(in); s.Scan(); {
		calls, docs, err := run()
		now := cpu()
		result := hollowResult{Calls: calls, Docs: docs, CPU: now - cpuBefore}
		if cpuBefore = now; err != nil {
			result.Error = err.Error()
		}
		_ = enc.Encode(result)
	}
	return 0
}

// hollowProcess is a hollow process as its starter sees it.
type hollowProcess struct {
	cmd     *exec.Cmd
	in      io.WriteCloser
	out     *json.Decoder
	address string
}

func startHollow(task hollowTask) (*hollowProcess, error) {
	raw, err := json.Marshal(task)
	if err != nil {
		return nil, err
	}
	exe, err := os.Executable()
	if err != nil {
		return nil, err
	}
	hollow := &hollowProcess{cmd: exec.Command(exe)}
	hollow.cmd.Env = append(os.Environ(), HollowVariable+"="+string(raw), fmt.Sprintf("GOMAXPROCS=%d", threads))
	hollow.cmd.Stderr = os.Stderr
	if hollow.in, err = hollow.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := hollow.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	hollow.out = json.NewDecoder(out)
	if err := hollow.cmd.Start(); err != nil {
		return nil, err
	}
	s, err := hollow.heard()
	if err != nil {
		hollow.end()
		return nil, errs.Wrap(err, "hollow "+task.Kind)
	}
	hollow.address = s.Address
	return hollow, nil
}

func (h *hollowProcess) heard() (s hollowResult, err error) {
	if err = h.out.Decode(&s); err == nil && s.Error != "" {
		err = errs.New(errs.Internal, "%s", s.Error)
	}
	return s, err
}

// run has it do its task once, and gives the sum.
func (h *hollowProcess) run() (hollowResult, error) {
	if _, err := io.WriteString(h.in, "go\n"); err != nil {
		return hollowResult{}, err
	}
	return h.heard()
}

func (h *hollowProcess) end() {
	h.in.Close()
	_ = h.cmd.Wait()
}

// callIndex are hollow edges that ask or tell an index node.
func callIndex(ctx context.Context, t hollowTask) (string, func() (float64, float64, error), error) {
	l := newProcess("hollow", bounds(), nil)
	c := daemon.NewClients(l).PromptIndex(t.Addr)
	key := func(i int) []byte { k := promptindex.PartKey(cacheText, partName(i*31%max(1, t.Parts))); return k[:] }
	var number atomic.Uint64
	one := func(i int) error {
		if t.Kind == "seek" {
			a := &wire.LookupRequest{}
			for j := range t.Keys {
				a.Keys = append(a.Keys, key(i*t.Keys+j))
			}
			_, err := c.Lookup(ctx, a)
			return err
		}
		a := &wire.CountRequest{Reporter: "edge/edge-0001", Incarnation: 1, Sequence: number.Add(1)}
		for j := range t.Keys {
			a.Accesses = append(a.Accesses, &wire.Access{Key: key(i*t.Keys + j), Count: 1, Tokens: 800, Service: serviceName(0), PresumedHolders: []string{"i-00000000"}})
		}
		_, err := c.Count(ctx, a)
		return err
	}
	run := func() (float64, float64, error) {
		var wg sync.WaitGroup
		var bad atomic.Pointer[error]
		for w := range threads {
			wg.Go(func() {
				for i := w; i < t.Calls; i += threads {
					if err := one(i); err != nil {
						bad.Store(&err)
						return
					}
				}
			})
		}
		wg.Wait()
		if p := bad.Load(); p != nil {
			return 0, 0, *p
		}
		return float64(t.Calls), 0, nil
	}
	_, _, err := run() // connections come up
	return "", run, err
}

// followGroup are hollow nodes that follow the control state, each over a connection of its own.
func followGroup(ctx context.Context, t hollowTask) (string, func() (float64, float64, error), error) {
	var polls, docs atomic.Int64
	var up sync.WaitGroup
	hold := time.Duration(t.HoldMs) * time.Millisecond
	for i := range t.Nodes {
		up.Add(1)
		go func() {
			first := sync.OnceFunc(up.Done)
			l := newProcess(fmt.Sprintf("hollow-%d", i), bounds(), nil)
			c := daemon.NewClients(l).ControlNode(t.Addr)
			have := map[string]uint64{}
			for ctx.Err() == nil {
				a := &wire.FollowRequest{MaxWaitNs: uint64(hold), ProofKey: routingconfig.DocumentKey, AcceptsCompressed: true}
				for _, k := range []string{routingconfig.DocumentKey, "workers", "weights", "placement/"} {
					a.Known = append(a.Known, &wire.KnownVersion{Key: k, Version: have[k]})
				}
				response, err := c.Follow(ctx, a)
				if err != nil {
					continue
				}
				for _, d := range response.Documents {
					have[d.Key] = d.Version
					docs.Add(1)
				}
				polls.Add(1)
				first()
			}
		}()
	}
	up.Wait()
	return "", func() (float64, float64, error) { return float64(polls.Swap(0)), float64(docs.Load()), nil }, nil
}

// byteCounter is a listener whose connections are counted.
type byteCounter struct {
	net.Listener
	bytes atomic.Int64
	open  atomic.Int64 // connections
}

func newByteCounter() (*byteCounter, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	return &byteCounter{Listener: ln}, err
}

func (t *byteCounter) addr() string { return t.Addr().String() }

// listen gives this listener for its own address, and any other for others.
func (t *byteCounter) listen(addr string) (net.Listener, error) {
	if addr == t.addr() {
		return t, nil
	}
	return net.Listen("tcp", addr)
}

// Accept counts what goes over a connection, both ways.
//
// Example: c, err := t.Accept()
func (t *byteCounter) Accept() (net.Conn, error) {
	c, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.open.Add(1)
	return &countedConn{Conn: c, t: t}, nil
}

type countedConn struct {
	net.Conn
	t    *byteCounter
	also *atomic.Int64 // counted there too
	over sync.Once
}

func (c *countedConn) count(n int) {
	c.t.bytes.Add(int64(n))
	if c.also != nil {
		c.also.Add(int64(n))
	}
}

// Close ends it.
//
// Example: c.Close()
func (c *countedConn) Close() error {
	c.over.Do(func() { c.t.open.Add(-1) })
	return c.Conn.Close()
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(n)
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(n)
	return n, err
}
