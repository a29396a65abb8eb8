package contract

import (
	"bytes"
	"encoding/json"
	"testing"
)

// StreamVerifier accepts a stream only if its checksum (seal) covers exactly the received chunks. The fuzzer
// changes one byte of a valid stream, and passes arbitrary lines to the verifier. To run it:
// go test ./internal/contract -fuzz FuzzStreams
func FuzzStreams(f *testing.F) {
	f.Add([]byte(`{"r":"r1","n":0,"t":"x"}`), 1, byte('y'))
	f.Add([]byte(`{"r":"r1","n":1,"seal":"00"}`), 0, byte(0))
	f.Add([]byte("\xff{"), 5, byte('"'))
	f.Fuzz(func(t *testing.T, raw []byte, at int, value byte) {
		if verifier := NewStreamVerifier("r1", "w"); verifier.Verify(raw) == "" && verifier.Sealed != nil && verifier.Sealed.Seal != NewSeal("r1", "w").Close() {
			t.Fatalf("verifier accepted line %q as the last of an empty stream, though its checksum is wrong", raw)
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
		// The checksum covers the request id and the chunks' numbers and texts. A change of another field, such
		// as the usage figures, isn't detected.
		if ok && verifier.Sealed != nil && !same && (mutated.RequestID != original.RequestID || mutated.Number != original.Number || mutated.Text != original.Text || mutated.Seal != original.Seal) {
			t.Fatalf("verifier accepted a stream in which line %q was changed to %q", lines[index], changed)
		}
	})
}

// sealedStream returns the lines of a valid response stream with one chunk for each text, followed by the last
// chunk, which has the checksum.
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
