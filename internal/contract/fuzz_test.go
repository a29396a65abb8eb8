package contract

import (
	"bytes"
	"encoding/json"
	"testing"
)

// Whatever a worker streams, a stream counts as whole only with its own seal over its own
// pieces: a line that was changed anywhere is seen. `go test ./internal/contract -fuzz FuzzStreams`
func FuzzStreams(f *testing.F) {
	f.Add([]byte(`{"r":"r1","n":0,"t":"x"}`), 1, byte('y'))
	f.Add([]byte(`{"r":"r1","n":1,"seal":"00"}`), 0, byte(0))
	f.Add([]byte("\xff{"), 5, byte('"'))
	f.Fuzz(func(t *testing.T, raw []byte, at int, b byte) {
		if c := NewStreamVerifier("r1", "w"); c.Verify(raw) == "" && c.Sealed != nil && c.Sealed.Seal != NewSeal("r1", "w").Close() {
			t.Fatalf("%q passes for a seal", raw)
		}
		s := NewSeal("r1", "w")
		var lines [][]byte
		for n, text := range []string{"one", "two"} {
			s.Add(n, text)
			l, err := json.Marshal(Chunk{RequestID: "r1", Number: n, Text: text})
			if err != nil {
				t.Fatal(err)
			}
			lines = append(lines, l)
		}
		l, err := json.Marshal(Chunk{RequestID: "r1", Number: 2, Seal: s.Close()})
		if err != nil {
			t.Fatal(err)
		}
		lines = append(lines, l)
		k := max(0, at) % 3
		changed := bytes.Clone(lines[k])
		changed[(max(0, at)/3)%len(changed)] = b
		var was, is Chunk
		same := json.Unmarshal(changed, &is) == nil && json.Unmarshal(lines[k], &was) == nil && is == was
		c, ok := NewStreamVerifier("r1", "w"), true
		for i, l := range lines {
			if i == k {
				l = changed
			}
			ok = ok && c.Verify(l) == ""
		}
		// Fields beside the sealed ones may differ; pieces, their order and the seal may not.
		if ok && c.Sealed != nil && !same && (is.RequestID != was.RequestID || is.Number != was.Number || is.Text != was.Text || is.Seal != was.Seal) {
			t.Fatalf("%q passes for %q", changed, lines[k])
		}
	})
}
