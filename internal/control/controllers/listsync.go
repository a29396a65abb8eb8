package controllers

import (
	"context"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
)

// Timing of reading the platform's list. Shorter intervals notice a change of the workers sooner and
// cost more of the platform's allowed call rate.
const (
	// Ratios of the leave bound.
	listPollRatio    = 0.25 // between two reads
	listRetryRatio   = 0.1  // before a failed read is retried
	pageTimeoutRatio = 1.0  // timeout of one page

	maxPages         = 64   // pages of one read
	listRateRatio    = 0.25 // of the allowed call rate: the part that reads may use up
	maxRetryDoubling = 4    // how often the pause between failed reads doubles
)

// followWorkerList reads the platform's list periodically and publishes what has changed.
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
				s.process.Log.Warn("the list of workers can't be read: the stored one stays", "error", errs.Text(err))
			}
			pause = min(pause*2, bounds.Leave(listRetryRatio)<<min(failures-1, maxRetryDoubling))
		}
		clock.Sleep(s.ctx, pause)
	}
}

// minListInterval is the shortest interval between reads of so many pages that stays within the reads'
// part of the allowed call rate; zero if the rate isn't limited.
func (s *session) minListInterval(pages int) time.Duration {
	site := s.process.Settings.Site
	if site == nil || site.WorkerListRate <= 0 {
		return 0
	}
	return time.Duration(float64(pages) / (site.WorkerListRate * listRateRatio) * float64(time.Second))
}

// mergeWorkerList applies a read of the list on the actor's goroutine. It reports whether a removal is
// unconfirmed, so that the list is to be read again soon.
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

// readWorkerList reads all pages of the platform's list.
func (s *session) readWorkerList() (list []fleet.Worker, pages int, err error) {
	page := ""
	for pages < maxPages {
		ctx, cancel := context.WithTimeout(s.ctx, s.process.Settings.Bounds.Leave(pageTimeoutRatio))
		workers, next, err := s.workerClient.ListWorkers(ctx, page)
		cancel()
		if err != nil {
			return nil, pages, errs.Wrap(err, "list of workers")
		}
		list, pages = append(list, workers...), pages+1
		if page = next; page == "" {
			return list, pages, nil
		}
	}
	return nil, pages, errs.New(errs.TooLarge, "the list of workers has more than %d pages", maxPages)
}
