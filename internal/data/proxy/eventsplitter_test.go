package proxy

import (
	"strings"
	"testing"
)

// However the stream is chunked, what is relayed ends after an event, and all of it is relayed.
func TestEventsInAllSplits(t *testing.T) {
	const text = ": hello\n\nid: 1\ndata: a\n\nweights: 3\r\nid: 2\r\ndata: b\r\n\r\nid:4\ndata: c\ndata: d\n\n: x\n\nid: 9\nda"
	for i := 0; i <= len(text); i++ {
		for j := i; j <= len(text); j++ {
			splitter := &eventSplitter{canResume: true}
			var out strings.Builder
			for _, p := range []string{text[:i], text[i:j], text[j:]} {
				b, err := splitter.feed([]byte(p))
				if err != nil {
					t.Fatal(err)
				}
				out.Write(b)
				if s := out.String(); s != "" && !strings.HasSuffix(s, "\n\n") && !strings.HasSuffix(s, "\r\n\r\n") {
					t.Fatalf("split at %d, %d: ends with %q", i, j, s)
				}
			}
			if splitter.lastID != "4" || !splitter.canResume || out.String()+string(splitter.flush()) != text {
				t.Fatalf("split at %d, %d: last %q, exact %v, %q", i, j, splitter.lastID, splitter.canResume, out.String())
			}
		}
	}
}

// A stream that isn't one of events with increasing IDs is relayed unsplit, and is never resumed.
func TestUnknownStreamFormatsPassThrough(t *testing.T) {
	for _, text := range []string{"data: a\r\rdata: b\r\r", strings.Repeat("x", maxBufferedEvent+1), "id: 2\ndata: a\n\nid: 1\ndata: b\n\n", "id: a\ndata: a\n\n"} {
		splitter := &eventSplitter{canResume: true}
		b, err := splitter.feed([]byte(text))
		if err != nil || string(b)+string(splitter.flush()) != text || splitter.canResume {
			t.Errorf("%.20q: %.20q, %v, exact %v", text, b, err, splitter.canResume)
		}
		splitter = &eventSplitter{lastID: "7", canResume: true, resuming: true}
		if b, err := splitter.feed([]byte(text)); err == nil || len(b) != 0 {
			t.Errorf("%.20q is relayed after another worker's stream: %.20q", text, b)
		}
	}
}

// Complete events before one that doesn't continue the stream are relayed.
func TestCompleteEventsBeforeABadOneAreForwarded(t *testing.T) {
	splitter := &eventSplitter{lastID: "2", canResume: true, resuming: true}
	b, err := splitter.feed([]byte("id: 3\ndata: a\n\nid: 3\ndata: a\n\n"))
	if err == nil || string(b) != "id: 3\ndata: a\n\n" || splitter.lastID != "3" {
		t.Errorf("%q %v %q", b, err, splitter.lastID)
	}
}
