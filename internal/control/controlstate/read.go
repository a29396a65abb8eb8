package controlstate

import (
	"context"
	"strings"

	"pebbleloom/internal/maputil"
	"pebbleloom/internal/wire"
)

// maxPendingReads bounds the reads that wait for a quorum's confirmation. Above it this member responds
// as if it weren't the leader.
const maxPendingReads = 1024

// read responds from the applied state once a quorum has confirmed that this member leads the shard
// (Raft's ReadIndex).
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

// beginRead requests a confirmation of this leader. The channel receives whether the read may be
// served here. If it may not from the start, leader is the one to ask instead.
func (s *shard) beginRead(confirmation chan bool) (id uint64, leader string) {
	status := s.core.Status()
	if s.failure == nil && status.IsLeader && len(s.pendingReads) < maxPendingReads {
		if readID, ok := s.core.ReadIndex(); ok {
			s.pendingReads[readID] = confirmation
			return readID, "" // if the read is aborted later, this member isn't the one to name
		}
	}
	confirmation <- false
	return 0, status.Leader
}

func (s *shard) completeRead(id uint64, confirmed bool) {
	if confirmation := s.pendingReads[id]; confirmation != nil {
		confirmation <- confirmed
		delete(s.pendingReads, id)
	}
}

// selectDocuments returns the documents that a request asks for, and all leases, in the order of their
// keys.
func (s *shard) selectDocuments(request *wire.ReadRequest) ([]*wire.Document, []*wire.Lease) {
	var documents []*wire.Document
	for _, key := range maputil.SortedKeys(s.state.documents) {
		if key == request.Key || request.Prefix && strings.HasPrefix(key, request.Key) {
			documents = append(documents, s.state.documents[key])
		}
	}
	var leases []*wire.Lease
	for _, key := range maputil.SortedKeys(s.state.leases) {
		leases = append(leases, s.state.leases[key])
	}
	return documents, leases
}
