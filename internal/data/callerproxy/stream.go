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

// stream passes a worker's lines on, one by one, each checked. It ends well only after the
// worker's seal; anything else is an error, which breaks the caller's connection visibly.
type stream struct {
	proxy     *Proxy
	id        string
	worker    string
	zone      string
	snapshot  *updatestream.Snapshot
	startedAt time.Duration
	body      io.ReadCloser
	reader    *bufio.Reader
	checker   *contract.StreamVerifier
	line      []byte
	cancel    func()
	release   func()
	err       error

	mu    sync.Mutex
	watch *time.Timer
	ended bool
}

// readLine reads and checks the next line.
func (s *stream) readLine() error {
	raw, err := s.reader.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return errs.New(errs.Internal, "a line longer than %d bytes", contract.MaxLineBytes)
	case errors.Is(err, io.EOF) && len(raw) == 0 && s.checker.Sealed != nil:
		return io.EOF
	case errors.Is(err, io.EOF):
		return errs.New(errs.Internal, "the stream ended without its seal")
	case err != nil:
		return errs.Wrap(err, "read stream")
	}
	if w := s.checker.Verify(raw); w != "" {
		return errs.New(errs.Internal, "%s", w)
	}
	s.line = raw
	return nil
}

// Read hands over at most one line at a time, so that each is flushed as it comes.
//
// Example: n, err := s.Read(buf)
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

// Close ends the attempt, also where the caller hung up: the worker's side is cancelled.
//
// Example: defer s.Close()
func (s *stream) Close() error {
	ok := errors.Is(s.err, io.EOF)
	if !ok && s.err != nil {
		s.proxy.stats.interrupted.Add(1)
		s.proxy.process.Log.Warn("stream ended broken", "request", s.id, "worker", s.worker, "error", s.err)
	}
	s.finish(ok || s.err == nil) // a caller that hung up is no fault of the worker's
	if s.release != nil {
		s.release()
	}
	return nil
}

func (s *stream) finish(ok bool) {
	s.mu.Lock()
	s.ended = true
	s.watch.Stop()
	s.mu.Unlock()
	s.cancel()
	if s.body != nil {
		s.body.Close()
	}
	took := s.proxy.clock.Now() - s.startedAt
	var last *contract.Chunk
	if s.checker != nil {
		last = s.checker.Sealed
	}
	s.proxy.traffic.TrySend(func(g *trafficTable) {
		g.endAttempt(s.worker, ok, took, s.proxy.clock.Now())
		if last != nil && last.FetchedTokens > 0 && last.FetchUs > 0 {
			s.proxy.learnBandwidth(g, s.snapshot, last, s.zone)
		}
	})
	if last != nil {
		s.proxy.stats.add(last)
	}
}

func (s *stream) rescheduleWatch(d time.Duration, f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.watch = time.AfterFunc(d, f)
	}
}
