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

var testRequest = Request{ID: "r1", Domain: "shared", Model: "m", Parts: []string{"opening", "question"}, Chunks: 5, Once: true}

// lines returns the lines of a correct response stream to a request, for a prefix cache domain and a weights version.
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

// interruptedReader reads from r, but ends with io.ErrUnexpectedEOF instead of io.EOF, as an interrupted connection
// does.
type interruptedReader struct{ r io.Reader }

func (b interruptedReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// ReadStream reports a fault for each kind of corrupted response, and none for a response that is interrupted by a
// connection error.
func TestPlantedFaultsAreCaught(t *testing.T) {
	correctLines := func() [][]byte { return lines(testRequest, "shared", 3) }
	if outcome := ReadStream(testRequest, "worker-1", bytes.NewReader(bytes.Join(correctLines(), nil))); !outcome.Sealed || len(outcome.Faults) > 0 {
		t.Fatalf("outcome of a correct response is %+v, want complete (Sealed) and without violations", outcome)
	}
	other := testRequest
	other.ID = "r2"
	for name, corrupt := range map[string]func([][]byte) [][]byte{
		"a chunk is missing":                         func(l [][]byte) [][]byte { return append(l[:2:2], l[3:]...) },
		"a chunk is repeated":                        func(l [][]byte) [][]byte { return append(l[:3:3], l[2:]...) },
		"the last line is that of another response":  func(l [][]byte) [][]byte { return append(l[:2:2], lines(other, "shared", 3)[2:]...) },
		"two chunks are swapped":                     func(l [][]byte) [][]byte { l[1], l[2] = l[2], l[1]; return l },
		"the last line with the checksum is missing": func(l [][]byte) [][]byte { return l[:5] },
		"a chunk's text is changed":                  func(l [][]byte) [][]byte { l[2] = bytes.Replace(l[2], []byte(`"t":"`), []byte(`"t":"x`), 1); return l },
		"a line follows the last line":               func(l [][]byte) [][]byte { return append(l, l[5]) },
		"the response is of another cache domain":    func([][]byte) [][]byte { return lines(testRequest, "t:walled", 3) },
		"a shorter response whose checksum matches":  func([][]byte) [][]byte { q := testRequest; q.Chunks = 3; return lines(q, "shared", 3) },
	} {
		if outcome := ReadStream(testRequest, "worker-1", bytes.NewReader(bytes.Join(corrupt(correctLines()), nil))); len(outcome.Faults) == 0 {
			t.Errorf("corrupted response (%s): outcome is %+v, want a fault", name, outcome)
		}
	}
	if outcome := ReadStream(testRequest, "worker-1", interruptedReader{bytes.NewReader(bytes.Join(correctLines()[:3], nil))}); len(outcome.Faults) > 0 || outcome.Sealed || outcome.Interrupted == "" {
		t.Errorf("outcome of an interrupted stream is %+v, want interrupted, not complete (Sealed) and without violations", outcome)
	}
}

// Summarize reports a fault if an outcome contradicts the workers' journals.
func TestJournalsAreReconciled(t *testing.T) {
	run := workersim.Run{RequestID: "r1"}
	for _, test := range []struct {
		name     string
		outcome  Outcome
		journals map[string][]workersim.Run
		want     string
	}{
		{"complete response, executed once", Outcome{Request: testRequest, Sealed: true}, map[string][]workersim.Run{"a": {run}}, ""},
		{"complete response, executed by two workers", Outcome{Request: testRequest, Sealed: true}, map[string][]workersim.Run{"a": {run}, "b": {run}}, "ran 2 times"},
		{"rejected as not executed, but executed", Outcome{Request: testRequest, Rejected: "not-run"}, map[string][]workersim.Run{"a": {run}}, "yet it ran"},
		{"rejected as possibly executed, and executed", Outcome{Request: testRequest, Rejected: "may-have-run"}, map[string][]workersim.Run{"a": {run}}, ""},
		{"complete response, but in no journal", Outcome{Request: testRequest, Sealed: true}, nil, "no worker ran it"},
	} {
		b := &OutcomeLog{}
		b.Add(test.outcome)
		got := strings.Join(b.Summarize(test.journals, true).Faults, "; ")
		if test.want == "" && got != "" || test.want != "" && !strings.Contains(got, test.want) {
			t.Errorf("%s: faults %q, want one that contains %q (empty: none)", test.name, got, test.want)
		}
	}
}

// For a request that was sent to two edge nodes, the outcome of the copy that was served is counted. It is a fault if
// both copies were served.
func TestTwinsAreOneRequest(t *testing.T) {
	duplicate := testRequest
	duplicate.Duplicate = true
	for _, c := range []struct {
		name   string
		a, b   Outcome
		sealed int
		faults bool
	}{
		{"of a request sent to two edge nodes, only the first copy is served", Outcome{Request: testRequest, Sealed: true}, Outcome{Request: duplicate, Rejected: "may-have-run"}, 1, false},
		{"of a request sent to two edge nodes, only the second copy is served", Outcome{Request: testRequest, Rejected: "may-have-run"}, Outcome{Request: duplicate, Sealed: true}, 1, false},
		{"of a request sent to two edge nodes, one copy is rejected as not executed, the other is served", Outcome{Request: testRequest, Rejected: "not-run"}, Outcome{Request: duplicate, Sealed: true}, 1, false},
		{"both copies of a request sent to two edge nodes are served", Outcome{Request: testRequest, Sealed: true}, Outcome{Request: duplicate, Sealed: true}, 1, true},
	} {
		b := &OutcomeLog{}
		b.Add(c.a)
		b.Add(c.b)
		if s := b.Summarize(map[string][]workersim.Run{"a": {{RequestID: "r1"}}}, true); s.Requests != 1 || s.SentTwice != 1 || s.Sealed != c.sealed || (len(s.Faults) > 0) != c.faults {
			t.Errorf("%s: summary is %+v, want 1 request, sent twice, %d sealed, faults = %v", c.name, s, c.sealed, c.faults)
		}
	}
}
