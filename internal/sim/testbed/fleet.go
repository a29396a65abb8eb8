package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"

	"pebbleloom/internal/errs"
	"pebbleloom/internal/sim/workersim"
)

// Fleet is a site that runs.
type Fleet struct {
	Site   *Site
	Dir    string
	env    Environment
	client *http.Client
}

func newFleet(site *Site, dir string, env Environment) *Fleet {
	return &Fleet{Site: site, Dir: dir, env: env, client: &http.Client{Transport: &http.Transport{DialContext: env.Dial}}}
}

// Up starts every process of a site on this machine, and waits until it serves its first setup.
//
// Example: f, err := testbed.Up(ctx, site, "/tmp/run", "bin")
func Up(ctx context.Context, s *Site, dir, bin string) (*Fleet, error) {
	return startSite(ctx, s, dir, newLocalEnvironment(dir, bin), 0)
}

// startSite starts a site, and waits until all is ready; or, cold, only as long as said from the
// start of its machines, whatever is ready then.
func startSite(ctx context.Context, site *Site, dir string, env Environment, coldStart time.Duration) (*Fleet, error) {
	begun := time.Now()
	fleet := newFleet(site, dir, env)
	if err := site.Write(dir); err != nil {
		return nil, err
	}
	for _, process := range site.Processes {
		if err := errs.Wrap(env.WriteSettings(process), "write settings"); err != nil {
			return nil, err
		}
		if err := fleet.Start(process.Name); err != nil {
			fleet.Stop()
			return nil, err
		}
	}
	err := fleet.applyFirstConfig(ctx)
	if err == nil && coldStart == 0 {
		err = fleet.awaitReady(ctx)
	} else if err == nil {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(begun.Add(coldStart))):
		}
	}
	if err != nil {
		fleet.Stop()
		return nil, err
	}
	return fleet, nil
}

func (f *Fleet) process(name string) (Process, error) {
	for _, p := range f.Site.Processes {
		if p.Name == name {
			return p, nil
		}
	}
	return Process{}, errs.New(errs.NotFound, "process %q", name)
}

// Start starts one process, or starts it again.
//
// Example: err := f.Start("cab-3")
func (f *Fleet) Start(name string) error {
	p, err := f.process(name)
	if err != nil {
		return err
	}
	return f.env.Start(p)
}

// Signal sends a signal to one process that this fleet started.
//
// Example: err := f.Signal("cab-3", syscall.SIGKILL)
func (f *Fleet) Signal(name string, s syscall.Signal) error { return f.env.Signal(name, s) }

// Stop ends every process that this fleet started.
//
// Example: defer f.Down()
func (f *Fleet) Stop() {
	f.env.Stop()
	f.client.CloseIdleConnections()
}

// applyFirstConfig applies the site's first setup through any operator address.
func (f *Fleet) applyFirstConfig(ctx context.Context) error {
	ctx, end := context.WithTimeout(ctx, 60*time.Second)
	defer end()
	raw, err := json.Marshal(map[string]any{"setup": f.Site.Config, "token": "first", "if_epoch": 0})
	if err != nil {
		return errs.Wrap(err, "write first setup")
	}
	last := "nothing answered"
	for i := 0; ctx.Err() == nil; i++ {
		code, body := f.Post(ctx, f.Site.Operators[i%len(f.Site.Operators)], "/v1/setup", raw)
		if code == 200 {
			return nil
		}
		last = fmt.Sprintf("%d %s", code, body)
		time.Sleep(200 * time.Millisecond)
	}
	return errs.New(errs.OutcomeUnknown, "first setup: %s", last)
}

func (f *Fleet) awaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		n := 0
		for _, p := range f.Site.Processes {
			a := p.Settings.Public
			if a == "" {
				a = p.Settings.Listen
			}
			if r, err := f.client.Get("http://" + a + "/readyz"); err == nil {
				if r.Body.Close(); r.StatusCode == 200 {
					n++
				}
			}
		}
		if n == len(f.Site.Processes) && f.hasPlacement(ctx) {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errs.New(errs.OutcomeUnknown, "the site isn't ready: see the logs in %s", f.Dir)
}

func (f *Fleet) hasPlacement(ctx context.Context) bool {
	code, _ := f.Get(ctx, f.Site.Operators[0], "/v1/placements/"+mainService(f.Site.Traffic.Model))
	return code == 200
}

// Journals reads what every worker has run, killed ones included.
//
// Example: js, err := f.Journals()
func (f *Fleet) Journals() (map[string][]workersim.Run, error) {
	return f.readJournals(func(r workersim.Run) bool { return r.FencingToken == 0 })
}

// Orders reads which orders every worker has obeyed.
//
// Example: orders, err := f.Orders()
func (f *Fleet) Orders() (map[string][]workersim.Run, error) {
	return f.readJournals(func(r workersim.Run) bool { return r.FencingToken > 0 })
}

func (f *Fleet) readJournals(include func(workersim.Run) bool) (map[string][]workersim.Run, error) {
	byWorker := map[string][]workersim.Run{}
	var batch errs.Batch
	for n := range f.Site.Workers {
		p, err := f.process(n)
		if batch.Add(n, err); err == nil {
			runs, err := f.env.Journal(p)
			batch.Add(n, err)
			byWorker[n] = slices.DeleteFunc(runs, func(r workersim.Run) bool { return !include(r) })
		}
	}
	return byWorker, batch.Err()
}

func (f *Fleet) call(q *http.Request, err error) (int, string) {
	if err != nil {
		return 0, err.Error()
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := f.client.Do(q)
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
// Example: code, said := f.Post(ctx, addr, "/v1/setup", raw)
func (f *Fleet) Post(ctx context.Context, addr, path string, raw []byte) (int, string) {
	return f.call(http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(raw)))
}

// Get reads from an operator address.
//
// Example: code, said := f.Get(ctx, addr, "/v1/nodes")
func (f *Fleet) Get(ctx context.Context, addr, path string) (int, string) {
	return f.call(http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil))
}
