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

// stream passes a worker's answer on to the caller line by line, and verifies each line. It ends with io.EOF
// only after the worker's seal; any other error aborts the caller's connection visibly.
type stream struct {
	proxy        *Proxy
	id           string // of the request
	worker       string
	zone         string // of the worker
	snapshot     *updatestream.Snapshot
	startedAt    time.Duration
	cancel       func()
	release      func() // ends the request; nil while the attempt may still fail
	responseBody io.ReadCloser
	reader       *bufio.Reader
	verifier     *contract.StreamVerifier
	line         []byte // verified, not yet read; valid until the next line is read
	err          error  // that ended the stream; io.EOF after the seal

	mu    sync.Mutex
	watch *time.Timer // checks that the worker is still known
	ended bool
}

// readLine reads and verifies the next line.
func (s *stream) readLine() error {
	line, err := s.reader.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return errs.New(errs.Internal, "a line longer than %d bytes", contract.MaxLineBytes)
	case errors.Is(err, io.EOF) && len(line) == 0 && s.verifier.Sealed != nil:
		return io.EOF
	case errors.Is(err, io.EOF):
		return errs.New(errs.Internal, "the stream ended without its seal")
	case err != nil:
		return errs.Wrap(err, "read stream")
	}
	if violation := s.verifier.Verify(line); violation != "" {
		return errs.New(errs.Internal, "%s", violation)
	}
	s.line = line
	return nil
}

// Read returns at most one line at a time, so that each is flushed as it comes.
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

// Close ends the attempt and the request. If the caller has disconnected, the worker's side is canceled.
//
// Example: defer s.Close()
func (s *stream) Close() error {
	interrupted := s.err != nil && !errors.Is(s.err, io.EOF)
	if interrupted {
		s.proxy.stats.interrupted.Add(1)
		s.proxy.process.Log.Warn("callerproxy: stream interrupted", "request", s.id, "worker", s.worker, "error", s.err)
	}
	s.finish(!interrupted) // a caller that disconnects is no failure of the worker
	if s.release != nil {
		s.release()
	}
	return nil
}

// finish ends the attempt; ok says that the worker didn't fail it.
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

// rescheduleWatch has the worker checked again after an interval, unless the attempt has ended.
func (s *stream) rescheduleWatch(interval time.Duration, check func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.watch = time.AfterFunc(interval, check)
	}
}
