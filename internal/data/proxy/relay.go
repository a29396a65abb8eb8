package proxy

import (
	"io"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/data/selection"
)

// relayResponse relays a worker's response to the client. A streamed response is flushed as it comes. Any other
// response is held back until the buffer is full or the response is complete, so that the request can still be
// retried on another worker if the response breaks off early.
func (a *attempt) relayResponse() {
	req := a.request
	pooled := req.server.bufferPool.Get().(*[]byte)
	defer req.server.bufferPool.Put(pooled)
	buffer := *pooled
	a.prepareEvents()
	streamed := req.selection.Route.Kind == routingconfig.EventStream || a.isEventStream()
	fill := !streamed
	for {
		n, err := a.readChunk(buffer, fill)
		fill = false
		if err != nil && err != io.EOF && !req.responseStarted {
			a.markInterrupted() // nothing was relayed yet, so a retry on another worker is still possible
			return
		}
		if n > 0 && a.firstByteAfter == 0 {
			a.recordFirstByte()
		}
		if !a.writeToClient(buffer[:n], err == io.EOF, streamed) {
			return
		}
		if err == io.EOF {
			a.releaseConn()
			a.outcome, a.reported = completed, selection.Completed
			return
		}
		if err != nil {
			a.markInterrupted()
			return
		}
	}
}

// prepareEvents resets the request's event splitter for this worker's stream, or removes the splitter if the
// response isn't a resumable stream.
func (a *attempt) prepareEvents() {
	req := a.request
	if req.events == nil {
		return
	}
	if !a.isResumableStream() {
		req.events = nil
		return
	}
	req.events.reset(req.responseStarted)
}

func (a *attempt) recordFirstByte() {
	req := a.request
	a.firstByteAfter = max(req.server.process.Clock.Now()-a.startedAt, 1)
	req.server.Selector.RecordFirstEvent(&req.selection, a.choice, a.load, a.firstByteAfter)
}

// readChunk reads the available bytes of the response body. With fill set, it reads until the buffer is full or the
// body ends.
func (a *attempt) readChunk(buffer []byte, fill bool) (n int, err error) {
	for n < len(buffer) && err == nil {
		var more int
		more, err = a.response.Body.Read(buffer[n:])
		if n += more; !fill {
			break
		}
	}
	return n, err
}

// writeToClient relays a chunk of the response body; last is true if the body ends with it. It returns false if
// the attempt has ended, because the client disconnected or the chunk doesn't continue a resumed stream.
func (a *attempt) writeToClient(chunk []byte, last, streamed bool) bool {
	req := a.request
	var splitErr error
	if req.events != nil {
		chunk, splitErr = req.events.feedChunk(chunk, last)
	}
	if !req.responseStarted && (len(chunk) > 0 || last) {
		req.startResponse(a.response)
	}
	if len(chunk) > 0 {
		_, err := req.writer.Write(chunk)
		if err == nil && streamed && !last {
			err = req.controller.Flush()
		}
		if err != nil {
			a.outcome = clientGone
			return false
		}
	}
	if splitErr != nil {
		req.events.canResume = false
		a.markInterrupted()
		return false
	}
	return true
}
