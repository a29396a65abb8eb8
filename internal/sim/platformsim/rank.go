// Package platformsim is the stand-in for the platform: it lists back ends, marks those that were
// warned, and probes edge nodes.
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

type platform struct {
	mu    sync.Mutex
	list  map[string]contract.ListedWorker
	probe map[string]string
	h     *http.Client
}

// Start runs the platform; its first list is a file named by the word `list`.
//
// Example: daemon.Main(programs.PlatformSim, "a simulated platform", need, platformsim.Start)
func Start(l *daemon.Process) error {
	p := &platform{list: map[string]contract.ListedWorker{}, probe: map[string]string{},
		h: &http.Client{Timeout: time.Second, Transport: &http.Transport{DialContext: l.Dial}}}
	l.OnStop(p.h.CloseIdleConnections)
	if f := l.Settings.Option("list", ""); f != "" {
		raw, err := os.ReadFile(f)
		var ls []contract.ListedWorker
		if err == nil {
			err = json.Unmarshal(raw, &ls)
		}
		if err != nil {
			return errs.WrapAs(err, errs.BadInput, "read list "+f)
		}
		for _, x := range ls {
			p.list[x.Name] = x
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/workers", p.get)
	mux.HandleFunc("POST /v1/workers", p.set)
	mux.HandleFunc("DELETE /v1/workers/{name}", p.drop)
	mux.HandleFunc("POST /v1/warn/{name}", p.warn)
	mux.HandleFunc("GET /v1/probes", p.probes)
	for _, s := range l.Settings.Seeds {
		l.Every(time.Second, func() { p.ask(s) })
	}
	if err := l.Serve(l.Settings.Public, mux); err != nil {
		return err
	}
	l.Ready.Store(true)
	return nil
}

func (p *platform) get(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	ls := make([]contract.ListedWorker, 0, len(p.list))
	for _, x := range p.list {
		ls = append(ls, x)
	}
	p.mu.Unlock()
	sort.Slice(ls, func(i, j int) bool { return ls[i].Name < ls[j].Name })
	contract.WriteJSON(w, 200, ls)
}

func (p *platform) set(w http.ResponseWriter, r *http.Request) {
	var x contract.ListedWorker
	if err := json.NewDecoder(io.LimitReader(r.Body, 4096)).Decode(&x); err != nil || x.Name == "" || x.Addr == "" {
		http.Error(w, "give name and addr", 400)
		return
	}
	p.mu.Lock()
	p.list[x.Name] = x
	p.mu.Unlock()
}

func (p *platform) drop(_ http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	delete(p.list, r.PathValue("name"))
	p.mu.Unlock()
}

func (p *platform) warn(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	x, ok := p.list[r.PathValue("name")]
	if !ok {
		http.Error(w, "no such worker", 404)
		return
	}
	x.Draining = true
	p.list[x.Name] = x
}

func (p *platform) ask(addr string) {
	said := "ok"
	r, err := p.h.Get("http://" + addr + "/healthz")
	if err != nil {
		said = err.Error()
	} else {
		r.Body.Close()
	}
	p.mu.Lock()
	p.probe[addr] = said
	p.mu.Unlock()
}

func (p *platform) probes(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	contract.WriteJSON(w, 200, p.probe)
}
