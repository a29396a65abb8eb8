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
			e := &events{exact: true}
			var out strings.Builder
			for _, p := range []string{text[:i], text[i:j], text[j:]} {
				b, err := e.take([]byte(p))
				if err != nil {
					t.Fatal(err)
				}
				out.Write(b)
				if s := out.String(); s != "" && !strings.HasSuffix(s, "\n\n") && !strings.HasSuffix(s, "\r\n\r\n") {
					t.Fatalf("split at %d, %d: ends with %q", i, j, s)
				}
			}
			if e.last != "4" || !e.exact || out.String()+string(e.tail()) != text {
				t.Fatalf("split at %d, %d: last %q, exact %v, %q", i, j, e.last, e.exact, out.String())
			}
		}
	}
}

// What isn't a stream of events as we know them goes on as it is, and is never gone on with.
func TestStrangeEventsGoOnPlainly(t *testing.T) {
	for _, text := range []string{"data: a\r\rdata: b\r\r", strings.Repeat("x", most+1), "id: 2\ndata: a\n\nid: 1\ndata: b\n\n", "id: a\ndata: a\n\n"} {
		e := &events{exact: true}
		b, err := e.take([]byte(text))
		if err != nil || string(b)+string(e.tail()) != text || e.exact {
			t.Errorf("%.20q: %.20q, %v, exact %v", text, b, err, e.exact)
		}
		e = &events{last: "7", exact: true, resumed: true}
		if b, err := e.take([]byte(text)); err == nil || len(b) != 0 {
			t.Errorf("%.20q goes on behind another worker's: %.20q", text, b)
		}
	}
}

// What came whole before the one that doesn't follow is not lost.
func TestWholeEventsBeforeABadOne(t *testing.T) {
	e := &events{last: "2", exact: true, resumed: true}
	b, err := e.take([]byte("id: 3\ndata: a\n\nid: 3\ndata: a\n\n"))
	if err == nil || string(b) != "id: 3\ndata: a\n\n" || e.last != "3" {
		t.Errorf("%q %v %q", b, err, e.last)
	}
}
