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

// run carries a go on a slot: what others hold is fetched, and once the prefill's turn has
// come the request starts, if it still may before the wait is over. Then what is missing is
// prefilled, the pieces are streamed, the seal closes them. False: its wait was over.
func (w *Worker) run(wait context.Context, rw http.ResponseWriter, r *http.Request, request *contract.StartRequest, reject func(int, string)) bool {
	if w.plantedFault == "walls" {
		request.CacheDomain = "shared"
	}
	entries := prefix.Chain(request.CacheDomain, prefix.QualifiedModel(request.Model, request.Adapter, request.Build), request.Weights, request.Parts)
	final := contract.Chunk{RequestID: request.RequestID, Worker: w.process.Settings.Name, Weights: request.Weights, Model: request.Model, Adapter: request.Adapter, Build: request.Build}
	hints := contract.ParseFetchFrom(r.Header.Get(contract.FetchFrom))
	i, startedAt := 0, time.Now()
	for ; i < len(entries); i++ {
		if index, ok := w.cache.Lookup(entries[i].Key.String()); ok {
			final.CachedTokens += index
		} else if addr := hints[i]; addr != "" && w.fetch(r, addr, entries[i].Key.String()) {
			final.FetchedTokens += entries[i].Tokens
			final.FetchAddr = addr
			final.FetchUs += time.Since(startedAt).Microseconds()
		} else {
			break
		}
		startedAt = time.Now()
	}
	for _, entry := range entries[i:] {
		final.PrefilledTokens += entry.Tokens
	}
	if final.PrefilledTokens > 0 && !w.acquire(wait, w.prefill) {
		return false
	}
	run, reason := w.beginRun(request)
	if final.PrefilledTokens > 0 {
		startedAt = time.Now()
		if run != nil {
			w.sleep(r, w.speed.Prefill(final.PrefilledTokens))
		}
		final.PrefillUs = time.Since(startedAt).Microseconds()
		<-w.prefill
	}
	if run == nil {
		reject(409, reason)
		return true
	}
	switch w.plantedFault {
	case "denies":
		reject(409, "full")
		return true
	case "dies":
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	current := w.missing(request) == "" // KV made under other weights than the cache's isn't kept
	run.CachedTokens, run.FetchedTokens, run.PrefilledTokens = final.CachedTokens, final.FetchedTokens, final.PrefilledTokens
	if current {
		for _, entry := range entries {
			w.cache.Store(entry.Key.String(), entry.Tokens)
		}
	}
	w.mu.Unlock()
	ended := "broken"
	defer func() { w.mu.Lock(); run.Ended = ended; w.mu.Unlock() }()
	rw.Header().Set("Content-Type", "application/x-ndjson")
	rw.WriteHeader(200)
	seal, key := contract.NewSeal(request.RequestID, w.process.Settings.Name), entries[len(entries)-1].Key.String()
	enc := json.NewEncoder(rw)
	for index := range request.Chunks {
		w.sleep(r, time.Duration(w.speed.ChunkUs)*time.Microsecond)
		text := contract.SyntheticText(key, request.Weights, index)
		seal.Add(index, text)
		if r.Context().Err() != nil || enc.Encode(contract.Chunk{RequestID: request.RequestID, Number: index, Text: text}) != nil {
			return true
		}
		http.NewResponseController(rw).Flush()
	}
	final.Number, final.Seal = request.Chunks, seal.Close()
	if enc.Encode(final) == nil {
		ended = "sealed"
	}
	if current {
		w.saveTo(r.Header.Get(contract.SaveTo), r.Header.Get(contract.SaveUpTo), entries)
	}
	return true
}

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

func (w *Worker) sleep(r *http.Request, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}

// fetch reads a prefix from a colleague or the store at the link's speed.
func (w *Worker) fetch(r *http.Request, addr, key string) bool {
	request, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+addr+"/kv/"+key, nil)
	if err != nil {
		return false
	}
	response, err := w.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	var entry contract.CachedPrefix
	if response.StatusCode != 200 || json.NewDecoder(io.LimitReader(response.Body, 4096)).Decode(&entry) != nil {
		return false
	}
	rate := w.speed.LinkTokensPerSecond
	if crossesZones(addr, w.process.Settings.Public) {
		rate = w.speed.CrossZoneTokensPerSecond
	}
	w.sleep(r, time.Duration(float64(entry.Tokens)/rate*float64(time.Second)))
	return true
}

// crossesZones tells whether two addresses stand in different districts: the third byte says.
func crossesZones(a, b string) bool {
	x, y := strings.Split(a, "."), strings.Split(b, ".")
	return len(x) > 2 && len(y) > 2 && x[2] != y[2]
}

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
				raw, _ := json.Marshal(contract.CachedPrefix{Key: entry.Key.String(), Tokens: entry.Tokens}) // plain fields: can't fail
				request, err := http.NewRequestWithContext(w.process.Ctx, http.MethodPut, "http://"+addr+"/kv/"+entry.Key.String(), strings.NewReader(string(raw)))
				if err != nil {
					return
				}
				response, err := w.client.Do(request)
				if err != nil {
					return // the receiver is gone: a save is only an offer
				}
				response.Body.Close()
			}
		})
	}
}
