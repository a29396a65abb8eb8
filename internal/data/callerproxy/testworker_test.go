package callerproxy

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/data/prefix"
)

// faultyChunk is the number of the chunk at which a worker misbehaves.
const faultyChunk = 2

// worker returns the handler of a worker that fails in the way that its mode names.
func (fixture *proxyFixture) worker(name, failureMode string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		var start contract.StartRequest
		if json.NewDecoder(request.Body).Decode(&start) != nil {
			return
		}
		switch failureMode {
		case "refuse":
			writer.WriteHeader(409)
			fmt.Fprint(writer, `{"not_run":true,"reason":"full"}`)
			return
		case "odd":
			writer.WriteHeader(500)
			fmt.Fprint(writer, `oops`)
			return
		}
		fixture.recordStart(start.RequestID)
		if failureMode == "dies-before" {
			panic(http.ErrAbortHandler)
		}
		response := &workerResponse{start: start, name: name, failureMode: failureMode, responseWriter: writer, encoder: json.NewEncoder(writer), seal: contract.NewSeal(start.RequestID, name)}
		if response.writeChunks(request) {
			response.writeSeal()
		}
	}
}

func (fixture *proxyFixture) recordStart(id string) {
	fixture.mu.Lock()
	defer fixture.mu.Unlock()
	if fixture.startedAttempts[id]++; fixture.onAttemptStarted != nil {
		fixture.onAttemptStarted()
	}
}

// workerAnswer is a worker's answer to one attempt.
type workerResponse struct {
	start             contract.StartRequest
	name, failureMode string
	responseWriter    http.ResponseWriter
	encoder           *json.Encoder
	seal              *contract.Seal
}

// writeChunks writes the chunks; false: the answer ends without its seal.
func (a *workerResponse) writeChunks(request *http.Request) bool {
	entries := prefix.Chain(a.start.CacheDomain, a.start.Model, a.start.Weights, a.start.Parts)
	prompt := entries[len(entries)-1].Key.String()
	for number := range a.start.Chunks {
		chunk := contract.Chunk{RequestID: a.start.RequestID, Number: number, Text: contract.SyntheticText(prompt, a.start.Weights, number)}
		a.seal.Add(number, chunk.Text)
		switch {
		case number == faultyChunk && a.failureMode == "loses":
			continue
		case number == faultyChunk && a.failureMode == "mixes":
			chunk.RequestID = "another"
		case number == faultyChunk && a.failureMode == "long":
			chunk.Text = strings.Repeat("x", contract.MaxLineBytes)
		case number == faultyChunk && a.failureMode == "dies-within":
			panic(http.ErrAbortHandler)
		case number == 0 && a.failureMode == "hangs":
			<-request.Context().Done()
			return false
		}
		if a.encoder.Encode(chunk) != nil {
			return false
		}
		if number == faultyChunk && a.failureMode == "doubles" {
			_ = a.encoder.Encode(chunk)
		}
		http.NewResponseController(a.responseWriter).Flush()
	}
	return true
}

func (a *workerResponse) writeSeal() {
	lastChunk := contract.Chunk{RequestID: a.start.RequestID, Number: a.start.Chunks, Seal: a.seal.Close(), Worker: a.name, Weights: a.start.Weights}
	switch a.failureMode {
	case "unsealed":
		return
	case "forges":
		lastChunk.Seal = strings.Repeat("0", 64)
	}
	_ = a.encoder.Encode(lastChunk)
}
