package testbed

import (
	"context"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/programs"
	"pebbleloom/internal/sim/loadgen"
	"pebbleloom/internal/sim/workersim"
)

// Environment runs a site's processes and injects faults into them: as processes of this machine, or as a simulated
// cluster in virtual time. Both run the same programs.
type Environment interface {
	// Start starts a process with the settings that were written last.
	Start(p Process) error
	// Signal sends a signal to a process; after SIGKILL it returns once the process has ended.
	Signal(name string, s syscall.Signal) error
	// WriteSettings writes the settings that the process's next start reads.
	WriteSettings(p Process) error
	// WipeDisk removes a process's data.
	WipeDisk(p Process) error
	// SetFault sets a fault of a machine's "disk" (full, sync or stall MS) or "wall" clock (an offset in
	// milliseconds); an empty word ends it.
	SetFault(p Process, what, word string) error
	// Journal reads a worker simulator's journal of runs and orders.
	Journal(p Process) ([]workersim.Run, error)
	// SetLink sets the rule of the link from one machine to another; "*" is any machine.
	SetLink(from, to string, r LinkRule) error
	// HealLinks removes all link rules.
	HealLinks()
	// Dial connects to a process as a client or an operator outside the site does.
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
	// Stop ends all processes that were started.
	Stop()
}

// localEnvironment runs a site as processes of this machine.
type localEnvironment struct {
	dir, bin       string
	links          *Links // nil: connections go directly
	earlierRelease string // the folder of an earlier release, in upgrades
	mu             sync.Mutex
	processes      map[string]*exec.Cmd
	exited         map[string]chan struct{}
}

const (
	stopGrace   = 6 * time.Second // from SIGTERM to SIGKILL when the environment stops
	dialTimeout = time.Second
)

func newLocalEnvironment(dir, bin string) *localEnvironment {
	return &localEnvironment{dir: dir, bin: bin, processes: map[string]*exec.Cmd{}, exited: map[string]chan struct{}{}}
}

// Start implements Environment; the process's output is appended to its log file.
func (env *localEnvironment) Start(p Process) error {
	log, err := os.OpenFile(filepath.Join(env.dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errs.Wrap(err, "open log")
	}
	bin := p.Bin
	if bin == "" {
		bin = env.bin
	}
	c := exec.Command(programs.Find(bin, p.Program), "--settings", filepath.Join(env.dir, p.Name+".json"))
	c.Stdout, c.Stderr = log, log
	// Small machines: two threads at once, and a heap that stays within 200 MB a machine.
	c.Env = append(os.Environ(), "GOMAXPROCS=2", "GOMEMLIMIT=60MiB")
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		log.Close()
		return errs.Wrap(err, "start "+p.Name)
	}
	d := make(chan struct{})
	env.mu.Lock()
	env.processes[p.Name], env.exited[p.Name] = c, d
	env.mu.Unlock()
	go func() {
		_ = c.Wait() // how it ended is in its log
		log.Close()
		close(d)
	}()
	return nil
}

// Signal implements Environment.
func (env *localEnvironment) Signal(name string, s syscall.Signal) error {
	env.mu.Lock()
	c, d := env.processes[name], env.exited[name]
	env.mu.Unlock()
	if c == nil {
		return errs.New(errs.NotFound, "process %q", name)
	}
	if err := c.Process.Signal(s); err != nil {
		return errs.Wrap(err, "signal "+name)
	}
	if s == syscall.SIGKILL {
		<-d
	}
	return nil
}

// WriteSettings implements Environment.
func (env *localEnvironment) WriteSettings(p Process) error { return env.writeSettings(p) }

// WipeDisk implements Environment.
func (env *localEnvironment) WipeDisk(p Process) error { return os.RemoveAll(p.Settings.Data) }

// SetFault implements Environment: it writes the file that the process's faults= or wall= option names.
func (env *localEnvironment) SetFault(p Process, what, word string) error {
	f := filepath.Join(env.dir, p.Settings.Name+map[string]string{"disk": ".fault", "wall": ".wall"}[what])
	if word == "" {
		return os.Remove(f)
	}
	return os.WriteFile(f, []byte(word), 0o644)
}

// Journal implements Environment.
func (env *localEnvironment) Journal(p Process) ([]workersim.Run, error) {
	f, err := os.Open(filepath.Join(env.dir, p.Name+".runs"))
	if err != nil {
		return nil, errs.Wrap(err, "open journal")
	}
	defer f.Close()
	return loadgen.ReadJournal(f)
}

// SetLink implements Environment. It fails with errs.BadInput if the scenario has no links.
func (env *localEnvironment) SetLink(from, to string, r LinkRule) error {
	if env.links == nil {
		return errs.New(errs.BadInput, "the scenario has no links: set \"links\": true")
	}
	env.links.Set(from, to, r)
	return nil
}

// HealLinks implements Environment.
func (env *localEnvironment) HealLinks() {
	if env.links != nil {
		env.links.HealLinks()
	}
}

// Dial implements Environment.
func (env *localEnvironment) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
}

// Stop implements Environment: it sends SIGTERM, and SIGKILL to processes that outlive stopGrace.
func (env *localEnvironment) Stop() {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, c := range env.processes {
		_ = c.Process.Signal(syscall.SIGCONT) // one that ended already can't be signalled, nor need it be
		_ = c.Process.Signal(syscall.SIGTERM)
	}
	late := time.After(stopGrace)
	for n, d := range env.exited {
		select {
		case <-d:
		case <-late:
			_ = env.processes[n].Process.Kill()
			<-d
		}
	}
	if env.links != nil {
		env.links.Close()
	}
}
