package proxy

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/errs"
)

// readBody reads the complete request body into memory, so that it can be sent again on a retry. If the body is
// too large, doesn't come before the deadline or there is no memory for it, it rejects the request and returns false.
func (req *request) readBody(plan *routingconfig.Plan) bool {
	limit := int64(plan.Limits.BodyBytes)
	if limit <= 0 {
		limit = int64(req.server.process.Settings.Bounds.MaxBodyKB) << 10
	}
	length := req.incoming.ContentLength // -1: chunked, length unknown
	if length > limit {
		req.rejectTooLarge(limit)
		return false
	}
	req.chunked = length < 0
	if err := req.memory.Grow(requestOverhead); err != nil || !req.memory.Admits(max(length, 0)) {
		req.rejectOverloaded()
		return false
	}
	if err := req.readBodyInTime(length, limit); err != nil {
		req.rejectUnreadable(err)
		return false
	}
	if req.body.length > limit {
		req.rejectTooLarge(limit)
		return false
	}
	if !req.conn.FinishReading() {
		req.rejectOverloaded()
		return false
	}
	req.bodyRead = true
	return true
}

// readBodyInTime reads the body, and fails if the request's deadline passes before its end. Of a chunked body it
// reads at most one byte more than the size limit, enough to detect that the body exceeds it.
func (req *request) readBodyInTime(length, limit int64) (err error) {
	if length == 0 {
		return nil
	}
	timer := time.AfterFunc(req.deadline-req.receivedAt, func() { _ = req.controller.SetReadDeadline(pastTime) })
	if req.chunked {
		err = req.readChunked(limit + 1)
	} else {
		err = req.readLength(length)
	}
	if !timer.Stop() {
		err = errors.Join(err, errs.New(errs.DeadlineExceeded, "read request body: deadline passed"))
	}
	return err
}

// readLength reads a body of a known length.
func (req *request) readLength(length int64) error {
	for req.body.length < length {
		err := req.readSegment(min(length-req.body.length, largestSegmentBytes))
		if err != nil && (err != io.EOF || req.body.length < length) {
			return err
		}
	}
	return nil
}

// readChunked reads a chunked body to its end, but at most a number of bytes.
func (req *request) readChunked(limit int64) error {
	for req.body.length < limit {
		err := req.readSegment(min(req.body.nextSegmentBytes(), limit-req.body.length))
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// readSegment reserves the memory of a segment and then reads it. The error is io.EOF if the body ends within the segment.
func (req *request) readSegment(size int64) error {
	if err := req.memory.Grow(size); err != nil {
		return err
	}
	segment := make([]byte, size)
	filled := 0
	for filled < len(segment) {
		n, err := req.incoming.Body.Read(segment[filled:])
		filled += n
		if err != nil {
			req.body.append(segment[:filled])
			return err
		}
	}
	req.body.append(segment)
	return nil
}

// rejectUnreadable rejects a request whose body couldn't be read to its end.
func (req *request) rejectUnreadable(err error) {
	if errs.KindOf(err) == errs.Overloaded {
		req.rejectOverloaded()
		return
	}
	req.writer.Header().Set("Connection", "close")
	req.reject(errs.NotExecuted, "the body didn't come completely in time", req.retryAfter())
}

func (req *request) rejectTooLarge(limit int64) {
	req.writer.Header().Set("Connection", "close")
	req.reject(errs.TooLarge, "the body is over "+strconv.FormatInt(limit, 10)+" bytes", 0)
}

// rejectOverloaded rejects a request for which there is no memory. The rest of its body isn't read.
func (req *request) rejectOverloaded() {
	if req.incoming.Body != http.NoBody {
		req.writer.Header().Set("Connection", "close")
	}
	req.reject(errs.Overloaded, "no memory for another request", req.retryAfter())
}

// limitDiscard bounds the time for which net/http reads the rest of the body of a request that is answered early. It reads
// that rest so that the client can see the answer and use the connection again.
func (req *request) limitDiscard() {
	if req.incoming.Body != http.NoBody && !req.bodyRead {
		_ = req.controller.SetReadDeadline(clock.Deadline(req.server.headerLimits().Timeout))
	}
}
