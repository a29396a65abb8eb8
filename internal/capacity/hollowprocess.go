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

// HollowVariable is the environment variable that makes a process of this program a hollow process: the peer of a
// measurement's connections, so that the processor time of both ends is known. It holds the task as JSON.
const HollowVariable = "PEBBLELOOM_HOLLOW"

// hollowTask is the task of a hollow process. The process writes a first result once it is ready, and then one for each
// line on its standard input. It ends with its standard input.
type hollowTask struct {
	Kind      string `json:"kind"` // seek, count, follow or traffic
	Addr      string `json:"addr"`
	Nodes     int    `json:"nodes"`   // hollow nodes in this process
	Keys      int    `json:"keys"`    // in each call
	Calls     int    `json:"calls"`   // for each line on the standard input
	Parts     int    `json:"parts"`   // that the index knows
	MaxWaitMs int    `json:"hold_ms"` // of a long poll
	Events    int    `json:"events"`  // of a response
}

// hollowResult is what a hollow process has done since its last result.
type hollowResult struct {
	Calls   float64 `json:"calls"`
	Docs    float64 `json:"docs"` // documents received since its start
	CPU     float64 `json:"cpu_us"`
	Error   string  `json:"error,omitempty"`
	Address string  `json:"told,omitempty"` // of the listener, in the first result
}

// Hollow executes the task in HollowVariable until its input ends, and returns the exit code.
//
// Example: if os.Getenv(capacity.HollowVariable) != "" { os.Exit(capacity.Hollow(os.Stdin, os.Stdout)) }
func Hollow(input io.Reader, out io.Writer) int {
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
		fmt.Fprintf(os.Stderr, "hollow process: unknown kind %q\n", task.Kind)
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
	for lines := bufio.NewScanner(input); lines.Scan(); {
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

// hollowProcess is a running hollow process, as the process that started it sees it.
type hollowProcess struct {
	cmd     *exec.Cmd
	in      io.WriteCloser
	out     *json.Decoder
	address string
}

// startHollow starts a hollow process and waits until it is ready.
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
	first, err := hollow.receive()
	if err != nil {
		hollow.end()
		return nil, errs.Wrap(err, "hollow "+task.Kind)
	}
	hollow.address = first.Address
	return hollow, nil
}

// receive reads the next result; a failed task is an error.
func (h *hollowProcess) receive() (s hollowResult, err error) {
	if err = h.out.Decode(&s); err == nil && s.Error != "" {
		err = errs.New(errs.Internal, "%s", s.Error)
	}
	return s, err
}

// run executes the task once and returns its result.
func (h *hollowProcess) run() (hollowResult, error) {
	if _, err := io.WriteString(h.in, "go\n"); err != nil {
		return hollowResult{}, err
	}
	return h.receive()
}

// end closes the process's input and waits until it has ended.
func (h *hollowProcess) end() {
	h.in.Close()
	_ = h.cmd.Wait()
}

// callIndex returns a run of hollow proxies that send look-ups ("seek") or access counts ("count") to an index node.
func callIndex(ctx context.Context, task hollowTask) (string, func() (float64, float64, error), error) {
	process := newProcess("hollow", bounds(), nil)
	client := daemon.NewClients(process).PromptIndex(task.Addr)
	key := func(i int) []byte {
		partKey := promptindex.PartKey(cacheText, partName(i*31%max(1, task.Parts)))
		return partKey[:]
	}
	var number atomic.Uint64
	one := func(i int) error {
		if task.Kind == "seek" {
			request := &wire.LookupRequest{}
			for j := range task.Keys {
				request.Keys = append(request.Keys, key(i*task.Keys+j))
			}
			_, err := client.Lookup(ctx, request)
			return err
		}
		request := &wire.CountRequest{Reporter: "edge/edge-0001", Incarnation: 1, Sequence: number.Add(1)}
		for j := range task.Keys {
			request.Accesses = append(request.Accesses, &wire.Access{Key: key(i*task.Keys + j), Count: 1, Tokens: 800, Service: serviceName(0), PresumedHolders: []string{"i-00000000"}})
		}
		_, err := client.Count(ctx, request)
		return err
	}
	run := func() (float64, float64, error) {
		var wg sync.WaitGroup
		var failed atomic.Pointer[error]
		for thread := range threads {
			wg.Go(func() {
				for i := thread; i < task.Calls; i += threads {
					if err := one(i); err != nil {
						failed.Store(&err)
						return
					}
				}
			})
		}
		wg.Wait()
		if p := failed.Load(); p != nil {
			return 0, 0, *p
		}
		return float64(task.Calls), 0, nil
	}
	_, _, err := run() // it opens the connections
	return "", run, err
}

// followGroup starts hollow nodes that follow the control state, each over a connection of its own, and waits until each
// has its first response.
func followGroup(ctx context.Context, task hollowTask) (string, func() (float64, float64, error), error) {
	var polls, docs atomic.Int64
	var started sync.WaitGroup
	maxWait := time.Duration(task.MaxWaitMs) * time.Millisecond
	for i := range task.Nodes {
		started.Add(1)
		go func() {
			first := sync.OnceFunc(started.Done)
			process := newProcess(fmt.Sprintf("hollow-%d", i), bounds(), nil)
			client := daemon.NewClients(process).ControlNode(task.Addr)
			known := map[string]uint64{}
			for ctx.Err() == nil {
				request := &wire.FollowRequest{MaxWaitNs: uint64(maxWait), ProofKey: routingconfig.DocumentKey, AcceptsCompressed: true}
				for _, key := range []string{routingconfig.DocumentKey, "workers", "weights", "placement/"} {
					request.Known = append(request.Known, &wire.KnownVersion{Key: key, Version: known[key]})
				}
				response, err := client.Follow(ctx, request)
				if err != nil {
					continue
				}
				for _, document := range response.Documents {
					known[document.Key] = document.Version
					docs.Add(1)
				}
				polls.Add(1)
				first()
			}
		}()
	}
	started.Wait()
	return "", func() (float64, float64, error) { return float64(polls.Swap(0)), float64(docs.Load()), nil }, nil
}

// byteCounter is a listener that counts its open connections and the bytes on them.
type byteCounter struct {
	net.Listener
	bytes atomic.Int64
	open  atomic.Int64 // connections
}

func newByteCounter() (*byteCounter, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	return &byteCounter{Listener: ln}, err
}

func (c *byteCounter) addr() string { return c.Addr().String() }

// listen returns this listener for its own address, and a new one for any other.
func (c *byteCounter) listen(addr string) (net.Listener, error) {
	if addr == c.addr() {
		return c, nil
	}
	return net.Listen("tcp", addr)
}

// Accept implements net.Listener; the bytes of the connection are counted in both directions.
//
// Example: conn, err := counter.Accept()
func (c *byteCounter) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c.open.Add(1)
	return &countedConn{Conn: conn, counter: c}, nil
}

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	counter   *byteCounter
	also      *atomic.Int64 // a further counter; nil: none
	closeOnce sync.Once
}

func (c *countedConn) count(n int) {
	c.counter.bytes.Add(int64(n))
	if c.also != nil {
		c.also.Add(int64(n))
	}
}

// Close implements net.Conn.
//
// Example: conn.Close()
func (c *countedConn) Close() error {
	c.closeOnce.Do(func() { c.counter.open.Add(-1) })
	return c.Conn.Close()
}

// Read implements net.Conn.
//
// Example: n, err := conn.Read(buffer)
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(n)
	return n, err
}

// Write implements net.Conn.
//
// Example: n, err := conn.Write(buffer)
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(n)
	return n, err
}
