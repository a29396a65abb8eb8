package workersim

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/data/prefix"
)

// attempt is the execution of a start request that has a slot.
type attempt struct {
	worker  *Worker
	http    *http.Request
	rw      http.ResponseWriter
	request *contract.StartRequest
	entries []prefix.Entry
	final   contract.Chunk // last line of the response stream, with the checksum and the token counts
	run     *Run           // journal entry of the request; nil until the request has started
}

// run executes a request that has a slot: it fetches prefixes from peers, waits until no other prefill runs, checks
// again that the request may start, prefills the remaining tokens, and streams the response. It returns false if the
// context wait was done before the request could start.
func (w *Worker) run(wait context.Context, writer http.ResponseWriter, httpRequest *http.Request, request *contract.StartRequest, reject func(int, string)) bool {
	if w.injectedFault == faultSharesCache {
		request.CacheDomain = "shared"
	}
	running := &attempt{worker: w, http: httpRequest, rw: writer, request: request,
		entries: prefix.Chain(request.CacheDomain, prefix.QualifiedModel(request.Model, request.Adapter, request.Build), request.Weights, request.Parts),
		final:   contract.Chunk{RequestID: request.RequestID, Worker: w.process.Settings.Name, Weights: request.Weights, Model: request.Model, Adapter: request.Adapter, Build: request.Build}}
	running.fetchPrefixes()
	if running.final.PrefilledTokens > 0 && !w.acquire(wait, w.prefill) {
		return false
	}
	reason := running.begin()
	if running.run == nil {
		reject(409, reason)
		return true
	}
	switch w.injectedFault {
	case faultRejectsExecuted:
		reject(409, "full")
		return true
	case faultAbortsExecutions:
		panic(http.ErrAbortHandler)
	}
	current := running.cachePrefixes()
	if running.stream() && current {
		w.saveTo(httpRequest.Header.Get(contract.SaveTo), httpRequest.Header.Get(contract.SaveUpTo), running.entries)
	}
	return true
}

// fetchPrefixes gets the prompt's prefixes in order from the cache, or from the peers that the request's headers name,
// up to the first that neither has. The tokens of the remaining prefixes are counted as tokens to prefill.
func (a *attempt) fetchPrefixes() {
	sources := contract.ParseFetchFrom(a.http.Header.Get(contract.FetchFrom))
	i, startedAt := 0, time.Now()
	for ; i < len(a.entries); i++ {
		entry := a.entries[i]
		if tokens, ok := a.worker.cache.Lookup(entry.Key.String()); ok {
			a.final.CachedTokens += tokens
		} else if addr := sources[i]; addr != "" && a.worker.fetch(a.http, addr, entry.Key.String()) {
			a.final.FetchedTokens += entry.Tokens
			a.final.FetchAddr = addr
			a.final.FetchUs += time.Since(startedAt).Microseconds()
		} else {
			break
		}
		startedAt = time.Now()
	}
	for _, entry := range a.entries[i:] {
		a.final.PrefilledTokens += entry.Tokens
	}
}

// begin writes the journal entry of the request, simulates its prefill and releases the prefill semaphore. If the
// request may not start, it returns the reason.
func (a *attempt) begin() (reason string) {
	a.run, reason = a.worker.beginRun(a.request)
	if a.final.PrefilledTokens == 0 {
		return reason
	}
	startedAt := time.Now()
	if a.run != nil {
		a.worker.sleep(a.http, a.worker.speed.Prefill(a.final.PrefilledTokens))
	}
	a.final.PrefillUs = time.Since(startedAt).Microseconds()
	<-a.worker.prefill
	return reason
}

// cachePrefixes stores the prompt's prefixes in the cache. If the model, adapter or weights of the request are no
// longer loaded after the prefill, it stores none and returns false.
func (a *attempt) cachePrefixes() (current bool) {
	w := a.worker
	w.mu.Lock()
	defer w.mu.Unlock()
	current = w.missing(a.request) == ""
	a.run.CachedTokens, a.run.FetchedTokens, a.run.PrefilledTokens = a.final.CachedTokens, a.final.FetchedTokens, a.final.PrefilledTokens
	if current {
		for _, entry := range a.entries {
			w.cache.Store(entry.Key.String(), entry.Tokens)
		}
	}
	return current
}

