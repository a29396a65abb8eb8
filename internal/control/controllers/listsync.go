package controllers

import (
	"context"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
)

// Timing of reads of the platform's worker list. Shorter intervals detect changes sooner, but use more of the
// platform's API rate limit.
const (
	// Fractions of Bounds.Leave.
	listPollRatio    = 0.25 // interval between reads
	listRetryRatio   = 0.1  // initial pause before a failed read is retried
	pageTimeoutRatio = 1.0  // timeout for reading one page

	maxPages         = 64   // maximum number of pages in one read
	listRateRatio    = 0.25 // fraction of the platform's API rate limit that reads may use
	maxRetryDoubling = 4    // maximum number of times the pause between failed reads doubles
)

// followWorkerList periodically reads the platform's worker list and publishes changes.
func (s *session) followWorkerList() {
	bounds := s.process.Settings.Bounds
	failures := 0
	for s.ctx.Err() == nil {
		if _, ok := s.currentToken(); !ok {
			clock.Sleep(s.ctx, bounds.Leave(listRetryRatio))
			continue
		}
		pause := bounds.Leave(listPollRatio)
		list, pages, err := s.readWorkerList()
		switch {
		case err == nil:
			failures = 0
			pause = max(pause, s.minListInterval(pages))
			if s.mergeWorkerList(list, pages == 1 && len(list) > 0) {
				pause = min(pause, bounds.Leave(listRetryRatio))
			}
		case s.ctx.Err() == nil:
			if failures++; failures == 1 {
				s.process.Log.Warn("reading the platform's worker list failed; keeping the stored list", "error", errs.Text(err))
			}
			pause = min(pause*2, bounds.Leave(listRetryRatio)<<min(failures-1, maxRetryDoubling))
		}
		clock.Sleep(s.ctx, pause)
	}
}

// minListInterval returns the shortest interval between reads of the given number of pages that stays within
// the reads' share of the platform's API rate limit; zero if there is no limit.
func (s *session) minListInterval(pages int) time.Duration {
	site := s.process.Settings.Site
	if site == nil || site.WorkerListRate <= 0 {
		return 0
	}
	return time.Duration(float64(pages) / (site.WorkerListRate * listRateRatio) * float64(time.Second))
}

// mergeWorkerList applies a worker list read from the platform, on the actor's goroutine. It reports whether
// a removal is unconfirmed; if so, the list should be read again soon.
func (s *session) mergeWorkerList(list []fleet.Worker, complete bool) (unconfirmed bool) {
	s.actor.Ask(func(*session) {
		if s.workers.Merge(list, complete) || !s.listKnown {
			s.listKnown = true
			s.queueWorkerList()
		}
		unconfirmed = s.workers.HasUnconfirmedRemovals()
	})
	return unconfirmed
}

// readWorkerList reads all pages of the platform's worker list.
func (s *session) readWorkerList() (list []fleet.Worker, pages int, err error) {
	page := ""
	for pages < maxPages {
		ctx, cancel := context.WithTimeout(s.ctx, s.process.Settings.Bounds.Leave(pageTimeoutRatio))
		workers, next, err := s.workerClient.ListWorkers(ctx, page)
		cancel()
		if err != nil {
			return nil, pages, errs.Wrap(err, "list workers")
		}
		list, pages = append(list, workers...), pages+1
		if page = next; page == "" {
			return list, pages, nil
		}
	}
	return nil, pages, errs.New(errs.TooLarge, "platform's worker list has more than %d pages", maxPages)
}
