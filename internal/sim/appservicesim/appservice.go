// Package appservicesim simulates a site's application service. It serves start requests like a worker, but has no
// prefix cache, and it rejects a request at once if all its slots are in use.
package appservicesim

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/daemon"
)

const (
	concurrentRequests = 8
	maxBody            = 1 << 20 // maximum size of a request's body in bytes
)

// Start starts the simulated application service.
//
// Example: daemon.Main(programs.AppServiceSim, "a simulated application service", need, appservicesim.Start)
func Start(process *daemon.Process) error {
	slots := make(chan struct{}, concurrentRequests)
	incarnation := fmt.Sprintf("%s/%x", process.Settings.Name, process.WallClock().UnixNano())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", func(writer http.ResponseWriter, _ *http.Request) {
		contract.WriteJSON(writer, 200, contract.WorkerState{Name: process.Settings.Name, Incarnation: incarnation, Service: process.Settings.Option("service", ""), Model: process.Settings.Option("model", ""),
			Zone: process.Settings.Zone, Weights: 1, Slots: cap(slots), Busy: len(slots), ClockUs: process.Clock.Now().Microseconds()})
	})
	mux.HandleFunc("POST /v1/start", func(writer http.ResponseWriter, r *http.Request) {
		var request contract.StartRequest
		if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&request); err != nil || request.RequestID == "" {
			contract.WriteJSON(writer, 400, contract.Rejection{RequestID: request.RequestID, NotExecuted: true, Reason: "bad"})
			return
		}
		if reason := request.Refusal(incarnation, process.Clock.Now()); reason != "" {
			contract.WriteJSON(writer, 409, contract.Rejection{RequestID: request.RequestID, NotExecuted: true, Reason: reason})
			return
		}
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		default:
			contract.WriteJSON(writer, 409, contract.Rejection{RequestID: request.RequestID, NotExecuted: true, Reason: "full"})
			return
		}
		writer.Header().Set("Content-Type", "application/x-ndjson")
		enc, seal := json.NewEncoder(writer), contract.NewSeal(request.RequestID, process.Settings.Name)
		for n := range request.Chunks {
			t := contract.SyntheticText(request.RequestID, request.Weights, n)
			seal.Add(n, t)
			if enc.Encode(contract.Chunk{RequestID: request.RequestID, Number: n, Text: t}) != nil {
				return
			}
		}
		_ = enc.Encode(contract.Chunk{RequestID: request.RequestID, Number: request.Chunks, Seal: seal.Close(), Worker: process.Settings.Name, Weights: request.Weights})
	})
	if err := process.Serve(process.Settings.Public, mux); err != nil {
		return err
	}
	process.Ready.Store(true)
	return nil
}
