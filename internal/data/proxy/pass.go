package proxy

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/selection"
)

// pass hands a good answer on. Pieces of a series go on as they come; what is short goes out in
// one, once it is whole, so that until then another worker may still give it.
func (a *attempt) pass() {
	q := a.q
	held := q.d.buffers.Get().(*[]byte)
	defer q.d.buffers.Put(held)
	buf := *held
	if q.events != nil {
		if !a.eventful() || a.resp.StatusCode != http.StatusOK || a.resp.ContentLength >= 0 {
			q.events = nil // not what could be gone on with
		} else {
			q.events.reset(q.begun)
		}
	}
	lively := q.ask.Route.Kind == routingconfig.EventStream || a.eventful()
	fill := !lively
	for {
		n, err := a.more(buf, fill)
		fill = false
		if err != nil && err != io.EOF && !q.begun {
			a.unfit() // nothing has gone yet: another worker may still give the whole
			return
		}
		if n > 0 && a.first == 0 {
			a.first = max(q.d.l.Clock.Now()-a.began, 1)
			q.d.Selector.RecordFirstEvent(&q.ask, a.c, a.load, a.first)
		}
		if !a.hand(buf[:n], err == io.EOF, lively) {
			return
		}
		if err == io.EOF {
			a.rest()
			a.fate, a.ending = whole, selection.Completed
			return
		}
		if err != nil {
			a.unfit()
			return
		}
	}
}

// more reads what there is; with fill, until the buffer is full or all has come.
func (a *attempt) more(buf []byte, fill bool) (n int, err error) {
	for n < len(buf) && err == nil {
		var m int
		m, err = a.resp.Body.Read(buf[n:])
		if n += m; !fill {
			break
		}
	}
	return n, err
}

// hand gives bytes to the client; false: there is no sense in going on.
func (a *attempt) hand(p []byte, end, lively bool) bool {
	q := a.q
	var bad error
	if q.events != nil {
		p, bad = q.events.take(p)
		if rest := []byte(nil); end && bad == nil {
			if rest = q.events.tail(); len(rest) > 0 {
				p = append(p[:len(p):len(p)], rest...)
			}
		}
	}
	if !q.begun && (len(p) > 0 || end) {
		q.head(a.resp)
	}
	if len(p) > 0 {
		_, err := q.w.Write(p)
		if err == nil && lively && !end {
			err = q.rc.Flush()
		}
		if err != nil {
			a.fate = gone
			return false
		}
	}
	if bad != nil {
		q.events.exact = false
		a.unfit()
		return false
	}
	return true
}

// head begins the answer to the client. From here on the end of the request's time ends
// writing, too.
func (q *request) head(resp *http.Response) {
	q.begun = true
	q.copyHead(resp.Header)
	h := q.w.Header()
	if resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	} else {
		h.Del("Content-Length")
	}
	q.unwrite = context.AfterFunc(q.ctx, func() { _ = q.rc.SetWriteDeadline(past) })
	q.w.WriteHeader(resp.StatusCode)
}
