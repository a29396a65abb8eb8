package proxy

import (
	"bytes"
	"strconv"

	"pebbleloom/internal/errs"
)

// eventSplitter cuts a stream behind each event, so that what was passed on always ends with a whole
// one, and remembers the last one's id: from there another worker may go on.
type eventSplitter struct {
	lastID      string // id of the last event that was passed on, or that the client had before
	canResume   bool   // everything passed on ends with the event of that id
	resuming    bool   // another worker goes on: each event must prove that it follows
	buf         []byte // holds rest
	pending     []byte // what came behind the last whole event
	scanned     int    // of rest: lines up to here were looked at
	currentID   string // of the event that rest begins
	hasData     bool   // it has some
	passthrough bool   // not cut any more: it isn't a stream of events with ids as we know them
}

// maxBufferedEvent is how long an event may be that is held until it is whole.
const maxBufferedEvent = 64 << 10

// reset readies the cutter for another worker's bytes: what was not passed on is forgotten.
func (s *eventSplitter) reset(resumed bool) {
	s.pending, s.scanned, s.currentID, s.hasData, s.resuming = nil, 0, "", false, resumed
}

// feed adds bytes and gives those that may go on now; they are good until the next call. An error
// means that what comes behind them doesn't follow.
func (s *eventSplitter) feed(p []byte) ([]byte, error) {
	if s.passthrough {
		return p, nil
	}
	s.buf = append(append(s.buf[:0], s.pending...), p...)
	s.pending = s.buf
	whole := 0
	for !s.passthrough {
		n := bytes.IndexByte(s.pending[s.scanned:], '\n')
		if n < 0 {
			break
		}
		text := bytes.TrimSuffix(s.pending[s.scanned:s.scanned+n], []byte("\r"))
		s.scanned += n + 1
		if len(text) > 0 {
			s.scanLine(text)
			continue
		}
		if err := s.endEvent(); err != nil {
			return s.consume(whole), err
		}
		whole = s.scanned
	}
	alone := bytes.IndexByte(bytes.TrimSuffix(s.pending[s.scanned:], []byte("\r")), '\r') >= 0
	if s.passthrough || alone || len(s.pending)-whole > maxBufferedEvent {
		s.passthrough, s.canResume = true, false
		if s.resuming {
			return s.consume(whole), errs.New(errs.MayHaveExecuted, "bytes after event %q that aren't events", s.lastID)
		}
		whole = len(s.pending)
	}
	return s.consume(whole), nil
}

// consume parts the first n bytes from what is held.
func (s *eventSplitter) consume(n int) []byte {
	out := s.pending[:n:n]
	s.pending = s.pending[n:]
	s.scanned = max(0, s.scanned-n)
	return out
}

// flush is what is held at the stream's proper end.
func (s *eventSplitter) flush() []byte { return s.consume(len(s.pending)) }

// scanLine looks at one line of an event.
func (s *eventSplitter) scanLine(text []byte) {
	name, v, _ := bytes.Cut(text, []byte(":"))
	switch string(name) {
	case "id":
		s.currentID = string(bytes.TrimPrefix(v, []byte(" ")))
	case "data":
		s.hasData = true
	}
}

// endEvent ends an event. Ids rise; an event with none can't be gone on from.
func (s *eventSplitter) endEvent() error {
	id, data := s.currentID, s.hasData
	s.currentID, s.hasData = "", false
	switch {
	case id == "" && !data: // a remark
	case id != "" && (s.lastID == "" || idIncreases(s.lastID, id)):
		s.lastID, s.canResume = id, isNumericID(id)
	case s.resuming:
		return errs.New(errs.MayHaveExecuted, "event %q after %q: the worker didn't go on from there", id, s.lastID)
	case id != "":
		s.passthrough = true
	default:
		s.canResume = false
	}
	return nil
}

func isNumericID(id string) bool { _, err := strconv.ParseUint(id, 10, 64); return err == nil }

// idIncreases reports whether an id may follow another.
func idIncreases(last, id string) bool {
	a, err := strconv.ParseUint(last, 10, 64)
	b, err2 := strconv.ParseUint(id, 10, 64)
	return err == nil && err2 == nil && b > a
}
