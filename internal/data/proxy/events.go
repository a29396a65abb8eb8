package proxy

import (
	"bytes"
	"strconv"

	"pebbleloom/internal/errs"
)

// events cuts a stream behind each event, so that what was passed on always ends with a whole
// one, and remembers the last one's id: from there another worker may go on.
type events struct {
	last    string // id of the last event that was passed on, or that the client had before
	exact   bool   // everything passed on ends with the event of that id
	resumed bool   // another worker goes on: each event must prove that it follows
	buf     []byte // holds rest
	rest    []byte // what came behind the last whole event
	seen    int    // of rest: lines up to here were looked at
	id      string // of the event that rest begins
	data    bool   // it has some
	plain   bool   // not cut any more: it isn't a stream of events with ids as we know them
}

// most is how long an event may be that is held until it is whole.
const most = 64 << 10

// reset readies the cutter for another worker's bytes: what was not passed on is forgotten.
func (e *events) reset(resumed bool) {
	e.rest, e.seen, e.id, e.data, e.resumed = nil, 0, "", false, resumed
}

// take adds bytes and gives those that may go on now; they are good until the next call. An error
// means that what comes behind them doesn't follow.
func (e *events) take(p []byte) ([]byte, error) {
	if e.plain {
		return p, nil
	}
	e.buf = append(append(e.buf[:0], e.rest...), p...)
	e.rest = e.buf
	whole := 0
	for !e.plain {
		n := bytes.IndexByte(e.rest[e.seen:], '\n')
		if n < 0 {
			break
		}
		text := bytes.TrimSuffix(e.rest[e.seen:e.seen+n], []byte("\r"))
		e.seen += n + 1
		if len(text) > 0 {
			e.field(text)
			continue
		}
		if err := e.close(); err != nil {
			return e.give(whole), err
		}
		whole = e.seen
	}
	alone := bytes.IndexByte(bytes.TrimSuffix(e.rest[e.seen:], []byte("\r")), '\r') >= 0
	if e.plain || alone || len(e.rest)-whole > most {
		e.plain, e.exact = true, false
		if e.resumed {
			return e.give(whole), errs.New(errs.MayHaveRun, "bytes after event %q that aren't events", e.last)
		}
		whole = len(e.rest)
	}
	return e.give(whole), nil
}

// give parts the first n bytes from what is held.
func (e *events) give(n int) []byte {
	out := e.rest[:n:n]
	e.rest = e.rest[n:]
	e.seen = max(0, e.seen-n)
	return out
}

// tail is what is held at the stream's proper end.
func (e *events) tail() []byte { return e.give(len(e.rest)) }

// field looks at one line of an event.
func (e *events) field(text []byte) {
	name, v, _ := bytes.Cut(text, []byte(":"))
	switch string(name) {
	case "id":
		e.id = string(bytes.TrimPrefix(v, []byte(" ")))
	case "data":
		e.data = true
	}
}

// close ends an event. Ids rise; an event with none can't be gone on from.
func (e *events) close() error {
	id, data := e.id, e.data
	e.id, e.data = "", false
	switch {
	case id == "" && !data: // a remark
	case id != "" && (e.last == "" || rises(e.last, id)):
		e.last, e.exact = id, numeric(id)
	case e.resumed:
		return errs.New(errs.MayHaveRun, "event %q after %q: the worker didn't go on from there", id, e.last)
	case id != "":
		e.plain = true
	default:
		e.exact = false
	}
	return nil
}

func numeric(id string) bool { _, err := strconv.ParseUint(id, 10, 64); return err == nil }

// rises reports whether an id may follow another.
func rises(last, id string) bool {
	a, err := strconv.ParseUint(last, 10, 64)
	b, err2 := strconv.ParseUint(id, 10, 64)
	return err == nil && err2 == nil && b > a
}
