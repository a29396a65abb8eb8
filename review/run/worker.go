package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// partKey names a part of a prompt as a worker keeps it: workers find parts under the same salt only.
type partKey struct{ salt, id, model string }

// use is one use of a kept part by a request.
type use struct {
	at             time.Time
	request        string
	tenant, maker  string
	part           partKey
	makerRequestID string
}

// keptPart is a part that a worker keeps, with the request that made it.
type keptPart struct {
	tenant, request string
	tokens          int
}

// worker is a stand-in for a model worker. It keeps every part that it has read.
type worker struct {
	site    *site
	id      string
	address string
	service string
	model   string

	mu     sync.Mutex
	kept   map[partKey]keptPart
	events [][]any
	uses   []use
	runs   map[string]int // number of runs, by request id
	bytes  int64          // bytes of bodies that were received whole
}

const workerSlots = 128

func startWorker(s *site, machine, id, service, model string) (*worker, error) {
	s.addMachine(machine)
	w := &worker{site: s, id: id, address: s.address(machine, workerOffset), service: service, model: model, kept: map[partKey]keptPart{}, runs: map[string]int{}}
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(listener, w) }()
	return w, nil
}

func (w *worker) instance() instance {
	return instance{ID: w.id, Service: w.service, Address: w.address, Zone: "quito-norte", Version: "v1", Slots: workerSlots, State: "ready",
		Stage: "prefill_decode", Models: []map[string]any{{"name": w.model, "configVersion": 1, "adapters": []string{}}}}
}

// ServeHTTP answers the platform's calls and runs requests.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		rw.Header().Set("X-Instance-Id", w.id)
	case "/pebbleloom/report":
		w.writeJSON(rw, map[string]any{"stage": "prefill_decode", "models": w.instance().Models, "busy": false, "callSequence": 0,
			"queuedRequests": 0, "activeRequests": 0, "kvUsedTokens": 0, "kvTotalTokens": 319789, "handles": 0})
	case "/pebbleloom/kv-events":
		w.serveEvents(rw, r)
	case "/pebbleloom/kv-list":
		w.serveList(rw)
	case "/pebbleloom/order":
		rw.WriteHeader(http.StatusOK)
	default:
		w.run(rw, r)
	}
}

func (w *worker) writeJSON(rw http.ResponseWriter, value any) {
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(value)
}

const bootEpoch = 77120

func (w *worker) serveEvents(rw http.ResponseWriter, r *http.Request) {
	since, _ := strconv.Atoi(r.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
	for deadline := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(20 * time.Millisecond) {
		w.mu.Lock()
		newer := append([][]any{}, w.events[min(since, len(w.events)):]...)
		next := len(w.events)
		w.mu.Unlock()
		if len(newer) > 0 || time.Now().After(deadline) {
			w.writeJSON(rw, map[string]any{"bootEpoch": bootEpoch, "nextPageToken": next, "lost": false, "events": newer})
			return
		}
	}
}

func (w *worker) serveList(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	held := [][]any{}
	for key, part := range w.kept {
		held = append(held, []any{key.salt, key.id, part.tokens, key.model})
	}
	w.writeJSON(rw, map[string]any{"bootEpoch": bootEpoch, "nextPageToken": len(w.events), "held": held})
}

// run runs a request: it reads the body, uses the parts that it keeps, reads and keeps the others, and streams three
// events.
func (w *worker) run(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	rw.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	count, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	used := w.usePrompt(r, count)
	w.site.record.line("worker %s: runs %s for tenant %q, salt %q, body of %d bytes%s", w.id, id, r.Header.Get("X-Tenant"), r.Header.Get("X-Cache-Salt"), count, used)
	rw.Header().Set("X-Server-Seal", "seal."+id)
	rw.Header().Set("X-Weight-Versions", "1")
	rw.Header().Set("X-Instance-Load", fmt.Sprintf("1,0,%d", workerSlots))
	rw.Header().Set("Content-Type", "text/event-stream")
	for event := 1; event <= 3; event++ {
		fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", event, event, id)
		rw.(http.Flusher).Flush()
		time.Sleep(5 * time.Millisecond)
	}
}

// usePrompt takes the prompt's kept parts from the first on, keeps the rest as read now, and returns a text for the
// record.
func (w *worker) usePrompt(r *http.Request, body int64) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	id, tenant := r.Header.Get("X-Attempt-Id"), r.Header.Get("X-Tenant")
	w.runs[id]++
	w.bytes += body
	var text strings.Builder
	isKept := true
	for item := range strings.SplitSeq(r.Header.Get("X-Prompt-Prefix"), ",") {
		name, tokens, ok := strings.Cut(strings.TrimSpace(item), ":")
		if !ok {
			continue
		}
		key := partKey{r.Header.Get("X-Cache-Salt"), name, r.Header.Get("X-Model")}
		part, known := w.kept[key]
		if isKept = isKept && known; isKept {
			w.uses = append(w.uses, use{time.Now(), id, tenant, part.tenant, key, part.request})
			fmt.Fprintf(&text, ", uses part %s made by %s of tenant %q", name, part.request, part.tenant)
			continue
		}
		number, _ := strconv.Atoi(tokens)
		w.kept[key] = keptPart{tenant, id, number}
		w.events = append(w.events, []any{len(w.events) + 1, "+", key.salt, name, number, key.model})
		fmt.Fprintf(&text, ", reads part %s", name)
	}
	return text.String()
}
