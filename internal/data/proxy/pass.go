package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/selection"
)

// relayResponse hands a good answer on. Pieces of a series go on as they come; what is short goes out in
// one, once it is whole, so that until then another worker may still give it.
func (a *attempt) relayResponse() {
	q := a.request
	held := q.server.bufferPool.Get().(*[]byte)
	defer q.server.bufferPool.Put(held)
	buf := *held
	if q.events != nil {
		if !a.isEventStream() || a.response.StatusCode != http.StatusOK || a.response.ContentLength >= 0 {
			q.events = nil // not what could be gone on with
		} else {
			q.events.reset(q.responseStarted)
		}
	}
	lively := q.selection.Route.Kind == routingconfig.EventStream || a.isEventStream()
	fill := !lively
	for {
		n, err := a.readChunk(buf, fill)
		fill = false
		if err != nil && err != io.EOF && !q.responseStarted {
			a.markInterrupted() // nothing has gone yet: another worker may still give the whole
			return
		}
		if n > 0 && a.firstByteAfter == 0 {
			a.firstByteAfter = max(q.server.process.Clock.Now()-a.startedAt, 1)
			q.server.Selector.RecordFirstEvent(&q.selection, a.choice, a.load, a.firstByteAfter)
		}
		if !a.writeToClient(buf[:n], err == io.EOF, lively) {
			return
		}
		if err == io.EOF {
			a.releaseConn()
			a.outcome, a.ending = completed, selection.Completed
			return
		}
		if err != nil {
			a.markInterrupted()
			return
		}
	}
}

// readChunk reads what there is; with fill, until the buffer is full or all has come.
func (a *attempt) readChunk(buf []byte, fill bool) (n int, err error) {
	for n < len(buf) && err == nil {
		var m int
		m, err = a.response.Body.Read(buf[n:])
		if n += m; !fill {
			break
		}
	}
	return n, err
}

// writeToClient gives bytes to the client; false: there is no sense in going on.
func (a *attempt) writeToClient(p []byte, end, lively bool) bool {
	q := a.request
	var bad error
	if q.events != nil {
		p, bad = q.events.feed(p)
		if rest := []byte(nil); end && bad == nil {
			if rest = q.events.flush(); len(rest) > 0 {
				p = append(p[:len(p):len(p)], rest...)
			}
		}
	}
	if !q.responseStarted && (len(p) > 0 || end) {
		q.startResponse(a.response)
	}
	if len(p) > 0 {
		_, err := q.writer.Write(p)
		if err == nil && lively && !end {
			err = q.controller.Flush()
		}
		if err != nil {
			a.outcome = clientGone
			return false
		}
	}
	if bad != nil {
		q.events.canResume = false
		a.markInterrupted()
		return false
	}
	return true
}

// startResponse begins the answer to the client. From here on the end of the request's time ends
// writing, too.
func (q *request) startResponse(resp *http.Response) {
	q.responseStarted = true
	q.copyHeader(resp.Header)
	h := q.writer.Header()
	if resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	} else {
		h.Del("Content-Length")
	}
	q.stopWriteDeadline = context.AfterFunc(q.ctx, func() { _ = q.controller.SetWriteDeadline(pastTime) })
	q.writer.WriteHeader(resp.StatusCode)
}
