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
	listPollRatio    = 0.25 // usual interval between reads of the platform's worker list, as a fraction of the worker removal bound Bounds.Leave
	listRetryRatio   = 0.1  // pause after a first failed read of the worker list, as a fraction of the worker removal bound Bounds.Leave
	pageTimeoutRatio = 1.0  // timeout for reading one page of the worker list, as a fraction of the worker removal bound Bounds.Leave

	maxPages         = 64   // maximum number of pages that the platform's worker list may have
	listRateRatio    = 0.25 // fraction of the platform's API rate limit that reads of the worker list may use
	maxRetryDoubling = 4    // maximum number of times that the pause after a failed read of the worker list is doubled
)

// followWorkerList periodically reads the platform's worker list and publishes its changes to the control state, until
// the session ends.
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
				s.process.Log.Warn("reading the platform's worker list failed; the published worker list stays unchanged", "error", errs.Text(err))
			}
			pause = min(pause*2, bounds.Leave(listRetryRatio)<<min(failures-1, maxRetryDoubling))
		}
		clock.Sleep(s.ctx, pause)
	}
}

// minListInterval returns the shortest interval between reads of a worker list with the given number of pages that
// keeps the calls within listRateRatio of the platform's API rate limit. It returns zero if there is no rate limit.
func (s *session) minListInterval(pages int) time.Duration {
	site := s.process.Settings.Site
	if site == nil || site.WorkerListRate <= 0 {
		return 0
	}
	return time.Duration(float64(pages) / (site.WorkerListRate * listRateRatio) * float64(time.Second))
}

// mergeWorkerList merges a worker list that was read from the platform into the published one, on the session's actor
// goroutine. It reports whether a worker was missing but must be missing once more before it is removed; the list
// should then be read again soon.
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
