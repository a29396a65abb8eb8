// Package storesim simulates the prompt store, from which workers fetch cached prompt prefixes. It keeps the prefixes
// in memory only, so a restart empties the store.
package storesim

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/sim/workersim"
)

const (
	defaultCapacity = 400000 // capacity in tokens if the option "kv" isn't a number
	reportInterval  = 500 * time.Millisecond
	maxBody         = 4096 // maximum size of a request's body in bytes
)

// Start starts the simulated prompt store. Its option "kv" is the capacity in tokens.
//
// Example: daemon.Main(programs.StoreSim, "a simulated prompt store", need, storesim.Start)
func Start(process *daemon.Process) error {
	capacity, err := strconv.Atoi(process.Settings.Option("kv", ""))
	if err != nil {
		capacity = defaultCapacity
	}
	cache, incarnation := workersim.NewCache(capacity), fmt.Sprintf("%s/%x", process.Settings.Name, process.WallClock().UnixNano())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", func(writer http.ResponseWriter, _ *http.Request) {
		used, capacity := cache.Used()
		contract.WriteJSON(writer, 200, contract.WorkerState{Name: process.Settings.Name, Incarnation: incarnation, Zone: process.Settings.Zone, KVTokens: used, KVCapacity: capacity})
	})
	mux.HandleFunc("GET /v1/kept", func(writer http.ResponseWriter, request *http.Request) {
		after, err := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
		if err != nil {
			after = 0
		}
		reports := cache.Reports(after, request.URL.Query().Get("whole") == "true", process.Clock.Now())
		reports.Incarnation = incarnation
		contract.WriteJSON(writer, 200, reports)
	})
	mux.HandleFunc("GET /kv/{key}", func(writer http.ResponseWriter, request *http.Request) {
		if n, ok := cache.Lookup(request.PathValue("key")); ok {
			contract.WriteJSON(writer, 200, contract.CachedPrefix{Key: request.PathValue("key"), Tokens: n})
			return
		}
		contract.WriteJSON(writer, 404, map[string]string{"error": "prefix is not cached"})
	})
	mux.HandleFunc("PUT /kv/{key}", func(writer http.ResponseWriter, request *http.Request) {
		var k contract.CachedPrefix
		if err := json.NewDecoder(io.LimitReader(request.Body, maxBody)).Decode(&k); err != nil || k.Key != request.PathValue("key") || k.Tokens <= 0 {
			contract.WriteJSON(writer, 400, map[string]string{"error": "body must have k, the key in the path, and n, a positive number of tokens"})
			return
		}
		cache.Store(k.Key, k.Tokens)
		contract.WriteJSON(writer, 200, k)
	})
	process.Every(reportInterval, func() { cache.CloseReport(false, process.Clock.Now()) })
	if err := process.Serve(process.Settings.Public, mux); err != nil {
		return err
	}
	process.Ready.Store(true)
	return nil
}
