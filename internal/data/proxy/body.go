package proxy

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/errs"
)

// readBody reads the complete request body into memory, so that it can be sent again on a retry. If the body is
// too large or doesn't come before the deadline, it rejects the request and returns false.
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
	if !req.reserveMemory(max(length, 0) + requestOverhead) {
		return false
	}
	if length == 0 {
		return true
	}
	if err := req.readBodyInTime(length, limit); err != nil {
		req.writer.Header().Set("Connection", "close")
		req.reject(errs.NotExecuted, "the body didn't come completely in time", req.retryAfter())
		return false
	}
	if int64(len(req.body)) > limit {
		req.rejectTooLarge(limit)
		return false
	}
	return !req.chunked || req.reserveMemory(int64(len(req.body)))
}

// readBodyInTime reads the body, and fails if the request's deadline passes before its end. Of a chunked body it
// reads at most one byte more than the size limit, enough to detect that the body exceeds it.
func (req *request) readBodyInTime(length, limit int64) (err error) {
	timer := time.AfterFunc(req.deadline-req.receivedAt, func() { _ = req.controller.SetReadDeadline(pastTime) })
	if req.chunked {
		var all bytes.Buffer
		_, err = all.ReadFrom(io.LimitReader(req.incoming.Body, limit+1))
		req.body = all.Bytes()
	} else {
		req.body = make([]byte, length)
		_, err = io.ReadFull(req.incoming.Body, req.body)
	}
	if !timer.Stop() {
		err = errors.Join(err, errs.New(errs.DeadlineExceeded, "read request body: deadline passed"))
	}
	return err
}

func (req *request) rejectTooLarge(limit int64) {
	req.writer.Header().Set("Connection", "close")
	req.reject(errs.TooLarge, "the body is over "+strconv.FormatInt(limit, 10)+" bytes", 0)
}

// reserveMemory reserves bytes of the memory limit for requests in flight (memoryLimit) until the request is
// released. If the reservations exceed the limit, it rejects the request and returns false.
func (req *request) reserveMemory(bytes int64) bool {
	req.reservedMemory += bytes
	if req.server.reservedMemory.Add(bytes) <= req.server.memoryLimit {
		return true
	}
	req.reject(errs.Overloaded, "no memory for another request", req.retryAfter())
	return false
}
