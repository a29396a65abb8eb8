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

// Fleet is a site whose processes run in an Environment.
type Fleet struct {
	Site   *Site
	Dir    string // folder of the settings, data and logs
	env    Environment
	client *http.Client
}

const (
	firstConfigTimeout = 60 * time.Second       // time limit until an operator address accepts the first configuration
	startPollPause     = 200 * time.Millisecond // pause between two polls of a site that is starting
)

func newFleet(site *Site, dir string, env Environment) *Fleet {
	return &Fleet{Site: site, Dir: dir, env: env, client: &http.Client{Transport: &http.Transport{DialContext: env.Dial}}}
}

// Up starts every process of a site on this machine, applies the first configuration and waits until all processes are
// ready.
//
// Example: fleet, err := testbed.Up(ctx, site, "/tmp/run", "bin")
func Up(ctx context.Context, site *Site, dir, programs string) (*Fleet, error) {
	return startSite(ctx, site, dir, newLocalEnvironment(dir, programs), 0)
}

// startSite starts a site, applies its first configuration and waits until all processes are ready. If startDelay is
// over 0, it waits instead until that time has passed since the first process was started, whether the site is ready or
// not.
func startSite(ctx context.Context, site *Site, dir string, env Environment, startDelay time.Duration) (*Fleet, error) {
	startedAt := time.Now()
	fleet := newFleet(site, dir, env)
	if err := site.Write(dir); err != nil {
		return nil, err
	}
	for _, process := range site.Processes {
		if err := errs.Wrap(env.WriteSettings(process), "write the settings of process "+process.Name); err != nil {
			return nil, err
		}
		if err := fleet.Start(process.Name); err != nil {
			fleet.Stop()
			return nil, err
		}
	}
	err := fleet.applyFirstConfig(ctx)
	if err == nil && startDelay == 0 {
		err = fleet.awaitReady(ctx)
	} else if err == nil {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(startedAt.Add(startDelay))):
		}
	}
	if err != nil {
		fleet.Stop()
		return nil, err
	}
	return fleet, nil
}

func (f *Fleet) process(name string) (Process, error) {
	for _, process := range f.Site.Processes {
		if process.Name == name {
			return process, nil
		}
	}
	return Process{}, errs.New(errs.NotFound, "the site has no process %q", name)
}

// Start starts or restarts a process.
//
// Example: err := fleet.Start("runner-edge-1")
func (f *Fleet) Start(name string) error {
	process, err := f.process(name)
	if err != nil {
		return err
	}
	return f.env.Start(process)
}

// Signal sends a signal to a process that this fleet started.
//
// Example: err := fleet.Signal("runner-edge-1", syscall.SIGKILL)
func (f *Fleet) Signal(name string, s syscall.Signal) error { return f.env.Signal(name, s) }

// Stop ends every process that this fleet started.
//
// Example: defer fleet.Stop()
func (f *Fleet) Stop() {
	f.env.Stop()
	f.client.CloseIdleConnections()
}

// applyFirstConfig sends the site's first configuration to the operator addresses in turn until one accepts it. It fails
// with errs.OutcomeUnknown after firstConfigTimeout.
func (f *Fleet) applyFirstConfig(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, firstConfigTimeout)
	defer cancel()
	raw, err := json.Marshal(map[string]any{"setup": f.Site.Config, "token": "first", "if_epoch": 0})
	if err != nil {
		return errs.Wrap(err, "encode the first configuration as JSON")
	}
	last := "no operator address answered"
	for i := 0; ctx.Err() == nil; i++ {
		code, body := f.Post(ctx, f.Site.Operators[i%len(f.Site.Operators)], "/v1/setup", raw)
		if code == 200 {
			return nil
		}
		last = fmt.Sprintf("response with status %d and body %s", code, body)
		time.Sleep(startPollPause)
	}
	return errs.New(errs.OutcomeUnknown, "first configuration was not accepted within %v; last response: %s", firstConfigTimeout, last)
}

// awaitReady polls until every process reports that it is ready and the main model's service has a placement.
func (f *Fleet) awaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		ready := 0
		for _, process := range f.Site.Processes {
			addr := process.Settings.Public
			if addr == "" {
				addr = process.Settings.Listen
			}
			if response, err := f.client.Get("http://" + addr + "/readyz"); err == nil {
				if response.Body.Close(); response.StatusCode == 200 {
					ready++
				}
			}
		}
		if ready == len(f.Site.Processes) && f.hasPlacement(ctx) {
			return nil
		}
		time.Sleep(startPollPause)
	}
	return errs.New(errs.OutcomeUnknown, "the site did not become ready before the run was cancelled: see the logs in %s", f.Dir)
}

func (f *Fleet) hasPlacement(ctx context.Context) bool {
	code, _ := f.Get(ctx, f.Site.Operators[0], "/v1/placements/"+mainService(f.Site.Traffic.Model))
	return code == 200
}

// Journals reads the runs of requests from the journal of every worker, including killed ones. The result is keyed by
// worker name.
//
// Example: journals, err := fleet.Journals()
func (f *Fleet) Journals() (map[string][]workersim.Run, error) {
	return f.readJournals(func(r workersim.Run) bool { return r.FencingToken == 0 })
}

// Orders reads the orders that the workers executed, such as to load or unload a model, from their journals. The result
// is keyed by worker name.
//
// Example: orders, err := fleet.Orders()
func (f *Fleet) Orders() (map[string][]workersim.Run, error) {
	return f.readJournals(func(r workersim.Run) bool { return r.FencingToken > 0 })
}

func (f *Fleet) readJournals(include func(workersim.Run) bool) (map[string][]workersim.Run, error) {
	byWorker := map[string][]workersim.Run{}
	var batch errs.Batch
	for name := range f.Site.Workers {
		process, err := f.process(name)
		if batch.Add(name, err); err == nil {
			runs, err := f.env.Journal(process)
			batch.Add(name, err)
			byWorker[name] = slices.DeleteFunc(runs, func(r workersim.Run) bool { return !include(r) })
		}
	}
	return byWorker, batch.Err()
}

func (f *Fleet) call(request *http.Request, err error) (int, string) {
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := f.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	var body bytes.Buffer
	if _, err := body.ReadFrom(response.Body); err != nil {
		return response.StatusCode, err.Error()
	}
	return response.StatusCode, body.String()
}

// Post sends JSON to an operator address and returns the HTTP status and the body of the response. If there was no
// response, the status is 0 and the body is the text of the error.
//
// Example: code, body := fleet.Post(ctx, addr, "/v1/setup", raw)
func (f *Fleet) Post(ctx context.Context, addr, path string, raw []byte) (int, string) {
	return f.call(http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(raw)))
}

// Get sends a GET request to an operator address and returns the HTTP status and the body of the response, or 0 and the
// text of the error.
//
// Example: code, body := fleet.Get(ctx, addr, "/v1/nodes")
func (f *Fleet) Get(ctx context.Context, addr, path string) (int, string) {
	return f.call(http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil))
}
