package callerproxy

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/data/prefix"
)

// faultyChunk is the number of the response chunk at which a fake worker fails, if its failure mode is a fault in the
// middle of a response.
const faultyChunk = 2

// worker returns the HTTP handler of a fake worker that fails in the way named by failureMode.
func (fixture *proxyFixture) worker(name, failureMode string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var start contract.StartRequest
		if json.NewDecoder(request.Body).Decode(&start) != nil {
			return
		}
		switch failureMode {
		case "rejects":
			writer.WriteHeader(409)
			fmt.Fprint(writer, `{"not_run":true,"reason":"full"}`)
			return
		case "untyped-error":
			writer.WriteHeader(500)
			fmt.Fprint(writer, `internal error`)
			return
		}
		fixture.recordStart(start.RequestID)
		if failureMode == "aborts-before-response" {
			panic(http.ErrAbortHandler)
		}
		response := &workerResponse{start: start, name: name, failureMode: failureMode, responseWriter: writer, encoder: json.NewEncoder(writer), seal: contract.NewSeal(start.RequestID, name)}
		if response.writeChunks(request) {
			response.writeSeal()
		}
	}
}

// recordStart counts an attempt that a worker has started for a request ID and calls onAttemptStarted.
func (fixture *proxyFixture) recordStart(id string) {
	fixture.mu.Lock()
	defer fixture.mu.Unlock()
	if fixture.startedAttempts[id]++; fixture.onAttemptStarted != nil {
		fixture.onAttemptStarted()
	}
}

// workerResponse is a fake worker's response stream to one attempt.
type workerResponse struct {
	start             contract.StartRequest
	name, failureMode string
	responseWriter    http.ResponseWriter
	encoder           *json.Encoder
	seal              *contract.Seal
}

// writeChunks writes the chunks of the response. It returns false if the stream has to end without a seal.
func (a *workerResponse) writeChunks(request *http.Request) bool {
	entries := prefix.Chain(a.start.CacheDomain, a.start.Model, a.start.Weights, a.start.Parts)
	prompt := entries[len(entries)-1].Key.String()
	for number := range a.start.Chunks {
		chunk := contract.Chunk{RequestID: a.start.RequestID, Number: number, Text: contract.SyntheticText(prompt, a.start.Weights, number)}
		a.seal.Add(number, chunk.Text)
		switch {
		case number == faultyChunk && a.failureMode == "drops-chunk":
			continue
		case number == faultyChunk && a.failureMode == "wrong-request-id":
			chunk.RequestID = "another"
		case number == faultyChunk && a.failureMode == "oversized-line":
			chunk.Text = strings.Repeat("x", contract.MaxLineBytes)
		case number == faultyChunk && a.failureMode == "aborts-mid-stream":
			panic(http.ErrAbortHandler)
		case number == 0 && a.failureMode == "stalls":
			<-request.Context().Done()
			return false
		}
		if a.encoder.Encode(chunk) != nil {
			return false
		}
		if number == faultyChunk && a.failureMode == "repeats-chunk" {
			_ = a.encoder.Encode(chunk)
		}
		http.NewResponseController(a.responseWriter).Flush()
	}
	return true
}

// writeSeal writes the last chunk, which holds the seal: the checksum of the chunks before it.
func (a *workerResponse) writeSeal() {
	lastChunk := contract.Chunk{RequestID: a.start.RequestID, Number: a.start.Chunks, Seal: a.seal.Close(), Worker: a.name, Weights: a.start.Weights}
	switch a.failureMode {
	case "omits-seal":
		return
	case "forged-seal":
		lastChunk.Seal = strings.Repeat("0", 64)
	}
	_ = a.encoder.Encode(lastChunk)
}
