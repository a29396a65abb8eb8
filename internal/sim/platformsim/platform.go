// Package platformsim simulates the platform that operates a site's workers: it lists the workers, marks those that it
// will terminate as draining, and probes the health of the site's seed nodes.
package platformsim

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"sort"
	"sync"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/errs"
)

const (
	probeInterval = time.Second
	probeTimeout  = time.Second
	maxBody       = 4096 // maximum size of a request's body in bytes
)

// platform is the state of the simulated platform.
type platform struct {
	mu           sync.Mutex
	workers      map[string]contract.ListedWorker
	probeResults map[string]string // latest result of the health check by address: "ok" or the error
	client       *http.Client
}

// Start starts the simulated platform. Its option "list" is the path of a JSON file with the initial list of workers.
//
// Example: daemon.Main(programs.PlatformSim, "a simulated platform", need, platformsim.Start)
func Start(process *daemon.Process) error {
	platform := &platform{workers: map[string]contract.ListedWorker{}, probeResults: map[string]string{},
		client: &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DialContext: process.Dial}}}
	process.OnStop(platform.client.CloseIdleConnections)
	if file := process.Settings.Option("list", ""); file != "" {
		raw, err := os.ReadFile(file)
		var workers []contract.ListedWorker
		if err == nil {
			err = json.Unmarshal(raw, &workers)
		}
		if err != nil {
			return errs.WrapAs(err, errs.BadInput, "read worker list "+file)
		}
		for _, worker := range workers {
			platform.workers[worker.Name] = worker
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/workers", platform.listWorkers)
	mux.HandleFunc("POST /v1/workers", platform.putWorker)
	mux.HandleFunc("DELETE /v1/workers/{name}", platform.deleteWorker)
	mux.HandleFunc("POST /v1/warn/{name}", platform.warnWorker)
	mux.HandleFunc("GET /v1/probes", platform.listProbes)
	for _, s := range process.Settings.Seeds {
		process.Every(probeInterval, func() { platform.probe(s) })
	}
	if err := process.Serve(process.Settings.Public, mux); err != nil {
		return err
	}
	process.Ready.Store(true)
	return nil
}

func (p *platform) listWorkers(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	workers := make([]contract.ListedWorker, 0, len(p.workers))
	for _, worker := range p.workers {
		workers = append(workers, worker)
	}
	p.mu.Unlock()
	sort.Slice(workers, func(i, j int) bool { return workers[i].Name < workers[j].Name })
	contract.WriteJSON(w, 200, workers)
}

func (p *platform) putWorker(w http.ResponseWriter, r *http.Request) {
	var x contract.ListedWorker
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&x); err != nil || x.Name == "" || x.Addr == "" {
		http.Error(w, "worker must have a name and an addr", 400)
		return
	}
	p.mu.Lock()
	p.workers[x.Name] = x
	p.mu.Unlock()
}

func (p *platform) deleteWorker(_ http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	delete(p.workers, r.PathValue("name"))
	p.mu.Unlock()
}

func (p *platform) warnWorker(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x, ok := p.workers[r.PathValue("name")]
	if !ok {
		http.Error(w, "worker "+r.PathValue("name")+" is not in the platform's list of workers", 404)
		return
	}
	x.Draining = true
	p.workers[x.Name] = x
}

func (p *platform) probe(addr string) {
	result := "ok"
	r, err := p.client.Get("http://" + addr + "/healthz")
	if err != nil {
		result = err.Error()
	} else {
		r.Body.Close()
	}
	p.mu.Lock()
	p.probeResults[addr] = result
	p.mu.Unlock()
}

func (p *platform) listProbes(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	contract.WriteJSON(w, 200, p.probeResults)
}
