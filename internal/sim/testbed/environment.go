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

// Environment is what a site runs on: processes of this machine, or a table on virtual time. Both
// run the same programs, and what is done to them is the same.
type Environment interface {
	Start(p Process) error
	Signal(name string, s syscall.Signal) error
	WriteSettings(p Process) error // writes the settings that it is started with next
	WipeDisk(p Process) error
	SetFault(p Process, what, word string) error // "disk": full, sync, stall MS; "wall": MS; "" takes it back
	Journal(p Process) ([]workersim.Run, error)
	SetLink(from, to string, r LinkRule) error
	HealLinks()
	Dial(ctx context.Context, network, addr string) (net.Conn, error) // as people and callers do
	Stop()
}

// localEnvironment is the ground of real processes.
type localEnvironment struct {
	dir, bin       string
	links          *Links // nil: the site has none
	earlierRelease string // the folder of an earlier release, in upgrades
	mu             sync.Mutex
	processes      map[string]*exec.Cmd
	exited         map[string]chan struct{}
}

func newLocalEnvironment(dir, bin string) *localEnvironment {
	return &localEnvironment{dir: dir, bin: bin, processes: map[string]*exec.Cmd{}, exited: map[string]chan struct{}{}}
}

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

func (env *localEnvironment) WriteSettings(p Process) error { return env.writeSettings(p) }

func (env *localEnvironment) WipeDisk(p Process) error { return os.RemoveAll(p.Settings.Data) }

// SetFault writes the file that the program looks at, where its place names one.
func (env *localEnvironment) SetFault(p Process, what, word string) error {
	f := filepath.Join(env.dir, p.Settings.Name+map[string]string{"disk": ".fault", "wall": ".wall"}[what])
	if word == "" {
		return os.Remove(f)
	}
	return os.WriteFile(f, []byte(word), 0o644)
}

func (env *localEnvironment) Journal(p Process) ([]workersim.Run, error) {
	f, err := os.Open(filepath.Join(env.dir, p.Name+".runs"))
	if err != nil {
		return nil, errs.Wrap(err, "open journal")
	}
	defer f.Close()
	return loadgen.ReadJournal(f)
}

func (env *localEnvironment) SetLink(from, to string, r LinkRule) error {
	if env.links == nil {
		return errs.New(errs.BadInput, "the scenario has no links: set \"links\": true")
	}
	env.links.Set(from, to, r)
	return nil
}

func (env *localEnvironment) HealLinks() {
	if env.links != nil {
		env.links.HealLinks()
	}
}

func (env *localEnvironment) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, addr)
}

func (env *localEnvironment) Stop() {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, c := range env.processes {
		_ = c.Process.Signal(syscall.SIGCONT) // one that ended already can't be signalled, nor need it be
		_ = c.Process.Signal(syscall.SIGTERM)
	}
	late := time.After(6 * time.Second)
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
