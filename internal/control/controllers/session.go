package controllers

import (
	"context"
	"encoding/json"
	"sync"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// actorQueueSize is the capacity of the queue of functions that a session's actor goroutine has yet to run.
const actorQueueSize = 256

// session runs the controllers while this process holds the site's lease under one fencing token. Its actor runs
// functions one at a time on a goroutine of its own, which alone accesses the state of the controllers.
type session struct {
	process        *daemon.Process
	workerClient   backend.Client
	latestSnapshot func() *fleet.Snapshot
	hotEntries     HotEntriesFunc
	lease          *siteLease
	fencingToken   uint64 // fencing token under which this session runs
	writer         *documentWriter
	ctx            context.Context
	cancel         context.CancelFunc
	actor          *queue.Actor[session]
	wake           chan struct{} // signals the document writer that documents are pending
	ordersInFlight sync.WaitGroup

	// The fields below are accessed only on the session's actor goroutine.
	ordersStopped bool // whether no further orders may be sent to workers
	workers       *WorkerList
	listKnown     bool // whether a worker list is stored in the control state or was read from the platform
	rollout       *Rollout
	placements    map[string]*servicePlacement // newest placement of each service's prompt prefixes, by service name
	pending       map[string][]byte            // document bodies to write to the control state, by document key
	targets       *targetVersions
}

func newSession(c *Controller, token uint64) *session {
	s := &session{
		process:        c.process,
		workerClient:   c.workerClient,
		latestSnapshot: c.latestSnapshot,
		hotEntries:     c.hotEntries,
		lease:          c.lease,
		fencingToken:   token,
		wake:           make(chan struct{}, 1),
		placements:     map[string]*servicePlacement{},
		pending:        map[string][]byte{},
		targets:        newTargetVersions(),
	}
	s.ctx, s.cancel = context.WithCancel(c.process.Ctx)
	s.actor = queue.NewActor(s, actorQueueSize)
	s.writer = newDocumentWriter(c.store, s.currentToken, c.lease.holderID(), c.process.Settings.Bounds)
	return s
}

// currentToken returns the fencing token of the site's lease, and whether this process holds the lease under the token
// of this session.
func (s *session) currentToken() (uint64, bool) {
	token, ok := s.lease.currentToken()
	return token, ok && token == s.fencingToken
}

// run loads the worker list and placements that the previous lease holder stored, and runs the controllers until the
// session ends.
func (s *session) run() {
	defer s.actor.Stop()
	if !s.loadStoredDocuments() {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		s.writer.run(s.ctx, s.wake, s.pendingWrites, s.logWarning("writing a document to the control state failed; retrying"))
	})
	wg.Go(s.followWorkerList)
	wg.Go(s.runPlacement)
	s.runRollout()
	wg.Wait()
	s.stopOrders()
}

// logWarning returns a function that logs an error under the given message at level Warn.
func (s *session) logWarning(message string) func(error) {
	return func(err error) { s.process.Log.Warn(message, "fencing_token", s.fencingToken, "error", errs.Text(err)) }
}

// loadStoredDocuments initializes the session from the worker list and placements that the previous lease holder
// stored. It retries failed reads, and returns false if the session ends before a read succeeds.
func (s *session) loadStoredDocuments() bool {
	bounds := s.process.Settings.Bounds
	for s.ctx.Err() == nil {
		workers, placements, err := s.readStoredDocuments()
		if err != nil {
			s.logWarning("reading the stored worker list and placements from the control state failed; retrying")(err)
			clock.Sleep(s.ctx, bounds.Leave(listRetryRatio))
			continue
		}
		list := s.decodeWorkerList(workers)
		byService, cordoned := s.decodePlacements(placements)
		return s.actor.Ask(func(*session) {
			s.workers = NewWorkerList(list)
			s.listKnown = len(workers) > 0
			s.placements = byService
			s.rollout = NewRollout(bounds, cordoned)
		})
	}
	return false
}

func (s *session) readStoredDocuments() (workers, placements []*wire.Document, err error) {
	var failures errs.Batch
	workers, err = s.writer.read(s.ctx, fleet.WorkersKey, false)
	failures.Add("workers", err)
	placements, err = s.writer.read(s.ctx, fleet.PlacementKey, true)
	failures.Add("placements", err)
	return workers, placements, failures.Err()
}

func (s *session) decodeWorkerList(documents []*wire.Document) (list fleet.WorkerList) {
	for _, document := range documents {
		if err := json.Unmarshal(document.Body, &list); err != nil {
			s.logWarning("decoding the stored worker list failed; the next list from the platform replaces it")(err)
		}
	}
	return list
}

// decodePlacements decodes the stored placements. It returns them by service, and the IDs of the workers that they
// cordon.
func (s *session) decodePlacements(documents []*wire.Document) (byService map[string]*servicePlacement, cordoned []string) {
	byService = map[string]*servicePlacement{}
	for _, document := range documents {
		stored, err := placement.Read(document.Body, document.Version)
		if err != nil {
			s.logWarning("decoding a stored placement of prompt prefixes failed; the placement is ignored")(err)
			continue
		}
		byService[stored.Service] = &servicePlacement{desired: stored, publishedCordoned: stored.Cordoned}
		cordoned = append(cordoned, stored.Cordoned...)
	}
	return byService, cordoned
}

// queueWorkerList queues the worker list for writing to the control state. It runs on the session's actor goroutine.
func (s *session) queueWorkerList() {
	body, err := json.Marshal(s.workers.Document())
	if err != nil {
		s.logWarning("encoding the worker list for the control state failed")(err)
		return
	}
	s.queueWrite(fleet.WorkersKey, body)
}

// queuePlacement sets the desired placement of a service and queues it for writing to the control state. It runs on
// the actor's goroutine.
func (s *session) queuePlacement(service *servicePlacement, desired *placement.Placement) {
	desired.FencingToken, desired.Version = s.fencingToken, 0
	body, err := json.Marshal(desired)
	if err != nil {
		s.logWarning("encoding a placement of prompt prefixes for the control state failed")(err)
		return
	}
	service.desired = desired
	s.queueWrite(fleet.PlacementKey+desired.Service, body)
}

// queueWrite queues the body of the document with a key for writing, in place of an older queued body. It runs on the
// actor's goroutine.
func (s *session) queueWrite(key string, body []byte) {
	s.pending[key] = body
	select {
	case s.wake <- struct{}{}:
	default: // the document writer has already been signaled
	}
}

// pendingWrites returns the queued documents. Each stays queued until its newest body has been written.
func (s *session) pendingWrites() pendingWrites {
	writes := pendingWrites{bodies: map[string][]byte{}, onWritten: map[string]func(){}}
	s.actor.Ask(func(*session) {
		for key, body := range s.pending {
			writes.bodies[key] = body
			writes.onWritten[key] = func() { s.actor.Ask(func(*session) { s.documentWritten(key, body) }) }
		}
	})
	return writes
}

// documentWritten records that the body of a document was written to the control state. The document is no longer
// pending unless a newer body was queued. If it is a placement, its cordoned workers become publishedCordoned of its
// service. It runs on the session's actor goroutine.
func (s *session) documentWritten(key string, body []byte) {
	if string(s.pending[key]) == string(body) {
		delete(s.pending, key)
	}
	for service, p := range s.placements {
		if key != fleet.PlacementKey+service {
			continue
		}
		if written, err := placement.Read(body, 0); err == nil {
			p.publishedCordoned = written.Cordoned
		}
	}
}
