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
	Start(process Process) error
	// Signal sends a signal to a process; after SIGKILL it returns once the process has ended.
	Signal(name string, s syscall.Signal) error
	// WriteSettings writes the settings that the process's next start reads.
	WriteSettings(process Process) error
	// WipeDisk removes a process's data.
	WipeDisk(process Process) error
	// SetFault sets a fault of a machine's "disk" (full, sync or stall MS) or "wall" clock (an offset in
	// milliseconds); an empty word ends it.
	SetFault(process Process, what, word string) error
	// Journal reads a worker simulator's journal of runs and orders.
	Journal(process Process) ([]workersim.Run, error)
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
	dir            string     // of settings and logs
	programs       string     // folder of the programs
	links          *Links     // nil: connections go directly
	earlierRelease string     // the folder of an earlier release, in upgrades
	mu             sync.Mutex // protects the fields below
	processes      map[string]*exec.Cmd
	exited         map[string]chan struct{} // closed once the process has ended
}

const (
	stopGrace   = 6 * time.Second // from SIGTERM to SIGKILL when the environment stops
	dialTimeout = time.Second
)

// newLocalEnvironment returns an environment that writes settings and logs to dir and runs the programs in a folder.
func newLocalEnvironment(dir, folder string) *localEnvironment {
	return &localEnvironment{dir: dir, programs: folder, processes: map[string]*exec.Cmd{}, exited: map[string]chan struct{}{}}
}

// Start implements Environment; the process's output is appended to its log file.
func (env *localEnvironment) Start(process Process) error {
	log, err := os.OpenFile(filepath.Join(env.dir, process.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errs.Wrap(err, "open log")
	}
	folder := process.Bin
	if folder == "" {
		folder = env.programs
	}
	command := exec.Command(programs.Find(folder, process.Program), "--settings", filepath.Join(env.dir, process.Name+".json"))
	command.Stdout, command.Stderr = log, log
	// Small machines: two threads at once, and a heap that stays within 200 MB a machine.
	command.Env = append(os.Environ(), "GOMAXPROCS=2", "GOMEMLIMIT=60MiB")
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		log.Close()
		return errs.Wrap(err, "start "+process.Name)
	}
	exited := make(chan struct{})
	env.mu.Lock()
	env.processes[process.Name], env.exited[process.Name] = command, exited
	env.mu.Unlock()
	go func() {
		_ = command.Wait() // how it ended is in its log
		log.Close()
		close(exited)
	}()
	return nil
}

// Signal implements Environment.
func (env *localEnvironment) Signal(name string, s syscall.Signal) error {
	env.mu.Lock()
	command, exited := env.processes[name], env.exited[name]
	env.mu.Unlock()
	if command == nil {
		return errs.New(errs.NotFound, "process %q", name)
	}
	if err := command.Process.Signal(s); err != nil {
		return errs.Wrap(err, "signal "+name)
	}
	if s == syscall.SIGKILL {
		<-exited
	}
	return nil
}

// WriteSettings implements Environment.
func (env *localEnvironment) WriteSettings(process Process) error { return env.writeSettings(process) }

// WipeDisk implements Environment.
func (env *localEnvironment) WipeDisk(process Process) error {
	return os.RemoveAll(process.Settings.Data)
}

// SetFault implements Environment: it writes the file that the process's faults= or wall= option names.
func (env *localEnvironment) SetFault(process Process, what, value string) error {
	file := filepath.Join(env.dir, process.Settings.Name+map[string]string{"disk": ".fault", "wall": ".wall"}[what])
	if value == "" {
		return os.Remove(file)
	}
	return os.WriteFile(file, []byte(value), 0o644)
}

// Journal implements Environment.
func (env *localEnvironment) Journal(process Process) ([]workersim.Run, error) {
	file, err := os.Open(filepath.Join(env.dir, process.Name+".runs"))
	if err != nil {
		return nil, errs.Wrap(err, "open journal")
	}
	defer file.Close()
	return loadgen.ReadJournal(file)
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
	for _, command := range env.processes {
		_ = command.Process.Signal(syscall.SIGCONT) // one that ended already can't be signalled, nor need it be
		_ = command.Process.Signal(syscall.SIGTERM)
	}
	timeout := time.After(stopGrace)
	for name, exited := range env.exited {
		select {
		case <-exited:
		case <-timeout:
			_ = env.processes[name].Process.Kill()
			<-exited
		}
	}
	if env.links != nil {
		env.links.Close()
	}
}
