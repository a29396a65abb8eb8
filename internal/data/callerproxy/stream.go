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
	d      *Proxy
	id     string
	worker string
	zone   string
	snap   *updatestream.Snapshot
	began  time.Duration
	body   io.ReadCloser
	r      *bufio.Reader
	check  *contract.Check
	line   []byte
	stop   func()
	leave  func()
	bad    error

	mu    sync.Mutex
	watch *time.Timer
	over  bool
}

// next reads and checks the next line.
func (s *stream) next() error {
	raw, err := s.r.ReadSlice('\n')
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return errs.New(errs.Inside, "a line longer than %d bytes", contract.MaxLine)
	case errors.Is(err, io.EOF) && len(raw) == 0 && s.check.Last != nil:
		return io.EOF
	case errors.Is(err, io.EOF):
		return errs.New(errs.Inside, "the stream ended without its seal")
	case err != nil:
		return errs.Wrap(err, "read stream")
	}
	if w := s.check.Line(raw); w != "" {
		return errs.New(errs.Inside, "%s", w)
	}
	s.line = raw
	return nil
}

// Read hands over at most one line at a time, so that each is flushed as it comes.
//
// Example: n, err := s.Read(buf)
func (s *stream) Read(p []byte) (int, error) {
	if s.bad != nil {
		return 0, s.bad
	}
	if len(s.line) == 0 {
		if s.bad = s.next(); s.bad != nil {
			return 0, s.bad
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
	ok := errors.Is(s.bad, io.EOF)
	if !ok && s.bad != nil {
		s.d.stats.broken.Add(1)
		s.d.process.Log.Warn("stream ended broken", "request", s.id, "worker", s.worker, "error", s.bad)
	}
	s.end(ok || s.bad == nil) // a caller that hung up is no fault of the worker's
	if s.leave != nil {
		s.leave()
	}
	return nil
}

func (s *stream) end(ok bool) {
	s.mu.Lock()
	s.over = true
	s.watch.Stop()
	s.mu.Unlock()
	s.stop()
	if s.body != nil {
		s.body.Close()
	}
	took := s.d.clk.Now() - s.began
	var last *contract.Piece
	if s.check != nil {
		last = s.check.Last
	}
	s.d.gate.TrySend(func(g *gate) {
		g.ended(s.worker, ok, took, s.d.clk.Now())
		if last != nil && last.Fetched > 0 && last.FetchUs > 0 {
			s.d.learn(g, s.snap, last, s.zone)
		}
	})
	if last != nil {
		s.d.stats.add(last)
	}
}

func (s *stream) again(d time.Duration, f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.over {
		s.watch = time.AfterFunc(d, f)
	}
}
