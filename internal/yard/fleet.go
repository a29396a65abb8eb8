package yard

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"pebbleloom/internal/cab"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fares"
)

// Fleet is a site that runs.
type Fleet struct {
	Site *Site
	Dir  string
	bin  string
	mu   sync.Mutex
	proc map[string]*exec.Cmd
	done map[string]chan struct{}
}

func newFleet(s *Site, dir, bin string) *Fleet {
	return &Fleet{Site: s, Dir: dir, bin: bin, proc: map[string]*exec.Cmd{}, done: map[string]chan struct{}{}}
}

// Up starts every process of a site and waits until it serves its first setup.
//
// Example: f, err := yard.Up(ctx, site, "/tmp/run", "bin")
func Up(ctx context.Context, s *Site, dir, bin string) (*Fleet, error) {
	f := newFleet(s, dir, bin)
	if err := s.Write(dir); err != nil {
		return nil, err
	}
	for _, p := range s.Processes {
		if err := f.Start(p.Name); err != nil {
			f.Down()
			return nil, err
		}
	}
	if err := f.first(ctx); err != nil {
		f.Down()
		return nil, err
	}
	return f, nil
}

// Start starts one process, or starts it again.
//
// Example: err := f.Start("cab-3")
func (f *Fleet) Start(name string) error {
	for _, p := range f.Site.Processes {
		if p.Name != name {
			continue
		}
		log, err := os.OpenFile(filepath.Join(f.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return errs.Wrap(err, "open log")
		}
		c := exec.Command(filepath.Join(f.bin, p.Program), "--settings", filepath.Join(f.Dir, name+".json"))
		c.Stdout, c.Stderr = log, log
		// Small machines: two threads at once, and a heap that stays within 200 MB a machine.
		c.Env = append(os.Environ(), "GOMAXPROCS=2", "GOMEMLIMIT=60MiB")
		c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := c.Start(); err != nil {
			log.Close()
			return errs.Wrap(err, "start "+name)
		}
		d := make(chan struct{})
		f.mu.Lock()
		f.proc[name], f.done[name] = c, d
		f.mu.Unlock()
		go func() {
			_ = c.Wait() // how it ended is in its log
			log.Close()
			close(d)
		}()
		return nil
	}
	return errs.New(errs.NotFound, "process %q", name)
}

// Signal sends a signal to one process that this fleet started.
//
// Example: err := f.Signal("cab-3", syscall.SIGKILL)
func (f *Fleet) Signal(name string, s syscall.Signal) error {
	f.mu.Lock()
	c, d := f.proc[name], f.done[name]
	f.mu.Unlock()
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

// Down ends every process that this fleet started.
//
// Example: defer f.Down()
func (f *Fleet) Down() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.proc {
		_ = c.Process.Signal(syscall.SIGCONT) // one that ended already can't be signalled, nor need it be
		_ = c.Process.Signal(syscall.SIGTERM)
	}
	late := time.After(6 * time.Second)
	for n, d := range f.done {
		select {
		case <-d:
		case <-late:
			_ = f.proc[n].Process.Kill()
			<-d
		}
	}
}

// first applies the site's first setup through any operator address, and waits until every
// edge is ready.
func (f *Fleet) first(ctx context.Context) error {
	ctx, end := context.WithTimeout(ctx, 60*time.Second)
	defer end()
	raw, err := json.Marshal(map[string]any{"setup": f.Site.Setup, "token": "first", "if_epoch": 0})
	if err != nil {
		return errs.Wrap(err, "write first setup")
	}
	last := "nothing answered"
	for i := 0; ctx.Err() == nil; i++ {
		code, said := Post(ctx, f.Site.Operators[i%len(f.Site.Operators)], "/v1/setup", raw)
		if code == 200 {
			return f.ready(ctx)
		}
		last = fmt.Sprintf("%d %s", code, said)
		time.Sleep(200 * time.Millisecond)
	}
	return errs.New(errs.CantSay, "first setup: %s", last)
}

func (f *Fleet) ready(ctx context.Context) error {
	for ctx.Err() == nil {
		n := 0
		for _, p := range f.Site.Processes {
			a := p.Place.Public
			if a == "" {
				a = p.Place.Listen
			}
			if r, err := http.Get("http://" + a + "/readyz"); err == nil {
				if r.Body.Close(); r.StatusCode == 200 {
					n++
				}
			}
		}
		if n == len(f.Site.Processes) && f.placed(ctx) {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errs.New(errs.CantSay, "the site isn't ready: see the logs in %s", f.Dir)
}

func (f *Fleet) placed(ctx context.Context) bool {
	code, _ := Get(ctx, f.Site.Operators[0], "/v1/placements/"+f.Site.Traffic.Model+"-main")
	return code == 200
}

// Journals reads what every worker has run, killed ones included.
//
// Example: js, err := f.Journals()
func (f *Fleet) Journals() (map[string][]cab.Run, error) {
	m := map[string][]cab.Run{}
	var b errs.Batch
	for n := range f.Site.Cabs {
		l, err := fares.ReadJournal(filepath.Join(f.Dir, n+".runs"))
		b.Note(n, err)
		m[n] = l
	}
	return m, b.Look()
}

func do(q *http.Request, err error) (int, string) {
	if err != nil {
		return 0, err.Error()
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer r.Body.Close()
	var b bytes.Buffer
	if _, err := b.ReadFrom(r.Body); err != nil {
		return r.StatusCode, err.Error()
	}
	return r.StatusCode, b.String()
}

// Post sends JSON to an operator address.
//
// Example: code, said := yard.Post(ctx, addr, "/v1/setup", raw)
func Post(ctx context.Context, addr, path string, raw []byte) (int, string) {
	return do(http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(raw)))
}

// Get reads from an operator address.
//
// Example: code, said := yard.Get(ctx, addr, "/v1/nodes")
func Get(ctx context.Context, addr, path string) (int, string) {
	return do(http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil))
}
