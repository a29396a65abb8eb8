package selection

import (
	"slices"
	"time"

	"pebbleloom/internal/data/prefix"
)

// attemptKey identifies an attempt by the ID of its request and the ID of its worker.
type attemptKey struct{ request, worker string }

// attempt is one attempt of a request at a worker: the prefill, transfers and prompt parts that the selection
// expected of it, and its progress.
type attempt struct {
	// Number of prompt tokens that the worker has to prefill.
	prefillTokens float64
	// Milliseconds for which the transfer of fetched parts occupies the links of worker and source.
	transferMs float64
	// Prompt index keys of the prompt's parts.
	keys []prefix.Key
	// Prompt parts that other requests use too.
	sharedParts []prefix.Entry
	// Statistics of the worker that executes the attempt.
	stats *workerStats
	// Statistics of the worker or store that prompt parts are fetched from; nil: none are fetched.
	source *workerStats
	// Name of the store that the worker saves prompt parts to; empty: it saves none.
	store string
	// Whether the service has a prompt cache and the prompt isn't empty.
	usesCache bool

	// The fields below are set when the attempt is sent. The booleans are adjacent to avoid padding, so that
	// the struct doesn't exceed 128 bytes, the largest value that Go maps store without a separate allocation.

	// Whether the first response event was received.
	firstEventSeen bool
	// Time from which the first response event counts as overdue if it has not been received.
	firstEventDue time.Duration
	// Time at which the attempt was sent.
	sentAt time.Duration
	// Expected duration of the prefill of the attempt's prompt; 0 once the prefill has ended.
	prefillTime time.Duration
}

// recordSent records that an attempt is in flight and returns the prefill, transfers and prompt parts that the
// selection expected of it. It returns a zero attempt if the attempt was never selected or is already in
// flight.
func (t *table) recordSent(request *Request, choice Choice, now time.Duration) attempt {
	key := attemptKey{request.ID, choice.Worker.ID}
	sent, isSelected := t.selected.get(key)
	if _, isDuplicate := t.inFlight[key]; !isSelected || isDuplicate {
		return attempt{}
	}
	t.selected.remove(key)
	worker := sent.stats
	sent.sentAt = now
	sent.prefillTime = fromMilliseconds(sent.prefillTokens * worker.service.msPerToken)
	worker.inFlight++
	worker.prefillUntil = max(worker.prefillUntil, now) + sent.prefillTime
	if sent.source != nil {
		transferTime := fromMilliseconds(sent.transferMs)
		sent.source.linkBusyUntil = max(sent.source.linkBusyUntil, now) + transferTime
		worker.linkBusyUntil = max(worker.linkBusyUntil, now) + transferTime
	}
	sent.firstEventDue = now + t.firstEventTimeout(&sent, request, now)
	t.inFlight[key] = sent
	if sent.usesCache {
		expectedMs := worker.service.expectedFirstEventMs(sent.prefillTokens) + sent.transferMs
		worker.pendingPrefills = append(worker.pendingPrefills, pendingPrefill{key, now, expectedMs})
	}
	t.recordParts(&sent, request, choice, now)
	t.dropAbandoned(now)
	return sent
}

// recordParts records that the worker of a sent attempt is presumed to cache the prompt's parts from now on,
// and that the parts are being saved to the attempt's store, if it has one.
func (t *table) recordParts(sent *attempt, request *Request, choice Choice, now time.Duration) {
	for _, key := range sent.keys {
		part, _ := t.parts.get(key)
		part.isReused = part.isReused || part.lastRequest != "" && part.lastRequest != request.ID
		part.lastRequest = request.ID
		part.addHolder(choice.Worker.ID, false, now)
		if sent.store != "" {
			part.savedAt, part.savedIn = now, sent.store
		}
		t.parts.put(key, part)
	}
}

// dropAbandoned removes attempts in flight that are so old that their outcome won't be recorded anymore.
func (t *table) dropAbandoned(now time.Duration) {
	if now-t.lastSweep < t.bounds.Recovery(recordTuning.lifetimeRatio) {
		return
	}
	t.lastSweep = now
	for key, sent := range t.inFlight {
		if now-sent.sentAt > t.bounds.RequestIDRetention(abandonedRatio) {
			sent.stats.inFlight--
			sent.stats.removePendingPrefill(key)
			delete(t.inFlight, key)
		}
	}
}

// abandonedRatio is the age at which an attempt without a recorded outcome is no longer counted as in flight at
// its worker, as a ratio of the time for which the IDs of at-most-once requests are kept to detect duplicates
// (settings.Bounds.RequestIDRetention).
const abandonedRatio = 1.0 / 2

