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

// Environment runs the processes of a site and injects faults into them. One implementation starts them as operating
// system processes on this machine, another as a simulated cluster in virtual time; both run the same programs.
type Environment interface {
	// Start starts a process with the settings that WriteSettings wrote last for it.
	Start(process Process) error
	// Signal sends a signal to a process; after SIGKILL it returns once the process has ended.
	Signal(name string, s syscall.Signal) error
	// WriteSettings writes the settings with which Start starts the process the next time.
	WriteSettings(process Process) error
	// WipeDisk removes the data that a process has stored.
	WipeDisk(process Process) error
	// SetFault injects a fault into a process. With what "disk" value is full, sync, or "stall MS" to delay writes by
	// MS milliseconds; with what "wall" it is an offset of the wall clock in milliseconds. An empty value ends the
	// fault.
	SetFault(process Process, what, value string) error
	// Journal reads a worker simulator's journal: the requests that it ran and the orders of
	// placement controllers that it executed.
	Journal(process Process) ([]workersim.Run, error)
	// SetLink sets the rule of the network link from one machine to another; "*" is any machine.
	SetLink(from, to string, r LinkRule) error
	// HealLinks removes the rules of all network links, so that every link works normally.
	HealLinks()
	// Dial connects to a process of the site from outside, as a client or an operator does.
	Dial(ctx context.Context, network, addr string) (net.Conn, error)
	// Stop ends all processes that were started.
	Stop()
}

// localEnvironment is the Environment that runs a site as operating system processes on this machine.
type localEnvironment struct {
	dir            string                   // folder of settings, journals and logs
	programs       string                   // folder of the executables
	links          *Links                   // relays between the processes; nil: processes connect directly
	earlierRelease string                   // in an upgrade test: folder of the executables of an earlier release
	mu             sync.Mutex               // protects processes and exited
	processes      map[string]*exec.Cmd     // operating system processes by their names in the site
	exited         map[string]chan struct{} // channels by process name; each is closed once the process has ended
}

const (
	stopGrace   = 6 * time.Second // time from SIGTERM to SIGKILL when the environment stops its processes
	dialTimeout = time.Second     // time limit to connect to a process as a client or operator
)

// newLocalEnvironment returns an environment that keeps settings, journals and logs in dir and runs the executables in
// folder.
func newLocalEnvironment(dir, folder string) *localEnvironment {
	return &localEnvironment{dir: dir, programs: folder, processes: map[string]*exec.Cmd{}, exited: map[string]chan struct{}{}}
}

// Start implements Environment; the process's output is appended to its log file.
func (env *localEnvironment) Start(process Process) error {
	log, err := os.OpenFile(filepath.Join(env.dir, process.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errs.Wrap(err, "open the log of process "+process.Name)
	}
	folder := process.Bin
	if folder == "" {
		folder = env.programs
	}
	command := exec.Command(programs.Find(folder, process.Program), "--settings", filepath.Join(env.dir, process.Name+".json"))
	command.Stdout, command.Stderr = log, log
	// Simulate small machines: at most two threads run Go code at once, and the heap limit of 60 MiB keeps the three
	// processes of an edge machine within 200 MB.
	command.Env = append(os.Environ(), "GOMAXPROCS=2", "GOMEMLIMIT=60MiB")
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		log.Close()
		return errs.Wrap(err, "start process "+process.Name)
	}
	exited := make(chan struct{})
	env.mu.Lock()
	env.processes[process.Name], env.exited[process.Name] = command, exited
	env.mu.Unlock()
	go func() {
		_ = command.Wait() // the process writes the reason of its exit to its log
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
		return errs.New(errs.NotFound, "signal: process %q was not started", name)
	}
	if err := command.Process.Signal(s); err != nil {
		return errs.Wrap(err, "send a signal to process "+name)
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

// SetFault implements Environment: it writes the file that the faults= or wall= option of the process names, which the
// process reads for the fault to inject.
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
		return nil, errs.Wrap(err, "open the journal of worker "+process.Name)
	}
	defer file.Close()
	return loadgen.ReadJournal(file)
}

// SetLink implements Environment. It fails with errs.BadInput if the processes connect directly, without relays.
func (env *localEnvironment) SetLink(from, to string, r LinkRule) error {
	if env.links == nil {
		return errs.New(errs.BadInput, "can't set the rule of the link from %s to %s: the scenario runs without relays; set \"links\": true in its file", from, to)
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

// Stop implements Environment: it sends SIGTERM to all processes, and SIGKILL to those that still run after stopGrace.
func (env *localEnvironment) Stop() {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, command := range env.processes {
		_ = command.Process.Signal(syscall.SIGCONT) // resumes a stopped process; the error of one that has already ended is ignored
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
