package proxy

import (
	"strings"
	"testing"
)

// However a stream is split into chunks, the relayed bytes must always end at an event boundary, and the whole stream
// must be relayed in the end.
func TestEventsInAllSplits(t *testing.T) {
	const text = ": hello\n\nid: 1\ndata: a\n\nweights: 3\r\nid: 2\r\ndata: b\r\n\r\nid:4\ndata: c\ndata: d\n\n: x\n\nid: 9\nda"
	for i := 0; i <= len(text); i++ {
		for j := i; j <= len(text); j++ {
			splitter := &eventSplitter{canResume: true}
			var out strings.Builder
			for _, p := range []string{text[:i], text[i:j], text[j:]} {
				b, err := splitter.feed([]byte(p))
				if err != nil {
					t.Fatalf("event stream split at bytes %d and %d: feed(%q): %v", i, j, p, err)
				}
				out.Write(b)
				if s := out.String(); s != "" && !strings.HasSuffix(s, "\n\n") && !strings.HasSuffix(s, "\r\n\r\n") {
					t.Fatalf("event stream split at bytes %d and %d: relayed %q, want an end at an event boundary", i, j, s)
				}
			}
			if splitter.lastID != "4" || !splitter.canResume || out.String()+string(splitter.flush()) != text {
				t.Fatalf("event stream split at bytes %d and %d: last event ID %q, resumable %v, relayed %q; want last event ID \"4\", resumable, the complete stream", i, j, splitter.lastID, splitter.canResume, out.String())
			}
		}
	}
}

// A stream without increasing event IDs, with lone CRs or with an overlong event must be relayed unsplit and never be
// resumed. It must not be relayed as the continuation of another worker's stream either.
func TestUnknownStreamFormatsPassThrough(t *testing.T) {
	for _, text := range []string{"data: a\r\rdata: b\r\r", strings.Repeat("x", maxBufferedEvent+1), "id: 2\ndata: a\n\nid: 1\ndata: b\n\n", "id: a\ndata: a\n\n"} {
		splitter := &eventSplitter{canResume: true}
		b, err := splitter.feed([]byte(text))
		if err != nil || string(b)+string(splitter.flush()) != text || splitter.canResume {
			t.Errorf("event stream %.20q: relayed %.20q, error %v, resumable %v; want it relayed unchanged, not resumable", text, b, err, splitter.canResume)
		}
		splitter = &eventSplitter{lastID: "7", canResume: true, resuming: true}
		if b, err := splitter.feed([]byte(text)); err == nil || len(b) != 0 {
			t.Errorf("event stream %.20q as continuation of another worker's stream: relayed %.20q, error %v; want nothing relayed and an error", text, b, err)
		}
	}
}

// If a chunk of a resumed stream contains an event with a repeated ID, the complete events before it must be relayed.
func TestCompleteEventsBeforeABadOneAreForwarded(t *testing.T) {
	splitter := &eventSplitter{lastID: "2", canResume: true, resuming: true}
	b, err := splitter.feed([]byte("id: 3\ndata: a\n\nid: 3\ndata: a\n\n"))
	if err == nil || string(b) != "id: 3\ndata: a\n\n" || splitter.lastID != "3" {
		t.Errorf("event 3 sent twice after event 2: relayed %q, error %v, last event ID %q; want event 3 relayed once, an error, last event ID \"3\"", b, err, splitter.lastID)
	}
}
