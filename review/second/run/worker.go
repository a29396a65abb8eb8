package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a sound model worker that follows PROTOCOL, without a prompt cache of its own.
type worker struct {
	id, addr, zone string
	slots          int
	record         *recorder
	running        atomic.Int64

	mu     sync.Mutex
	runs   map[string]run
	kept   map[keptPart]madeBy
	events []any // events of kept parts, oldest first
}

// keptPart is a part of a prompt that a worker keeps: the salt and the part's ID.
type keptPart struct{ salt, id string }

// madeBy is the request that made a part, and its X-Tenant.
type madeBy struct{ id, tenant string }

// run is one run of a request.
type run struct {
	tenant   string   // X-Tenant
	usedOf   []string // by part that the run used: X-Tenant of the request that made it
	usedFrom []string // by part that the run used: the request that made it
}

func (w *worker) serve(machine string) error {
	w.addr, w.runs, w.kept = fmt.Sprintf("%s:%d", machine, portWorker), map[string]run{}, map[keptPart]madeBy{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(out http.ResponseWriter, _ *http.Request) { out.Header().Set("X-Instance-Id", w.id) })
	mux.HandleFunc("GET /pebbleloom/report", func(out http.ResponseWriter, _ *http.Request) {
		answer(out, map[string]any{"stage": "prefill_decode", "models": w.models(), "busy": false, "callSequence": 0, "queuedRequests": 0,
			"activeRequests": w.running.Load(), "kvUsedTokens": 0, "kvTotalTokens": 319789, "handles": 0})
	})
	mux.HandleFunc("GET /pebbleloom/kv-events", w.serveEvents)
	mux.HandleFunc("GET /pebbleloom/kv-list", func(out http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		held := []any{}
		for part := range w.kept {
			held = append(held, []any{part.salt, part.id, 400, modelName})
		}
		answer(out, map[string]any{"bootEpoch": 7, "nextPageToken": len(w.events), "held": held})
	})
	mux.HandleFunc("/", w.run)
	server := &http.Server{Addr: w.addr, Handler: mux}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	select {
	case err := <-failed:
		return err
	case <-time.After(50 * time.Millisecond):
		return nil
	}
}

func (w *worker) models() []any {
	return []any{map[string]any{"name": modelName, "configVersion": 1, "adapters": []string{}}}
}

func answer(out http.ResponseWriter, body any) {
	text, _ := json.Marshal(body)
	out.Header().Set("Content-Type", "application/json")
	_, _ = out.Write(text)
}

// run answers a request with a stream of three events.
func (w *worker) run(out http.ResponseWriter, in *http.Request) {
	id, header := in.Header.Get("X-Attempt-Id"), out.Header()
	header.Set("X-Attempt-Id", id)
	size, err := io.Copy(io.Discard, in.Body)
	if err != nil {
		return
	}
	if expected := in.Header.Get("X-Expected-Instance"); expected != "" && expected != w.id {
		header.Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.running.Add(1)
	defer w.running.Add(-1)
	started := w.start(id, in.Header)
	w.record.add("worker %s runs %s (%d bytes) of tenant %q under salt %q; it uses memory made by %q (X-Tenant %q)", w.id, id, size, started.tenant,
		in.Header.Get("X-Cache-Salt"), started.usedFrom, started.usedOf)
	header.Set("X-Server-Seal", "seal-"+id)
	header.Set("X-Weight-Versions", "1")
	header.Set("X-Instance-Load", fmt.Sprintf("%d,0,%d", w.running.Load(), w.slots))
	header.Set("Content-Type", "text/event-stream")
	for event := 1; event <= 3; event++ {
		fmt.Fprintf(out, "id: %d\ndata: %s\n\n", event, id)
		_ = http.NewResponseController(out).Flush()
		select {
		case <-time.After(20 * time.Millisecond):
		case <-in.Context().Done():
			return
		}
	}
}

// start records a run: it uses the parts that are kept under its salt, from the first on, and makes the others.
func (w *worker) start(id string, header http.Header) run {
	w.mu.Lock()
	defer w.mu.Unlock()
	started, salt, found := run{tenant: header.Get("X-Tenant")}, header.Get("X-Cache-Salt"), true
	for text := range strings.SplitSeq(header.Get("X-Prompt-Prefix"), ",") {
		name, _, _ := strings.Cut(text, ":")
		part := keptPart{salt, name}
		maker, isKept := w.kept[part]
		if found = found && isKept; found {
			started.usedOf, started.usedFrom = append(started.usedOf, maker.tenant), append(started.usedFrom, maker.id)
			continue
		}
		w.kept[part] = madeBy{id, started.tenant}
		w.events = append(w.events, []any{len(w.events) + 1, "+", salt, name, 400, modelName})
	}
	w.runs[id] = started
	return started
}

// serveEvents answers with the events behind a number. It waits for some as long as the caller allows.
func (w *worker) serveEvents(out http.ResponseWriter, in *http.Request) {
	wait, _ := strconv.Atoi(in.Header.Get("Wait-Ms"))
	since, _ := strconv.Atoi(in.URL.Query().Get("since"))
	for end := time.Now().Add(time.Duration(min(wait, 1000)) * time.Millisecond); ; time.Sleep(20 * time.Millisecond) {
		w.mu.Lock()
		events, next := []any{}, len(w.events)
		if since < next {
			events = append(events, w.events[since:]...)
		}
		w.mu.Unlock()
		if len(events) > 0 || time.Now().After(end) {
			answer(out, map[string]any{"bootEpoch": 7, "nextPageToken": next, "lost": false, "events": events})
			return
		}
	}
}

// platform is the list of workers.
type platform struct {
	addr    string
	workers []*worker
}

func (p *platform) serve() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(out http.ResponseWriter, _ *http.Request) {
		list := []any{}
		for _, w := range p.workers {
			list = append(list, map[string]any{"instanceId": w.id, "targetService": serviceName, "address": w.addr, "zone": w.zone, "configVersion": "v1",
				"slots": w.slots, "state": "ready", "coldRemainingMs": 0, "stage": "prefill_decode", "models": w.models()})
		}
		answer(out, map[string]any{"instances": list, "nextPageToken": nil})
	})
	server := &http.Server{Addr: p.addr, Handler: mux}
	failed := make(chan error, 1)
	go func() { failed <- server.ListenAndServe() }()
	select {
	case err := <-failed:
		return err
	case <-time.After(50 * time.Millisecond):
		return nil
	}
}
