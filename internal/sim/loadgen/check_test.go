package loadgen

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/sim/workersim"
)

var ask = Request{ID: "r1", Domain: "shared", Model: "m", Parts: []string{"opening", "question"}, Chunks: 5, Once: true}

// lines returns the lines of a correct response.
func lines(request Request, domain string, weights uint64) [][]byte {
	entries := prefix.Chain(domain, request.Model, weights, request.Parts)
	seal := contract.NewSeal(request.ID, "worker-1")
	var encoded [][]byte
	put := func(p contract.Chunk) {
		b, err := json.Marshal(p)
		if err != nil {
			panic(err)
		}
		encoded = append(encoded, append(b, '\n'))
	}
	for n := range request.Chunks {
		t := contract.SyntheticText(entries[len(entries)-1].Key.String(), weights, n)
		seal.Add(n, t)
		put(contract.Chunk{RequestID: request.ID, Number: n, Text: t})
	}
	put(contract.Chunk{RequestID: request.ID, Number: request.Chunks, Seal: seal.Close(), Worker: "worker-1", Weights: weights})
	return encoded
}

// interruptedReader is a reader that ends with an error.
type interruptedReader struct{ r io.Reader }

func (b interruptedReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// ReadStream detects each fault that is planted in a correct response, and no fault in an interrupted one.
func TestPlantedFaultsAreCaught(t *testing.T) {
	right := func() [][]byte { return lines(ask, "shared", 3) }
	if outcome := ReadStream(ask, "worker-1", bytes.NewReader(bytes.Join(right(), nil))); !outcome.Sealed || len(outcome.Faults) > 0 {
		t.Fatalf("a correct response: %+v", outcome)
	}
	other := ask
	other.ID = "r2"
	for name, plant := range map[string]func([][]byte) [][]byte{
		"a lost chunk":              func(l [][]byte) [][]byte { return append(l[:2:2], l[3:]...) },
		"a doubled chunk":           func(l [][]byte) [][]byte { return append(l[:3:3], l[2:]...) },
		"a splice":                  func(l [][]byte) [][]byte { return append(l[:2:2], lines(other, "shared", 3)[2:]...) },
		"chunks swapped":            func(l [][]byte) [][]byte { l[1], l[2] = l[2], l[1]; return l },
		"a missing seal":            func(l [][]byte) [][]byte { return l[:5] },
		"a changed byte":            func(l [][]byte) [][]byte { l[2] = bytes.Replace(l[2], []byte(`"t":"`), []byte(`"t":"x`), 1); return l },
		"a line after the seal":     func(l [][]byte) [][]byte { return append(l, l[5]) },
		"another tenant's response": func([][]byte) [][]byte { return lines(ask, "t:walled", 3) },
		"cut short, sealed anew":    func([][]byte) [][]byte { q := ask; q.Chunks = 3; return lines(q, "shared", 3) },
	} {
		if outcome := ReadStream(ask, "worker-1", bytes.NewReader(bytes.Join(plant(right()), nil))); len(outcome.Faults) == 0 {
			t.Errorf("%s: not caught: %+v", name, outcome)
		}
	}
	if outcome := ReadStream(ask, "worker-1", interruptedReader{bytes.NewReader(bytes.Join(right()[:3], nil))}); len(outcome.Faults) > 0 || outcome.Sealed || outcome.Interrupted == "" {
		t.Errorf("an interrupted stream is no fault: %+v", outcome)
	}
}

// Outcomes are checked against the workers' journals.
func TestJournalsAreReconciled(t *testing.T) {
	run := workersim.Run{RequestID: "r1"}
	for _, test := range []struct {
		name string
		o    Outcome
		js   map[string][]workersim.Run
		want string
	}{
		{"ran once, sealed", Outcome{Request: ask, Sealed: true}, map[string][]workersim.Run{"a": {run}}, ""},
		{"a doubled run", Outcome{Request: ask, Sealed: true}, map[string][]workersim.Run{"a": {run}, "b": {run}}, "ran 2 times"},
		{"rejected as not executed, yet it ran", Outcome{Request: ask, Rejected: "not-run"}, map[string][]workersim.Run{"a": {run}}, "yet it ran"},
		{"may have run, and did", Outcome{Request: ask, Rejected: "may-have-run"}, map[string][]workersim.Run{"a": {run}}, ""},
		{"sealed, but in no journal", Outcome{Request: ask, Sealed: true}, nil, "no worker ran it"},
	} {
		b := &OutcomeLog{}
		b.Add(test.o)
		got := strings.Join(b.Summarize(test.js, true).Faults, "; ")
		if test.want == "" && got != "" || test.want != "" && !strings.Contains(got, test.want) {
			t.Errorf("%s: faults %q", test.name, got)
		}
	}
}

// Of a request that was sent to two edge nodes the admitted copy counts; it is a fault if both were executed.
func TestTwinsAreOneRequest(t *testing.T) {
	twin := ask
	twin.Duplicate = true
	for _, c := range []struct {
		name   string
		a, b   Outcome
		sealed int
		faults bool
	}{
		{"the first is admitted", Outcome{Request: ask, Sealed: true}, Outcome{Request: twin, Rejected: "may-have-run"}, 1, false},
		{"the second is admitted", Outcome{Request: ask, Rejected: "may-have-run"}, Outcome{Request: twin, Sealed: true}, 1, false},
		{"one is rejected though the other ran", Outcome{Request: ask, Rejected: "not-run"}, Outcome{Request: twin, Sealed: true}, 1, false},
		{"both are admitted", Outcome{Request: ask, Sealed: true}, Outcome{Request: twin, Sealed: true}, 1, true},
	} {
		b := &OutcomeLog{}
		b.Add(c.a)
		b.Add(c.b)
		if s := b.Summarize(map[string][]workersim.Run{"a": {{RequestID: "r1"}}}, true); s.Requests != 1 || s.SentTwice != 1 || s.Sealed != c.sealed || (len(s.Faults) > 0) != c.faults {
			t.Errorf("%s: %+v", c.name, s)
		}
	}
}
