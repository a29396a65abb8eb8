// Package storesim is the stand-in for the prompt store: it keeps prefixes up to a bound and
// may come back empty.
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

// Start runs the store.
//
// Example: daemon.Main(programs.StoreSim, "a simulated prompt store", need, storesim.Start)
func Start(l *daemon.Process) error {
	room, err := strconv.Atoi(l.Settings.Option("kv", "400000"))
	if err != nil {
		room = 400000
	}
	kv, inc := workersim.NewKV(room), fmt.Sprintf("%s/%x", l.Settings.Name, l.WallClock().UnixNano())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, _ *http.Request) {
		used, room := kv.Used()
		contract.WriteJSON(w, 200, contract.WorkerState{Name: l.Settings.Name, Incarnation: inc, Zone: l.Settings.Zone, KVTokens: used, KVCapacity: room})
	})
	mux.HandleFunc("GET /v1/kept", func(w http.ResponseWriter, r *http.Request) {
		after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		if err != nil {
			after = 0
		}
		rep := kv.Reports(after, r.URL.Query().Get("whole") == "true", l.Clock.Now())
		rep.Incarnation = inc
		contract.WriteJSON(w, 200, rep)
	})
	mux.HandleFunc("GET /kv/{key}", func(w http.ResponseWriter, r *http.Request) {
		if n, ok := kv.Has(r.PathValue("key")); ok {
			contract.WriteJSON(w, 200, contract.CachedPrefix{Key: r.PathValue("key"), Tokens: n})
			return
		}
		contract.WriteJSON(w, 404, map[string]string{"error": "not held"})
	})
	mux.HandleFunc("PUT /kv/{key}", func(w http.ResponseWriter, r *http.Request) {
		var k contract.CachedPrefix
		if err := json.NewDecoder(io.LimitReader(r.Body, 4096)).Decode(&k); err != nil || k.Key != r.PathValue("key") || k.Tokens <= 0 {
			contract.WriteJSON(w, 400, map[string]string{"error": "give k and n"})
			return
		}
		kv.Keep(k.Key, k.Tokens)
		contract.WriteJSON(w, 200, k)
	})
	l.Every(500*time.Millisecond, func() { kv.Turn(false, l.Clock.Now()) })
	if err := l.Serve(l.Settings.Public, mux); err != nil {
		return err
	}
	l.Ready.Store(true)
	return nil
}
