package proxy

import (
	"bytes"
	"strconv"

	"pebbleloom/internal/errs"
)

// maxBufferedEvent is the longest incomplete event that is held back, in bytes. A stream with a longer one
// isn't split any more.
const maxBufferedEvent = 64 << 10

// eventSplitter splits a stream of server-sent events behind each event, so that what was relayed always
// ends with a complete one, and remembers that event's ID: another worker may continue the stream from
// there.
type eventSplitter struct {
	lastID      string // of the last event that was relayed, or that the client had before
	canResume   bool   // everything relayed so far ends with the event lastID
	resuming    bool   // this worker continues another's stream: each event must prove that it follows
	passthrough bool   // the stream isn't one of events with increasing IDs: it is relayed unsplit

	buffer    []byte // backs pending
	pending   []byte // what came after the last complete event
	scanned   int    // length of pending's complete lines, which were scanned already
	currentID string // of the event that pending begins
	hasData   bool   // that event has a data field
}

// reset readies the splitter for another worker's stream: what wasn't relayed is dropped.
func (s *eventSplitter) reset(resuming bool) {
	s.pending, s.scanned, s.currentID, s.hasData, s.resuming = nil, 0, "", false, resuming
}

// feedChunk is feed for a chunk that may be the stream's last: then an incomplete event is relayed, too.
func (s *eventSplitter) feedChunk(chunk []byte, last bool) ([]byte, error) {
	out, err := s.feed(chunk)
	if err != nil || !last {
		return out, err
	}
	if rest := s.flush(); len(rest) > 0 {
		out = append(out[:len(out):len(out)], rest...)
	}
	return out, nil
}

// feed adds a chunk, and returns the bytes that may be relayed now; they are valid until the next call. An
// error means that what comes after these bytes doesn't continue the stream.
func (s *eventSplitter) feed(chunk []byte) ([]byte, error) {
	if s.passthrough {
		return chunk, nil
	}
	s.buffer = append(append(s.buffer[:0], s.pending...), chunk...)
	s.pending = s.buffer
	complete, err := s.scanEvents()
	if err != nil {
		return s.consume(complete), err
	}
	if !s.passthrough && !s.hasLoneCR() && len(s.pending)-complete <= maxBufferedEvent {
		return s.consume(complete), nil
	}
	s.passthrough, s.canResume = true, false
	if s.resuming {
		return s.consume(complete), errs.New(errs.MayHaveExecuted, "bytes after event %q that aren't events", s.lastID)
	}
	return s.consume(len(s.pending)), nil
}

// scanEvents scans the complete lines that weren't scanned before. It returns the length of the complete
// events; with an error, of those before the event that doesn't follow.
func (s *eventSplitter) scanEvents() (complete int, err error) {
	for !s.passthrough {
		length := bytes.IndexByte(s.pending[s.scanned:], '\n')
		if length < 0 {
			break
		}
		line := bytes.TrimSuffix(s.pending[s.scanned:s.scanned+length], []byte("\r"))
		s.scanned += length + 1
		if len(line) > 0 {
			s.scanLine(line)
			continue
		}
		if err := s.endEvent(); err != nil {
			return complete, err
		}
		complete = s.scanned
	}
	return complete, nil
}

// hasLoneCR reports whether the incomplete line holds a carriage return that ends a line by itself. The
// format allows that, but such streams aren't split here.
func (s *eventSplitter) hasLoneCR() bool {
	return bytes.IndexByte(bytes.TrimSuffix(s.pending[s.scanned:], []byte("\r")), '\r') >= 0
}

// consume removes the first n pending bytes and returns them.
func (s *eventSplitter) consume(n int) []byte {
	out := s.pending[:n:n]
	s.pending = s.pending[n:]
	s.scanned = max(0, s.scanned-n)
	return out
}

// flush returns what is pending when the stream has ended properly.
func (s *eventSplitter) flush() []byte { return s.consume(len(s.pending)) }

// scanLine reads one field of the current event.
func (s *eventSplitter) scanLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "id":
		s.currentID = string(bytes.TrimPrefix(value, []byte(" ")))
	case "data":
		s.hasData = true
	}
}

// endEvent ends the current event. IDs have to increase; a stream can't be resumed after an event without
// one.
func (s *eventSplitter) endEvent() error {
	id, hasData := s.currentID, s.hasData
	s.currentID, s.hasData = "", false
	switch {
	case id == "" && !hasData: // a comment
	case id != "" && (s.lastID == "" || idIncreases(s.lastID, id)):
		s.lastID, s.canResume = id, isNumericID(id)
	case s.resuming:
		return errs.New(errs.MayHaveExecuted, "event %q after %q: the worker didn't continue the stream from there", id, s.lastID)
	case id != "":
		s.passthrough = true
	default:
		s.canResume = false
	}
	return nil
}

func isNumericID(id string) bool { _, err := strconv.ParseUint(id, 10, 64); return err == nil }

// idIncreases reports whether both IDs are numbers and the next is higher.
func idIncreases(last, next string) bool {
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	nextNumber, nextErr := strconv.ParseUint(next, 10, 64)
	return lastErr == nil && nextErr == nil && nextNumber > lastNumber
}
