package contract

import (
	"bytes"
	"encoding/json"
	"testing"
)

// Whatever a worker streams, a stream is verified only with its own seal over its own chunks: a line that
// was changed anywhere is detected. `go test ./internal/contract -fuzz FuzzStreams`
func FuzzStreams(f *testing.F) {
	f.Add([]byte(`{"r":"r1","n":0,"t":"x"}`), 1, byte('y'))
	f.Add([]byte(`{"r":"r1","n":1,"seal":"00"}`), 0, byte(0))
	f.Add([]byte("\xff{"), 5, byte('"'))
	f.Fuzz(func(t *testing.T, raw []byte, at int, value byte) {
		if verifier := NewStreamVerifier("r1", "w"); verifier.Verify(raw) == "" && verifier.Sealed != nil && verifier.Sealed.Seal != NewSeal("r1", "w").Close() {
			t.Fatalf("%q passes for a seal", raw)
		}
		lines := sealedStream(t, "r1", "w", "one", "two")
		index := max(0, at) % 3
		changed := bytes.Clone(lines[index])
		changed[(max(0, at)/3)%len(changed)] = value
		var original, mutated Chunk
		same := json.Unmarshal(changed, &mutated) == nil && json.Unmarshal(lines[index], &original) == nil && mutated == original
		verifier, ok := NewStreamVerifier("r1", "w"), true
		for i, line := range lines {
			if i == index {
				line = changed
			}
			ok = ok && verifier.Verify(line) == ""
		}
		// Fields beside the sealed ones may differ; chunks, their order and the seal may not.
		if ok && verifier.Sealed != nil && !same && (mutated.RequestID != original.RequestID || mutated.Number != original.Number || mutated.Text != original.Text || mutated.Seal != original.Seal) {
			t.Fatalf("%q passes for %q", changed, lines[index])
		}
	})
}

// sealedStream returns the lines of a stream of texts, the last with the seal.
func sealedStream(t *testing.T, requestID, worker string, texts ...string) (lines [][]byte) {
	t.Helper()
	add := func(chunk Chunk) {
		line, err := json.Marshal(chunk)
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, line)
	}
	seal := NewSeal(requestID, worker)
	for number, text := range texts {
		seal.Add(number, text)
		add(Chunk{RequestID: requestID, Number: number, Text: text})
	}
	add(Chunk{RequestID: requestID, Number: len(texts), Seal: seal.Close()})
	return lines
}