// recordFirstEvent records the first response event of an attempt, which shows that its prompt is prefilled
// and cached. firstEvent is the time from sending the attempt to the event; load is nil if the worker reported
// none.
func (t *table) recordFirstEvent(request *Request, choice Choice, load *Load, firstEvent, now time.Duration) {
	key := attemptKey{request.ID, choice.Worker.ID}
	sent, ok := t.inFlight[key]
	if !ok || sent.firstEventSeen {
		return
	}
	worker := sent.stats
	sent.firstEventSeen = true
	sent.recordPrefillEnd(key, now)
	t.inFlight[key] = sent
	if load != nil {
		t.recordLoad(worker, load, now)
	}
	t.confirmHolder(&sent, choice, now)
	if !sent.usesCache {
		return
	}
	service := worker.service
	service.meanPrefillTokens = movingAverage(service.meanPrefillTokens, sent.prefillTokens, loadTuning.sampleWeight)
	worker.latenessMs = max(0, milliseconds(firstEvent)-service.firstEventMs-service.msPerToken*sent.prefillTokens)
	worker.latenessAt = now
	// If the worker reports waiting requests, the time to the first response event includes more than prefill.
	if load == nil || load.Waiting == 0 {
		t.learnFirstEvent(worker, sent.prefillTokens, firstEvent, now)
	}
}

// recordPrefillEnd records that the worker has stopped prefilling the attempt's prompt. If it stopped earlier
// than expected, the time at which the worker is expected to finish all prefills becomes earlier.
func (a *attempt) recordPrefillEnd(key attemptKey, now time.Duration) {
	a.stats.removePendingPrefill(key)
	if left := a.prefillTime - (now - a.sentAt); left > 0 {
		a.stats.prefillUntil -= left
	}
	a.prefillTime = 0
}

func (w *workerStats) removePendingPrefill(key attemptKey) {
	w.pendingPrefills = slices.DeleteFunc(w.pendingPrefills, func(p pendingPrefill) bool { return p.attempt == key })
}

// recordOutcome records how an attempt ended. load is the load that the worker reported, nil if none.
// firstEvent is the time from sending the attempt to its first response event, or 0 if none was received.
func (t *table) recordOutcome(request *Request, choice Choice, outcome Outcome, load *Load, firstEvent, now time.Duration) {
	key := attemptKey{request.ID, choice.Worker.ID}
	if firstEvent > 0 {
		t.recordFirstEvent(request, choice, load, firstEvent, now)
	}
	ended, ok := t.inFlight[key]
	if !ok {
		return
	}
	ended.recordPrefillEnd(key, now)
	delete(t.inFlight, key)
	ended.stats.inFlight--
	if load != nil && !ended.firstEventSeen {
		t.recordLoad(ended.stats, load, now)
	}
	t.countOutcome(&ended, outcome, now)
	if ended.firstEventSeen || outcome == Completed {
		t.confirmHolder(&ended, choice, now)
	} else if outcome != ClientGone && outcome != TimedOut {
		t.removePresumedHolder(&ended, choice)
	}
	t.applyOutcome(&ended, choice, outcome, firstEvent, now)
}

// applyOutcome updates the statistics of an attempt's worker with the outcome of the attempt: its ejection, for
// how long it is avoided after a rejection, and the mean duration of attempts.
func (t *table) applyOutcome(ended *attempt, choice Choice, outcome Outcome, firstEvent, now time.Duration) {
	worker := ended.stats
	switch outcome {
	case Completed:
		t.recordSuccess(worker, now)
		worker.service.meanAttemptMs = movingAverage(worker.service.meanAttemptMs, milliseconds(now-ended.sentAt), loadTuning.sampleWeight)
	case NoFreeSlot:
		worker.noFreeSlotUntil = now + t.bounds.Recovery(avoidanceTuning.noFreeSlotRatio)
	case NotReady:
		worker.notReadyUntil = now + t.bounds.Recovery(avoidanceTuning.notReadyRatio)
		worker.notReadyVersion = choice.Weights
	case Misdirected:
		worker.ejectedUntil = max(worker.ejectedUntil, now+t.bounds.Recovery(avoidanceTuning.misdirectedRatio))
	case Failed:
		t.recordFailure(worker, now)
	case TimedOut:
		if firstEvent == 0 {
			t.recordFailure(worker, now)
		}
	}
}

// confirmHolder records that the attempt's worker is confirmed to cache the prompt's parts, because it sent a
// response event.
func (t *table) confirmHolder(sent *attempt, choice Choice, now time.Duration) {
	for _, key := range sent.keys {
		part, _ := t.parts.get(key)
		part.addHolder(choice.Worker.ID, true, now)
		t.parts.put(key, part)
	}
}

// removePresumedHolder records that the attempt's worker neither caches the prompt's parts nor saved them to a
// store, because the attempt was not executed or failed.
func (t *table) removePresumedHolder(ended *attempt, choice Choice) {
	for _, key := range ended.keys {
		part, ok := t.parts.get(key)
		if !ok {
			continue
		}
		part.removePresumedHolder(choice.Worker.ID)
		if ended.store != "" && part.savedAt == ended.sentAt {
			part.savedAt = 0
		}
		t.parts.put(key, part)
	}
}
