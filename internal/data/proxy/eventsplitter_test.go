package proxy

import (
	"strings"
	"testing"
)

// However the bytes are split, what goes on ends behind an event, and all of it goes on.
func TestEventsInAllSplits(t *testing.T) {
	const text = ": hello\n\nid: 1\ndata: a\n\nweights: 3\r\nid: 2\r\ndata: b\r\n\r\nid:4\ndata: c\ndata: d\n\n: x\n\nid: 9\nda"
	for i := 0; i <= len(text); i++ {
		for j := i; j <= len(text); j++ {
			e := &eventSplitter{canResume: true}
			var out strings.Builder
			for _, p := range []string{text[:i], text[i:j], text[j:]} {
				b, err := e.feed([]byte(p))
				if err != nil {
					t.Fatal(err)
				}
				out.Write(b)
				if s := out.String(); s != "" && !strings.HasSuffix(s, "\n\n") && !strings.HasSuffix(s, "\r\n\r\n") {
					t.Fatalf("split at %d, %d: ends with %q", i, j, s)
				}
			}
			if e.lastID != "4" || !e.canResume || out.String()+string(e.flush()) != text {
				t.Fatalf("split at %d, %d: last %q, exact %v, %q", i, j, e.lastID, e.canResume, out.String())
			}
		}
	}
}

// What isn't a stream of events as we know them goes on as it is, and is never gone on with.
func TestUnknownStreamFormatsPassThrough(t *testing.T) {
	for _, text := range []string{"data: a\r\rdata: b\r\r", strings.Repeat("x", maxBufferedEvent+1), "id: 2\ndata: a\n\nid: 1\ndata: b\n\n", "id: a\ndata: a\n\n"} {
		e := &eventSplitter{canResume: true}
		b, err := e.feed([]byte(text))
		if err != nil || string(b)+string(e.flush()) != text || e.canResume {
			t.Errorf("%.20q: %.20q, %v, exact %v", text, b, err, e.canResume)
		}
		e = &eventSplitter{lastID: "7", canResume: true, resuming: true}
		if b, err := e.feed([]byte(text)); err == nil || len(b) != 0 {
			t.Errorf("%.20q goes on behind another worker's: %.20q", text, b)
		}
	}
}

// What came whole before the one that doesn't follow is not lost.
func TestCompleteEventsBeforeABadOneAreForwarded(t *testing.T) {
	e := &eventSplitter{lastID: "2", canResume: true, resuming: true}
	b, err := e.feed([]byte("id: 3\ndata: a\n\nid: 3\ndata: a\n\n"))
	if err == nil || string(b) != "id: 3\ndata: a\n\n" || e.lastID != "3" {
		t.Errorf("%q %v %q", b, err, e.lastID)
	}
}
