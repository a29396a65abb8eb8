package controlstate

import (
	"context"
	"strings"

	"pebbleloom/internal/maputil"
	"pebbleloom/internal/wire"
)

// maxPendingReads limits the reads that wait for a quorum to confirm that this member is still the leader. Above
// the limit this member responds to reads as if it were not the leader.
const maxPendingReads = 1024

// read serves a linearizable read: it responds from the applied state after a quorum has confirmed that this
// member is the leader (Raft's ReadIndex).
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

// beginRead starts the confirmation by a quorum that this member is still the leader. The confirmation channel
// receives whether this member may serve the read. If the confirmation cannot be started, leader is the member to
// ask instead.
func (s *shard) beginRead(confirmation chan bool) (id uint64, leader string) {
	status := s.core.Status()
	if s.failure == nil && status.IsLeader && len(s.pendingReads) < maxPendingReads {
		if readID, ok := s.core.ReadIndex(); ok {
			s.pendingReads[readID] = confirmation
			return readID, "" // name no leader: if the confirmation fails later, this member no longer leads
		}
	}
	confirmation <- false
	return 0, status.Leader
}

// completeRead reports to a pending read whether a quorum has confirmed that this member is still the leader.
func (s *shard) completeRead(id uint64, confirmed bool) {
	if confirmation := s.pendingReads[id]; confirmation != nil {
		confirmation <- confirmed
		delete(s.pendingReads, id)
	}
}

// selectDocuments returns the documents that match the key or key prefix of a read request, and all leases, both
// sorted by key.
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
