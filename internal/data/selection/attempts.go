package selection

import (
	"slices"
	"time"

	"pebbleloom/internal/data/prefix"
)

// attemptKey identifies one attempt: of a request, at a worker.
type attemptKey struct{ request, worker string }

// attempt is what a selection expected of an attempt; its outcome is judged against that.
type attempt struct {
	prefillTokens float64        // that the worker has to read
	transferMs    float64        // that the worker's and the source's links are busy for
	keys          []prefix.Key   // of the parts
	sharedParts   []prefix.Entry // the parts that other requests use too
	stats         *workerStats   // of the worker
	source        *workerStats   // that it fetches from; nil: none
	store         string         // name of the store that it saves parts to; "": none
	usesCache     bool           // an engine, and a prompt to read

	// Set once it is sent. The booleans stand together because maps keep values of up to 128 bytes, which
	// this struct has, without an allocation of their own.
	firstEventSeen bool
	firstEventDue  time.Duration // from then on its first event is overdue
	sentAt         time.Duration
	prefillTime    time.Duration // that the worker still reads for it; 0 once it has stopped
}

// recordSent records an attempt in flight and returns what its selection expected. An attempt that
// nothing is known of, or that is in flight already, isn't recorded.
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

// recordParts records that an attempt's worker is presumed to cache its parts from now on, and that they
// are sent to a store.
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

// dropAbandoned drops attempts whose outcome was never recorded.
func (t *table) dropAbandoned(now time.Duration) {
	if now-t.lastSweep < t.bounds.Heal(recordTuning.lifetimeRatio) {
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

// abandonedRatio is the age at which an attempt without an outcome is dropped, as a ratio of the bound
// within which a request's ID is remembered.
const abandonedRatio = 1.0 / 2

// recordFirstEvent records an attempt's first event: its prompt is read and cached. firstEvent is the time
// from sending it; a nil load wasn't reported.
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
	if load == nil || load.Waiting == 0 { // a wait behind others says nothing about the time of prefill
		t.learnFirstEvent(worker, sent.prefillTokens, firstEvent, now)
	}
}

// recordPrefillEnd records that a worker has stopped reading a prompt, sooner or later than expected.
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

// recordOutcome records how an attempt ended. firstEvent is 0 if none came.
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

// applyOutcome applies an outcome to what is known of the attempt's worker.
func (t *table) applyOutcome(ended *attempt, choice Choice, outcome Outcome, firstEvent, now time.Duration) {
	worker := ended.stats
	switch outcome {
	case Completed:
		t.recordSuccess(worker, now)
		worker.service.meanAttemptMs = movingAverage(worker.service.meanAttemptMs, milliseconds(now-ended.sentAt), loadTuning.sampleWeight)
	case NoFreeSlot:
		worker.noFreeSlotUntil = now + t.bounds.Heal(avoidanceTuning.noFreeSlotRatio)
	case NotReady:
		worker.notReadyUntil = now + t.bounds.Heal(avoidanceTuning.notReadyRatio)
		worker.notReadyVersion = choice.Weights
	case Misdirected:
		worker.ejectedUntil = max(worker.ejectedUntil, now+t.bounds.Heal(avoidanceTuning.misdirectedRatio))
	case Failed:
		t.recordFailure(worker, now)
	case TimedOut:
		if firstEvent == 0 {
			t.recordFailure(worker, now)
		}
	}
}

// confirmHolder records that a worker caches the parts that it was sent: its first event came.
func (t *table) confirmHolder(sent *attempt, choice Choice, now time.Duration) {
	for _, key := range sent.keys {
		part, _ := t.parts.get(key)
		part.addHolder(choice.Worker.ID, true, now)
		t.parts.put(key, part)
	}
}

// removePresumedHolder records that a worker doesn't cache the parts that it was sent, and saved none of
// them: the attempt wasn't executed, or failed.
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
