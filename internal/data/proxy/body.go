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

// readBody reads the complete body into memory, so that it can be sent again. It answers a request whose
// body is too large or too slow, and returns false.
func (req *request) readBody(plan *routingconfig.Plan) bool {
	limit := int64(plan.Limits.BodyBytes)
	if limit <= 0 {
		limit = int64(req.server.process.Settings.Bounds.MaxBodyKB) << 10
	}
	length := req.incoming.ContentLength // below 0: unknown
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

// readBodyInTime reads the body until the request's deadline. Of a chunked body it reads at most one byte
// more than the limit.
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
		err = errors.Join(err, errs.New(errs.DeadlineExceeded, "read body"))
	}
	return err
}

func (req *request) rejectTooLarge(limit int64) {
	req.writer.Header().Set("Connection", "close")
	req.reject(errs.TooLarge, "the body is over "+strconv.FormatInt(limit, 10)+" bytes", 0)
}

// reserveMemory counts bytes that the request keeps until its release. It answers a request that the
// node has no memory for, and returns false.
func (req *request) reserveMemory(bytes int64) bool {
	req.reservedMemory += bytes
	if req.server.reservedMemory.Add(bytes) <= req.server.memoryLimit {
		return true
	}
	req.reject(errs.Overloaded, "no memory for another request", req.retryAfter())
	return false
}
