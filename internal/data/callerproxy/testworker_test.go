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
func (test *testProxy) worker(name, mode string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var start contract.StartRequest
		if json.NewDecoder(r.Body).Decode(&start) != nil {
			return
		}
		switch mode {
		case "refuse":
			w.WriteHeader(409)
			fmt.Fprint(w, `{"not_run":true,"reason":"full"}`)
			return
		case "odd":
			w.WriteHeader(500)
			fmt.Fprint(w, `oops`)
			return
		}
		test.recordStart(start.RequestID)
		if mode == "dies-before" {
			panic(http.ErrAbortHandler)
		}
		answer := &workerAnswer{start: start, name: name, mode: mode, writer: w, encoder: json.NewEncoder(w), seal: contract.NewSeal(start.RequestID, name)}
		if answer.writeChunks(r) {
			answer.writeSeal()
		}
	}
}

func (test *testProxy) recordStart(id string) {
	test.mu.Lock()
	defer test.mu.Unlock()
	if test.starts[id]++; test.started != nil {
		test.started()
	}
}

// workerAnswer is a worker's answer to one attempt.
type workerAnswer struct {
	start      contract.StartRequest
	name, mode string
	writer     http.ResponseWriter
	encoder    *json.Encoder
	seal       *contract.Seal
}

// writeChunks writes the chunks; false: the answer ends without its seal.
func (a *workerAnswer) writeChunks(r *http.Request) bool {
	entries := prefix.Chain(a.start.CacheDomain, a.start.Model, a.start.Weights, a.start.Parts)
	prompt := entries[len(entries)-1].Key.String()
	for number := range a.start.Chunks {
		chunk := contract.Chunk{RequestID: a.start.RequestID, Number: number, Text: contract.SyntheticText(prompt, a.start.Weights, number)}
		a.seal.Add(number, chunk.Text)
		switch {
		case number == faultyChunk && a.mode == "loses":
			continue
		case number == faultyChunk && a.mode == "mixes":
			chunk.RequestID = "another"
		case number == faultyChunk && a.mode == "long":
			chunk.Text = strings.Repeat("x", contract.MaxLineBytes)
		case number == faultyChunk && a.mode == "dies-within":
			panic(http.ErrAbortHandler)
		case number == 0 && a.mode == "hangs":
			<-r.Context().Done()
			return false
		}
		if a.encoder.Encode(chunk) != nil {
			return false
		}
		if number == faultyChunk && a.mode == "doubles" {
			_ = a.encoder.Encode(chunk)
		}
		http.NewResponseController(a.writer).Flush()
	}
	return true
}

func (a *workerAnswer) writeSeal() {
	last := contract.Chunk{RequestID: a.start.RequestID, Number: a.start.Chunks, Seal: a.seal.Close(), Worker: a.name, Weights: a.start.Weights}
	switch a.mode {
	case "unsealed":
		return
	case "forges":
		last.Seal = strings.Repeat("0", 64)
	}
	_ = a.encoder.Encode(last)
}
