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

// Ground is what a site runs on: processes of this machine, or a table on virtual time. Both
// run the same programs, and what is done to them is the same.
type Ground interface {
	Start(p Process) error
	Signal(name string, s syscall.Signal) error
	Put(p Process) error // writes the settings that it is started with next
	Wipe(p Process) error
	Switch(p Process, what, word string) error // "disk": full, sync, stall MS; "wall": MS; "" takes it back
	Journal(p Process) ([]workersim.Run, error)
	Link(from, to string, r Rule) error
	Heal()
	Dial(ctx context.Context, network, addr string) (net.Conn, error) // as people and callers do
	Down()
}

// machines is the ground of real processes.
type machines struct {
	dir, bin string
	links    *Links // nil: the site has none
	old      string // the folder of an earlier release, in upgrades
	mu       sync.Mutex
	proc     map[string]*exec.Cmd
	done     map[string]chan struct{}
}

func newMachines(dir, bin string) *machines {
	return &machines{dir: dir, bin: bin, proc: map[string]*exec.Cmd{}, done: map[string]chan struct{}{}}
}

func (m *machines) Start(p Process) error {
	log, err := os.OpenFile(filepath.Join(m.dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errs.Wrap(err, "open log")
	}
	bin := p.Bin
	if bin == "" {
		bin = m.bin
	}
	c := exec.Command(programs.Find(bin, p.Program), "--settings", filepath.Join(m.dir, p.Name+".json"))
	c.Stdout, c.Stderr = log, log
	// Small machines: two threads at once, and a heap that stays within 200 MB a machine.
	c.Env = append(os.Environ(), "GOMAXPROCS=2", "GOMEMLIMIT=60MiB")
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		log.Close()
		return errs.Wrap(err, "start "+p.Name)
	}
	d := make(chan struct{})
	m.mu.Lock()
	m.proc[p.Name], m.done[p.Name] = c, d
	m.mu.Unlock()
	go func() {
		_ = c.Wait() // how it ended is in its log
		log.Close()
		close(d)
	}()
	return nil
}

func (m *machines) Signal(name string, s syscall.Signal) error {
	m.mu.Lock()
	c, d := m.proc[name], m.done[name]
	m.mu.Unlock()
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

func (m *machines) Put(p Process) error { return m.settingsOf(p) }

func (m *machines) Wipe(p Process) error { return os.RemoveAll(p.Place.Data) }

// Switch writes the file that the program looks at, where its place names one.
func (m *machines) Switch(p Process, what, word string) error {
	f := filepath.Join(m.dir, p.Place.Name+map[string]string{"disk": ".fault", "wall": ".wall"}[what])
	if word == "" {
		return os.Remove(f)
	}
	return os.WriteFile(f, []byte(word), 0o644)
}

func (m *machines) Journal(p Process) ([]workersim.Run, error) {
	f, err := os.Open(filepath.Join(m.dir, p.Name+".runs"))
	if err != nil {
		return nil, errs.Wrap(err, "open journal")
	}
	defer f.Close()
	return loadgen.ReadJournal(f)
}

func (m *machines) Link(from, to string, r Rule) error {
	if m.links == nil {
		return errs.New(errs.BadInput, "the scenario has no links: set \"links\": true")
	}
	m.links.Set(from, to, r)
	return nil
}

func (m *machines) Heal() {
	if m.links != nil {
		m.links.Heal()
	}
}

func (m *machines) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, addr)
}

func (m *machines) Down() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.proc {
		_ = c.Process.Signal(syscall.SIGCONT) // one that ended already can't be signalled, nor need it be
		_ = c.Process.Signal(syscall.SIGTERM)
	}
	late := time.After(6 * time.Second)
	for n, d := range m.done {
		select {
		case <-d:
		case <-late:
			_ = m.proc[n].Process.Kill()
			<-d
		}
	}
	if m.links != nil {
		m.links.Down()
	}
}
