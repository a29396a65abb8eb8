package controlstate

import (
	"context"

	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// read answers from the applied state, once a quorum confirms that this member leads the shard.
func (s *shard) read(ctx context.Context, request *wire.ReadRequest) *wire.ReadResponse {
	confirmation := make(chan bool, 1)
	response := &wire.ReadResponse{Outcome: wire.OutcomeNotLeader}
	var id uint64
	if !s.runOnLoop(ctx, func() { id, response.Leader = s.beginRead(confirmation) }) {
		return &wire.ReadResponse{Outcome: wire.OutcomeUnknown}
	}
	confirmed := false
	select {
	case confirmed = <-confirmation:
	case <-ctx.Done():
		s.commands.Offer(func() { delete(s.pendingReads, id) })
		return &wire.ReadResponse{Outcome: wire.OutcomeUnknown}
	}
	if !confirmed {
		return response
	}
	if !s.runOnLoop(ctx, func() {
		response.Outcome = wire.OutcomeDone
		response.Documents, response.Leases = s.selectDocuments(request)
	}) {
		return &wire.ReadResponse{Outcome: wire.OutcomeUnknown}
	}
	return response
}

// beginRead begins a read; w receives whether it may be answered from here.
func (s *shard) beginRead(result chan bool) (id uint64, leader string) {
	status := s.core.Status()
	if s.failure == nil && status.IsLeader && len(s.pendingReads) < 1024 {
		if readID, ok := s.core.ReadIndex(); ok {
			s.pendingReads[readID] = result
			return readID, "" // where it is lost, this member isn't the one to name
		}
	}
	result <- false
	return 0, status.Leader
}

func (s *shard) completeRead(id uint64, confirmed bool) {
	if result := s.pendingReads[id]; result != nil {
		result <- confirmed
		delete(s.pendingReads, id)
	}
}

func (s *shard) selectDocuments(request *wire.ReadRequest) ([]*wire.Document, []*wire.Lease) {
	var documents []*wire.Document
	var leases []*wire.Lease
	for _, key := range queue.Keys(s.state.documents) {
		if key == request.Key || request.Prefix && len(key) >= len(request.Key) && key[:len(request.Key)] == request.Key {
			documents = append(documents, s.state.documents[key])
		}
	}
	for _, key := range queue.Keys(s.state.leases) {
		leases = append(leases, s.state.leases[key])
	}
	return documents, leases
}
