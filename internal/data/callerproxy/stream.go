package callerproxy

import (
	"bufio"
	"errors"
	"io"
	"sync"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
)

// stream is the response body sent to the client. It forwards the worker's response line by line and verifies each
// line. Read returns io.EOF only after the worker's seal (the checksum in the last chunk). Any other error aborts the
// client's connection, so that the client notices the incomplete response.
type stream struct {
	proxy        *Proxy
	id           string // ID of the client's request
	worker       string // name of the worker that sends the response
	zone         string // zone of the worker that sends the response
	snapshot     *updatestream.Snapshot
	startedAt    time.Duration
	cancel       func() // cancels the call to the worker
	release      func() // ends the request (request.release); nil until the attempt counts as started
	responseBody io.ReadCloser
	reader       *bufio.Reader
	verifier     *contract.StreamVerifier
	line         []byte // verified bytes that Read has not returned yet; valid until the next readLine
	err          error  // error that ended the response stream; io.EOF after the worker's seal

	mu    sync.Mutex
	watch *time.Timer // timer of the next check that the worker still exists
	ended bool        // whether the attempt has ended; if so, no further check of the worker is scheduled
}

// readLine reads the next line of the worker's response and verifies it. It returns io.EOF only after the seal.
func (s *stream) readLine() error {
	line, err := s.reader.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return errs.New(errs.Internal, "response line from the worker exceeds %d bytes", contract.MaxLineBytes)
	case errors.Is(err, io.EOF) && len(line) == 0 && s.verifier.Sealed != nil:
		return io.EOF
	case errors.Is(err, io.EOF):
		return errs.New(errs.Internal, "response stream from the worker was truncated: it ended without a complete seal line")
	case err != nil:
		return errs.Wrap(err, "read response stream from the worker")
	}
	if violation := s.verifier.Verify(line); violation != "" {
		return errs.New(errs.Internal, "%s", violation)
	}
	s.line = line
	return nil
}

// Read implements io.Reader. It returns at most one line at a time, so that each line is flushed to the client as
// soon as it is verified.
//
// Example: n, err := s.Read(buffer)
func (s *stream) Read(p []byte) (int, error) {
	if s.err != nil {
		return 0, s.err
	}
	if len(s.line) == 0 {
		if s.err = s.readLine(); s.err != nil {
			return 0, s.err
		}
	}
	n := copy(p, s.line)
	s.line = s.line[n:]
	return n, nil
}

// Close ends the attempt and the request. If the response is incomplete, for example because the client has
// disconnected, the call to the worker is canceled.
//
// Example: defer s.Close()
func (s *stream) Close() error {
	interrupted := s.err != nil && !errors.Is(s.err, io.EOF)
	if interrupted {
		s.proxy.stats.interrupted.Add(1)
		s.proxy.process.Log.Warn("callerproxy: response stream from a worker was interrupted or invalid", "request", s.id, "worker", s.worker, "error", s.err)
	}
	s.finish(!interrupted) // a client that disconnects does not count as a failure of the worker
	if s.release != nil {
		s.release()
	}
	return nil
}

// finish ends the attempt and records its result; ok is false if the worker failed the attempt.
func (s *stream) finish(ok bool) {
	s.mu.Lock()
	s.ended = true
	s.watch.Stop()
	s.mu.Unlock()
	s.cancel()
	if s.responseBody != nil {
		s.responseBody.Close()
	}
	duration := s.proxy.clock.Now() - s.startedAt
	var lastChunk *contract.Chunk
	if s.verifier != nil {
		lastChunk = s.verifier.Sealed
	}
	s.proxy.traffic.Send(func(table *trafficTable) {
		table.endAttempt(s.worker, ok, duration, s.proxy.clock.Now())
		if lastChunk != nil && lastChunk.FetchedTokens > 0 && lastChunk.FetchUs > 0 {
			s.proxy.recordFetch(table, s.snapshot, lastChunk, s.zone)
		}
	})
	if lastChunk != nil {
		s.proxy.stats.addSealedStream(lastChunk)
	}
}

// rescheduleWatch schedules the next check that the attempt's worker still exists, unless the attempt has ended.
func (s *stream) rescheduleWatch(interval time.Duration, check func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.watch = time.AfterFunc(interval, check)
	}
}