// stream sends the chunks of the response and the last line with their checksum. It returns false if the client
// disconnected before the last line.
func (a *attempt) stream() bool {
	w := a.worker
	ended := EndedInterrupted
	defer func() { w.mu.Lock(); a.run.Ended = ended; w.mu.Unlock() }()
	a.rw.Header().Set("Content-Type", "application/x-ndjson")
	a.rw.WriteHeader(200)
	seal, key := contract.NewSeal(a.request.RequestID, w.process.Settings.Name), a.entries[len(a.entries)-1].Key.String()
	enc := json.NewEncoder(a.rw)
	for index := range a.request.Chunks {
		w.sleep(a.http, time.Duration(w.speed.ChunkUs)*time.Microsecond)
		text := contract.SyntheticText(key, a.request.Weights, index)
		seal.Add(index, text)
		if a.http.Context().Err() != nil || enc.Encode(contract.Chunk{RequestID: a.request.RequestID, Number: index, Text: text}) != nil {
			return false
		}
		http.NewResponseController(a.rw).Flush()
	}
	a.final.Number, a.final.Seal = a.request.Chunks, seal.Close()
	if enc.Encode(a.final) == nil {
		ended = EndedSealed
	}
	return true
}

// acquire acquires the semaphore ch. It returns false if ctx is done first.
func (w *Worker) acquire(ctx context.Context, ch chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	default:
	}
	select {
	case ch <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// sleep waits for d, or until the client of the request disconnects.
func (w *Worker) sleep(r *http.Request, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}

// fetch reads a cached prefix from another worker or the prompt store, and sleeps for the simulated transfer time. It
// reports whether the source has the prefix.
func (w *Worker) fetch(original *http.Request, addr, key string) bool {
	request, err := http.NewRequestWithContext(original.Context(), http.MethodGet, "http://"+addr+"/kv/"+key, nil)
	if err != nil {
		return false
	}
	response, err := w.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var entry contract.CachedPrefix
	if response.StatusCode != 200 || json.NewDecoder(io.LimitReader(response.Body, maxSmallBody)).Decode(&entry) != nil {
		return false
	}
	rate := w.speed.LinkTokensPerSecond
	if crossesZones(addr, w.process.Settings.Public) {
		rate = w.speed.CrossZoneTokensPerSecond
	}
	w.sleep(original, time.Duration(float64(entry.Tokens)/rate*float64(time.Second)))
	return true
}

// crossesZones reports whether two IPv4 addresses are in different zones. The third byte of an address is the number
// of its zone.
func crossesZones(a, b string) bool {
	x, y := strings.Split(a, "."), strings.Split(b, ".")
	return len(x) > 2 && len(y) > 2 && x[2] != y[2]
}

// saveTo copies the first upTo prefixes in the background to the caches at the comma-separated addresses in to. It
// copies all prefixes if upTo isn't a number or is too high.
func (w *Worker) saveTo(to, upTo string, entries []prefix.Entry) {
	count, err := strconv.Atoi(upTo)
	if err != nil || count > len(entries) {
		count = len(entries)
	}
	for _, addr := range strings.Split(to, ",") {
		if addr == "" {
			continue
		}
		w.process.Go(func() {
			for _, entry := range entries[:count] {
				raw, _ := json.Marshal(contract.CachedPrefix{Key: entry.Key.String(), Tokens: entry.Tokens}) // can't fail: the struct has only a string and an int
				request, err := http.NewRequestWithContext(w.process.Ctx, http.MethodPut, "http://"+addr+"/kv/"+entry.Key.String(), strings.NewReader(string(raw)))
				if err != nil {
					return
				}
				response, err := w.client.Do(request)
				if err != nil {
					return // copying prefixes is best effort: skip an unreachable receiver
				}
				response.Body.Close()
			}
		})
	}
}
