// Package appservicesim is the stand-in for a site's small application service: it answers
// like a worker without a cache, in few pieces.
package appservicesim

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/daemon"
)

// Start runs the application service.
//
// Example: daemon.Main(programs.AppServiceSim, "a simulated application service", need, appservicesim.Start)
func Start(l *daemon.Process) error {
	slots := make(chan struct{}, 8)
	inc := fmt.Sprintf("%s/%x", l.Settings.Name, l.WallClock().UnixNano())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, _ *http.Request) {
		contract.WriteJSON(w, 200, contract.WorkerState{Name: l.Settings.Name, Incarnation: inc, Service: l.Settings.Option("service", ""), Model: l.Settings.Option("model", ""),
			Zone: l.Settings.Zone, Weights: 1, Slots: cap(slots), Busy: len(slots), ClockUs: l.Clock.Now().Microseconds()})
	})
	mux.HandleFunc("POST /v1/start", func(w http.ResponseWriter, r *http.Request) {
		var s contract.StartRequest
		if err := json.NewDecoder(io.LimitReader(r.Body, 1<<20)).Decode(&s); err != nil || s.RequestID == "" {
			contract.WriteJSON(w, 400, contract.Rejection{RequestID: s.RequestID, NotExecuted: true, Reason: "bad"})
			return
		}
		if why := s.Refusal(inc, l.Clock.Now()); why != "" {
			contract.WriteJSON(w, 409, contract.Rejection{RequestID: s.RequestID, NotExecuted: true, Reason: why})
			return
		}
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		default:
			contract.WriteJSON(w, 409, contract.Rejection{RequestID: s.RequestID, NotExecuted: true, Reason: "full"})
			return
		}
		w.Header().Set("Content-Type", "application/x-ndjson")
		enc, seal := json.NewEncoder(w), contract.NewSeal(s.RequestID, l.Settings.Name)
		for n := range s.Chunks {
			t := contract.SyntheticText(s.RequestID, s.Weights, n)
			seal.Add(n, t)
			if enc.Encode(contract.Chunk{RequestID: s.RequestID, Number: n, Text: t}) != nil {
				return
			}
		}
		_ = enc.Encode(contract.Chunk{RequestID: s.RequestID, Number: s.Chunks, Seal: seal.Close(), Worker: l.Settings.Name, Weights: s.Weights})
	})
	if err := l.Serve(l.Settings.Public, mux); err != nil {
		return err
	}
	l.Ready.Store(true)
	return nil
}
