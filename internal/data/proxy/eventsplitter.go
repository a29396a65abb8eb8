package proxy

import (
	"bytes"
	"strconv"

	"pebbleloom/internal/errs"
)

// maxBufferedEvent is the maximum size of an incomplete event that is buffered, in bytes. A stream with a larger
// event is relayed unsplit from then on.
const maxBufferedEvent = 64 << 10

// eventSplitter splits a stream of server-sent events at event boundaries, so that the relayed bytes always end
// with a complete event. It records the ID of that event, after which another worker can continue the stream.
type eventSplitter struct {
	lastID      string // ID of the last relayed event, or the client's Last-Event-ID before the first one
	canResume   bool   // whether the relayed bytes end with the event lastID, so that a resumed stream would lose nothing
	resuming    bool   // whether the stream continues another worker's stream, so that its event IDs must increase from lastID
	passthrough bool   // whether the stream is relayed unsplit, because it has no increasing event IDs or isn't parseable

	buffer    []byte // backing storage of pending, reused between calls
	pending   []byte // bytes received after the last complete event
	scanned   int    // length of the complete lines at the start of pending, which are scanned already
	currentID string // ID of the incomplete event in pending; empty: no ID received yet
	hasData   bool   // whether a data field of the incomplete event in pending was received
}

// reset prepares the splitter for another worker's stream, and drops bytes of the previous worker's stream that were
// not relayed.
func (s *eventSplitter) reset(resuming bool) {
	s.pending, s.scanned, s.currentID, s.hasData, s.resuming = nil, 0, "", false, resuming
}

// feedChunk is like feed, but if the chunk is the last of the stream it also returns a final incomplete event.
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

// feed adds a chunk of the stream and returns the bytes that may be relayed now, valid until the next call. On an
// error, the bytes after the returned ones don't continue the resumed stream and must not be relayed.
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
		return s.consume(complete), errs.New(errs.MayHaveExecuted, "resumed event stream: the event after %q exceeds %d bytes, or its lines end with a lone CR", s.lastID, maxBufferedEvent)
	}
	return s.consume(len(s.pending)), nil
}

// scanEvents scans the complete lines that were not scanned before, and returns the total length of the complete
// events. On an error, this is the length of the events before the one that doesn't continue the stream.
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

// hasLoneCR reports whether the incomplete line contains a carriage return without a line feed. The event stream
// format allows that as a line ending, but this splitter doesn't support it.
func (s *eventSplitter) hasLoneCR() bool {
	return bytes.IndexByte(bytes.TrimSuffix(s.pending[s.scanned:], []byte("\r")), '\r') >= 0
}

// consume removes the first n bytes of pending and returns them.
func (s *eventSplitter) consume(n int) []byte {
	out := s.pending[:n:n]
	s.pending = s.pending[n:]
	s.scanned = max(0, s.scanned-n)
	return out
}

// flush returns the remaining bytes after the stream has ended without an error: an event without a final blank line.
func (s *eventSplitter) flush() []byte { return s.consume(len(s.pending)) }

// scanLine parses one line of the current event: only the id and data fields matter.
func (s *eventSplitter) scanLine(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "id":
		s.currentID = string(bytes.TrimPrefix(value, []byte(" ")))
	case "data":
		s.hasData = true
	}
}

// endEvent handles the blank line that ends the current event. Event IDs must increase, and a stream can't be
// resumed after an event without an ID.
func (s *eventSplitter) endEvent() error {
	id, hasData := s.currentID, s.hasData
	s.currentID, s.hasData = "", false
	switch {
	case id == "" && !hasData: // the blank line ends only comments or other fields, which are no event
	case id != "" && (s.lastID == "" || idIncreases(s.lastID, id)):
		s.lastID, s.canResume = id, isNumericID(id)
	case s.resuming:
		return errs.New(errs.MayHaveExecuted, "resumed event stream: got event ID %q after %q, want increasing numeric IDs", id, s.lastID)
	case id != "":
		s.passthrough = true
	default:
		s.canResume = false
	}
	return nil
}

func isNumericID(id string) bool { _, err := strconv.ParseUint(id, 10, 64); return err == nil }

// idIncreases reports whether both event IDs are numbers and next is higher than last.
func idIncreases(last, next string) bool {
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	nextNumber, nextErr := strconv.ParseUint(next, 10, 64)
	return lastErr == nil && nextErr == nil && nextNumber > lastNumber
}
