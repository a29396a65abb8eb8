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

// actorQueueSize is the capacity of the queue of calls to a session's actor.
const actorQueueSize = 256

// session runs the controllers while the lease is held under one fencing token. The fields in the second
// group are accessed only on the actor's goroutine.
type session struct {
	process        *daemon.Process
	workerClient   backend.Client
	latestSnapshot func() *fleet.Snapshot
	hotEntries     HotEntriesFunc
	lease          *siteLease
	fencingToken   uint64
	writer         *documentWriter
	ctx            context.Context
	cancel         context.CancelFunc
	actor          *queue.Actor[session]
	wake           chan struct{} // wakes the document writer
	ordersInFlight sync.WaitGroup

	// Accessed only on the actor's goroutine.
	ordersStopped bool // set to prevent further orders
	workers       *WorkerList
	listKnown     bool // the worker list was read from the platform or loaded from the stored document
	rollout       *Rollout
	placements    map[string]*servicePlacement // by service
	pending       map[string][]byte            // document bodies to write, by key
	weights       *namedWeights
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
		weights:        newNamedWeights(),
	}
	s.ctx, s.cancel = context.WithCancel(c.process.Ctx)
	s.actor = queue.NewActor(s, actorQueueSize)
	s.writer = newDocumentWriter(c.store, s.currentToken, c.lease.holderID(), c.process.Settings.Bounds)
	return s
}

// currentToken returns the lease's fencing token, and whether the lease is held under the session's token.
func (s *session) currentToken() (uint64, bool) {
	token, ok := s.lease.currentToken()
	return token, ok && token == s.fencingToken
}

// run loads the state that the previous holder stored and runs the controllers until the session ends.
func (s *session) run() {
	defer s.actor.Stop()
	if !s.loadStoredDocuments() {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		s.writer.run(s.ctx, s.wake, s.pendingWrites, s.logWarning("writing a document to the control state failed"))
	})
	wg.Go(s.followWorkerList)
	wg.Go(s.runPlacement)
	s.runRollout()
	wg.Wait()
	s.stopOrders()
}

// logWarning returns a function that logs an error as a warning with the given message.
func (s *session) logWarning(message string) func(error) {
	return func(err error) { s.process.Log.Warn(message, "fencing_token", s.fencingToken, "error", errs.Text(err)) }
}

// loadStoredDocuments initializes the session from the documents that the previous holder stored. It retries
// on errors, and returns false if the session ends first.
func (s *session) loadStoredDocuments() bool {
	bounds := s.process.Settings.Bounds
	for s.ctx.Err() == nil {
		workers, placements, err := s.readStoredDocuments()
		if err != nil {
			s.logWarning("reading the stored worker list and placements failed")(err)
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
			s.logWarning("decoding the stored worker list failed")(err) // the next read from the platform replaces the list
		}
	}
	return list
}

// decodePlacements returns the stored placements by service, and the IDs of the workers that they cordon.
func (s *session) decodePlacements(documents []*wire.Document) (byService map[string]*servicePlacement, cordoned []string) {
	byService = map[string]*servicePlacement{}
	for _, document := range documents {
		stored, err := placement.Read(document.Body, document.Version)
		if err != nil {
			s.logWarning("decoding a stored placement failed")(err)
			continue
		}
		byService[stored.Service] = &servicePlacement{desired: stored, publishedCordoned: stored.Cordoned}
		cordoned = append(cordoned, stored.Cordoned...)
	}
	return byService, cordoned
}

// queueWorkerList queues the worker list for writing. It runs on the actor's goroutine.
func (s *session) queueWorkerList() {
	body, err := json.Marshal(s.workers.Document())
	if err != nil {
		s.logWarning("encoding the worker list failed")(err)
		return
	}
	s.queueWrite(fleet.WorkersKey, body)
}

// queuePlacement sets the desired placement of a service and queues it for writing. It runs on the actor's
// goroutine.
func (s *session) queuePlacement(service *servicePlacement, desired *placement.Placement) {
	desired.FencingToken, desired.Version = s.fencingToken, 0
	body, err := json.Marshal(desired)
	if err != nil {
		s.logWarning("encoding a placement failed")(err)
		return
	}
	service.desired = desired
	s.queueWrite(fleet.PlacementKey+desired.Service, body)
}

// queueWrite queues a document body for writing and replaces an older queued body. It runs on the actor's
// goroutine.
func (s *session) queueWrite(key string, body []byte) {
	s.pending[key] = body
	select {
	case s.wake <- struct{}{}:
	default: // the writer has already been signaled
	}
}

// pendingWrites returns the documents to write. Each stays pending until its newest body has been written.
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

// documentWritten records that a document was written: it is no longer pending unless a newer body was queued,
// and publishedCordoned is taken from a written placement. It runs on the actor's goroutine.
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
